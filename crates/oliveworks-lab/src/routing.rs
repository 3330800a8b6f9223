//! Simulation of routing policies on a seeded trace. Measures times to first token and between
//! tokens, goodput and refusals.
//!
//! The shipped [`Router`] and [`Admission`] run against a simple model of engines with continuous
//! batching and a prefix cache. All policies get the same arrivals.

use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};

use hdrhistogram::Histogram;
use oliveworks_core::admit::{Admission, AdmitConfig, WaitingRequest, WorkspaceKey};
use oliveworks_core::id::{Epoch, Millis, Name, RequestId};
use oliveworks_core::route::{Load, Policy, RouteConfig, Router};
use oliveworks_core::template::TemplateKey;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of groups behind the entry.
const GROUPS: u64 = 8;
/// Number of requests that a group runs concurrently.
const CAPACITY: u32 = 16;
/// Duration of an engine step without requests, and the time that each request adds, in
/// milliseconds.
const STEP_MS: f64 = 8.0;
const STEP_PER_REQUEST_MS: f64 = 0.35;
/// Number of prompt tokens that an engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 8.0;
/// Number of tokens in a block of the prefix cache, and maximum number of blocks in the cache.
const BLOCK_TOKENS: u32 = 16;
const CACHE_BLOCKS: usize = 1_200;
/// Time between two load reports of a group, in milliseconds.
const REPORT_MS: u64 = 500;
/// Deadline of a request after its arrival, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

/// Results of a policy.
#[derive(Debug)]
pub struct Outcome {
    /// Times to the first token, in milliseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens, in milliseconds.
    pub between_tokens: Histogram<u64>,
    /// Tokens per second of answers that met their deadline.
    pub goodput: f64,
    /// Refused requests, in percent.
    pub refused: f64,
    /// Answers whose first token arrived within 580 ms, in percent of all requests.
    pub in_time: f64,
}

#[derive(Clone, Debug)]
struct Request {
    at: f64,
    prefix: Vec<u64>,
    prompt: u32,
    tokens: u32,
    partner: usize,
}

#[derive(Debug)]
struct Job {
    request: usize,
    tokens_left: u32,
    prefill: f64,
    last_token_at: Option<f64>,
}

#[derive(Default)]
struct Engine {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    cache: HashSet<u64>,
    eviction_order: VecDeque<u64>,
}

impl Engine {
    fn cache_prefix(&mut self, blocks: &[u64]) -> u32 {
        let cached = blocks.iter().take_while(|b| self.cache.contains(b)).count();
        for block in &blocks[cached..] {
            if self.cache.insert(*block) {
                self.eviction_order.push_back(*block);
            }
        }
        while self.eviction_order.len() > CACHE_BLOCKS {
            if let Some(old) = self.eviction_order.pop_front() {
                self.cache.remove(&old);
            }
        }
        cached as u32 * BLOCK_TOKENS
    }

    fn load(&self) -> Load {
        let prefill: f64 = self.running.iter().chain(&self.waiting).map(|j| j.prefill).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill: prefill as u32,
            capacity: CAPACITY,
        }
    }
}

