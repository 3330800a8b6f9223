//! State of a host as the leader knows it.

use std::collections::BTreeSet;

use super::{Command, Order, Outcome, ProbeFailure};
use crate::Millis;
use crate::backend_servers::{BackendServer, Born, Holding, MemberState, Membership};
use crate::configuration::Model;

/// Time between two probes of the same host, in ms.
pub(super) const PROBE_EVERY_MS: u64 = 80;
/// Time between two probes of a host that does not answer, in ms.
const LOST_PROBE_EVERY_MS: u64 = 700;
/// Time between two probes of a host that accepts connections and answers nothing, in ms.
const SILENT_PROBE_EVERY_MS: u64 = 400;
/// Number of probes without a connection after which a host counts as lost.
const MISSED_PROBES_MAX: u32 = 2;
/// Time for which a host may accept connections and answer nothing before it counts as lost, in ms.
/// A sound host may be silent for up to two seconds, and a hung one keeps its group from serving
/// for this time.
const SILENCE_MAX_MS: u64 = 2_500;
/// Time after which an unanswered order is sent again, in ms.
const ORDER_RETRY_MS: u64 = 300;
/// Time for which an unanswered order may still be carried out, in ms.
const LATE_ORDER_MS: u64 = 15_000;
/// Time for which a host's report counts as its current state while an unanswered order may still
/// be carried out, in ms.
const REPORT_FRESH_MS: u64 = 60;
/// Pace above which a host becomes slow, and pace at or below which it no longer is.
const SLOW_PACE: f64 = 1.6;
const USUAL_PACE: f64 = 1.25;
/// Time between two probes of a host that is slow or belongs to a slow group, in ms.
const SLOW_PROBE_EVERY_MS: u64 = 1_000;
/// Time between two probes of a host with a load that this leader did not order, in ms. A load
/// takes four times as long, and its end also shows in the list.
const ADOPTED_PROBE_EVERY_MS: u64 = 4_000;
/// Time that a member needs to join if it has the model, in ms.
const WARM_JOIN_MS: u64 = 200;

/// A host with its outstanding orders and probes.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub(super) server: BackendServer,
    pub(super) holding: Holding,
    pub(super) reported_at: Millis,
    /// Time until which the host is cold according to its newest record: it has just started and
    /// takes few requests, whether or not it has a model in memory.
    pub(super) cold_until: Millis,
    /// Epoch of the group to which the host is assigned.
    pub(super) group: Option<u64>,
    /// Number of orders that the host has begun in this incarnation, as far as is known: the last
    /// reported number plus the orders that it has accepted since.
    orders: Option<u64>,
    /// Newest epoch for which the host accepted each kind of order, and the time of that.
    pub(super) joined: Option<u64>,
    pub(super) joined_at: Millis,
    pub(super) opened: Option<u64>,
    pub(super) opened_at: Millis,
    pub(super) closed: Option<u64>,
    pub(super) closed_at: Millis,
    pub(super) left: Option<u64>,
    pub(super) unlisted: bool,
    /// Whether the host's failure domain is drained.
    pub(super) drained: bool,
    /// Whether the host has accepted an order of this leader, or never had one of another leader.
    pub(super) knows_fence: bool,
    /// Whether another backend server answers at the host's address, so that this host has ended.
    pub(super) replaced: bool,
    /// Newest epoch for which an order to join or open went unanswered.
    pub(super) unanswered: Option<u64>,
    unanswered_at: Millis,
    /// Number of consecutive probes for which no connection could be opened.
    missed_probes: u32,
    /// Time since which the host accepts connections and answers nothing; `None` if it answers or
    /// is lost.
    silent_since: Option<Millis>,
    /// Whether gateways observe no progress in the host's group. One probe without a connection
    /// then marks the host as lost.
    pub(super) suspected: bool,
    /// Whether the reported pace marks the host as slow.
    slow: bool,
    /// Last reported pace.
    pace: f64,
    order_pending: bool,
    /// Whether the host must be probed before the next order: after an unanswered order, since an
    /// order that arrived late may have changed the host's state.
    probe_first: bool,
    ordered_at: Millis,
    /// Time at which the host accepted its last order, if it accepted one of this leader.
    accepted_at: Option<Millis>,
    /// Whether the host's last join requires a load from the weight store.
    join_loads: bool,
    /// Model that the host was ordered to stage and does not have yet.
    loading_to_memory: Option<String>,
    /// Whether the host runs a load that this leader did not order.
    adopted_load: bool,
    /// Model of the host's last join in this incarnation.
    last_model: Option<String>,
    pub(super) wants_probe: bool,
    probing: bool,
    pub(super) probed_at: Millis,
}

