//! Process of an entry: shared state, timers, start and stop.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use ntex::time::{Millis as Wait, sleep};
use oliveworks_core::decider::Decider;
use oliveworks_core::feed::{entry_sources, rank_entries};
use oliveworks_core::id::{Epoch, HostId, Millis};
use oliveworks_core::template::TemplateKey;
use oliveworks_feed::{Links, Store, follow};
use oliveworks_net::net::Net;
use oliveworks_net::wire::{Question, Reply};
use oliveworks_platform::client::Platform;
use oliveworks_platform::sign::{KeyRing, SigningKey};
use oliveworks_runtime::clock::Clock;
use oliveworks_runtime::metrics::Metrics;
use oliveworks_runtime::process::stop_asked;
use oliveworks_runtime::timeline::{Event, Timeline};
use rand::RngExt;

use crate::settings::Settings;
use crate::state::Core;

/// Time between two checks of the queues, in milliseconds.
const TICK_MS: u32 = 20;
/// Timeout of a status query to an agent.
pub const HELLO_TIMEOUT: Duration = Duration::from_millis(900);

/// State shared by the tasks of the process.
pub struct Entry {
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
    /// Whether the entry is stopping and accepts no further requests.
    pub draining: AtomicBool,
    /// Number of requests in progress.
    pub in_flight: AtomicUsize,
    /// Rank of this entry among the deciders, from 0.
    pub rank: u64,
    core: Mutex<Core>,
}

impl Entry {
    /// Locks the state. The lock must be held only briefly. Code that needs the pool as well must
    /// lock the pool first and the state inside [`Store::with_pool`]. The opposite order can
    /// deadlock.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an event to the timeline.
    pub fn record_event(&self, event: Event) {
        self.timeline.note(event);
    }

    fn configure(&self) {
        let settings = &self.settings;
        self.store.with_pool(|pool| {
            let max_groups = settings.callers.groups;
            self.core().configure(pool, settings.entry, max_groups, settings.routing);
        });
    }

    /// Returns the presumed leader of a group and the address of its agent.
    pub fn leader(&self, epoch: Epoch) -> Option<(HostId, std::net::SocketAddr)> {
        if let Some(leader) = self.core().leaders.get(&epoch) {
            return Some(*leader);
        }
        self.store.with_pool(|pool| {
            let group = pool.group(epoch)?;
            Some((*group.ranked.first()?, *group.addresses.first()?))
        })
    }

    /// Returns the host after `host` in the rank order of a group, which is the next candidate for
    /// the presumed leader.
    fn next_ranked(&self, epoch: Epoch, host: HostId) -> Option<(HostId, std::net::SocketAddr)> {
        self.store.with_pool(|pool| {
            let group = pool.group(epoch)?;
            let at = group.ranked.iter().position(|h| *h == host).map_or(0, |i| i + 1);
            let at = at % group.ranked.len().max(1);
            Some((*group.ranked.get(at)?, *group.addresses.get(at)?))
        })
    }

    /// Queries the status of a group's presumed leader. Returns whether the leader serves the
    /// group.
    pub async fn query_leader(&self, template: &TemplateKey, epoch: Epoch) -> bool {
        let Some((host, at)) = self.leader(epoch) else { return false };
        let from = self.core().agents.get(&host).map_or(0, |status| status.next_event);
        let question = Question::Hello(from);
        match self.net.ask(&host.to_string(), at, &question, HELLO_TIMEOUT).await {
            Ok(Reply::Hello(hello)) => {
                let now = self.clock.now();
                self.core().record_status(now, template, epoch, (host, at), &hello);
                let serving = hello.serving == Some(epoch);
                if !serving && hello.leader.is_none() {
                    self.guess_next_leader(epoch, host);
                }
                serving
            }
            other => {
                if let Err(e) = other {
                    log::debug!("Querying the status of {host} failed: {e:#}.");
                }
                self.guess_next_leader(epoch, host);
                false
            }
        }
    }

    /// Presumes that the host after `host` in rank order leads the group. Used when `host` neither
    /// leads the group nor names the leader.
    pub fn guess_next_leader(&self, epoch: Epoch, host: HostId) {
        if let Some(guess) = self.next_ranked(epoch, host) {
            self.core().leaders.insert(epoch, guess);
        }
    }
}