/// Returns the requests of the two partners: short dispatch questions that share few long prefixes,
/// and rehearsal plans that share many, longer ones. `load` is relative to what the groups can
/// carry, taken as 85 percent of their decode throughput with full batches.
fn requests(seed: u64, load: f64, seconds: f64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mean_tokens = 0.6 * 60.0 + 0.4 * 140.0;
    let step = STEP_MS + STEP_PER_REQUEST_MS * f64::from(CAPACITY);
    let per_second = GROUPS as f64 * f64::from(CAPACITY) * 1000.0 / step / mean_tokens;
    let rate = per_second * load * 0.85;
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < seconds * 1000.0 {
        at += -rng.random::<f64>().max(1e-12).ln() * 1000.0 / rate;
        let partner = usize::from(rng.random::<f64>() > 0.6);
        let (prefixes, blocks) = if partner == 0 { (24, 20) } else { (60, 32) };
        let prefix_index = (rng.random::<f64>().powi(2) * f64::from(prefixes)) as u64;
        let first_block = (partner as u64 + 1) * 1_000_000 + prefix_index * 1_000;
        let unique_blocks = rng.random_range(1..6);
        let first_unique_block = rng.random_range(0..u64::MAX / 2) | (1 << 62);
        let prefix = (0..blocks)
            .map(|b| first_block + b)
            .chain((0..unique_blocks).map(|b| first_unique_block + b))
            .collect();
        let tokens =
            if partner == 0 { rng.random_range(20..100) } else { rng.random_range(60..220) };
        let prompt = (blocks as u32 + unique_blocks as u32) * BLOCK_TOKENS
            + rng.random_range(0..BLOCK_TOKENS);
        all.push(Request { at, prefix, prompt, tokens, partner });
    }
    all
}

#[derive(Debug, PartialEq)]
struct TimedEvent(f64, u64);

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &TimedEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &TimedEvent) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the name literal is valid")
}

struct Simulation {
    requests: Vec<Request>,
    engines: BTreeMap<Epoch, Engine>,
    router: Router,
    admission: Admission,
    by_id: HashMap<RequestId, usize>,
    rng: ChaCha8Rng,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    good_tokens: u64,
    refused: u64,
    in_time: u64,
}

/// Event numbers of arrivals and load reports. The step of an engine has the number of its group.
const ARRIVAL: u64 = 1_000;
const REPORT: u64 = 1_001;

/// Simulates one policy on the trace of a seed.
pub fn measure(policy: Policy, seed: u64, load: f64, seconds: f64) -> Outcome {
    let requests = requests(seed, load, seconds);
    let routing =
        RouteConfig { policy, prefill_per_ms: PREFILL_TOKENS_PER_MS, ..RouteConfig::default() };
    let mut router = Router::new(routing);
    let groups: Vec<Epoch> = (0..GROUPS).map(Epoch).collect();
    router.set_groups(groups.iter().copied());
    let histogram =
        || Histogram::new_with_bounds(1, 600_000, 3).expect("the histogram bounds are valid");
    let mut sim = Simulation {
        engines: groups.iter().map(|e| (*e, Engine::default())).collect(),
        router,
        admission: Admission::new(AdmitConfig::default()),
        by_id: HashMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        first_token: histogram(),
        between_tokens: histogram(),
        good_tokens: 0,
        refused: 0,
        in_time: 0,
        requests,
    };
    sim.run();
    let total = sim.requests.len().max(1) as f64;
    Outcome {
        goodput: sim.good_tokens as f64 / seconds,
        refused: 100.0 * sim.refused as f64 / total,
        in_time: 100.0 * sim.in_time as f64 / total,
        first_token: sim.first_token,
        between_tokens: sim.between_tokens,
    }
}

impl Simulation {
    fn run(&mut self) {
        let mut queue: BinaryHeap<TimedEvent> = BinaryHeap::new();
        let mut next = 0;
        queue.push(TimedEvent(self.requests[0].at, ARRIVAL));
        queue.push(TimedEvent(0.0, REPORT));
        for group in 0..GROUPS {
            queue.push(TimedEvent(0.0, group));
        }
        let end = self.requests.last().map_or(0.0, |r| r.at) + DEADLINE_MS as f64;
        while let Some(TimedEvent(now, event)) = queue.pop() {
            if now > end {
                return;
            }
            match event {
                ARRIVAL => {
                    self.arrive(now, next);
                    next += 1;
                    if let Some(request) = self.requests.get(next) {
                        queue.push(TimedEvent(request.at, ARRIVAL));
                    }
                }
                REPORT => {
                    for (epoch, engine) in &self.engines {
                        self.router.report(*epoch, engine.load());
                    }
                    self.dispatch_waiting(now);
                    queue.push(TimedEvent(now + REPORT_MS as f64, REPORT));
                }
                group => {
                    let duration_ms = self.step(now, Epoch(group));
                    queue.push(TimedEvent(now + duration_ms, group));
                }
            }
        }
    }