impl Host {
    pub(super) fn new(now: Millis, server: &BackendServer) -> Host {
        Host {
            holding: server.holding.clone(),
            // The record may be stale, so the host is probed before its first order.
            reported_at: 0,
            cold_until: now + server.cold_ms,
            server: server.clone(),
            group: None,
            orders: None,
            joined: None,
            joined_at: 0,
            opened: None,
            opened_at: 0,
            closed: None,
            closed_at: 0,
            left: None,
            unlisted: false,
            drained: false,
            knows_fence: true,
            replaced: false,
            unanswered: None,
            unanswered_at: 0,
            missed_probes: 0,
            silent_since: None,
            suspected: false,
            slow: false,
            pace: 1.0,
            order_pending: false,
            probe_first: true,
            ordered_at: 0,
            accepted_at: None,
            join_loads: false,
            loading_to_memory: None,
            adopted_load: false,
            last_model: server.holding.models.first().cloned(),
            wants_probe: true,
            probing: false,
            probed_at: 0,
        }
    }

    /// Resets the state of a host that restarted. Only its assignment to a group, its drain and the
    /// last unanswered order remain: the order may reach the new incarnation, which does not know
    /// that it belongs to an earlier one.
    pub(super) fn reset(&mut self, now: Millis, server: &BackendServer) {
        let Host { group, drained, unanswered, unanswered_at, .. } = *self;
        *self = Host { group, drained, unanswered, unanswered_at, ..Host::new(now, server) };
    }

    pub(super) fn update_record(&mut self, now: Millis, server: &BackendServer) {
        if !server.may_follow(&self.server) {
            return;
        }
        self.unlisted = false;
        self.server = server.clone();
        self.cold_until = now + server.cold_ms;
        // A record may be seconds older than the last report or order, so it proves nothing about
        // the current state, but a difference is a reason to probe. Rejected: trusting a record
        // some time after the last order, because members of a group whose head was serving then
        // counted as free.
        self.wants_probe |= !self.holding.has_same_models_and_group(&server.holding);
    }

    /// Returns the start time of the host's incarnation, as far as is known.
    pub(super) fn born(&self) -> Option<Born> {
        self.server.holding.born.max(self.holding.born)
    }

    /// Whether the answer to a probe sent at `asked_at` predates the host's last order. The content
    /// of an answer is `lag_ms` old.
    fn predates_last_order(&self, asked_at: Millis, lag_ms: u64) -> bool {
        self.accepted_at.is_some_and(|accepted_at| asked_at < accepted_at + lag_ms)
    }

    /// Handles the answer to the outstanding probe. Its content is `lag_ms` old.
    pub(super) fn handle_probe_answer(&mut self, now: Millis, lag_ms: u64, holding: &Holding) {
        // A report from before the last order does not show the effect of that order: a head that
        // has just opened would seem ready right after an order to close, and its members free
        // while it serves.
        match self.predates_last_order(self.probed_at, lag_ms) {
            true => self.wants_probe = true,
            false => self.apply_report(now, holding),
        }
    }

    fn apply_report(&mut self, now: Millis, holding: &Holding) {
        let changed = self.holding.staging != holding.staging;
        self.adopted_load &= !changed && holding.loads != Some(false);
        // The reported number of orders may lag behind the rest of the report.
        self.orders = self.orders.max(holding.orders);
        self.holding = holding.clone();
        self.reported_at = now;
        if let Some(model) = holding.models.first() {
            self.last_model = Some(model.clone());
        }
        self.loading_to_memory.take_if(|model| holding.staging.contains(model));
    }

    pub(super) fn mark_answering(&mut self) {
        self.missed_probes = 0;
        self.silent_since = None;
        self.suspected = false;
        self.probing = false;
    }

    /// Handles a failed probe.
    pub(super) fn record_probe_failure(&mut self, now: Millis, failure: ProbeFailure) {
        self.probing = false;
        self.probed_at = now;
        let was_suspected = std::mem::take(&mut self.suspected);
        match failure {
            // Nothing listens at the address, or a network partition produces that answer. The host
            // receives no work, but it may still be running.
            ProbeFailure::Refused => self.mark_lost(),
            ProbeFailure::Unreachable if was_suspected => self.mark_lost(),
            ProbeFailure::Unreachable => self.record_missed_probe(),
            ProbeFailure::Unanswered => self.record_unanswered_probe(now),
        }
    }

