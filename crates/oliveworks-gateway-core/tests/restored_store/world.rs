//! Gateways, their calls to the store and to each other, and what befalls them.

use std::collections::{BTreeMap, BTreeSet};

use oliveworks_gateway_core::election::{Claim, Heartbeat};
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::replay::ReplayAnswer as Passed;
use oliveworks_gateway_core::sources::ReadFrom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gateway::{Gateway, Peer, Record, TOPICS, Told, ToldBy, Topic, address};
use crate::judge::Judge;
use crate::platform::{ClaimRecord, HOSTS, Platform};

const TICK_MS: u64 = 10;
const GATEWAYS: usize = 5;
const HEARTBEAT_MS: u64 = 100;
/// The time between two calls of a topic, and after a failure, in ms.
const CALLS_MS: u64 = 150;
const AGAIN_MS: u64 = 300;
/// How long an answer is waited for, in ms.
const CALL_MS: u64 = 1_000;
/// The time between two orders of a leader, in ms.
const ORDERS_MS: u64 = 300;

/// What a run gets wrong on purpose, to see that its checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Sound,
    /// All places are of one era.
    OffsetsWithoutEras,
    /// A read proves that nothing is newer, whatever others know.
    CopiesProve,
    /// A gateway that starts reads the store, and asks nobody.
    StartsFromStore,
    /// A drain that is not among all newest records has ended.
    CopiesEndDrains,
    /// A host that had gone is back if it is among all newest records.
    CopiesListHosts,
    /// A host that is not among all newest records is gone.
    CopiesDropHosts,
}

/// A call on its way there, or its answer on its way back.
enum Flight {
    There { arrives: u64, sent: u64, to: ReadFrom, from: Option<Position> },
    Back { arrives: u64, sent: u64, to: ReadFrom, from: Option<Position>, answer: Option<Answer> },
}

#[derive(Clone, Debug)]
struct Answer {
    era: u64,
    told: Told,
    by: ToldBy,
}

/// A claim on its way, or its answer.
enum ClaimFlight {
    There { arrives: u64, sent: u64, end: Position },
    Back { arrives: u64, sent: u64, end: Position, answer: Option<(u64, Option<u64>)> },
}

/// An order on its way to a host.
struct Order {
    arrives: u64,
    host: u64,
    fence: u64,
    gateway: usize,
    life: u64,
}

/// One gateway's place in the world.
pub struct Seat {
    pub gateway: Gateway,
    pub life: u64,
    pub down_until: Option<u64>,
    pub paused_until: Option<u64>,
    /// Until when no other gateway hears it, nor it them.
    pub isolated_until: Option<u64>,
    /// Until when it does not reach the store.
    pub cut_until: Option<u64>,
    /// When it was last in trouble of any kind.
    pub troubled_at: u64,
    calls: BTreeMap<Topic, Flight>,
    calls_at: BTreeMap<Topic, u64>,
    claim: Option<ClaimFlight>,
    beats_at: u64,
    orders_at: u64,
}

impl Seat {
    pub fn runs(&self) -> bool {
        self.down_until.is_none() && self.paused_until.is_none()
    }

    pub fn is_heard(&self) -> bool {
        self.runs() && self.isolated_until.is_none()
    }
}

pub struct World {
    pub now: u64,
    pub platform: Platform,
    pub seats: Vec<Seat>,
    pub honoured: u64,
    pub claims: u64,
    rng: ChaCha8Rng,
    variant: Variant,
    orders: Vec<Order>,
    /// Lives whose orders a host took, by fence.
    pub obeyed: BTreeMap<u64, BTreeSet<u64>>,
    judge: Judge,
}