    fn arrive(&mut self, now: f64, index: usize) {
        let request = &self.requests[index];
        let id = RequestId(index as u128 + 1);
        let partner = name(["saffah", "sahel"][request.partner]);
        let owner = WorkspaceKey { partner: partner.clone(), workspace: name("main") };
        let template = TemplateKey { partner, workspace: name("main"), name: name("a") };
        let deadline = Millis(now as u64 + DEADLINE_MS);
        let waiting = WaitingRequest { id, template, priority: 5, deadline, limit: 128 };
        self.by_id.insert(id, index);
        let refused = self.admission.enqueue(Millis(now as u64), &owner, 1, waiting);
        self.refused += refused.len() as u64;
        self.dispatch_waiting(now);
    }

    fn dispatch_waiting(&mut self, now: f64) {
        let millis = Millis(now as u64);
        loop {
            let has_capacity = self.router.has_room(millis);
            let (next, expired) = self.admission.next(millis, |_| has_capacity);
            self.refused += expired.len() as u64;
            let Some(id) = next else { return };
            let index = self.by_id[&id];
            let request = &self.requests[index];
            let chosen =
                self.router.choose(millis, &mut self.rng, &request.prefix, request.prompt, &[]);
            let Some(epoch) = chosen else { return };
            self.router.sent(epoch, &request.prefix, request.prompt);
            let job = Job {
                request: index,
                tokens_left: request.tokens,
                prefill: 0.0,
                last_token_at: None,
            };
            if let Some(engine) = self.engines.get_mut(&epoch) {
                engine.waiting.push_back(job);
            }
        }
    }

    /// Runs one engine step: admits waiting requests, prefills their uncached tokens, and produces
    /// a token for each request. Returns the duration of the step in milliseconds.
    fn step(&mut self, now: f64, epoch: Epoch) -> f64 {
        let Some(engine) = self.engines.get_mut(&epoch) else { return STEP_MS };
        let mut duration_ms = 0.0;
        while engine.running.len() < CAPACITY as usize {
            let Some(mut job) = engine.waiting.pop_front() else { break };
            let request = &self.requests[job.request];
            let cached = engine.cache_prefix(&request.prefix);
            job.prefill = f64::from(request.prompt.saturating_sub(cached));
            duration_ms += job.prefill / PREFILL_TOKENS_PER_MS;
            engine.running.push(job);
        }
        duration_ms += STEP_MS + STEP_PER_REQUEST_MS * engine.running.len() as f64;
        let done_at = now + duration_ms;
        let mut ended = Vec::new();
        for job in &mut engine.running {
            let request = &self.requests[job.request];
            let gap = match job.last_token_at {
                None => {
                    let wait = done_at - request.at;
                    self.first_token.saturating_record(wait.max(1.0) as u64);
                    self.in_time += u64::from(wait <= 580.0);
                    None
                }
                Some(last) => Some(done_at - last),
            };
            if let Some(gap) = gap {
                self.between_tokens.saturating_record(gap.max(1.0) as u64);
            }
            job.prefill = 0.0;
            job.last_token_at = Some(done_at);
            job.tokens_left -= 1;
            if job.tokens_left == 0 {
                if done_at <= request.at + DEADLINE_MS as f64 {
                    self.good_tokens += u64::from(request.tokens);
                }
                ended.push(job.request);
            }
        }
        engine.running.retain(|j| j.tokens_left > 0);
        if !ended.is_empty() {
            // The end of an answer carries a load report.
            let load = engine.load();
            for _ in &ended {
                self.router.ended(Millis(now as u64), epoch, false);
            }
            self.router.report(epoch, load);
            self.dispatch_waiting(now);
        }
        duration_ms
    }
}
