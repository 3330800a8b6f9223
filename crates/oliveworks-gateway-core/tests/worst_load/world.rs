//! Replica groups that read and write in passes, and gateways that hear of each other's requests late.

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
/// What callers name as the time that they wait, give or take 15 in 100.
const DEADLINE_MS: f64 = 5_000.0;
/// The least that a refused caller waits before it comes back.
const COME_BACK_MS: u64 = 1_300;
/// The part of its goal that a request waits for a place, in hundredths, and the time between two looks.
const PATIENCE_PERCENT: u64 = 22;
const LOOK_MS: u64 = 15;
/// Heartbeats of gateways, and how much older they are when they are heard in another domain.
const BEAT_MS: u64 = 100;
const FAR_MS: u64 = 100;
/// Gateways of a failure domain.
const NEAR: usize = 5;
const STRIDE: f64 = 7.0;
const CHUNK: u32 = 2_048;

/// How a model's groups run, and what its callers expect.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Groups of it.
    pub heads: usize,
    pub step_ms: f64,
    pub per_sequence_ms: f64,
    pub read_per_ms: f64,
    /// The time within which a first event is in time, and the longest pause of a stream that is.
    pub goal_ms: u64,
}

/// What became of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    InTime,
    Late,
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    arrival: Arrival,
    /// The time that it waits in all.
    patience_ms: u64,
    /// Whether a gateway took it for one that has come back.
    came_back: bool,
    /// The longest time to its first event or between two of its events.
    longest_ms: u64,
}

/// A request at the head of a group.
struct Stream {
    caller: usize,
    unread: u32,
    left: u32,
    began: bool,
    heard_at: u64,
}

/// The head of a replica group.
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
    /// Requests that wait for a place: caller, since when.
    waiting: Vec<(usize, u64)>,
}

/// The failure domains of gateways and heads.
#[derive(Clone, Debug)]
pub struct Domains {
    pub of_gateways: Vec<usize>,
    pub of_heads: Vec<usize>,
}

/// Figures of a gateway on their way to another: when they are heard, by whom, from whom.
type Told = (u64, usize, usize, HashMap<Target, Load>, HashMap<ModelKey, RequestCounts>);

