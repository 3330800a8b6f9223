//! The store's records and proofs are passed on between gateways: a key that was taken away serves
//! nowhere beyond its bound, whoever is cut from whom, and nobody goes back to an older version.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::replay::{Kept, ReplayAnswer, ReplayBuffer};
use oliveworks_gateway_core::sources::{
    LocalState, PeerState, ReadFrom, first_source, next_source,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const TICK_MS: u64 = 10;
const REVOKE_MS: u64 = 5_000;
/// The longest that an answer is on its way.
const DELAY_MAX_MS: u64 = 3_000;

/// What a run gets wrong on purpose, to see that its check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// A proof that was passed on counts from when its answer came.
    FromArrival,
    /// A proof that was passed on counts, though the records that came with it were lost.
    WithoutRecords,
}

/// An answer on its way.
struct OnTheWay {
    at: u64,
    sent: u64,
    held_ms: u64,
    /// Records and the next place; none if it brings nothing.
    told: Option<(Vec<u64>, u64)>,
    /// The age of the proof at another gateway; none from the store.
    age_ms: Option<u64>,
}

#[derive(Default)]
struct Gateway {
    version: u64,
    from: Option<u64>,
    freshness: Freshness,
    passing: ReplayBuffer<u64>,
    answer: Option<OnTheWay>,
    store_answers: bool,
    /// When a call was sent that the store answered.
    store_told_at: Option<u64>,
    tried_at: u64,
}

impl Gateway {
    /// Whether it reads the store itself, as heartbeats say.
    fn reads(&self, now: u64) -> bool {
        self.store_told_at.is_some_and(|at| now < at + 2_000)
    }
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    variant: Variant,
    /// When each version was accepted; the place of a version is its number.
    accepted: Vec<u64>,
    gateways: Vec<Gateway>,
    /// Gateways that the store turns away, and pairs that cannot talk.
    turned_away: BTreeSet<usize>,
    cut: BTreeSet<(usize, usize)>,
    breaches: Vec<String>,
    honoured: u64,
}

/// A place in a topic of a store that names no era.
fn place(offset: u64) -> Position {
    Position::new(Era::default(), offset)
}

fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, gateway as u8], 7340))
}

