//! Entries and callers of a proof run.

use oliveworks_core::answer::{AttemptId, PieceAction};
use oliveworks_core::error::Ran;
use oliveworks_core::fleet::ListedHost;
use oliveworks_core::id::{Epoch, HostId, Millis, Offset, RecordId, RequestId};
use oliveworks_core::ledger::{Handover, Key};
use oliveworks_core::pool::{GroupState, Snapshot};
use oliveworks_core::relay::{Next, Relay, RequestTerms};
use oliveworks_core::route;
use oliveworks_core::template::Kind;
use rand::{Rng, RngExt};
use std::rc::Rc;

use super::Broken;
use super::agents::is_service;
use super::net::{Event, Msg, Node};
use super::world::{
    ENTRIES, KEY_REUSE_MS, MODEL_HOSTS, OutstandingRequest, RetryableKey, SERVICE_HOSTS, TICK_MS,
    World,
};

/// Time without a message from the agent after which an attempt counts as lost, in milliseconds.
const LOST_MS: u64 = 1_500;
/// Number of records between two snapshots that an entry stores in the log.
const SNAPSHOT_EVERY: u64 = 8;

impl World {
    pub(super) fn entry_tick(&mut self, entry: usize) {
        let node = Node::Entry(entry);
        let now = self.clock(node);
        if !self.entries.contains_key(&entry) {
            return;
        }
        if self.rng.random_range(0..3) == 0 {
            self.request_records(node);
        }
        if self.rng.random_range(0..3) == 0 {
            for host in (0..MODEL_HOSTS + SERVICE_HOSTS).map(HostId) {
                self.send(node, Node::Agent(host), Msg::Probe);
            }
        }
        self.decide(entry, now);
        self.store_snapshot(entry);
        self.advance_requests(entry, now);
        self.queue.push(self.now + TICK_MS, Event::Tick(node));
    }

    fn decide(&mut self, entry: usize, now: Millis) {
        let mut ids: Vec<RecordId> = (0..8).map(|_| RecordId(self.random_u128())).collect();
        let all_first = self.faults.two_deciders;
        let Some(proc) = self.entries.get_mut(&entry) else {
            return;
        };
        if all_first {
            proc.decider.set_rank(0);
        }
        let draw = || ids.pop().unwrap_or(RecordId(u128::from(now.0)));
        let mut records = proc.decider.tick(now, &proc.reader.pool, draw);
        records.truncate(8);
        for record in records {
            self.send(Node::Entry(entry), Node::Log, Msg::Append(Rc::new(record)));
        }
    }

    fn store_snapshot(&mut self, entry: usize) {
        let Some(proc) = self.entries.get_mut(&entry) else {
            return;
        };
        if proc.reader.pool.next().0 < proc.snapshot_end.0 + SNAPSHOT_EVERY {
            return;
        }
        proc.snapshot_end = proc.reader.pool.next();
        let snapshot = Rc::new(Snapshot::of(&proc.reader.pool));
        self.send(Node::Entry(entry), Node::Log, Msg::StoreSnapshot(snapshot));
    }

    fn advance_requests(&mut self, entry: usize, now: Millis) {
        let Some(proc) = self.entries.get_mut(&entry) else {
            return;
        };
        let ids: Vec<RequestId> = proc.outstanding.keys().copied().collect();
        for id in ids {
            let Some(request) =
                self.entries.get_mut(&entry).and_then(|p| p.outstanding.get_mut(&id))
            else {
                continue;
            };
            let next = if now >= request.deadline {
                request.relay.deadline(request.current.is_some())
            } else if request.current.is_none() {
                Next::Send
            } else if now < request.lost_at {
                Next::Wait
            } else if request.revoking {
                request.relay.revoked(now, None, true)
            } else {
                request.relay.failed(now, "the agent did not answer in time", true)
            };
            self.apply_decision(entry, id, next);
        }
    }

