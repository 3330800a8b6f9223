//! The simulated store, the messages between gateways, and the observations.

use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;

use oliveworks_gateway_core::fan_out;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::sources::ReadFrom;
use oliveworks_gateway_core::store_calls::{
    self, Outcome, PendingCall, PreviousCall, Terms, held_ms,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::gateway::{
    Gateway, HELD_MS, Pending, REVOKE_MS, TOPICS, Topic, View, address, index_of, position,
};
use super::{
    CALM_FROM_MS, FAULT_AT_MS, Fault, FleetConfig, FleetReport, RUN_MS, SILENT_MS, Without,
};

const TICK_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 100;
/// Time within which all gateways start, in ms.
const STARTS_MS: u64 = 300;
const SEEDS: usize = 3;
/// Number of gateways named in each heartbeat.
const NAMES_PER_BEAT: usize = 2;
/// Response time of the store, in ms.
const ANSWER_MS: u64 = 10;
/// Timeout of a call beyond the time for which it may be held, in ms.
const CALL_MS: u64 = 1_000;
/// Pause after a failed call, in ms.
const RETRY_MS: u64 = 80;
/// Time between two reads of the list, of which up to a fifth is left out, in ms.
const LIST_MS: u64 = 3_250;
/// Time for which a question is held back, and its timeout beyond that, in ms.
const HOLD_MS: u64 = 500;
const QUESTION_MS: u64 = 300;
/// Difference in age at which a younger proof is news, in ms.
const YOUNGER_PROOF_MS: u64 = 100;
/// Silence after which a gateway is not named any more, in ms.
const PEER_TIMEOUT_MS: u64 = 3_000;
/// Pause of a gateway without a source, in ms.
const NO_SOURCE_MS: u64 = 50;
/// Times of changes of the configuration and of departures, in ms.
const CHANGES_AT_MS: [u64; 3] = [8_000, 12_000, 16_000];
const DEPARTURES_AT_MS: [u64; 3] = [9_300, 13_700, 17_900];

enum Message {
    Beat(Beat),
    Introduction(Vec<(usize, u64)>),
}

struct Beat {
    from: usize,
    view: View,
    names: Vec<(usize, u64)>,
    local_known: usize,
    departure: Option<Position>,
}

/// A fleet with its store.
pub struct World {
    config: FleetConfig,
    now: u64,
    rng: ChaCha8Rng,
    names: Vec<String>,
    /// Failure domain of each gateway, and the names of the failure domains.
    domains: Vec<usize>,
    domain_names: Vec<String>,
    seeds: Vec<usize>,
    gateways: Vec<Gateway>,
    /// Messages to deliver with the next step.
    in_transit: Vec<(usize, Message)>,
    /// For each topic and each record of it, the times at which gateways received that record.
    held_since: BTreeMap<(usize, u64), Vec<u64>>,
    proof_ages: Vec<u64>,
    beats_in_calm: u64,
    report: FleetReport,
}

impl World {
    pub fn new(config: FleetConfig) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let domains: Vec<usize> =
            (0..config.gateways).map(|index| index % config.domains).collect();
        let names =
            domains.iter().enumerate().map(|(index, domain)| format!("d{domain:02}-{index:03}"));
        let seeds = (0..SEEDS).map(|_| rng.random_range(0..config.gateways)).collect();
        let started =
            (0..config.gateways).map(|_| rng.random_range(0..STARTS_MS)).collect::<Vec<_>>();
        let gateway = |(index, at): (usize, &u64)| Gateway::new(index, domains[index], *at);
        World {
            config,
            now: 0,
            names: names.collect(),
            gateways: started.iter().enumerate().map(gateway).collect(),
            domain_names: (0..config.domains).map(|domain| format!("d{domain:02}")).collect(),
            domains,
            seeds,
            rng,
            in_transit: Vec::new(),
            held_since: BTreeMap::new(),
            proof_ages: Vec::new(),
            beats_in_calm: 0,
            report: FleetReport::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    pub fn step(&mut self) {
        self.now += TICK_MS;
        if self.config.fault == Fault::AllRestarted && self.now == FAULT_AT_MS {
            self.restart_all();
        }
        for (to, message) in mem::take(&mut self.in_transit) {
            if self.now > self.gateways[to].started_at {
                self.receive(to, message);
            }
        }
        for index in 0..self.gateways.len() {
            if self.now > self.gateways[index].started_at {
                self.step_gateway(index);
            }
        }
        self.observe();
    }

    fn restart_all(&mut self) {
        for index in 0..self.gateways.len() {
            let at = self.now + self.rng.random_range(0..STARTS_MS);
            self.gateways[index] = Gateway::new(index, self.domains[index], at);
        }
    }

    fn is_silent(&self) -> bool {
        let silent = FAULT_AT_MS..FAULT_AT_MS + SILENT_MS;
        self.config.fault == Fault::SilentStore && silent.contains(&self.now)
    }

    /// Returns the number of records of a topic.
    fn end_of(&self, topic: Topic) -> u64 {
        let times = match topic {
            Topic::Configuration => &CHANGES_AT_MS,
            Topic::List => &DEPARTURES_AT_MS,
        };
        1 + times.iter().filter(|at| self.now >= **at).count() as u64
    }

    fn step_gateway(&mut self, index: usize) {
        if self.now >= self.gateways[index].beat_at {
            self.send_beats(index);
        }
        if self.gateways[index].waits_for_peers(self.now) {
            return;
        }
        for topic in TOPICS {
            match self.gateways[index].followers[topic as usize].pending {
                Some(Pending::Call { .. }) => self.await_store(index, topic),
                Some(Pending::Question { .. }) => self.await_answer(index, topic),
                None => self.begin_step(index, topic),
            }
        }
    }

    fn begin_step(&mut self, index: usize, topic: Topic) {
        let now = self.now;
        if now < self.gateways[index].followers[topic as usize].next_at {
            return;
        }
        let draw = self.rng.random();
        let gateway = &mut self.gateways[index];
        let source = gateway.choose_source(now, topic, &self.names, &self.domains, draw);
        let knowledge = gateway.knowledge(now, topic);
        let proof_age_ms = gateway.freshness.age_ms(now);
        let follower = &mut gateway.followers[topic as usize];
        if follower.read_from.replace(source) != Some(source) && now >= FAULT_AT_MS + SILENT_MS {
            gateway.source_changes += 1;
        }
        let follower = &mut gateway.followers[topic as usize];
        match source {
            ReadFrom::Nobody => follower.next_at = now + NO_SOURCE_MS,
            ReadFrom::Gateway(address) => {
                let proof_age_ms = follower.told.age_ms(now);
                let to = index_of(address);
                follower.pending = Some(Pending::Question { sent: now, to, proof_age_ms });
            }
            ReadFrom::Store | ReadFrom::StoreTrial => {
                let mut terms = Terms::of(knowledge, follower.previous);
                let mut longest_ms = match topic {
                    Topic::Configuration => held_ms(HELD_MS, proof_age_ms),
                    Topic::List => 0,
                };
                if self.config.without == Without::CallTerms {
                    terms = Terms { may_be_held: true, timeout_ms: None };
                    longest_ms = if topic == Topic::Configuration { HELD_MS } else { 0 };
                }
                let held_ms = if terms.may_be_held { longest_ms } else { 0 };
                follower.pending =
                    Some(Pending::Call { sent: now, held_ms, terms, is_lost: false });
                gateway.called_at = now;
                self.count_call();
            }
        }
    }

    fn count_call(&mut self) {
        match self.now {
            ..CALM_FROM_MS => self.report.calls_at_start += 1,
            CALM_FROM_MS..16_000 => self.report.calls_in_calm += 1,
            FAULT_AT_MS.. => self.report.calls_after_fault += 1,
            _ => {}
        }
    }

    /// Continues a call to the store.
    fn await_store(&mut self, index: usize, topic: Topic) {
        let (now, is_silent, end) = (self.now, self.is_silent(), self.end_of(topic));
        let gives_way = self.config.without != Without::CallTerms;
        let jitter_ms = self.rng.random_range(0..=LIST_MS / 5);
        let gateway = &mut self.gateways[index];
        let knowledge = gateway.knowledge(now, topic);
        let answers_since = gateway.answers_since;
        let follower = &mut gateway.followers[topic as usize];
        let Some(Pending::Call { sent, held_ms, terms, is_lost }) = &mut follower.pending else {
            return;
        };
        *is_lost |= is_silent;
        let (sent, held_ms, terms, is_lost) = (*sent, *held_ms, *terms, *is_lost);
        let from = follower.cursor.position();
        let has_news = from.is_none_or(|from| end > from.offset);
        let is_answered =
            !is_lost && now >= sent + ANSWER_MS && (has_news || now >= sent + held_ms);
        let is_late = now >= sent + terms.timeout_ms.unwrap_or(CALL_MS + held_ms);
        let call = PendingCall { sent, held_ms };
        let is_superseded = gives_way
            && from.is_some()
            && (now - sent).is_multiple_of(100)
            && store_calls::is_superseded(now, call, answers_since, knowledge);
        let outcome = match (is_answered, is_late, is_superseded) {
            (true, ..) => Outcome::Answered,
            (_, true, _) => Outcome::Failed,
            (.., true) => Outcome::GivenUp,
            _ => return,
        };
        follower.pending = None;
        follower.previous = Some(PreviousCall { terms, outcome });
        match outcome {
            Outcome::GivenUp => {}
            Outcome::Failed => {
                follower.next_at = now + RETRY_MS;
                gateway.answers_since = None;
            }
            Outcome::Answered => {
                follower.cursor.store_answered(Some(position(end)));
                follower.next_at =
                    if topic == Topic::List { now + LIST_MS - jitter_ms } else { now };
                gateway.answers_since.get_or_insert(now);
                gateway.proved_at = Some(sent);
                self.apply(index, topic, end);
                if topic == Topic::Configuration {
                    self.gateways[index].freshness.proved(sent, if has_news { 0 } else { held_ms });
                }
            }
        }
    }

    /// Continues a question to another gateway.
    fn await_answer(&mut self, index: usize, topic: Topic) {
        let now = self.now;
        let follower = &self.gateways[index].followers[topic as usize];
        let Some(Pending::Question { sent, to, proof_age_ms }) = follower.pending else { return };
        let from = follower.cursor.position().map(|position| position.offset);
        if now < sent + TICK_MS {
            return;
        }
        let asked = &self.gateways[to];
        let asked_held = asked.followers[topic as usize].held;
        let age_ms = asked.freshness.age_ms(now);
        let is_up = now > asked.started_at && asked.started_at <= sent;
        if !is_up {
            if now >= sent + HOLD_MS + QUESTION_MS || now > asked.started_at {
                let gateway = &mut self.gateways[index];
                gateway.unresponsive.insert(to, now);
                let follower = &mut gateway.followers[topic as usize];
                follower.cursor.gateway_did_not_answer();
                follower.pending = None;
            }
            return;
        }
        let knows_enough = asked_held.filter(|held| from.is_none_or(|from| *held >= from));
        let has_younger_proof = age_ms.is_some_and(|age_ms| {
            proof_age_ms.is_none_or(|known_ms| age_ms + YOUNGER_PROOF_MS < known_ms + (now - sent))
        });
        let has_news = knows_enough
            .is_some_and(|held| from.is_none_or(|from| held > from) || has_younger_proof);
        if !has_news && now < sent + HOLD_MS {
            if knows_enough.is_none() && asked_held.is_some() && topic == Topic::List {
                self.gateways[to].followers[topic as usize].next_at = now;
            }
            return;
        }
        let gateway = &mut self.gateways[index];
        let follower = &mut gateway.followers[topic as usize];
        follower.pending = None;
        let Some(held) = knows_enough else {
            follower.cursor.gateway_is_behind(now, address(to));
            return;
        };
        follower.cursor.gateway_answered(address(to), position(held));
        if let Some(age_ms) = age_ms {
            follower.told.proved_by_peer(sent, now - sent, age_ms);
            if topic == Topic::Configuration {
                gateway.freshness.proved_by_peer(sent, now - sent, age_ms);
            }
        }
        self.apply(index, topic, held);
    }

    /// Applies the records of a topic up to a number.
    fn apply(&mut self, index: usize, topic: Topic, held: u64) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let before = gateway.followers[topic as usize].held.replace(held);
        if before == Some(held) {
            return;
        }
        for number in before.unwrap_or(0) + 1..=held {
            self.held_since.entry((topic as usize, number)).or_default().push(now);
        }
        if topic == Topic::List && before.is_some() {
            let is_new = gateway.departures.read(position(held));
            if is_new && gateway.is_reader {
                gateway.beat_at = now;
            }
        }
        if topic == Topic::Configuration && before.is_none() {
            gateway.beat_at = now;
        }
    }

    fn send_beats(&mut self, index: usize) {
        let now = self.now;
        let draw = self.rng.random();
        let gateway = &self.gateways[index];
        let recent: Vec<(usize, u64)> = gateway
            .peers
            .iter()
            .filter(|(_, view)| now < view.last_seen_at + PEER_TIMEOUT_MS)
            .map(|(peer, view)| (*peer, view.last_seen_at))
            .collect();
        let mut known: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for peer in gateway.peers.keys() {
            known.entry(&self.domain_names[self.domains[*peer]]).or_default().push(address(*peer));
        }
        let own_domain = &self.domain_names[gateway.domain];
        let recipients = fan_out::recipients(own_domain, &known, draw);
        let mut to: Vec<usize> =
            recipients.local.iter().chain(&recipients.remote).map(|at| index_of(*at)).collect();
        let is_unknown = |seed: &&usize| **seed != index && !gateway.peers.contains_key(seed);
        to.extend(self.seeds.iter().filter(is_unknown));
        let local_known =
            recent.iter().filter(|(peer, _)| self.domains[*peer] == gateway.domain).count();
        let view = View {
            last_seen_at: now,
            store_answers: gateway.answers_since.is_some(),
            reads_store: gateway.reads_store(now),
            proved_at: gateway.freshness.age_ms(now).and_then(|age_ms| now.checked_sub(age_ms)),
            version: gateway.followers[Topic::Configuration as usize].held,
        };
        let departure = gateway.departures.newest();
        for to in to {
            let names = (0..NAMES_PER_BEAT.min(recent.len()))
                .map(|_| recent[self.rng.random_range(0..recent.len())])
                .collect();
            let beat = Beat { from: index, view, names, local_known, departure };
            self.in_transit.push((to, Message::Beat(beat)));
        }
        self.gateways[index].beat_at = now + HEARTBEAT_MS;
    }

    fn receive(&mut self, to: usize, message: Message) {
        match message {
            Message::Beat(beat) => self.receive_heartbeat(to, beat),
            Message::Introduction(names) => {
                let count = self.gateways[to].peers.len();
                self.record_names(to, &names);
                if self.gateways[to].peers.len() > count {
                    self.gateways[to].beat_at = self.now;
                }
            }
        }
    }

    fn receive_heartbeat(&mut self, to: usize, beat: Beat) {
        let now = self.now;
        if (CALM_FROM_MS..FAULT_AT_MS).contains(&now) {
            self.beats_in_calm += 1;
        }
        self.introduce(to, &beat);
        let without_departures = self.config.without == Without::Departures;
        let gateway = &mut self.gateways[to];
        gateway.peers.insert(beat.from, beat.view);
        if let Some(departure) = beat.departure.filter(|_| !without_departures) {
            let follower = &mut gateway.followers[Topic::List as usize];
            if gateway.departures.reported(departure, follower.held.map(position)) {
                follower.next_at = now;
            }
        }
        self.record_names(to, &beat.names);
    }

    /// Tells the sender of a heartbeat the gateways of its failure domain if it knows few of them.
    fn introduce(&mut self, to: usize, beat: &Beat) {
        if self.config.without == Without::Introductions {
            return;
        }
        let (now, domains) = (self.now, &self.domains);
        let gateway = &mut self.gateways[to];
        let known = gateway.peers.iter().filter(|(peer, view)| {
            **peer != beat.from
                && domains[**peer] == domains[beat.from]
                && now < view.last_seen_at + PEER_TIMEOUT_MS
        });
        let known: Vec<(usize, u64)> =
            known.map(|(peer, view)| (*peer, view.last_seen_at)).collect();
        let from = address(beat.from);
        if gateway.introductions.is_due(now, from, beat.local_known, known.len()) {
            self.in_transit.push((beat.from, Message::Introduction(known)));
        }
    }

    fn record_names(&mut self, to: usize, names: &[(usize, u64)]) {
        let gateway = &mut self.gateways[to];
        for (peer, last_seen_at) in names.iter().filter(|(peer, _)| *peer != to) {
            let unheard = View { store_answers: true, ..View::default() };
            let view = gateway.peers.entry(*peer).or_insert(unheard);
            view.last_seen_at = view.last_seen_at.max(*last_seen_at);
        }
    }

    fn observe(&mut self) {
        let now = self.now;
        let fault_ends_at = match self.config.fault {
            Fault::SilentStore => FAULT_AT_MS + SILENT_MS,
            Fault::AllRestarted => FAULT_AT_MS + STARTS_MS,
        };
        let refuses = |gateway: &Gateway| !gateway.freshness.accepts_keys(now, Some(REVOKE_MS));
        if now >= fault_ends_at && self.gateways.iter().any(refuses) {
            self.report.keys_after_ms = now + TICK_MS - fault_ends_at;
        }
        let in_calm = (CALM_FROM_MS..FAULT_AT_MS).contains(&now);
        if in_calm && now.is_multiple_of(HEARTBEAT_MS) {
            let ages = self.gateways.iter().map(|gateway| gateway.freshness.age_ms(now));
            self.proof_ages.extend(ages.map(|age_ms| age_ms.unwrap_or(RUN_MS)));
        }
        let from = match self.config.fault {
            Fault::AllRestarted if now >= FAULT_AT_MS => FAULT_AT_MS,
            _ => 0,
        };
        let is_read =
            |gateway: &Gateway| gateway.followers.iter().all(|follower| follower.held.is_some());
        if now < from + 5_000 && !self.gateways.iter().all(is_read) {
            self.report.ready_ms = now + TICK_MS - from - STARTS_MS.min(now - from);
        }
    }

    /// Returns the observations.
    pub fn report(mut self) -> FleetReport {
        self.proof_ages.sort_unstable();
        let ages = &self.proof_ages;
        let at = |part: usize| ages.get(ages.len() * part / 1_000).copied().unwrap_or_default();
        self.report.proof_age_ms = (at(990), ages.last().copied().unwrap_or_default());
        self.report.change_spread_ms = self.spread(Topic::Configuration);
        self.report.departure_spread_ms = self.spread(Topic::List);
        let changes = self.gateways.iter().map(|gateway| gateway.source_changes);
        self.report.source_changes = changes.max().unwrap_or_default();
        let calm_s = (FAULT_AT_MS - CALM_FROM_MS) / 1_000;
        self.report.heartbeats_per_s = self.beats_in_calm / calm_s / self.gateways.len() as u64;
        self.report
    }

    /// Returns the longest time from the first gateway that held a record to the last, for records
    /// that were written in calm.
    fn spread(&self, topic: Topic) -> u64 {
        let of_topic =
            self.held_since.iter().filter(|((of, number), _)| *of == topic as usize && *number > 1);
        let spread = of_topic.filter_map(|(_, times)| {
            let first = times.iter().min()?;
            let last = times.iter().filter(|at| **at < FAULT_AT_MS).max()?;
            Some(last - first)
        });
        spread.max().unwrap_or_default()
    }
}