impl World {
    fn new(seed: u64, gateways: usize, variant: Variant) -> World {
        let gateway = |_| Gateway { store_answers: true, ..Gateway::default() };
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            variant,
            accepted: vec![0],
            gateways: (0..gateways).map(gateway).collect(),
            turned_away: BTreeSet::new(),
            cut: BTreeSet::new(),
            breaches: Vec::new(),
            honoured: 0,
        }
    }

    fn store_end(&self) -> u64 {
        self.accepted.len() as u64
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        if self.rng.random_bool(0.003) {
            self.accepted.push(self.now);
        }
        self.change_troubles();
        for index in 0..self.gateways.len() {
            self.take_answer(index);
            self.ask(index);
            self.check(index);
        }
    }

    fn change_troubles(&mut self) {
        if !self.rng.random_bool(0.01) {
            return;
        }
        let count = self.gateways.len();
        let away = self.rng.random_range(0..=count);
        self.turned_away = (0..away).map(|_| self.rng.random_range(0..count)).collect();
        let cuts = self.rng.random_range(0..count * 2);
        self.cut = (0..cuts)
            .map(|_| (self.rng.random_range(0..count), self.rng.random_range(0..count)))
            .collect();
    }

    fn take_answer(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let Some(answer) = gateway.answer.take_if(|answer| answer.at <= now) else { return };
        let Some((records, next)) = answer.told else { return };
        let gone_back = gateway.from.is_some_and(|from| next < from);
        if gone_back {
            self.breaches.push(format!("{now}: {index} is told of an older place"));
        }
        let newest = records.iter().copied().max().unwrap_or(0);
        gateway.version = gateway.version.max(newest);
        match gateway.from {
            None => gateway.passing.restart_at(place(next)),
            Some(_) => gateway.passing.append(records, place(next)),
        }
        gateway.from = Some(gateway.from.unwrap_or(0).max(next));
        match (answer.age_ms, self.variant) {
            (None, _) => {
                gateway.store_told_at = Some(answer.sent);
                gateway.freshness.proved(answer.sent, answer.held_ms);
            }
            (Some(age_ms), Variant::FromArrival) => {
                gateway.freshness.proved_by_peer(now, 0, age_ms)
            }
            (Some(age_ms), _) => {
                gateway.freshness.proved_by_peer(answer.sent, answer.held_ms, age_ms);
            }
        }
    }

    fn ask(&mut self, index: usize) {
        if self.gateways[index].answer.is_some() {
            return;
        }
        let names: Vec<String> = (0..self.gateways.len()).map(|n| format!("g{n}")).collect();
        let others: Vec<PeerState<'_>> = (0..self.gateways.len())
            .filter(|other| *other != index)
            .map(|other| PeerState {
                name: &names[other],
                address: address(other),
                is_local: other % 2 == index % 2,
                store_answers: self.gateways[other].store_answers,
                reads_store: self.gateways[other].reads(self.now),
                has_recent_proof: self.gateways[other]
                    .freshness
                    .age_ms(self.now)
                    .is_some_and(|age_ms| age_ms < 2_000),
                is_unresponsive: self.rng.random_bool(0.1),
                era: Era::default(),
                version: None,
            })
            .collect();
        let own = LocalState {
            name: &names[index],
            store_answers: self.gateways[index].store_answers,
            reads_store: self.gateways[index].reads(self.now),
            retry_due: self.now >= self.gateways[index].tried_at + 1_500,
            era: Era::default(),
        };
        match next_source(own, &others, 0, self.rng.random()) {
            ReadFrom::Store => self.ask_store(index),
            ReadFrom::Gateway(at) => {
                let other = (0..self.gateways.len()).find(|other| address(*other) == at);
                self.ask_gateway(index, other.expect("a known address"));
            }
        }
    }

    /// The answer of the store is made halfway.
    fn ask_store(&mut self, index: usize) {
        let delay = self.rng.random_range(TICK_MS..DELAY_MAX_MS / 4);
        let (now, end) = (self.now, self.store_end());
        let away = self.turned_away.contains(&index);
        let gateway = &mut self.gateways[index];
        gateway.tried_at = now;
        gateway.store_answers = !away;
        let from = gateway.from.unwrap_or(0);
        let told = (!away).then(|| ((from..end).collect(), end));
        gateway.answer =
            Some(OnTheWay { at: now + delay, sent: now, held_ms: 0, told, age_ms: None });
    }

    /// The other gateway answers from what it holds when the question comes, and the answer may be long
    /// on its way.
    fn ask_gateway(&mut self, index: usize, other: usize) {
        let delay = self.rng.random_range(0..DELAY_MAX_MS);
        let cut = self.cut.contains(&(index, other));
        let asked = &self.gateways[other];
        let age_ms = asked.freshness.age_ms(self.now);
        let told = match asked.passing.since(self.gateways[index].from.map(place)) {
            ReplayAnswer::Records(records, next) => Some((records, next.offset)),
            ReplayAnswer::Newest(next) => Some((vec![asked.version], next.offset)),
            ReplayAnswer::Behind | ReplayAnswer::Unread => None,
        };
        let told = told.filter(|_| !cut && age_ms.is_some());
        let lost = self.variant == Variant::WithoutRecords;
        let told =
            told.map(|(records, next)| if lost { (Vec::new(), next) } else { (records, next) });
        self.gateways[index].answer =
            Some(OnTheWay { at: self.now + delay, sent: self.now, held_ms: 0, told, age_ms });
    }

    /// Where keys are honoured, every version is in force that was accepted a bound ago.
    fn check(&mut self, index: usize) {
        let gateway = &self.gateways[index];
        if !gateway.freshness.accepts_keys(self.now, Some(REVOKE_MS)) {
            return;
        }
        self.honoured += 1;
        let due = self.accepted.iter().rposition(|at| at + REVOKE_MS <= self.now).unwrap_or(0);
        if (gateway.version as usize) < due {
            let (now, version) = (self.now, gateway.version);
            self.breaches.push(format!("{now}: {index} honours keys of {version}, due is {due}"));
        }
    }
}

fn run(seed: u64, variant: Variant) -> World {
    let mut world = World::new(seed, 7, variant);
    while world.now < 60_000 {
        world.step();
    }
    world
}