    /// Executes a relay's decision.
    fn apply_decision(&mut self, entry: usize, id: RequestId, next: Next) {
        match next {
            Next::Wait => {}
            Next::Send => self.send_attempt(entry, id),
            Next::Revoke => self.send_revocation(entry, id),
            Next::Answered => {
                let request = self.entries.get_mut(&entry).and_then(|p| p.outstanding.remove(&id));
                if let Some(request) = request {
                    self.check.record_complete_answer(id, request.total);
                }
            }
            Next::Refuse(refusal) => {
                let request = self.entries.get_mut(&entry).and_then(|p| p.outstanding.remove(&id));
                self.check.delivered.remove(&id);
                match refusal.ran {
                    Ran::No => self.check.record_not_run(id),
                    _ => self.check.unknown += 1,
                }
                let retryable = request.and_then(|o| {
                    o.key.map(|key| RetryableKey { id, key, first_used: o.first_used })
                });
                self.retryable_keys.extend(retryable);
            }
        }
    }

    fn send_revocation(&mut self, entry: usize, id: RequestId) {
        let node = Node::Entry(entry);
        let now = self.clock(node);
        let Some(request) = self.entries.get_mut(&entry).and_then(|p| p.outstanding.get_mut(&id))
        else {
            return;
        };
        request.revoking = true;
        request.lost_at = now.plus(LOST_MS);
        let Some((current, host, handover)) = request.current else {
            return;
        };
        self.send(node, Node::Agent(host), Msg::Revoke { id: current, handover });
    }

    /// Chooses a group and sends the request to its leader.
    fn send_attempt(&mut self, entry: usize, id: RequestId) {
        let node = Node::Entry(entry);
        let now = self.clock(node);
        let attempt = self.rng.next_u64();
        let random_index = self.rng.random_range(0..1000);
        let Some(proc) = self.entries.get_mut(&entry) else {
            return;
        };
        let Some(request) = proc.outstanding.get_mut(&id) else {
            return;
        };
        request.revoking = false;
        let pool = &proc.reader.pool;
        let has_kind = |kind: Kind, epoch: Epoch| {
            let group = pool.group(epoch);
            let template = group.and_then(|g| pool.template(&g.slot.template));
            template.is_some_and(|p| p.template.kind == kind)
        };
        let active: Vec<Epoch> = pool
            .groups()
            .filter(|g| g.state == GroupState::Active && has_kind(request.kind, g.epoch))
            .map(|g| g.epoch)
            .collect();
        let chosen = match &mut request.key {
            Some(key) => home_of(pool, id).map(|(epoch, homes_at)| {
                key.homes_at = homes_at;
                epoch
            }),
            None => {
                let untried: Vec<&Epoch> =
                    active.iter().filter(|e| !request.relay.tried().contains(e)).collect();
                untried.get(random_index % untried.len().max(1)).map(|e| **e)
            }
        };
        let host = chosen.and_then(|epoch| {
            let first = pool.group(epoch)?.ranked.first().copied();
            proc.leaders.get(&epoch).copied().or(first)
        });
        let target = host.and_then(|h| proc.agents.get(&h).map(|a| (h, *a)));
        let (Some(epoch), Some((host, (incarnation, clock, heard)))) = (chosen, target) else {
            let next = request.relay.no_group();
            return self.apply_decision(entry, id, next);
        };
        let time_left = request.deadline.since(now).min(LOST_MS * 2);
        let not_after = clock.plus(now.since(heard) + time_left);
        let handover = Handover { id, attempt, incarnation, not_after, key: request.key };
        let current = request.relay.sent(epoch, attempt);
        request.current = Some((current, host, handover));
        request.lost_at = now.plus(LOST_MS);
        let (from, total) = (request.relay.passed(), request.total);
        self.send(node, Node::Agent(host), Msg::Run { id: current, epoch, handover, from, total });
    }

