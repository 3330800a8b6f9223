//! Agents and engines of a proof run.

use oliveworks_core::agent::Assigned;
use oliveworks_core::answer::AttemptId;
use oliveworks_core::error::{ErrorKind, Ran, Refusal};
use oliveworks_core::id::{Epoch, HostId};
use oliveworks_core::ledger::{Begin, Handover, Kept, Now, Revoked};
use oliveworks_core::message::{Fence, LeaseMsg};
use oliveworks_core::record::{Author, Body};
use rand::RngExt;

use super::Broken;
use super::check::content;
use super::net::{Event, Msg, Node};
use super::world::{ENGINE_ORDER_MAX_MS, Running, TICK_MS, World};

/// Maximum time between two reports of a group by its agent, in milliseconds.
const REPORT_MS: u64 = 2_000;
/// Time after a member is told to leave within which its leader must have observed that, in
/// milliseconds. From then on the member must get no new requests.
const LEAVE_NOTICE_MS: u64 = 1_700;

impl World {
    /// Returns the current time as an agent's ledger needs it. The wall clock shows real time,
    /// which is within the clock skew allowed for callers.
    fn ledger_time(&self, host: HostId) -> Option<Now> {
        let mono = self.clock(Node::Agent(host));
        let proc = self.agents.get(&host)?;
        let age = proc.reader.feed.age_ms(mono).unwrap_or(u64::MAX);
        Some(Now { mono, wall_ms: self.now, config_age_ms: age })
    }

    pub(super) fn agent_tick(&mut self, host: HostId) {
        let node = Node::Agent(host);
        let Some(now) = self.ledger_time(host) else { return };
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let commands = proc.agent.tick(now.mono);
        proc.agent.tick_home(now);
        self.execute_commands(host, commands);
        self.report(host);
        if self.rng.random_range(0..4) == 0 {
            self.request_records(node);
        }
        self.queue.push(self.now + TICK_MS, Event::Tick(node));
    }

    fn report(&mut self, host: HostId) {
        let mono = self.clock(Node::Agent(host));
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let Some(mut report) = proc.agent.report(mono) else {
            return;
        };
        if self.now < proc.report_at && report.lost.is_empty() && !report.drained {
            return;
        }
        proc.report_at = self.now + REPORT_MS;
        if self.broken == Broken::FreesEarly && proc.agent.state() == "draining" {
            report.drained = true;
        }
        for entry in 0..super::world::ENTRIES {
            self.send(Node::Agent(host), Node::Entry(entry), Msg::Report(report.clone()));
        }
    }

    pub(super) fn agent_receive(&mut self, host: HostId, from: Node, msg: Msg) {
        let node = Node::Agent(host);
        let now = self.clock(node);
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        match msg {
            Msg::Lease(lease) => {
                let Node::Agent(sender) = from else { return };
                let commands = proc.agent.receive(now, sender, lease);
                self.execute_commands(host, commands);
            }
            Msg::Probe => {
                let leads = proc.agent.led_view().map(|(e, _)| e);
                let incarnation = proc.agent.ledger().incarnation();
                let hello = Msg::Hello { incarnation, clock: now, leads };
                self.send(node, from, hello);
            }
            Msg::Run { id, epoch, handover, from: first, total } => {
                self.agent_run(host, from, id, epoch, handover, first, total)
            }
            Msg::Revoke { id, handover } => {
                let outcome = match self.broken {
                    Broken::RevokesBlindly => Revoked::NotRun,
                    _ => proc.agent.revoke(now, &handover),
                };
                self.send(node, from, Msg::Revoked { id, outcome });
            }
            Msg::FeedResponse { .. } => {
                let claims = self.broken == Broken::ClaimsHome;
                let proved = claims || proc.reader.feed.age_ms(now).is_some();
                if self.apply_feed_response(node, from, msg) {
                    self.assign(host, proved);
                }
            }
            _ => {}
        }
    }

