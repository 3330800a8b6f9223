//! Simulated gateways, their calls to the store and to each other, and injected faults.

mod calls;

use std::collections::{BTreeMap, BTreeSet};

use oliveworks_gateway_core::election::{Claim, Heartbeat};
use oliveworks_gateway_core::position::Position;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gateway::{Gateway, Peer, TOPICS, Topic};
use crate::judge::Judge;
use crate::messages::{Call, ClaimCall, Order};
use crate::platform::{ClaimRecord, HOSTS, Platform};

const TICK_MS: u64 = 10;
const GATEWAYS: usize = 5;
const HEARTBEAT_MS: u64 = 100;
/// Timeout of a call, in ms.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Interval between two orders of a leader, in ms.
const ORDER_INTERVAL_MS: u64 = 300;

/// Fault that a run contains on purpose, to verify that its checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Sound,
    /// All positions belong to the same era.
    OffsetsWithoutEras,
    /// Any read of a copy proves freshness, even if other gateways know a newer version.
    CopiesProve,
    /// A read of a copy proves freshness if no gateway is known to hold a newer version.
    CopiesProveToAll,
    /// A starting gateway reads the store without asking other gateways.
    StartsFromStore,
    /// A drain missing from a read of all newest records counts as ended.
    CopiesEndDrains,
    /// A gone host counts as returned if a read of all newest records contains it.
    CopiesListHosts,
    /// A host missing from a read of all newest records counts as gone.
    CopiesDropHosts,
}

/// Faults in a run, in addition to those of single gateways and of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommonFaults {
    None,
    /// From time to time all gateways are killed as the store fails, or the store rejects all of
    /// them until it is restored.
    OfAllGateways,
}

/// Probability of a common fault per tick: one in six seconds.
const COMMON_FAULT_PROBABILITY: f64 = 1.0 / 600.0;

/// A simulated gateway with its faults and calls. `gateway` is replaced at each restart.
pub struct Node {
    pub gateway: Gateway,
    pub incarnation: u64,
    pub down_until: Option<u64>,
    pub paused_until: Option<u64>,
    /// Time until which the gateway is partitioned from all other gateways.
    pub isolated_until: Option<u64>,
    /// Time until which the gateway does not reach the store.
    pub store_unreachable_until: Option<u64>,
    /// Latest time at which the gateway had a fault of any kind.
    pub last_fault_at: u64,
    calls: BTreeMap<Topic, Call>,
    next_call_at: BTreeMap<Topic, u64>,
    claim: Option<ClaimCall>,
    next_heartbeat_at: u64,
    next_order_at: u64,
}

impl Node {
    pub fn is_running(&self) -> bool {
        self.down_until.is_none() && self.paused_until.is_none()
    }

    pub fn is_reachable(&self) -> bool {
        self.is_running() && self.isolated_until.is_none()
    }
}

pub struct World {
    pub now: u64,
    pub platform: Platform,
    pub nodes: Vec<Node>,
    pub accepted_checks: u64,
    pub claims: u64,
    rng: ChaCha8Rng,
    /// Random numbers of the common faults, which leave those of other runs as they are.
    common_faults: Option<ChaCha8Rng>,
    variant: Variant,
    orders: Vec<Order>,
    /// Incarnations whose orders a host accepted, by fence.
    pub accepted_orders: BTreeMap<u64, BTreeSet<u64>>,
    judge: Judge,
}

impl World {
    pub fn new(seed: u64, variant: Variant, common_faults: CommonFaults) -> World {
        let node = |index| Node {
            gateway: Gateway::new(index, 0, 1 + index as u64, variant),
            incarnation: 1 + index as u64,
            down_until: None,
            paused_until: None,
            isolated_until: None,
            store_unreachable_until: None,
            last_fault_at: 0,
            calls: BTreeMap::new(),
            next_call_at: BTreeMap::new(),
            claim: None,
            next_heartbeat_at: 0,
            next_order_at: 0,
        };
        World {
            now: 0,
            platform: Platform::new(),
            nodes: (0..GATEWAYS).map(node).collect(),
            accepted_checks: 0,
            claims: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            common_faults: (common_faults == CommonFaults::OfAllGateways)
                .then(|| ChaCha8Rng::seed_from_u64(seed)),
            variant,
            orders: Vec::new(),
            accepted_orders: BTreeMap::new(),
            judge: Judge::default(),
        }
    }