    fn mark_lost(&mut self) {
        self.missed_probes = self.missed_probes.max(MISSED_PROBES_MAX);
        self.silent_since = None;
    }

    fn record_missed_probe(&mut self) {
        self.missed_probes += 1;
        match self.is_lost() {
            true => self.mark_lost(),
            false => self.wants_probe = true,
        }
    }

    /// Handles a probe that the host accepted and did not answer. The host runs, and its process
    /// may continue, so it is lost only if the silence lasts: the end of its group cannot be
    /// undone.
    fn record_unanswered_probe(&mut self, now: Millis) {
        if self.is_lost() {
            return;
        }
        self.missed_probes = 0;
        let since = *self.silent_since.get_or_insert(now);
        if now >= since + SILENCE_MAX_MS {
            self.mark_lost();
        }
    }

    /// Whether the host accepts connections and answers nothing, but not for so long that it is
    /// lost.
    pub(super) fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Marks the host as suspected: it is probed at once, and one probe without a connection marks
    /// it as lost.
    pub(super) fn suspect(&mut self) {
        self.wants_probe = true;
        self.suspected = true;
    }

    /// Whether the host cannot be reached, or has not answered for long.
    pub(super) fn is_lost(&self) -> bool {
        self.missed_probes >= MISSED_PROBES_MAX
    }

    /// Whether the host is not lost, is listed and is not leaving.
    pub(super) fn is_available(&self) -> bool {
        !self.is_lost() && !self.unlisted && !self.server.draining
    }

    /// Whether the host counts for the groups and loads of its domain. A silent host does, since it
    /// is expected to continue.
    pub(super) fn is_eligible(&self) -> bool {
        self.is_available() && !self.slow && !self.drained
    }

    /// Whether the host may be chosen for a new group now.
    pub(super) fn is_assignable(&self) -> bool {
        self.is_eligible() && !self.is_silent()
    }

    /// Whether the host is slow.
    pub(super) fn is_slow(&self) -> bool {
        self.slow
    }

    /// Returns the host's pace as a factor on the usual time, or 1 if the difference is too small
    /// to matter.
    pub(super) fn pace(&self) -> f64 {
        if self.pace > USUAL_PACE { self.pace } else { 1.0 }
    }

    /// Updates the reported pace. `may_be_slow` is whether this host may be excluded for being
    /// slow.
    pub(super) fn update_pace(&mut self, pace: f64, may_be_slow: bool) {
        self.pace = pace;
        self.slow = match self.slow {
            true => pace > USUAL_PACE,
            false => pace > SLOW_PACE && may_be_slow,
        };
    }

    /// Requests a probe because the host or its group runs slowly, at most once per
    /// `SLOW_PROBE_EVERY_MS`.
    pub(super) fn request_slow_probe(&mut self, now: Millis) {
        self.wants_probe |= now >= self.probed_at + SLOW_PROBE_EVERY_MS;
    }

    /// Whether the host loads a model from the weight store, or may do so because of an order whose
    /// outcome is not known yet.
    pub(super) fn is_loading(&self) -> bool {
        let member = self.holding.group.as_ref();
        let done =
            member.is_some_and(|m| Some(m.epoch) == self.joined && m.state != MemberState::Joining);
        let joins = self.joined.is_some() && self.joined == self.group && !done;
        self.order_pending || (joins && self.join_loads) || self.is_loading_any_to_memory()
    }

    /// Whether the host loads a model for the group of this epoch, or will do so.
    pub(super) fn loads_for(&self, epoch: u64, model: &str) -> bool {
        let ready =
            self.holding.group.as_ref().is_some_and(|member| {
                member.epoch == epoch && member.state != MemberState::Joining
            });
        let loads = match self.joined == Some(epoch) {
            true => self.join_loads,
            false => !self.has_copy(model),
        };
        loads && !ready
    }

    /// Assigns the host to a group that an earlier leader formed. The host may still load the model
    /// for it.
    pub(super) fn adopt_into(&mut self, epoch: u64) {
        self.group = Some(epoch);
        self.joined = Some(epoch);
        self.join_loads = true;
    }

    /// Whether the host is loading this model to its memory.
    pub(super) fn is_loading_to_memory(&self, model: &str) -> bool {
        self.loading_to_memory.as_deref() == Some(model)
    }

    /// Whether the host is loading any model to its memory.
    pub(super) fn is_loading_any_to_memory(&self) -> bool {
        self.loading_to_memory.is_some() || self.adopted_load
    }