    pub(super) fn entry_receive(&mut self, entry: usize, from: Node, msg: Msg) {
        let now = self.clock(Node::Entry(entry));
        let Some(proc) = self.entries.get_mut(&entry) else {
            return;
        };
        match msg {
            Msg::Hello { incarnation, clock, leads } => {
                let Node::Agent(host) = from else { return };
                proc.agents.insert(host, (incarnation, clock, now));
                if let Some(epoch) = leads {
                    proc.leaders.insert(epoch, host);
                }
            }
            Msg::Report(report) => proc.decider.report(now, report),
            Msg::FeedRequest { from: offset, number } => {
                self.answer_feed_request(entry, from, offset.0, number)
            }
            Msg::FeedResponse { .. } => {
                self.apply_feed_response(Node::Entry(entry), from, msg);
            }
            Msg::Piece { id, number, content } => self.entry_piece(entry, id, number, content),
            Msg::End { id, pieces } => {
                let next = self.apply_to_current(entry, id, |request| {
                    request.relay.end(now, id, pieces, true)
                });
                self.apply_decision(entry, id.request, next);
            }
            Msg::Refused { id, refusal, leader } => {
                let next = self.apply_to_current(entry, id, |request| {
                    request.relay.refused(now, refusal, leader.is_some(), true)
                });
                self.apply_decision(entry, id.request, next);
            }
            Msg::Revoked { id, outcome } => {
                let next = self.apply_to_current(entry, id, |request| match request.revoking {
                    true => request.relay.revoked(now, Some(outcome), true),
                    false => Next::Wait,
                });
                self.apply_decision(entry, id.request, next);
            }
            _ => {}
        }
    }

    /// Applies a message about an attempt. Ignores the message unless the attempt is the current
    /// one of an outstanding request.
    fn apply_to_current(
        &mut self,
        entry: usize,
        id: AttemptId,
        apply: impl FnOnce(&mut OutstandingRequest) -> Next,
    ) -> Next {
        let proc = self.entries.get_mut(&entry);
        let request = proc.and_then(|p| p.outstanding.get_mut(&id.request));
        match request {
            Some(request) if request.current.is_some_and(|(c, _, _)| c == id) => apply(request),
            _ => Next::Wait,
        }
    }

    fn entry_piece(&mut self, entry: usize, id: AttemptId, number: u64, content: u64) {
        let now = self.clock(Node::Entry(entry));
        let mixes = self.broken == Broken::MixesTries;
        let proc = self.entries.get_mut(&entry);
        let Some(request) = proc.and_then(|p| p.outstanding.get_mut(&id.request)) else {
            return;
        };
        if request.current.is_some() {
            request.lost_at = now.plus(LOST_MS);
        }
        let mut action = request.relay.piece(id, number);
        if mixes && action != PieceAction::Pass {
            action = PieceAction::Pass;
        }
        match action {
            PieceAction::Pass => self.check.delivered.entry(id.request).or_default().push(content),
            PieceAction::Drop => {}
            PieceAction::Gap => {
                let next = request.relay.failed(now, "a piece of the answer is missing", true);
                self.apply_decision(entry, id.request, next);
            }
        }
    }

    fn answer_feed_request(&mut self, entry: usize, to: Node, offset: u64, number: u64) {
        let now = self.clock(Node::Entry(entry));
        let claims_current = self.broken == Broken::ClaimsCurrent;
        let Some(proc) = self.entries.get(&entry) else {
            return;
        };
        let reader = &proc.reader;
        let first = reader.tail.front().map_or(reader.pool.next(), |(o, _)| *o);
        let snapshot = (offset < first.0).then(|| Rc::new(Snapshot::of(&reader.pool)));
        let records = match snapshot {
            Some(_) => Vec::new(),
            None => reader.tail.iter().filter(|(o, _)| o.0 >= offset).cloned().collect(),
        };
        let age_ms = if claims_current { Some(0) } else { reader.feed.age_ms(now) };
        let next = reader.pool.next();
        let answer = Msg::FeedResponse { number, snapshot, records, next, age_ms };
        self.send(Node::Entry(entry), to, answer);
    }