    pub fn breaches(&self) -> Vec<String> {
        self.judge.breaches.clone()
    }

    pub fn step(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        self.platform.step(now, &mut self.rng);
        self.change_faults();
        self.change_common_faults();
        for index in 0..self.nodes.len() {
            self.deliver_calls(index);
            if self.nodes[index].is_running() {
                self.step_node(index);
            }
        }
        self.deliver_orders();
        let mut judge = std::mem::take(&mut self.judge);
        judge.check(self);
        self.judge = judge;
    }

    fn change_faults(&mut self) {
        let now = self.now;
        for index in 0..self.nodes.len() {
            let end = now + self.rng.random_range(300..4_000);
            let kind = if self.rng.random_bool(0.001) { self.rng.random_range(0..5) } else { 9 };
            let node = &mut self.nodes[index];
            if node.down_until.take_if(|at| now >= *at).is_some() {
                node.incarnation += GATEWAYS as u64;
                node.gateway = Gateway::new(index, now, node.incarnation, self.variant);
                node.calls.clear();
                node.claim = None;
            }
            node.paused_until.take_if(|at| now >= *at);
            node.isolated_until.take_if(|at| now >= *at);
            node.store_unreachable_until.take_if(|at| now >= *at);
            match kind {
                0 | 1 => node.down_until = Some(end),
                2 => node.paused_until = Some(end),
                3 => node.isolated_until = Some(end),
                4 => node.store_unreachable_until = Some(end),
                _ => {}
            }
            let faults = [
                node.down_until,
                node.paused_until,
                node.isolated_until,
                node.store_unreachable_until,
            ];
            if faults.iter().any(Option::is_some) {
                node.last_fault_at = now;
            }
        }
    }

    fn change_common_faults(&mut self) {
        let Some(rng) = &mut self.common_faults else { return };
        if !rng.random_bool(COMMON_FAULT_PROBABILITY) {
            return;
        }
        let now = self.now;
        let restored_at = now + rng.random_range(0..1_500);
        if rng.random_bool(0.5) {
            self.platform.schedule_outage(now, restored_at);
            for node in &mut self.nodes {
                node.down_until = Some(now + rng.random_range(0..2_500));
            }
            return;
        }
        let restored_at = restored_at + 5_000;
        self.platform.schedule_outage(restored_at - 500, restored_at);
        for node in &mut self.nodes {
            node.store_unreachable_until = Some(restored_at);
        }
    }