    /// Records whether an earlier leader may have ordered the host to stage a model: the host
    /// reports a load that no join explains.
    pub(super) fn adopt_load(&mut self) {
        let joins = self.holding.group.as_ref().is_some_and(|m| m.state == MemberState::Joining);
        self.adopted_load = self.holding.loads == Some(true) && !joins;
    }

    pub(super) fn is_ready_in(&self, name: &str, epoch: u64) -> bool {
        self.holding.group.as_ref().is_some_and(|member| {
            member.name == name && member.epoch == epoch && member.state == MemberState::Ready
        })
    }

    /// Whether the host reports membership in a later group than the one of this epoch.
    pub(super) fn is_in_later_group(&self, epoch: u64) -> bool {
        self.holding.group.as_ref().is_some_and(|member| member.epoch > epoch)
    }

    /// Whether the host joined the group of this epoch, answers, and does not report membership in
    /// it.
    pub(super) fn denies_membership(&self, epoch: u64) -> bool {
        !self.is_lost()
            && self.joined == Some(epoch)
            && self.holding.group.as_ref().is_none_or(|member| member.epoch != epoch)
    }

    /// Whether the host can serve the model without a load from the weight store.
    pub(super) fn has_copy(&self, model: &str) -> bool {
        self.held_last(model) || self.has_in_memory(model)
    }

    /// Whether the host has the model staged in memory.
    pub(super) fn has_in_memory(&self, model: &str) -> bool {
        self.holding.staging.iter().any(|staged| staged == model)
    }

    /// Returns the model of the host's last join, for operators.
    pub(super) fn last_model(&self) -> &str {
        self.last_model.as_deref().unwrap_or("none")
    }

    /// Lists the staged models besides the one that the host held last, for operators.
    pub(super) fn describe_staged(&self) -> String {
        let staged = self.holding.staging.iter().filter(|model| !self.held_last(model));
        staged.map(|model| format!("+{model}")).collect()
    }

    /// Whether the host ever held a model in this incarnation.
    pub(super) fn held_any(&self) -> bool {
        self.last_model.is_some()
    }

    /// Whether the model is the one that the host held last.
    pub(super) fn held_last(&self, model: &str) -> bool {
        self.last_model.as_deref() == Some(model)
    }

    pub(super) fn is_free(&self, ended: &BTreeSet<u64>) -> bool {
        self.group.is_none()
            && self.is_eligible()
            && !self.order_pending
            && self.stray_membership(ended).is_none()
    }

    /// Returns the group that the host reports to be a member of, if that group may not have ended
    /// and is not managed by this leader.
    pub(super) fn stray_membership(&self, ended: &BTreeSet<u64>) -> Option<Membership> {
        if self.group.is_some() || self.is_lost() {
            return None;
        }
        let member = self.holding.group.as_ref()?;
        // Late orders may make the host join again, or even open a group that has ended.
        let serves = !matches!(member.state, MemberState::Joining | MemberState::Ready);
        let over = ended.contains(&member.epoch) && !(member.rank == 0 && serves);
        (!over).then(|| member.clone())
    }

    /// Whether an unanswered order may have changed the host's state since its last report.
    pub(super) fn may_have_changed(&self, now: Millis) -> bool {
        self.unanswered.is_some()
            && now < self.unanswered_at + LATE_ORDER_MS
            && now > self.reported_at + REPORT_FRESH_MS
    }

    /// Returns the order to leave another group that the host reports to be a member of, if that
    /// group may not have ended.
    pub(super) fn order_to_leave_other_group(
        &self,
        epoch: u64,
        ended: &BTreeSet<u64>,
    ) -> Option<Order> {
        let member = self.holding.group.as_ref()?;
        let other = member.epoch != epoch && !ended.contains(&member.epoch);
        other.then(|| Order::Leave { group: member.name.clone(), epoch: member.epoch })
    }

    pub(super) fn may_order(&self, now: Millis) -> bool {
        let retry_at = self.ordered_at + ORDER_RETRY_MS;
        !self.order_pending
            && !self.is_silent()
            && now >= retry_at
            && (!self.probe_first || self.reported_at >= retry_at)
    }

    pub(super) fn order(&mut self, now: Millis, order: Order) -> Command {
        self.order_pending = true;
        self.ordered_at = now;
        let expects = self.orders.filter(|_| order.is_bound());
        Command::Order {
            server: self.server.id.clone(),
            address: self.server.address,
            order,
            expects,
        }
    }

