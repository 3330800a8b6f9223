//! Simulated replica groups that read and write in passes, and gateways that receive the counts of
//! each other's requests with a delay.

use std::collections::{BTreeMap, HashMap, VecDeque};

use oliveworks_gateway_core::admission::{Admission, AdmissionConfig, AdmissionRequest};
use oliveworks_gateway_core::balance::{Balance, Candidate, Load, Target};
use oliveworks_gateway_core::demand::{ModelDemand, ModelKey, RequestCounts};
use oliveworks_gateway_core::fan_out::Source;
use oliveworks_gateway_core::returning::Waits;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load::Arrival;

pub const SLOTS: u32 = 48;
const FULL_AT: f64 = 1.0;
/// Time that callers name as their deadline, less up to 15 %, in ms.
const DEADLINE_MS: f64 = 5_000.0;
/// Minimum time that a refused caller waits before its retry, in ms.
const MIN_RETURN_MS: u64 = 1_300;
/// Maximum time that a request waits for a slot, in percent of the goal, and interval between two
/// attempts to place the request, in ms.
const MAX_WAIT_PERCENT: u64 = 22;
const RETRY_INTERVAL_MS: u64 = 15;
/// Interval between two heartbeats of a gateway, and the delay of heartbeats between gateways of
/// different blocks of `GATEWAYS_PER_DOMAIN`, in ms.
const HEARTBEAT_MS: u64 = 100;
const REMOTE_DELAY_MS: u64 = 100;
/// Number of consecutive gateways whose heartbeats reach each other without `REMOTE_DELAY_MS`. Only
/// the delays depend on this number; the sources of counts depend on [`Domains::of_gateways`].
const GATEWAYS_PER_DOMAIN: usize = 5;
const STRIDE: f64 = 7.0;
const CHUNK: u32 = 2_048;

/// Speed of the groups of a model, and the goal of its callers.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Number of groups of the model.
    pub heads: usize,
    pub step_ms: f64,
    pub per_sequence_ms: f64,
    pub read_per_ms: f64,
    /// Time within which the first event of a stream must arrive, and maximum pause between two
    /// events, in ms.
    pub goal_ms: u64,
}

/// Final result of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerResult {
    InTime,
    Late,
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    arrival: Arrival,
    /// Time from the first attempt to the deadline of the caller, in ms.
    deadline_ms: u64,
    /// Whether a gateway classified the caller as returning.
    came_back: bool,
    /// Longest time to the first event or between two events, in ms.
    longest_ms: u64,
}

/// Request at the head of a group.
struct Stream {
    caller: usize,
    unread: u32,
    remaining_events: u32,
    has_begun: bool,
    last_event_at: u64,
}

/// Head of a replica group.
#[derive(Default)]
struct Head {
    queue: VecDeque<Stream>,
    running: Vec<Stream>,
    pass_ends: Option<u64>,
}

struct Gateway {
    balance: Balance,
    admission: Admission,
    demand: ModelDemand,
    waits: Waits,
    /// Requests that wait for a slot: caller, and start of the wait.
    waiting: Vec<(usize, u64)>,
}

/// Failure domains of gateways and heads.
#[derive(Clone, Debug)]
pub struct Domains {
    pub of_gateways: Vec<usize>,
    pub of_heads: Vec<usize>,
}

/// Counts in flight between two gateways: time of receipt, receiver, sender, loads and request
/// counts.
type CountsInFlight = (u64, usize, usize, HashMap<Target, Load>, HashMap<ModelKey, RequestCounts>);

pub struct World {
    rng: ChaCha8Rng,
    model: Model,
    now: u64,
    callers: Vec<Caller>,
    scheduled_arrivals: BTreeMap<u64, Vec<usize>>,
    gateways: Vec<Gateway>,
    heads: Vec<Head>,
    in_flight: Vec<CountsInFlight>,
    domains: Domains,
    /// Number of requests that were sent, and the number of these requests that stayed in their
    /// failure domain.
    pub sent: usize,
    pub sent_locally: usize,
    pub results: Vec<Option<CallerResult>>,
    /// Maximum number of tokens that a head read in one pass.
    pub max_read: u32,
    /// Maximum number of requests that waited at a head for a slot.
    pub max_queued: usize,
}