/// Runs the entry until the process is asked to stop.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let clock = Clock::new();
    let metrics = Arc::new(Metrics::new());
    let timeline = Arc::new(Timeline::new(&settings.entry.to_string()));
    let (net, connections) = Net::open(settings.peer, settings.tls.clone(), metrics.clone())?;
    if net.name() != settings.entry.to_string() {
        anyhow::bail!(
            "tls.cert: the certificate names {}, expected {}",
            net.name(),
            settings.entry
        );
    }
    let net = Arc::new(net);
    let keys = &settings.record_keys;
    let ring = KeyRing::of_fleet(&keys.partners, &keys.system).context("record_keys")?;
    let system_key = std::fs::read_to_string(&settings.system_key)
        .with_context(|| format!("system_key: {}", settings.system_key.display()))?;
    let system_key = SigningKey::from_hex(&system_key).context("system_key")?;
    if system_key.public_hex() != keys.system {
        anyhow::bail!("system_key: the private key does not match record_keys.system");
    }
    let entries: Vec<_> = settings.entries.iter().map(|e| e.at()).collect();
    let sources = entry_sources(settings.entry, &settings.region, &entries, settings.feed.fan_out);
    let mut rng = rand::rng();
    let partners = keys.partners.keys().cloned();
    let store =
        Arc::new(Store::new(clock.now(), rng.random(), partners, ring, sources, settings.feed));
    let deciders = rank_entries("decider", settings.entries.iter().map(|e| e.entry));
    let rank = deciders.iter().position(|e| *e == settings.entry).unwrap_or(0) as u64;
    let decider = Decider::new(clock.now(), rank, settings.decider);
    let core = Core::new(settings.admission, &settings.callers, decider);
    let entry = Arc::new(Entry {
        clock,
        store,
        net,
        metrics,
        timeline,
        draining: AtomicBool::new(false),
        in_flight: AtomicUsize::new(0),
        rank,
        core: Mutex::new(core),
        settings,
    });
    entry.record_event(Event::new("entry", "started"));
    let listen = TcpListener::bind(entry.settings.listen)
        .with_context(|| format!("listen: {}", entry.settings.listen))?;
    let admin = crate::admin::serve(&entry)?;
    let callers = crate::callers::serve(&entry, listen)?;
    start(&entry, connections, system_key).await;
    log::info!("Listening for callers at {}.", entry.settings.listen);
    stop_asked().await;
    stop(&entry).await;
    callers.stop(true).await;
    admin.stop(true).await;
    entry.net.close().await;
    Ok(())
}

async fn start(entry: &Arc<Entry>, connections: crate::peers::Connections, key: SigningKey) {
    tokio::spawn(entry.net.clone().accept());
    ntex::rt::spawn(crate::peers::serve(entry.clone(), connections));
    let platform = Platform::new(&entry.settings.platform).await;
    let links = Links {
        net: entry.net.clone(),
        platform: platform.clone(),
        entries: entry.settings.entries.iter().map(|e| (e.entry, e.peer)).collect(),
        clock: entry.clock,
    };
    let following = entry.clone();
    ntex::rt::spawn(async move {
        let store = following.store.clone();
        follow(store, links, |applied| {
            following.configure();
            let mut core = following.core();
            for (_, record) in &applied.records {
                core.decider.applied(record);
            }
        })
        .await;
    });
    ntex::rt::spawn(crate::decide::decide(entry.clone(), platform, key));
    ntex::rt::spawn(tick(entry.clone()));
    ntex::rt::spawn(query_groups(entry.clone()));
    tokio::spawn(entry.net.clone().keep_keys_current());
}

/// Rejects new requests and waits for requests in progress, at most for the configured drain time.
async fn stop(entry: &Entry) {
    log::info!(
        "Stop requested; waiting for {} requests in progress.",
        entry.in_flight.load(Ordering::Relaxed)
    );
    entry.record_event(Event::new("entry", "stopping"));
    entry.draining.store(true, Ordering::Relaxed);
    let until = entry.clock.now().plus(entry.settings.drain_ms);
    while entry.in_flight.load(Ordering::Relaxed) > 0 && entry.clock.now() < until {
        sleep(Wait(TICK_MS)).await;
    }
}

async fn tick(entry: Arc<Entry>) {
    loop {
        let now = entry.clock.now();
        let waiting = {
            let mut core = entry.core();
            if core.waiting() > 0 {
                core.tick(now);
            }
            core.waiting()
        };
        entry.metrics.set("waiting", waiting as i64);
        entry.metrics.set("open", entry.in_flight.load(Ordering::Relaxed) as i64);
        sleep(Wait(TICK_MS)).await;
    }
}

/// Periodically queries the status of the groups that this entry uses.
async fn query_groups(entry: Arc<Entry>) {
    let mut last = Millis(0);
    loop {
        sleep(Wait(TICK_MS * 2)).await;
        let now = entry.clock.now();
        if now.since(last) < entry.settings.callers.hello_ms {
            continue;
        }
        last = now;
        let groups: Vec<(TemplateKey, Epoch)> = {
            let core = entry.core();
            let pairs =
                core.routers.iter().flat_map(|(t, r)| r.groups().map(move |e| (t.clone(), e)));
            pairs.collect()
        };
        for (template, epoch) in groups {
            let entry = entry.clone();
            ntex::rt::spawn(async move {
                if entry.query_leader(&template, epoch).await {
                    let now = entry.clock.now();
                    entry.core().admit_waiting(now);
                }
            });
        }
    }
}