    pub(super) fn apply_outcome(&mut self, now: Millis, order: &Order, outcome: Outcome) {
        self.order_pending = false;
        self.probe_first = outcome == Outcome::Unanswered;
        match outcome {
            Outcome::Begun | Outcome::Holds => self.mark_answering(),
            Outcome::Unfit | Outcome::Fenced => {
                self.mark_answering();
                self.probe_first = true;
                self.wants_probe = true;
                // The host has begun more or fewer orders than expected. The next probe returns the
                // number.
                self.orders = None;
                return;
            }
            Outcome::Gone => {
                self.replaced = true;
                self.record_probe_failure(now, ProbeFailure::Refused);
                return;
            }
            Outcome::Unanswered => {
                if let Order::Open { epoch, .. } | Order::Join { epoch, .. } = order {
                    self.unanswered = Some(*epoch);
                    self.unanswered_at = now;
                }
                self.wants_probe = true;
                return;
            }
        }
        self.knows_fence = true;
        if outcome == Outcome::Begun || self.is_leave_of_current_group(order) {
            self.orders = self.orders.map(|orders| orders + 1);
        }
        // The next order may follow at once.
        self.ordered_at = 0;
        self.accepted_at = Some(now);
        match order {
            Order::Join { epoch, model, .. } => {
                self.join_loads = !self.has_copy(model);
                self.joined = Some(*epoch);
                self.joined_at = now;
                self.last_model = Some(model.clone());
                // A join that loads stages its model in place of the model that was being staged.
                self.loading_to_memory = None;
                self.adopted_load = false;
            }
            Order::Stage { model } if self.holding.staging.contains(model) => {}
            Order::Stage { model } => self.loading_to_memory = Some(model.clone()),
            Order::Open { epoch, .. } => {
                self.opened = Some(*epoch);
                self.opened_at = now;
            }
            Order::Close { epoch, .. } => {
                self.closed = Some(*epoch);
                self.closed_at = now;
            }
            Order::Leave { epoch, .. } => {
                self.left = Some(*epoch);
                if self.holding.group.as_ref().is_some_and(|member| member.epoch == *epoch) {
                    self.holding.group = None;
                }
            }
        }
    }

    /// Whether an order removes the host from its current group. Such an order counts as begun
    /// although it completes at once.
    fn is_leave_of_current_group(&self, order: &Order) -> bool {
        let member = self.holding.group.as_ref();
        matches!(order, Order::Leave { epoch, .. } if member.is_some_and(|m| m.epoch == *epoch))
    }

    /// Requests a probe once a join should be complete.
    pub(super) fn probe_when_due(&mut self, now: Millis, model: &Model) {
        // Loads before traffic are much shorter, so the first probe is early and the later ones are
        // spaced out.
        let waited = now.saturating_sub(self.joined_at);
        let every = (waited / 8).max(PROBE_EVERY_MS);
        let first = WARM_JOIN_MS.min(model.warm_ms.max(1));
        self.wants_probe |= waited >= first && now >= self.probed_at + every;
    }

    /// Returns a probe if one is due. A silent host is probed until it answers or is lost. A probe is
    /// postponed while its answer, `lag_ms` old, would predate the last order, unless it is in doubt
    /// whether the host answers at all.
    pub(super) fn probe(&mut self, now: Millis, lag_ms: u64) -> Option<Command> {
        if self.pace > USUAL_PACE && self.is_available() {
            self.request_slow_probe(now);
        }
        self.wants_probe |= self.adopted_load
            && self.is_available()
            && now >= self.probed_at + ADOPTED_PROBE_EVERY_MS;
        let lost_due =
            self.is_lost() && !self.unlisted && now >= self.probed_at + LOST_PROBE_EVERY_MS;
        let retry_at = self.ordered_at + ORDER_RETRY_MS;
        let probe_first = self.probe_first && now >= retry_at && self.reported_at < retry_at;
        if self.is_silent() && now < self.probed_at + SILENT_PROBE_EVERY_MS {
            return None;
        }
        let due = self.wants_probe || lost_due || probe_first || self.is_silent();
        if self.probing || !due {
            return None;
        }
        let in_doubt = self.suspected || self.missed_probes > 0 || self.is_silent();
        if self.predates_last_order(now, lag_ms) && !in_doubt {
            return None;
        }
        self.wants_probe = false;
        self.probing = true;
        self.probed_at = now;
        Some(Command::Probe { server: self.server.id.clone(), address: self.server.address })
    }
}