    fn delay(&mut self) -> u64 {
        match self.rng.random_bool(0.03) {
            true => self.rng.random_range(100..400),
            false => self.rng.random_range(1..15),
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now;
        let draw = self.rng.random_range(0..GATEWAYS);
        let gateway = &mut self.nodes[index].gateway;
        gateway.sweep(now);
        if gateway.waits_for_peers(now) {
            self.send_heartbeat(index);
            return;
        }
        gateway.reread_unconfirmed_drains(now);
        if let Some(holder) =
            gateway.version_source(now, draw).filter(|holder| self.can_reach(index, *holder))
        {
            let held = self.nodes[holder].gateway.version;
            let gateway = &mut self.nodes[index].gateway;
            gateway.version = gateway.version.max(held);
        }
        self.send_heartbeat(index);
        self.stand_for_election(index);
        self.send_orders(index);
        for topic in TOPICS {
            self.receive_answer(index, topic);
            self.call(index, topic);
        }
    }

    fn can_reach(&self, index: usize, other: usize) -> bool {
        self.nodes[index].is_reachable() && self.nodes[other].is_reachable()
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        if now < self.nodes[index].next_heartbeat_at {
            return;
        }
        self.nodes[index].next_heartbeat_at = now + HEARTBEAT_MS;
        let gateway = &mut self.nodes[index].gateway;
        let leader: Option<Heartbeat> = gateway.heartbeat(now);
        let state = Peer {
            heard_at: now,
            is_local: false,
            store_answers: gateway.store_answers,
            reads_store: gateway.reads_store(now),
            proved_at: gateway.freshness.age_ms(now).and_then(|age| now.checked_sub(age)),
            era: gateway.era.era(),
            store_complete_from: gateway.era.known_since().map(|_| gateway.store_complete_from()),
            version: gateway.version,
        };
        for other in 0..self.nodes.len() {
            let arrives =
                other != index && self.rng.random_bool(0.9) && self.can_reach(index, other);
            if arrives {
                let is_local = other % 2 == index % 2;
                self.nodes[other].gateway.observe_heartbeat(
                    now,
                    index,
                    Peer { is_local, ..state },
                    leader,
                );
            }
        }
    }

    /// Returns the era to which a claim is attributed.
    fn era_of(&self, era: u64) -> u64 {
        if self.variant == Variant::OffsetsWithoutEras { 0 } else { era }
    }

    /// Claims leadership when the election is due.
    fn stand_for_election(&mut self, index: usize) {
        let now = self.now;
        self.receive_claim_answer(index);
        let arrives = now + self.delay() + if self.rng.random_bool(0.1) { 3_000 } else { 0 };
        let lower = (0..index).filter(|other| self.nodes[*other].is_reachable()).count() as u64;
        let node = &mut self.nodes[index];
        if node.claim.is_some() || node.gateway.version.is_none() {
            return;
        }
        if let Some(end) = node.gateway.election.claim(now, lower) {
            node.claim = Some(ClaimCall::Request { arrives, sent: now, end });
        }
    }

    fn deliver_claim(&mut self, index: usize) {
        let now = self.now;
        let Some(ClaimCall::Request { arrives, sent, end }) = &self.nodes[index].claim else {
            return;
        };
        if now < *arrives {
            return;
        }
        let (sent, end) = (*sent, *end);
        let reaches =
            !self.platform.is_unavailable() && self.nodes[index].store_unreachable_until.is_none();
        let claims = &mut self.platform.topics.claims;
        let answer = reaches.then(|| {
            let is_at_end = claims.len() as u64 == end.offset;
            if is_at_end {
                claims
                    .push(ClaimRecord { era: end.era.0, claimant: self.nodes[index].incarnation });
                self.claims += 1;
            }
            (self.platform.era, is_at_end.then_some(end.offset))
        });
        let lost = self.rng.random_bool(0.2);
        let arrives = now + self.delay();
        let answer = answer.filter(|_| !lost);
        self.nodes[index].claim = Some(ClaimCall::Response { arrives, sent, end, answer });
    }

    fn receive_claim_answer(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let arrived = |claim: &mut ClaimCall| matches!(claim, ClaimCall::Response { arrives, .. } if *arrives <= now);
        let Some(ClaimCall::Response { sent, end, answer, .. }) = node.claim.take_if(arrived)
        else {
            return;
        };
        let Some((era, offset)) = answer.filter(|_| now <= sent + CALL_TIMEOUT_MS) else { return };
        let gateway = &mut node.gateway;
        let Some(era) = gateway.observe_era(now, sent, era) else { return };
        match offset.filter(|_| era == end.era) {
            None => gateway.election.claim_refused(now),
            Some(offset) => {
                let claim =
                    Claim { place: Position::new(end.era, offset), claimant: node.incarnation };
                gateway.election.read(now, Some(claim), Position::new(end.era, offset + 1));
            }
        }
    }

    /// Sends the order of a leader to a random host. One in ten orders is delayed by 3 s.
    fn send_orders(&mut self, index: usize) {
        let now = self.now;
        let Some(fence) = self.nodes[index].gateway.election.leading_fence() else { return };
        if now < self.nodes[index].next_order_at {
            return;
        }
        self.nodes[index].next_order_at = now + ORDER_INTERVAL_MS;
        let late = if self.rng.random_bool(0.1) { 3_000 } else { 0 };
        let arrives = now + self.delay() + late;
        let host = self.rng.random_range(0..HOSTS);
        let incarnation = self.nodes[index].incarnation;
        self.orders.push(Order { arrives, host, fence, gateway: index, incarnation });
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        for order in self.orders.extract_if(.., |order| now >= order.arrives) {
            let host = self.platform.hosts.get_mut(&order.host).expect("the order names a host");
            if order.fence < host.fence {
                let node = &mut self.nodes[order.gateway];
                if node.incarnation == order.incarnation {
                    node.gateway.election.fenced(order.fence);
                }
                continue;
            }
            host.fence = order.fence;
            self.accepted_orders.entry(order.fence).or_default().insert(order.incarnation);
        }
    }
}