    /// Passes the agent the group that the log assigns to its host.
    fn assign(&mut self, host: HostId, proved: bool) {
        let now = self.clock(Node::Agent(host));
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let assigned = Assigned::of(&proc.reader.pool, host);
        let commands = proc.agent.assign(now, assigned, proved);
        self.execute_commands(host, commands);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn agent_run(
        &mut self,
        host: HostId,
        entry: Node,
        id: AttemptId,
        epoch: Epoch,
        handover: Handover,
        from: u64,
        total: u64,
    ) {
        let node = Node::Agent(host);
        let Some(now) = self.ledger_time(host) else { return };
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let (begin, permit) = proc.agent.gate(now, epoch, &handover);
        let leader = proc.agent.leader(now.mono).filter(|l| *l != host);
        let members = proc.agent.view_members();
        match (begin, permit) {
            (Begin::Run, Some(permit)) => {
                proc.runs.insert(id, Running { entry, handover, permit });
                self.check_leaving(&members);
                self.forward_to_engine(host, id, permit.fence(), from, total, handover);
            }
            (Begin::Kept(kept), _) => {
                for (number, piece) in kept.body.chunks(8).enumerate() {
                    let content = u64::from_be_bytes(piece.try_into().unwrap_or_default());
                    self.send(node, entry, Msg::Piece { id, number: number as u64, content });
                }
                self.send(node, entry, Msg::End { id, pieces: (kept.body.len() / 8) as u64 });
            }
            (Begin::Refuse(refusal), _) => {
                self.send(node, entry, Msg::Refused { id, refusal, leader });
            }
            (Begin::Run, None) => unreachable!("a request runs only with a permit"),
        }
    }

    /// Checks that no member was told to leave more than `LEAVE_NOTICE_MS` ago, since such a host must get
    /// no new requests.
    fn check_leaving(&mut self, members: &[HostId]) {
        let late = members.iter().find(|m| {
            let told = self.check.leaving.get(m);
            told.is_some_and(|t| self.now > t + LEAVE_NOTICE_MS)
        });
        if let Some(member) = late {
            self.check.breach(
                "leaving",
                format!("{member} got a new request after it was told to leave"),
            );
        }
    }

    fn forward_to_engine(
        &mut self,
        host: HostId,
        id: AttemptId,
        fence: Fence,
        from: u64,
        total: u64,
        handover: Handover,
    ) {
        let repeatable = handover.key.is_none() && !is_service(host);
        // A pause of the agent between the gate and the engine appears as a late arrival at the
        // engine.
        let late = if self.rng.random_range(0..200) == 0 { 4_000 } else { 3 };
        let delay = self.rng.random_range(1..=late);
        let Some(engine) = self.engines.get_mut(&host) else {
            return;
        };
        engine.in_transit.insert(id, (fence, from, total, repeatable));
        let incarnation = engine.incarnation;
        self.queue.push(self.now + delay, Event::EngineStart { host, incarnation, id });
    }

    pub(super) fn engine_start(&mut self, host: HostId, incarnation: u64, id: AttemptId) {
        let Some(engine) = self.engines.get_mut(&host).filter(|e| e.incarnation == incarnation)
        else {
            return;
        };
        let Some((fence, from, total, repeatable)) = engine.in_transit.remove(&id) else {
            return;
        };
        if engine.checks_fences && fence < engine.fence {
            return;
        }
        engine.runs.insert(id, (from, total));
        self.check.record_run(id.request, repeatable);
        self.queue.push(self.now + 8, Event::EngineStep { host, incarnation, id });
    }

    pub(super) fn engine_step(&mut self, host: HostId, incarnation: u64, id: AttemptId) {
        let Some(engine) = self.engines.get_mut(&host).filter(|e| e.incarnation == incarnation)
        else {
            return;
        };
        let Some((next, total)) = engine.runs.get(&id).copied() else {
            return;
        };
        if next < total {
            engine.runs.insert(id, (next + 1, total));
            let wait = self.rng.random_range(8..40);
            self.queue.push(self.now + wait, Event::EngineStep { host, incarnation, id });
        } else {
            engine.runs.remove(&id);
        }
        if self.paused.contains_key(&Node::Agent(host)) {
            // The piece stays in the socket of the paused process. The step is repeated until the
            // process resumes or is gone.
            let retry = Event::EngineStep { host, incarnation, id };
            if let Some(engine) = self.engines.get_mut(&host) {
                engine.runs.insert(id, (next, total));
            }
            self.queue.push(self.now + 50, retry);
            return;
        }
        self.agent_piece(host, id, next, total);
    }

    /// Passes a piece from the engine on to the entry if the view that started the request is still
    /// complete. This is the second check of the view; the first is made before the request is
    /// handed to the engine.
    fn agent_piece(&mut self, host: HostId, id: AttemptId, number: u64, total: u64) {
        let node = Node::Agent(host);
        let now = self.clock(node);
        let broken = self.broken;
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let Some(run) = proc.runs.get(&id) else {
            return;
        };
        let (entry, permit, handover) = (run.entry, run.permit, run.handover);
        if !proc.agent.may_pass(now, &permit) && broken != Broken::PassesUnchecked {
            let commands = proc.agent.tick(now);
            self.execute_commands(host, commands);
            return;
        }
        let members = proc.agent.view_members();
        if number < total {
            let content = content(id.request, number);
            self.send(node, entry, Msg::Piece { id, number, content });
        } else {
            let body = (0..total).flat_map(|n| content(id.request, n).to_be_bytes()).collect();
            let kept = Kept { status: 200, content_type: String::new(), body };
            proc.runs.remove(&id);
            proc.agent.finish(now, &handover, Some(kept));
            self.send(node, entry, Msg::End { id, pieces: total });
        }
        self.check_group_promises(host, permit.epoch(), &members);
    }

    /// Checks that a leader that passes an answer on holds a promise in force from every member.
    fn check_group_promises(&mut self, leader: HostId, epoch: Epoch, members: &[HostId]) {
        if members.is_empty() {
            self.check.breach("whole group", format!("{leader} serves without a view"));
        }
        for member in members {
            let promise = self.promises.get(member);
            let in_force = promise
                .is_some_and(|p| p.epoch == epoch && p.leader == leader && p.until >= self.now);
            if !in_force {
                let detail = format!(
                    "{leader} serves in {epoch} without a promise of {member} in force: {promise:?}"
                );
                self.check.breach("whole group", detail);
            }
        }
    }

    pub(super) fn cut_requests(&mut self, host: HostId) {
        if self.broken == Broken::PassesUnchecked {
            return; // This variant neither checks its view nor cuts requests.
        }
        let node = Node::Agent(host);
        let now = self.clock(node);
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let runs = std::mem::take(&mut proc.runs);
        for (id, run) in runs {
            if let Some(proc) = self.agents.get_mut(&host) {
                proc.agent.finish(now, &run.handover, None);
            }
            if let Some(engine) = self.engines.get_mut(&host) {
                engine.runs.remove(&id);
                // Requests in transit to the engine cannot be cancelled.
            }
            self.check.cut += 1;
            if self.calm {
                self.check.breach("planned stop", format!("{} was cut off", id.request));
            }
            let refusal = Refusal::new(ErrorKind::ContactLost, Ran::Unknown, "the group ended");
            self.send(node, run.entry, Msg::Refused { id, refusal, leader: None });
        }
    }

    pub(super) fn engine_order(&mut self, host: HostId, number: u64, fence: Fence) {
        let Some(engine) = self.engines.get(&host) else {
            return;
        };
        let incarnation = engine.incarnation;
        let refused = engine.checks_fences && fence < engine.fence;
        let duration_ms = self.rng.random_range(10..ENGINE_ORDER_MAX_MS);
        if !refused && let Some(engine) = self.engines.get_mut(&host) {
            engine.fence = engine.fence.max(fence);
        }
        let done = Event::OrderDone { host, incarnation, number, done: !refused };
        self.queue.push(self.now + duration_ms, done);
    }

    pub(super) fn order_done(&mut self, host: HostId, incarnation: u64, number: u64, done: bool) {
        if self.engines.get(&host).is_none_or(|e| e.incarnation != incarnation) {
            return;
        }
        let now = self.clock(Node::Agent(host));
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let commands = proc.agent.order_done(now, number, done);
        self.execute_commands(host, commands);
    }

    /// Applies the broken variants that change the agents' messages.
    pub(super) fn apply_message_defect(&self, msg: LeaseMsg) -> LeaseMsg {
        match (self.broken, msg) {
            (Broken::HidesLeaving, LeaseMsg::Grant { epoch, view, seq, ready, .. }) => {
                LeaseMsg::Grant { epoch, view, seq, ready, leaving: false }
            }
            (_, msg) => msg,
        }
    }

    /// Notifies a host's agent, on behalf of the platform, that the host is to leave.
    pub(super) fn announce_leaving(&mut self, host: HostId) {
        let Some(proc) = self.agents.get_mut(&host) else {
            return;
        };
        let commands = proc.agent.leave();
        self.check.leaving.insert(host, self.now);
        self.execute_commands(host, commands);
    }

    /// Publishes templates of both partners at once, and lets each partner try to change the
    /// other's template.
    pub(super) fn publish_concurrently(&mut self) {
        let replicas = self.rng.random_range(1..=3);
        let spares = self.rng.random_range(0..=1);
        let version = self.rng.random_range(1..=2);
        for (partner, model) in [("saffah", "assistant"), ("sahel", "rehearsal")] {
            let mut template = super::world::model_template(partner, model, spares, replicas, 4);
            template.version = super::world::name(if version == 1 { "1" } else { "2" });
            self.publish(template.clone());
            // The other partner's operators try to change the template. Every reader must ignore
            // that.
            let other = if partner == "saffah" { "sahel" } else { "saffah" };
            template.replicas = 0;
            let body = Body::PublishTemplate { template, edits: None };
            self.operator(Author::Partner(super::world::name(other)), body);
        }
    }
}

/// Returns whether the host runs the plain service.
pub fn is_service(host: HostId) -> bool {
    host.0 >= super::world::MODEL_HOSTS
}