/// Runs of the sound variant; `OLIVEWORKS_SEEDS` sets another number.
fn seeds() -> u64 {
    std::env::var("OLIVEWORKS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(40)
}

#[test]
fn a_key_that_was_taken_away_serves_nowhere_beyond_its_bound() {
    let mut honoured = 0;
    for seed in 0..seeds() {
        let world = run(seed, Variant::Sound);
        assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
        honoured += world.honoured;
    }
    assert!(honoured > 0, "keys are honoured at all");
}

#[test_case(Variant::FromArrival)]
#[test_case(Variant::WithoutRecords)]
fn a_wrong_variant_is_seen(variant: Variant) {
    assert!((0..40).any(|seed| !run(seed, variant).breaches.is_empty()));
}

#[test]
fn whoever_asks_gets_what_it_lacks() {
    let mut passing = ReplayBuffer::default();
    assert_eq!(passing.since(None), ReplayAnswer::Unread);
    passing.restart_at(place(10));
    passing.append(vec!['a', 'b'], place(12));
    passing.append(vec![], place(12));
    passing.append(vec!['c'], place(13));
    assert_eq!(passing.since(None), ReplayAnswer::Newest(place(13)));
    assert_eq!(passing.since(Some(place(9))), ReplayAnswer::Newest(place(13)));
    assert_eq!(
        passing.since(Some(place(10))),
        ReplayAnswer::Records(vec!['a', 'b', 'c'], place(13))
    );
    assert_eq!(passing.since(Some(place(12))), ReplayAnswer::Records(vec!['c'], place(13)));
    assert_eq!(passing.since(Some(place(13))), ReplayAnswer::Records(vec![], place(13)));
    assert_eq!(passing.since(Some(place(14))), ReplayAnswer::Behind);
    (0..100).for_each(|n| passing.append(vec!['d'], place(14 + n)));
    assert_eq!(
        passing.since(Some(place(13))),
        ReplayAnswer::Newest(place(113)),
        "what is long ago is told anew"
    );
}

/// A reader before thousands of backend servers passes on what they say, not that they say it again.
#[test]
fn repeats_are_told_to_those_who_ask_for_them() {
    let kept = |record, is_repeat| Kept { record, is_repeat };
    let mut passing = ReplayBuffer::default();
    passing.restart_at(place(10));
    passing.append_with_repeats(vec![kept('a', true), kept('b', false)], place(12));
    passing.append_with_repeats(vec![kept('a', true)], place(13));
    assert_eq!(passing.since(Some(place(10))), ReplayAnswer::Records(vec!['b'], place(13)));
    assert_eq!(passing.since(Some(place(12))), ReplayAnswer::Records(vec![], place(13)));
    assert_eq!(
        passing.since_with_repeats(Some(place(10))),
        ReplayAnswer::Records(vec!['a', 'b', 'a'], place(13))
    );
    (0..5).for_each(|n| passing.append_with_repeats(vec![kept('b', true)], place(14 + n)));
    let late = passing.since_with_repeats(Some(place(10)));
    assert_eq!(
        late,
        ReplayAnswer::Records(vec!['b'; 5], place(18)),
        "old repeats are forgotten, news is not"
    );
}

fn known(name: &str, near: bool, store_answers: bool) -> PeerState<'_> {
    let number = name.bytes().last().unwrap_or_default();
    let address = address(number.into());
    PeerState {
        name,
        address,
        is_local: near,
        store_answers,
        reads_store: false,
        has_recent_proof: true,
        is_unresponsive: false,
        era: Era::default(),
        version: None,
    }
}

fn own(name: &str, store_answers: bool) -> LocalState<'_> {
    LocalState { name, store_answers, reads_store: false, retry_due: false, era: Era::default() }
}

#[test_case("a", true, ReadFrom::Store; "the first by name reads")]
#[test_case("b2", true, ReadFrom::Gateway(address(b'1'.into())); "the others ask it")]
#[test_case("a", false, ReadFrom::Gateway(address(b'1'.into())); "one that is turned away asks")]
fn one_of_a_domain_reads(name: &str, store_answers: bool, expected: ReadFrom) {
    let others = [
        known("b1", true, true),
        known("b5", true, true),
        known("a0", true, false),
        known("a4", false, true),
    ];
    let this = own(name, store_answers);
    assert_eq!(next_source(this, &others, 0, 0), expected);
    let alone = next_source(own(name, store_answers), &[], 0, 0);
    assert_eq!(alone, ReadFrom::Store, "whoever knows nobody reads the store");
}

/// The reader does not answer: others that the store answers are asked, here or elsewhere.
#[test]
fn who_gets_no_answer_asks_another() {
    let silent = PeerState { is_unresponsive: true, ..known("b1", true, true) };
    let this = own("c", true);
    let asked = next_source(this, &[silent.clone(), known("d4", false, true)], 0, 0);
    assert_eq!(asked, ReadFrom::Gateway(address(b'4'.into())));
    assert_eq!(next_source(this, &[silent], 0, 0), ReadFrom::Store);
}