    /// Sends a caller's request, new or retried with its key, to a random entry.
    pub(super) fn start_caller_request(&mut self) {
        let gap = self.rng.random_range(20..300);
        self.queue.push(self.now + gap, Event::RequestArrival);
        let entry = self.rng.random_range(0..ENTRIES);
        if !self.entries.contains_key(&entry) || self.paused.contains_key(&Node::Entry(entry)) {
            return;
        }
        let now = self.clock(Node::Entry(entry));
        let service = self.rng.random_range(0..3) == 0;
        let is_retry =
            service && !self.retryable_keys.is_empty() && self.rng.random_range(0..2) == 0;
        let mut total = self.rng.random_range(1..12);
        let (id, key, first_used) = if is_retry {
            let at = self.rng.random_range(0..self.retryable_keys.len());
            let retried = self.retryable_keys.swap_remove(at);
            if self.now > retried.first_used + KEY_REUSE_MS {
                return;
            }
            (retried.id, Some(retried.key), retried.first_used)
        } else {
            let id = RequestId(self.random_u128());
            let born_ms = (self.rng.random_range(0..4) > 0).then_some(self.now);
            let keyed = service && self.rng.random_range(0..2) == 0;
            (id, keyed.then_some(Key { born_ms, homes_at: Offset(0), digest: 7 }), self.now)
        };
        if service {
            total = 1;
        }
        let repeatable = !service || self.broken == Broken::RepeatsAll;
        let deadline = now.plus(self.rng.random_range(2_000..8_000));
        let terms = RequestTerms { repeatable, has_key: key.is_some(), deadline, max_attempts: 4 };
        let request = OutstandingRequest {
            relay: Relay::new(id, terms),
            kind: if service { Kind::Service } else { Kind::Model },
            total,
            deadline,
            key,
            first_used,
            current: None,
            lost_at: now,
            revoking: false,
        };
        let Some(proc) = self.entries.get_mut(&entry) else {
            return;
        };
        if proc.outstanding.contains_key(&id) {
            return;
        }
        self.check.delivered.remove(&id);
        proc.outstanding.insert(id, request);
        self.send_attempt(entry, id);
    }

    /// Refreshes the platform's host list unless it is stuck, and passes it to every entry that is
    /// not paused. Runs every second, so the list lags behind the hosts.
    pub(super) fn update_host_list(&mut self) {
        self.queue.push(self.now + 1_000, Event::ReadHostList);
        if !self.list_stuck {
            self.host_list = self.true_list();
        }
        let list = self.host_list.clone();
        for entry in 0..ENTRIES {
            let now = self.clock(Node::Entry(entry));
            if self.paused.contains_key(&Node::Entry(entry)) {
                continue;
            }
            if let Some(proc) = self.entries.get_mut(&entry) {
                proc.decider.update_list(now, &list);
            }
        }
    }

    fn true_list(&self) -> Vec<ListedHost> {
        let hosts = self
            .engines
            .iter()
            .filter(|(h, e)| e.incarnation > 0 && !self.omitted_hosts.contains(h));
        hosts
            .map(|(host, _)| ListedHost {
                host: *host,
                domain: World::domain(*host),
                address: ([127, 0, 0, 1], 7000).into(),
                leaving: self.check.leaving.contains_key(host),
                service: is_service(*host).then(|| "booking".to_owned()),
                weights: None,
            })
            .collect()
    }
}

/// Returns the active group that is the home of a key, and the offset at which homes were last
/// reassigned. Returns `None` if the key's slot has no active group.
fn home_of(pool: &oliveworks_core::pool::Pool, id: RequestId) -> Option<(Epoch, Offset)> {
    let published = pool.templates().find(|p| p.template.kind == Kind::Service)?;
    let index = route::home_replica(id.0, published.template.replicas);
    let slot = oliveworks_core::template::SlotId { template: published.template.key(), index };
    let active = |g: &&oliveworks_core::pool::Group| g.state == GroupState::Active;
    pool.groups_in(&slot).filter(active).last().map(|g| (g.epoch, published.homes_at))
}