impl World {
    pub fn new(
        seed: u64,
        arrivals: &[Arrival],
        gateways: usize,
        model: Model,
        config: AdmissionConfig,
    ) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateway = |index: usize| Gateway {
            balance: Balance::default(),
            admission: Admission::new(config, index as u64 + 1),
            demand: ModelDemand::default(),
            waits: Waits::default(),
            waiting: Vec::new(),
        };
        let mut scheduled_arrivals: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (caller, arrival) in arrivals.iter().enumerate() {
            scheduled_arrivals.entry(arrival.at_ms).or_default().push(caller);
        }
        let callers = arrivals.iter().map(|arrival| Caller {
            arrival: Arrival { gateway: arrival.gateway % gateways, ..*arrival },
            deadline_ms: (DEADLINE_MS * rng.random_range(0.85..1.0)) as u64,
            came_back: false,
            longest_ms: 0,
        });
        let callers = callers.collect();
        World {
            rng,
            model,
            now: 0,
            callers,
            scheduled_arrivals,
            gateways: (0..gateways).map(gateway).collect(),
            heads: (0..model.heads).map(|_| Head::default()).collect(),
            in_flight: Vec::new(),
            domains: Domains {
                of_gateways: vec![0; gateways],
                of_heads: (0..model.heads).map(|head| head % 3).collect(),
            },
            sent: 0,
            sent_locally: 0,
            results: vec![None; arrivals.len()],
            max_read: 0,
            max_queued: 0,
        }
    }

    /// Sets the failure domains of gateways and heads. By default, all gateways are in one domain
    /// with a third of the heads.
    pub fn with_domains(mut self, domains: Domains) -> World {
        self.domains = domains;
        self
    }

    /// Runs until every caller has a final result.
    pub fn run(&mut self) {
        while self.results.iter().any(Option::is_none) {
            self.now += 1;
            assert!(self.now < 60_000, "a caller has no result after 60 s");
            self.receive_counts();
            self.send_counts();
            self.receive_requests();
            for gateway in 0..self.gateways.len() {
                self.place_waiting(gateway);
            }
            for head in 0..self.heads.len() {
                self.pass(head);
            }
        }
    }

    /// Returns the fraction of callers served in time, among the callers whose first attempt falls
    /// within a time range.
    pub fn in_time(&self, from_ms: u64, to_ms: u64) -> f64 {
        let within = |caller: &Caller| (from_ms..to_ms).contains(&caller.arrival.at_ms);
        let results = self.callers.iter().zip(&self.results).filter(|(caller, _)| within(caller));
        let (all, good) = results.fold((0, 0), |(all, good), (_, result)| {
            (all + 1, good + usize::from(*result == Some(CallerResult::InTime)))
        });
        good as f64 / f64::from(all.max(1))
    }

    fn key() -> ModelKey {
        ModelKey::of("lm", "small")
    }

    fn candidates(&self, gateway: usize) -> Vec<Candidate> {
        let candidate = |head: usize| Candidate {
            target: Target(head as u64),
            slots: SLOTS,
            is_local: self.domains.of_heads[head] == self.domains.of_gateways[gateway],
            open_ms: 1.0,
            token_ms: 1.0 / self.model.read_per_ms,
        };
        (0..self.heads.len()).map(candidate).collect()
    }

    fn send_counts(&mut self) {
        for from in 0..self.gateways.len() {
            if !(self.now + from as u64 * 7).is_multiple_of(HEARTBEAT_MS) {
                continue;
            }
            let gateway = &self.gateways[from];
            let open: HashMap<Target, Load> = gateway.balance.own_open().collect();
            let counts: HashMap<ModelKey, RequestCounts> =
                gateway.demand.own_counts(self.now).collect();
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                let delay_ms = if to / GATEWAYS_PER_DOMAIN == from / GATEWAYS_PER_DOMAIN {
                    1
                } else {
                    REMOTE_DELAY_MS
                };
                self.in_flight.push((self.now + delay_ms, to, from, open.clone(), counts.clone()));
            }
        }
    }

    fn receive_counts(&mut self) {
        let now = self.now;
        for (_, to, from, open, counts) in self.in_flight.extract_if(.., |(at, ..)| *at <= now) {
            let gateway = &mut self.gateways[to];
            // The counts of each gateway of another failure domain represent the counts of a part
            // of that domain.
            let source = match self.domains.of_gateways[from] == self.domains.of_gateways[to] {
                true => Source::Gateway(from as u64),
                false => Source::FailureDomain(from as u64),
            };
            gateway.balance.record_peer_load(now, source, open);
            gateway.demand.record_peer(now, source, counts);
        }
    }

    fn receive_requests(&mut self) {
        for caller in self.scheduled_arrivals.remove(&self.now).unwrap_or_default() {
            let found = &mut self.callers[caller];
            let gateway = &mut self.gateways[found.arrival.gateway];
            let left_ms = found.deadline_ms - (self.now - found.arrival.at_ms);
            found.came_back = gateway.waits.came_back("route", left_ms as u32);
            gateway.waiting.push((caller, self.now));
        }
    }

    fn place_waiting(&mut self, index: usize) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.gateways[index].waiting);
        for (caller, since) in waiting {
            if !(now - since).is_multiple_of(RETRY_INTERVAL_MS) {
                self.gateways[index].waiting.push((caller, since));
                continue;
            }
            if self.place(index, caller) {
                self.gateways[index].demand.record_request(now, World::key(), false);
            } else if (now - since) * 100 >= self.model.goal_ms * MAX_WAIT_PERCENT {
                self.gateways[index].demand.record_request(now, World::key(), true);
                self.refuse(caller);
            } else {
                self.gateways[index].waiting.push((caller, since));
            }
        }
    }

    /// Sends a request to a head if admission allows it. Returns whether the request was sent.
    fn place(&mut self, index: usize, caller: usize) -> bool {
        let now = self.now;
        let Caller { arrival, came_back, .. } = self.callers[caller];
        let mut candidates = self.candidates(index);
        let draw: u64 = self.rng.random();
        let gateway = &mut self.gateways[index];
        let callers = gateway.demand.caller_share(now, World::key());
        let usage = gateway.balance.usage_by_locality(now, &candidates);
        let parts = usage.capacity_shares(&callers);
        let spills = usage.spills(&callers, draw);
        let full_at = gateway.admission.full_at(FULL_AT, came_back);
        let admission_request = AdmissionRequest {
            tokens: arrival.tokens,
            full_at,
            goal_ms: self.model.goal_ms,
            capacity_shares: parts,
        };
        gateway.admission.admit(now, &gateway.balance, &admission_request, &mut candidates);
        let chosen = match spills {
            true => gateway.balance.choose(now, &candidates, &[], full_at, draw),
            false => gateway.balance.choose_local(now, &candidates, &[], full_at, draw),
        };
        let Ok(target) = chosen else { return false };
        gateway.balance.started(now, target, arrival.tokens);
        gateway.admission.started(now, target);
        let local = self.domains.of_heads[target.0 as usize] == self.domains.of_gateways[index];
        self.sent += 1;
        self.sent_locally += usize::from(local);
        let head = &mut self.heads[target.0 as usize];
        let (unread, remaining_events) = (arrival.tokens, arrival.events);
        head.queue.push_back(Stream {
            caller,
            unread,
            remaining_events,
            has_begun: false,
            last_event_at: arrival.at_ms,
        });
        true
    }

    /// Refuses a request. The caller retries once: after its retry, at least `MIN_RETURN_MS` have
    /// passed since its first attempt.
    fn refuse(&mut self, caller: usize) {
        let elapsed_ms = self.now - self.callers[caller].arrival.at_ms;
        if elapsed_ms >= MIN_RETURN_MS {
            self.results[caller] = Some(CallerResult::Refused);
            return;
        }
        let pause_ms = self.rng.random_range(MIN_RETURN_MS..MIN_RETURN_MS * 2);
        let gateways = self.gateways.len();
        self.callers[caller].arrival.gateway = self.rng.random_range(0..gateways);
        self.scheduled_arrivals.entry(self.now + pause_ms).or_default().push(caller);
    }

    fn pass(&mut self, index: usize) {
        if self.heads[index].pass_ends.is_some_and(|at| self.now < at) {
            return;
        }
        if self.heads[index].pass_ends.take().is_some() {
            self.deliver(index);
        }
        self.begin_pass(index);
    }

    /// Delivers the events of a pass that has ended.
    fn deliver(&mut self, index: usize) {
        let now = self.now;
        let head = &mut self.heads[index];
        for stream in head.running.iter_mut().filter(|stream| stream.unread == 0) {
            let target = Target(index as u64);
            let caller = &mut self.callers[stream.caller];
            let gateway = &mut self.gateways[caller.arrival.gateway];
            if !std::mem::replace(&mut stream.has_begun, true) {
                gateway.balance.began(target, caller.arrival.tokens);
            }
            caller.longest_ms = caller.longest_ms.max(now - stream.last_event_at);
            stream.last_event_at = now;
            stream.remaining_events -= 1;
            if stream.remaining_events == 0 {
                gateway.balance.ended(now, target, caller.arrival.tokens, true, false);
                let late = caller.longest_ms > self.model.goal_ms;
                self.results[stream.caller] =
                    Some(if late { CallerResult::Late } else { CallerResult::InTime });
            }
        }
        head.running.retain(|stream| stream.remaining_events > 0);
    }

    fn begin_pass(&mut self, index: usize) {
        let head = &mut self.heads[index];
        while head.running.len() < SLOTS as usize
            && let Some(stream) = head.queue.pop_front()
        {
            head.running.push(stream);
        }
        self.max_queued = self.max_queued.max(head.queue.len());
        if head.running.is_empty() {
            return;
        }
        let writing = head.running.iter().filter(|stream| stream.unread == 0).count();
        let mut may_read = STRIDE as u32 * CHUNK;
        for stream in &mut head.running {
            let read = stream.unread.min(may_read);
            stream.unread -= read;
            may_read -= read;
        }
        let read = STRIDE as u32 * CHUNK - may_read;
        self.max_read = self.max_read.max(read);
        let steps_ms = STRIDE * (self.model.step_ms + self.model.per_sequence_ms * writing as f64);
        let pass_ms = steps_ms + f64::from(read) / self.model.read_per_ms;
        head.pass_ends = Some(self.now + pass_ms.ceil() as u64);
    }
}