/// A store that is silent leaves its reader without an answer for seconds: the others ask whoever knows
/// more, and the next by name takes over once the reader says that the store does not answer it.
#[test]
fn a_reader_whose_proof_is_old_is_not_asked() {
    let old = PeerState { has_recent_proof: false, ..known("b1", true, true) };
    let this = own("c", true);
    let near =
        next_source(this, &[old.clone(), known("d2", true, true), known("x3", false, true)], 0, 9);
    assert_eq!(near, ReadFrom::Gateway(address(b'2'.into())));
    let far = next_source(this, &[old.clone(), known("x3", false, true)], 0, 9);
    assert_eq!(far, ReadFrom::Gateway(address(b'3'.into())));
    let alone = next_source(this, std::slice::from_ref(&old), 0, 9);
    assert_eq!(alone, ReadFrom::Store, "nobody knows more");
    let turned_away = PeerState { store_answers: false, ..old };
    let next = next_source(this, &[turned_away, known("d2", true, true)], 0, 9);
    assert_eq!(next, ReadFrom::Store, "it is the first that the store answers");
}

/// The readers of a domain are turned away, as is everybody there: another domain helps.
#[test]
fn a_domain_that_the_store_turns_away_asks_another() {
    let turned_away = |name| PeerState { has_recent_proof: false, ..known(name, true, false) };
    let others = [turned_away("a1"), turned_away("b2"), known("z3", false, true)];
    let first = own("a0", false);
    assert_eq!(next_source(first, &others, 0, 5), ReadFrom::Gateway(address(b'3'.into())));
    let due = LocalState { retry_due: true, ..first };
    assert_eq!(next_source(due, &others, 0, 5), ReadFrom::Store, "now and then it tries the store");
    let last = LocalState { name: "c9", ..first };
    assert_eq!(next_source(last, &others, 0, 5), ReadFrom::Gateway(address(b'3'.into())));
}

/// It has not heard that the store came back from a copy, and had nothing to tell to one that has: whoever asked it waited in vain,
/// and then asked the next one.
#[test]
fn a_gateway_that_knows_an_earlier_era_is_not_asked() {
    let this = LocalState { era: Era(2), ..own("c", true) };
    let behind = PeerState { era: Era(1), ..known("b1", true, true) };
    let heard = PeerState { era: Era(2), ..known("d4", false, true) };
    let asked = next_source(this, &[behind.clone(), heard], 0, 0);
    assert_eq!(asked, ReadFrom::Gateway(address(b'4'.into())));
    assert_eq!(next_source(this, &[behind], 0, 0), ReadFrom::Store);
}

/// Each question in vain takes half a second, and there is always another gateway to ask.
#[test]
fn after_questions_in_vain_the_store_is_read() {
    let others = [known("b1", true, true), known("b2", true, true), known("b3", true, true)];
    assert_eq!(next_source(own("c", true), &others, 2, 0), ReadFrom::Store);
    assert_ne!(next_source(own("c", false), &others, 2, 0), ReadFrom::Store, "it is turned away");
}

/// It read the store, which had come back from a copy that lacked the newest version.
#[test]
fn a_gateway_that_starts_asks_one_that_holds_the_newest_version() {
    let holds =
        |name, version, era| PeerState { version, era: Era(era), ..known(name, true, true) };
    let others = [holds("b1", None, 2), holds("b2", Some(4), 2), holds("b3", Some(7), 1)];
    assert_eq!(first_source(&others, 0), Some(address(b'3'.into())));
    assert_eq!(first_source(&others[..1], 0), None);
    let avoided = PeerState { is_unresponsive: true, ..others[2].clone() };
    assert_eq!(first_source(&[avoided, others[1].clone()], 0), Some(address(b'2'.into())));
}

/// The first by name was taken for the reader before it had read anything, and nobody read the store meanwhile.
#[test]
fn the_reader_reads_on_until_the_first_by_name_has_read_the_store() {
    let reader = LocalState { reads_store: true, ..own("b", true) };
    let starts = known("a1", true, true);
    assert_eq!(
        next_source(reader, &[starts.clone(), known("c2", true, true)], 0, 0),
        ReadFrom::Store
    );
    let has_read = PeerState { reads_store: true, ..starts.clone() };
    let asked = next_source(reader, &[has_read, known("c2", true, true)], 0, 0);
    assert_eq!(asked, ReadFrom::Gateway(address(b'1'.into())));
    let others = [starts, PeerState { reads_store: true, ..known("b2", true, true) }];
    assert_eq!(next_source(own("c", true), &others, 0, 0), ReadFrom::Gateway(address(b'2'.into())));
    assert_eq!(next_source(own("a0", true), &others, 0, 0), ReadFrom::Store, "it comes first");
}
