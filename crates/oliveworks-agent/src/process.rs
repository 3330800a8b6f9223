//! Process of an agent: state, timers, start and stop.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use ntex::time::{Millis as Wait, sleep};
use oliveworks_core::agent::{Agent, AgentConfig, Assigned, Command};
use oliveworks_core::feed::{agent_sources, rank_entries};
use oliveworks_core::id::{HostId, Incarnation};
use oliveworks_core::ledger::Now;
use oliveworks_core::message::GroupReport;
use oliveworks_core::route::Load;
use oliveworks_feed::{Links, Store, follow};
use oliveworks_net::net::Net;
use oliveworks_net::wire::{Datagram, Question};
use oliveworks_platform::client::Platform;
use oliveworks_platform::engine::Engine;
use oliveworks_platform::sign::KeyRing;
use oliveworks_runtime::clock::{Clock, wall_ms};
use oliveworks_runtime::metrics::Metrics;
use oliveworks_runtime::process::stop_asked;
use oliveworks_runtime::timeline::{Event, Timeline};
use rand::RngExt;
use tokio::sync::watch;

use crate::settings::Settings;

/// Time between two ticks of the agent's decisions, in milliseconds.
const TICK_MS: u32 = 50;
/// Time after which an unchanged report is sent again, in milliseconds.
const REPORT_MS: u64 = 30_000;
/// Number of entries, by rank, that may decide and therefore receive reports.
const REPORT_RECEIVERS: usize = 3;

/// Latest state that the backend server reported.
#[derive(Clone, Debug, Default)]
pub struct BackendState {
    /// Load of the backend server.
    pub load: Load,
    /// Recent cache events: number, whether the block was stored (`true`) or evicted (`false`), and
    /// the block's hash.
    pub events: VecDeque<(u64, bool, u64)>,
    /// Number of the next cache event.
    pub next_event: u64,
    /// Digest of the weights that the server holds.
    pub weights: Option<u64>,
}

/// State shared by the tasks of the process.
pub struct Process {
    /// Settings.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// Configuration.
    pub store: Arc<Store>,
    /// Network endpoint.
    pub net: Arc<Net>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Timeline of events.
    pub timeline: Arc<Timeline>,
    /// Client of the backend server.
    pub engine: Engine,
    /// Latest state that the backend server reported.
    pub backend: Arc<Mutex<BackendState>>,
    agent: Arc<Mutex<Agent>>,
    cancellations: watch::Sender<u64>,
}

/// Locks a mutex, even if a thread panicked while it held the lock. Changes of the [`Agent`]
/// leave no partly changed state behind.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Process {
    /// Returns the name and address of another host's agent, if the host is in this host's group.
    fn peer(&self, host: HostId) -> Option<(String, std::net::SocketAddr)> {
        let own_host = self.settings.host;
        let at = self.store.with_pool(|p| p.group_of(own_host).and_then(|g| g.address(host)))?;
        Some((host.to_string(), at))
    }

    /// Returns the leader that holds this host's promise and the address of its agent. Returns
    /// `None` if there is no such leader or this host is the leader itself.
    pub fn leader(&self) -> Option<(HostId, std::net::SocketAddr)> {
        let leader = lock(&self.agent).leader(self.clock.now())?;
        if leader == self.settings.host {
            return None;
        }
        self.peer(leader).map(|(_, at)| (leader, at))
    }

    /// Returns the current time and configuration age for the ledger.
    pub fn ledger_now(&self) -> Now {
        let mono = self.clock.now();
        let age = self.store.age_ms(mono).unwrap_or(u64::MAX);
        Now { mono, wall_ms: wall_ms(), config_age_ms: age }
    }

    /// Applies `change` to the state of the [`Agent`] and carries out the resulting commands.
    pub fn apply(self: &Arc<Process>, change: impl FnOnce(&mut Agent) -> Vec<Command>) {
        let commands = change(&mut lock(&self.agent));
        for command in commands {
            self.execute(command);
        }
    }

    /// Reads the state of the [`Agent`], or changes it in a way that results in no commands.
    pub fn with_agent<T>(&self, access: impl FnOnce(&mut Agent) -> T) -> T {
        access(&mut lock(&self.agent))
    }

    /// Returns a receiver that is notified when all running requests must end.
    pub fn cancellations(&self) -> watch::Receiver<u64> {
        self.cancellations.subscribe()
    }

    fn execute(self: &Arc<Process>, command: Command) {
        match command {
            Command::Send(host, msg) => {
                if let Some((name, at)) = self.peer(host) {
                    let datagram = Datagram::Lease(self.settings.host, msg);
                    self.net.send_datagram(&name, at, &datagram);
                }
            }
            Command::Order(number, order) => self.clone().send_order(number, order),
            Command::CancelRequests => self.cancellations.send_modify(|n| *n += 1),
            Command::RecordEvent(kind, text) => self.record_event(kind, text),
        }
    }

    fn record_event(&self, kind: &str, text: String) {
        let group = self.with_agent(|a| a.assigned().map(|a| a.epoch));
        let mut event = Event::new("agent", kind).host(self.settings.host).text(text);
        if let Some(group) = group {
            event = event.group(group);
        }
        log::info!("Group event {kind}: {}.", event.text);
        self.timeline.note(event);
    }

    /// Sets the group that the log assigns to this host, after records were applied. `proved`
    /// is [`Applied::proved`](oliveworks_feed::Applied::proved) of these records.
    fn assign(self: &Arc<Process>, proved: bool) {
        let host = self.settings.host;
        let assigned = self.store.with_pool(|pool| Assigned::of(pool, host));
        let now = self.clock.now();
        self.apply(|agent| agent.assign(now, assigned, proved));
    }
}