pub struct World {
    rng: ChaCha8Rng,
    model: Model,
    now: u64,
    callers: Vec<Caller>,
    coming: BTreeMap<u64, Vec<usize>>,
    gateways: Vec<Gateway>,
    heads: Vec<Head>,
    told: Vec<Told>,
    domains: Domains,
    /// Requests that were sent, and those among them that stayed in their failure domain.
    pub sent: usize,
    pub stayed: usize,
    pub fates: Vec<Option<Fate>>,
    /// The most tokens that a head read in one pass.
    pub most_read: u32,
    /// The most requests that waited at a head for a slot.
    pub most_queued: usize,
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
        let mut coming: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (caller, arrival) in arrivals.iter().enumerate() {
            coming.entry(arrival.at_ms).or_default().push(caller);
        }
        let callers = arrivals.iter().map(|arrival| Caller {
            arrival: Arrival { gateway: arrival.gateway % gateways, ..*arrival },
            patience_ms: (DEADLINE_MS * rng.random_range(0.85..1.0)) as u64,
            came_back: false,
            longest_ms: 0,
        });
        let callers = callers.collect();
        World {
            rng,
            model,
            now: 0,
            callers,
            coming,
            gateways: (0..gateways).map(gateway).collect(),
            heads: (0..model.heads).map(|_| Head::default()).collect(),
            told: Vec::new(),
            domains: Domains {
                of_gateways: vec![0; gateways],
                of_heads: (0..model.heads).map(|head| head % 3).collect(),
            },
            sent: 0,
            stayed: 0,
            fates: vec![None; arrivals.len()],
            most_read: 0,
            most_queued: 0,
        }
    }

    /// Puts gateways and heads elsewhere than all gateways into a domain with a third of the heads.
    pub fn within(mut self, domains: Domains) -> World {
        self.domains = domains;
        self
    }

    /// Runs until every caller has its answer.
    pub fn run(&mut self) {
        while self.fates.iter().any(Option::is_none) {
            self.now += 1;
            assert!(self.now < 60_000, "a caller is forgotten");
            self.hear();
            self.tell();
            self.arrive();
            for gateway in 0..self.gateways.len() {
                self.look(gateway);
            }
            for head in 0..self.heads.len() {
                self.pass(head);
            }
        }
    }

    /// The part of first callers in a span of arrivals that were served in time.
    pub fn in_time(&self, from_ms: u64, to_ms: u64) -> f64 {
        let within = |caller: &Caller| (from_ms..to_ms).contains(&caller.arrival.at_ms);
        let fates = self.callers.iter().zip(&self.fates).filter(|(caller, _)| within(caller));
        let (all, good) = fates.fold((0, 0), |(all, good), (_, fate)| {
            (all + 1, good + usize::from(*fate == Some(Fate::InTime)))
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

    fn tell(&mut self) {
        for from in 0..self.gateways.len() {
            if !(self.now + from as u64 * 7).is_multiple_of(BEAT_MS) {
                continue;
            }
            let gateway = &self.gateways[from];
            let open: HashMap<Target, Load> = gateway.balance.own_open().collect();
            let looked: HashMap<ModelKey, RequestCounts> =
                gateway.demand.own_counts(self.now).collect();
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                let delay_ms = if to / NEAR == from / NEAR { 1 } else { FAR_MS };
                self.told.push((self.now + delay_ms, to, from, open.clone(), looked.clone()));
            }
        }
    }

    fn hear(&mut self) {
        let now = self.now;
        for (_, to, from, open, looked) in self.told.extract_if(.., |(at, ..)| *at <= now) {
            let gateway = &mut self.gateways[to];
            // Figures of each gateway of another domain stand for those of a part of that domain.
            let source = match self.domains.of_gateways[from] == self.domains.of_gateways[to] {
                true => Source::Gateway(from as u64),
                false => Source::FailureDomain(from as u64),
            };
            gateway.balance.record_peer_load(now, source, open);
            gateway.demand.record_peer(now, source, looked);
        }
    }

    fn arrive(&mut self) {
        for caller in self.coming.remove(&self.now).unwrap_or_default() {
            let found = &mut self.callers[caller];
            let gateway = &mut self.gateways[found.arrival.gateway];
            let left_ms = found.patience_ms - (self.now - found.arrival.at_ms);
            found.came_back = gateway.waits.came_back("route", left_ms as u32);
            gateway.waiting.push((caller, self.now));
        }
    }

    fn look(&mut self, index: usize) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.gateways[index].waiting);
        for (caller, since) in waiting {
            if !(now - since).is_multiple_of(LOOK_MS) {
                self.gateways[index].waiting.push((caller, since));
                continue;
            }
            if self.place(index, caller) {
                self.gateways[index].demand.record_request(now, World::key(), false);
            } else if (now - since) * 100 >= self.model.goal_ms * PATIENCE_PERCENT {
                self.gateways[index].demand.record_request(now, World::key(), true);
                self.refuse(caller);
            } else {
                self.gateways[index].waiting.push((caller, since));
            }
        }
    }

    /// Sends a request to a head, if one may have it.
    fn place(&mut self, index: usize, caller: usize) -> bool {
        let now = self.now;
        let Caller { arrival, came_back, .. } = self.callers[caller];
        let mut candidates = self.candidates(index);
        let draw: u64 = self.rng.random();
        let gateway = &mut self.gateways[index];
        let callers = gateway.demand.caller_share(now, World::key());
        let sides = gateway.balance.usage_by_locality(now, &candidates);
        let parts = sides.capacity_shares(&callers);
        let spills = sides.spills(&callers, draw);
        let full_at = gateway.admission.full_at(FULL_AT, came_back);
        let asking = AdmissionRequest {
            tokens: arrival.tokens,
            full_at,
            goal_ms: self.model.goal_ms,
            capacity_shares: parts,
        };
        gateway.admission.admit(now, &gateway.balance, &asking, &mut candidates);
        let chosen = match spills {
            true => gateway.balance.choose(now, &candidates, &[], full_at, draw),
            false => gateway.balance.choose_local(now, &candidates, &[], full_at, draw),
        };
        let Ok(target) = chosen else { return false };
        gateway.balance.started(now, target, arrival.tokens);
        gateway.admission.started(now, target);
        let near = self.domains.of_heads[target.0 as usize] == self.domains.of_gateways[index];
        self.sent += 1;
        self.stayed += usize::from(near);
        let head = &mut self.heads[target.0 as usize];
        let (unread, left) = (arrival.tokens, arrival.events);
        head.queue.push_back(Stream {
            caller,
            unread,
            left,
            began: false,
            heard_at: arrival.at_ms,
        });
        true
    }

    /// A refused caller comes back once.
    fn refuse(&mut self, caller: usize) {
        let elapsed_ms = self.now - self.callers[caller].arrival.at_ms;
        if elapsed_ms >= COME_BACK_MS {
            self.fates[caller] = Some(Fate::Refused);
            return;
        }
        let pause_ms = self.rng.random_range(COME_BACK_MS..COME_BACK_MS * 2);
        let gateways = self.gateways.len();
        self.callers[caller].arrival.gateway = self.rng.random_range(0..gateways);
        self.coming.entry(self.now + pause_ms).or_default().push(caller);
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

    /// Events of a pass that has ended.
    fn deliver(&mut self, index: usize) {
        let now = self.now;
        let head = &mut self.heads[index];
        for stream in head.running.iter_mut().filter(|stream| stream.unread == 0) {
            let target = Target(index as u64);
            let caller = &mut self.callers[stream.caller];
            let gateway = &mut self.gateways[caller.arrival.gateway];
            if !std::mem::replace(&mut stream.began, true) {
                gateway.balance.began(target, caller.arrival.tokens);
            }
            caller.longest_ms = caller.longest_ms.max(now - stream.heard_at);
            stream.heard_at = now;
            stream.left -= 1;
            if stream.left == 0 {
                gateway.balance.ended(now, target, caller.arrival.tokens, true, false);
                let late = caller.longest_ms > self.model.goal_ms;
                self.fates[stream.caller] = Some(if late { Fate::Late } else { Fate::InTime });
            }
        }
        head.running.retain(|stream| stream.left > 0);
    }

    fn begin_pass(&mut self, index: usize) {
        let head = &mut self.heads[index];
        while head.running.len() < SLOTS as usize
            && let Some(stream) = head.queue.pop_front()
        {
            head.running.push(stream);
        }
        self.most_queued = self.most_queued.max(head.queue.len());
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
        self.most_read = self.most_read.max(read);
        let steps_ms = STRIDE * (self.model.step_ms + self.model.per_sequence_ms * writing as f64);
        let pass_ms = steps_ms + f64::from(read) / self.model.read_per_ms;
        head.pass_ends = Some(self.now + pass_ms.ceil() as u64);
    }
}