impl World {
    pub fn new(seed: u64, variant: Variant) -> World {
        let seat = |index| Seat {
            gateway: Gateway::new(index, 0, 1 + index as u64, variant),
            life: 1 + index as u64,
            down_until: None,
            paused_until: None,
            isolated_until: None,
            cut_until: None,
            troubled_at: 0,
            calls: BTreeMap::new(),
            calls_at: BTreeMap::new(),
            claim: None,
            beats_at: 0,
            orders_at: 0,
        };
        World {
            now: 0,
            platform: Platform::new(),
            seats: (0..GATEWAYS).map(seat).collect(),
            honoured: 0,
            claims: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            variant,
            orders: Vec::new(),
            obeyed: BTreeMap::new(),
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
        self.trouble();
        for index in 0..self.seats.len() {
            self.arrive_calls(index);
            if self.seats[index].runs() {
                self.act(index);
            }
        }
        self.arrive_orders();
        let mut judge = std::mem::take(&mut self.judge);
        judge.look(self);
        self.judge = judge;
    }

    fn trouble(&mut self) {
        let now = self.now;
        for index in 0..self.seats.len() {
            let end = now + self.rng.random_range(300..4_000);
            let kind = if self.rng.random_bool(0.001) { self.rng.random_range(0..5) } else { 9 };
            let seat = &mut self.seats[index];
            if seat.down_until.take_if(|at| now >= *at).is_some() {
                seat.life += GATEWAYS as u64;
                seat.gateway = Gateway::new(index, now, seat.life, self.variant);
                seat.calls.clear();
                seat.claim = None;
            }
            seat.paused_until.take_if(|at| now >= *at);
            seat.isolated_until.take_if(|at| now >= *at);
            seat.cut_until.take_if(|at| now >= *at);
            match kind {
                0 | 1 => seat.down_until = Some(end),
                2 => seat.paused_until = Some(end),
                3 => seat.isolated_until = Some(end),
                4 => seat.cut_until = Some(end),
                _ => {}
            }
            let troubles =
                [seat.down_until, seat.paused_until, seat.isolated_until, seat.cut_until];
            if troubles.iter().any(Option::is_some) {
                seat.troubled_at = now;
            }
        }
    }

    fn delay(&mut self) -> u64 {
        match self.rng.random_bool(0.03) {
            true => self.rng.random_range(100..400),
            false => self.rng.random_range(1..15),
        }
    }

    fn act(&mut self, index: usize) {
        let now = self.now;
        let draw = self.rng.random_range(0..GATEWAYS);
        let gateway = &mut self.seats[index].gateway;
        gateway.sweep(now);
        if gateway.waits(now) {
            self.beat(index);
            return;
        }
        gateway.settle_drains(now);
        if let Some(holder) =
            gateway.asks_beside(now, draw).filter(|holder| self.hears(index, *holder))
        {
            let held = self.seats[holder].gateway.version;
            let gateway = &mut self.seats[index].gateway;
            gateway.version = gateway.version.max(held);
        }
        self.beat(index);
        self.stand(index);
        self.give_orders(index);
        for topic in TOPICS {
            self.take_answer(index, topic);
            self.call(index, topic);
        }
    }

    fn hears(&self, index: usize, other: usize) -> bool {
        self.seats[index].is_heard() && self.seats[other].is_heard()
    }

    fn beat(&mut self, index: usize) {
        let now = self.now;
        if now < self.seats[index].beats_at {
            return;
        }
        self.seats[index].beats_at = now + HEARTBEAT_MS;
        let gateway = &mut self.seats[index].gateway;
        let leader: Option<Heartbeat> = gateway.heartbeat(now);
        let told = Peer {
            heard_at: now,
            near: false,
            store_answers: gateway.store_answers,
            reads: gateway.reads(now),
            proved_at: gateway.freshness.age_ms(now).and_then(|age| now.checked_sub(age)),
            era: gateway.era.era(),
            version: gateway.version,
        };
        for other in 0..self.seats.len() {
            let arrives = other != index && self.rng.random_bool(0.9) && self.hears(index, other);
            if arrives {
                let near = other % 2 == index % 2;
                self.seats[other].gateway.hear(now, index, Peer { near, ..told }, leader);
            }
        }
    }

    fn call(&mut self, index: usize, topic: Topic) {
        let now = self.now;
        let due = self.seats[index].calls_at.get(&topic).is_none_or(|at| now >= *at);
        if !due || self.seats[index].calls.contains_key(&topic) {
            return;
        }
        let draw = self.rng.random();
        let arrives = now + self.delay();
        let gateway = &mut self.seats[index].gateway;
        let era = gateway.era.era();
        gateway.following_of(topic).discard_other_era(era);
        let (own, known) = (gateway.own(now), gateway.known(now));
        let to = gateway.following[&topic].source(own, &known, draw);
        let from = gateway.following[&topic].position();
        if to == ReadFrom::Store {
            gateway.calls_store(now);
        }
        self.seats[index].calls.insert(topic, Flight::There { arrives, sent: now, to, from });
    }

    /// Calls that arrive are answered, by the store or a gateway, also while whoever called is paused.
    fn arrive_calls(&mut self, index: usize) {
        let now = self.now;
        for topic in TOPICS {
            let Some(Flight::There { arrives, sent, to, from }) =
                self.seats[index].calls.get(&topic)
            else {
                continue;
            };
            if now < *arrives {
                continue;
            }
            let (sent, to, from) = (*sent, *to, *from);
            let answer = match to {
                ReadFrom::Store => self.store_answers(index, topic, from),
                ReadFrom::Gateway(at) => {
                    let other = (0..GATEWAYS).find(|other| address(*other) == at);
                    self.gateway_answers(index, other.expect("a gateway"), topic, from)
                }
            };
            let arrives = if answer.is_some() { now + self.delay() } else { sent + CALL_MS / 4 };
            let back = Flight::Back { arrives, sent, to, from, answer };
            self.seats[index].calls.insert(topic, back);
        }
        self.arrive_claim(index);
    }

    fn store_answers(&self, index: usize, topic: Topic, from: Option<Position>) -> Option<Answer> {
        if self.platform.is_away() || self.seats[index].cut_until.is_some() {
            return None;
        }
        let topics = &self.platform.topics;
        let told = match topic {
            Topic::Wishes => match from {
                None => self.newest_wishes(),
                Some(from) => tail(&topics.wishes, from.offset, |_, wish| Record::Wish(*wish)),
            },
            Topic::Hosts => match from {
                None => {
                    let records = self.platform.newest_hosts().into_iter().map(Record::Host);
                    let next = topics.hosts.len() as u64;
                    Told::Records { records: records.collect(), newest: true, next }
                }
                Some(from) => tail(&topics.hosts, from.offset, |_, host| Record::Host(*host)),
            },
            Topic::Claims => {
                let record = |offset, claim: &ClaimRecord| {
                    let place = Position::new(Era(self.era_of(claim.era)), offset);
                    Record::Claim(Claim { place, claimant: claim.claimant })
                };
                tail(&topics.claims, from.map_or(0, |from| from.offset), record)
            }
        };
        Some(Answer { era: self.platform.era, told, by: ToldBy::Store })
    }

    /// The era that a claim is taken to be of.
    fn era_of(&self, era: u64) -> u64 {
        if self.variant == Variant::OffsetsWithoutEras { 0 } else { era }
    }

    fn newest_wishes(&self) -> Told {
        use crate::platform::Wish;
        let version = Record::Wish(Wish::Version(self.platform.stored_version()));
        let drain = self.platform.stored_drain().then_some(Record::Wish(Wish::Drain(true)));
        let records = std::iter::once(version).chain(drain).collect();
        let next = self.platform.topics.wishes.len() as u64;
        Told::Records { records, newest: true, next }
    }

    fn gateway_answers(
        &self,
        index: usize,
        other: usize,
        topic: Topic,
        from: Option<Position>,
    ) -> Option<Answer> {
        if !self.hears(index, other) {
            return None;
        }
        let asked = &self.seats[other].gateway;
        let (records, newest, next) = match asked.passing[&topic].since(from) {
            Passed::Records(records, next) => (records, false, next),
            Passed::Newest(next) => (asked.newest(topic), true, next),
            Passed::Behind | Passed::Unread => return None,
        };
        let by = ToldBy::Gateway { age_ms: asked.freshness.age_ms(self.now), stored: asked.stored };
        let told = Told::Records { records, newest, next: next.offset };
        Some(Answer { era: next.era.0, told, by })
    }

    fn take_answer(&mut self, index: usize, topic: Topic) {
        let now = self.now;
        let arrived =
            |flight: &Flight| matches!(flight, Flight::Back { arrives, .. } if *arrives <= now);
        if !self.seats[index].calls.get(&topic).is_some_and(arrived) {
            return;
        }
        let Some(Flight::Back { sent, to, from, answer, .. }) =
            self.seats[index].calls.remove(&topic)
        else {
            return;
        };
        let is_late = now > sent + CALL_MS;
        let taken = match answer.filter(|_| !is_late) {
            None => false,
            Some(answer) if to == ReadFrom::Store => {
                self.take_from_store(index, topic, sent, from, answer)
            }
            Some(answer) => self.take_from_gateway(index, topic, sent, answer),
        };
        let gateway = &mut self.seats[index].gateway;
        if !taken {
            match to {
                ReadFrom::Store => gateway.store_failed(now),
                ReadFrom::Gateway(at) => {
                    let other = (0..GATEWAYS).find(|other| address(*other) == at);
                    gateway.gateway_did_not_answer(now, topic, other.expect("a gateway"));
                }
            }
        }
        let pause = if taken { CALLS_MS } else { AGAIN_MS };
        self.seats[index].calls_at.insert(topic, now + pause);
    }

    fn take_from_store(
        &mut self,
        index: usize,
        topic: Topic,
        sent: u64,
        from: Option<Position>,
        answer: Answer,
    ) -> bool {
        let now = self.now;
        let gateway = &mut self.seats[index].gateway;
        let Some(era) = gateway.hear_era(now, sent, answer.era) else { return false };
        gateway.store_answered(now);
        // What the answer holds does not follow what was read before.
        if from.is_some_and(|from| from.era != era && from.offset != 0) {
            return true;
        }
        match answer.told {
            Told::Expired => gateway.following_of(topic).store_answered(None),
            Told::Records { records, newest, next } => {
                gateway.following_of(topic).store_answered(Some(Position::new(era, next)));
                gateway.take(now, sent, topic, records, newest, answer.by);
            }
        }
        true
    }

    fn take_from_gateway(&mut self, index: usize, topic: Topic, sent: u64, answer: Answer) -> bool {
        let now = self.now;
        let gateway = &mut self.seats[index].gateway;
        let era = Era(answer.era);
        let Told::Records { records, newest, next } = answer.told else { return false };
        let place = Position::new(era, next);
        if era < gateway.era.era() || (newest && gateway.passing[&topic].is_ahead_of(place)) {
            return false;
        }
        if era > gateway.era.era() {
            gateway.hear_era(now, sent, answer.era);
        }
        gateway.following_of(topic).gateway_answered(place);
        gateway.take(now, sent, topic, records, newest, answer.by);
        true
    }

    /// Stands for leader when it is time.
    fn stand(&mut self, index: usize) {
        let now = self.now;
        self.take_claim_answer(index);
        let arrives = now + self.delay() + if self.rng.random_bool(0.1) { 3_000 } else { 0 };
        let lower = (0..index).filter(|other| self.seats[*other].is_heard()).count() as u64;
        let seat = &mut self.seats[index];
        if seat.claim.is_some() || seat.gateway.version.is_none() {
            return;
        }
        if let Some(end) = seat.gateway.election.claim(now, lower) {
            seat.claim = Some(ClaimFlight::There { arrives, sent: now, end });
        }
    }

    fn arrive_claim(&mut self, index: usize) {
        let now = self.now;
        let Some(ClaimFlight::There { arrives, sent, end }) = &self.seats[index].claim else {
            return;
        };
        if now < *arrives {
            return;
        }
        let (sent, end) = (*sent, *end);
        let reaches = !self.platform.is_away() && self.seats[index].cut_until.is_none();
        let claims = &mut self.platform.topics.claims;
        let answer = reaches.then(|| {
            let fits = claims.len() as u64 == end.offset;
            if fits {
                claims.push(ClaimRecord { era: end.era.0, claimant: self.seats[index].life });
                self.claims += 1;
            }
            (self.platform.era, fits.then_some(end.offset))
        });
        let lost = self.rng.random_bool(0.2);
        let arrives = now + self.delay();
        let answer = answer.filter(|_| !lost);
        self.seats[index].claim = Some(ClaimFlight::Back { arrives, sent, end, answer });
    }

    fn take_claim_answer(&mut self, index: usize) {
        let now = self.now;
        let seat = &mut self.seats[index];
        let arrived = |claim: &mut ClaimFlight| matches!(claim, ClaimFlight::Back { arrives, .. } if *arrives <= now);
        let Some(ClaimFlight::Back { sent, end, answer, .. }) = seat.claim.take_if(arrived) else {
            return;
        };
        let Some((era, offset)) = answer.filter(|_| now <= sent + CALL_MS) else { return };
        let gateway = &mut seat.gateway;
        let Some(era) = gateway.hear_era(now, sent, era) else { return };
        match offset.filter(|_| era == end.era) {
            None => gateway.election.claim_refused(now),
            Some(offset) => {
                let claim = Claim { place: Position::new(end.era, offset), claimant: seat.life };
                gateway.election.read(now, Some(claim), Position::new(end.era, offset + 1));
            }
        }
    }

    /// A leader gives orders, which may be long on their way.
    fn give_orders(&mut self, index: usize) {
        let now = self.now;
        let Some(fence) = self.seats[index].gateway.election.leading_fence() else { return };
        if now < self.seats[index].orders_at {
            return;
        }
        self.seats[index].orders_at = now + ORDERS_MS;
        let late = if self.rng.random_bool(0.1) { 3_000 } else { 0 };
        let arrives = now + self.delay() + late;
        let host = self.rng.random_range(0..HOSTS);
        let life = self.seats[index].life;
        self.orders.push(Order { arrives, host, fence, gateway: index, life });
    }

    fn arrive_orders(&mut self) {
        let now = self.now;
        for order in self.orders.extract_if(.., |order| now >= order.arrives) {
            let host = self.platform.hosts.get_mut(&order.host).expect("a host");
            if order.fence < host.fence {
                let seat = &mut self.seats[order.gateway];
                if seat.life == order.life {
                    seat.gateway.election.fenced(order.fence);
                }
                continue;
            }
            host.fence = order.fence;
            self.obeyed.entry(order.fence).or_default().insert(order.life);
        }
    }
}

fn tail<T>(all: &[T], from: u64, record: impl Fn(u64, &T) -> Record) -> Told {
    let Some(new) = all.get(from as usize..) else { return Told::Expired };
    let records = (from..).zip(new).map(|(offset, item)| record(offset, item)).collect();
    Told::Records { records, newest: false, next: all.len() as u64 }
}