/// Runs the agent until the process is asked to stop.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let clock = Clock::new();
    let metrics = Arc::new(Metrics::new());
    let timeline = Arc::new(Timeline::new(&settings.host.to_string()));
    let (net, connections) = Net::open(settings.peer, settings.tls.clone(), metrics.clone())?;
    if net.name() != settings.host.to_string() {
        anyhow::bail!("tls.cert: the certificate names {}, expected {}", net.name(), settings.host);
    }
    let keys = &settings.record_keys;
    let ring = KeyRing::of_fleet(&keys.partners, &keys.system).context("record_keys")?;
    let mut rng = rand::rng();
    let entries: Vec<_> = settings.entries.iter().map(|e| e.at()).collect();
    let store = Arc::new(Store::new(
        clock.now(),
        rng.random(),
        keys.partners.keys().cloned(),
        ring,
        agent_sources(settings.host, &settings.region, &entries),
        settings.feed,
    ));
    let backend = &settings.backend;
    let config = AgentConfig {
        host: settings.host,
        lease: settings.lease,
        ledger: settings.ledger,
        order_max_ms: if backend.checks_fences { 0 } else { backend.order_max_ms },
    };
    let agent = Agent::new(clock.now(), Incarnation(rng.random()), config);
    #[expect(clippy::arc_with_non_send_sync, reason = "the Agent's tasks share one thread")]
    let process = Arc::new(Process {
        engine: Engine::new(&backend.url).await,
        clock,
        store,
        net: Arc::new(net),
        metrics,
        timeline,
        backend: Arc::default(),
        agent: Arc::new(Mutex::new(agent)),
        cancellations: watch::channel(0).0,
        settings,
    });
    process.timeline.note(Event::new("agent", "started").host(process.settings.host));
    let server = crate::admin::serve(&process)?;
    process.start(connections).await;
    crate::backend::wait_for_backend(&process).await;
    ntex::rt::spawn(crate::backend::watch(process.clone()));
    ntex::rt::spawn(tick(process.clone()));
    ntex::rt::spawn(report(process.clone()));
    tokio::spawn(process.net.clone().keep_keys_current());
    log::info!("The agent of {} has started.", process.settings.host);
    stop_asked().await;
    process.stop().await;
    server.stop(true).await;
    process.net.close().await;
    Ok(())
}

impl Process {
    async fn start(self: &Arc<Process>, connections: crate::peers::Connections) {
        tokio::spawn(self.net.clone().accept());
        ntex::rt::spawn(crate::peers::serve(self.clone(), connections));
        let links = Links {
            net: self.net.clone(),
            platform: Platform::new(&self.settings.platform).await,
            entries: self.settings.entries.iter().map(|e| (e.entry, e.peer)).collect(),
            clock: self.clock,
        };
        let process = self.clone();
        ntex::rt::spawn(async move {
            let store = process.store.clone();
            follow(store, links, |applied| process.assign(applied.proved)).await;
        });
    }

    /// Announces that the host leaves, and waits until the host belongs to no group and no request
    /// runs, at most for the configured drain time.
    async fn stop(self: &Arc<Process>) {
        log::info!("Stop requested; draining the host.");
        self.timeline.note(Event::new("agent", "stopping").host(self.settings.host));
        self.apply(|agent| agent.leave());
        let until = self.clock.now().plus(self.settings.drain_ms);
        while self.clock.now() < until {
            let member = self.store.with_pool(|p| p.group_of(self.settings.host).is_some());
            let idle = self.with_agent(|a| a.is_idle());
            if !member && idle {
                return;
            }
            sleep(Wait(TICK_MS * 2)).await;
        }
        log::warn!("The host was not drained within the drain time; running requests are aborted.");
    }
}

async fn tick(process: Arc<Process>) {
    loop {
        let now = process.ledger_now();
        process.apply(|agent| {
            let commands = agent.tick(now.mono);
            agent.tick_home(now);
            commands
        });
        sleep(Wait(TICK_MS)).await;
    }
}

/// Sends reports of this host's group to the deciders: soon after every change, and at regular
/// intervals.
async fn report(process: Arc<Process>) {
    let mut last_sent: Option<(GroupReport, u64)> = None;
    let deciders = rank_entries("decider", process.settings.entries.iter().map(|e| e.entry));
    let deciders: Vec<_> = deciders.into_iter().take(REPORT_RECEIVERS).collect();
    loop {
        sleep(Wait(TICK_MS * 2)).await;
        let now = process.clock.now();
        let Some(report) = process.with_agent(|a| a.report(now)) else {
            last_sent = None;
            continue;
        };
        let is_due =
            last_sent.as_ref().is_none_or(|(old, at)| *old != report || now.0 >= at + REPORT_MS);
        if !is_due {
            continue;
        }
        last_sent = Some((report.clone(), now.0));
        for entry in process.settings.entries.iter().filter(|e| deciders.contains(&e.entry)) {
            let (process, entry) = (process.clone(), entry.clone());
            let question = Question::Report(report.clone());
            ntex::rt::spawn(async move {
                let timeout = Duration::from_secs(2);
                let name = entry.entry.to_string();
                // A decider that was not reached receives the next report.
                let _ = process.net.ask(&name, entry.peer, &question, timeout).await;
            });
        }
    }
}
