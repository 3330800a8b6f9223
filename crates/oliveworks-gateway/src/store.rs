//! Follows the platform's records: configuration, backend servers, leaders.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::BackendServerId;
use oliveworks_gateway_core::configuration::Lookup;
use oliveworks_gateway_core::election::Claim;
use oliveworks_gateway_core::listing::{Listing, ListingConfig};
use tokio::time::sleep;

use crate::dialect::{Call, Claimed, Record, Tail, Topic};
use crate::events::Event;
use crate::exchange::{self, Exchange};
use crate::state::Gateway;

/// The pause after a failed call, in ms; doubles up to the second figure.
const RETRY_MS: (u64, u64) = (40, 320);
/// How long the store holds a read of the leaders' topic back.
const LEADERS_WAIT_MS: u64 = 15_000;
/// The time between two reads of backend servers' records while new ones come.
const SERVERS_QUICK_MS: u64 = 300;
/// How long after the last new one the list counts as complete.
const SERVERS_SETTLE_MS: u64 = 1_500;
/// How long after the last trouble of the store entries that went together may come back.
const MISSING_TROUBLED_MS: u64 = 2_300;
/// How many entries that are missing together mean that the store let them go.
const MANY: usize = 3;
const MANY_PERCENT: usize = 15;
/// How long a backend server that is gone is remembered.
const GONE_MS: u64 = 60_000;

/// A client of the store with one connection.
struct Client {
    gateway: Rc<Gateway>,
    exchange: Option<Exchange>,
}

impl Client {
    fn new(gateway: &Rc<Gateway>) -> Client {
        Client { gateway: gateway.clone(), exchange: None }
    }

    async fn open(&mut self, within_ms: u64) -> Result<Exchange, String> {
        if let Some(mut kept) = self.exchange.take()
            && kept.is_usable().await
        {
            return Ok(kept);
        }
        let opened = Exchange::open(self.gateway.settings.store.address, within_ms).await;
        opened.map_err(|why| format!("no connection: {why:?}"))
    }

    async fn call(&mut self, call: &Call, extra_ms: u64) -> Result<(u16, bytes::Bytes), String> {
        let store = self.gateway.settings.store.clone();
        let within_ms = store.call_ms + extra_ms;
        let mut open = self.open(store.call_ms).await?;
        match exchange::call(&mut open, store.address, call, within_ms).await {
            Ok(answer) => {
                self.exchange = Some(open);
                Ok(answer)
            }
            Err(why) => Err(why.to_string()),
        }
    }
}

/// A topic that is followed.
struct Follower {
    client: Client,
    topic: Topic,
    from: Option<u64>,
    pause_ms: u64,
}

/// What one step of following brought.
struct Step {
    records: Vec<Record>,
    /// Whether these are all newest records and not just what was added.
    snapshot: bool,
    /// When the call was sent, and how long the store held it back.
    sent: Millis,
    held_ms: u64,
}

impl Follower {
    fn new(gateway: &Rc<Gateway>, topic: Topic) -> Follower {
        Follower { client: Client::new(gateway), topic, from: None, pause_ms: RETRY_MS.0 }
    }

    /// Makes one step; on failure, says so and pauses.
    async fn step(&mut self, wait_ms: u64) -> Option<Step> {
        let gateway = self.client.gateway.clone();
        let step = match self.from {
            None => self.snapshot().await,
            Some(from) => self.tail(from, wait_ms).await,
        };
        match step {
            Ok(step) => {
                self.pause_ms = RETRY_MS.0;
                gateway.store_answered();
                Some(step)
            }
            Err(why) => {
                gateway.store_failed(&format!("{:?}", self.topic), &why);
                sleep(Duration::from_millis(self.pause_ms)).await;
                self.pause_ms = (self.pause_ms * 2).min(RETRY_MS.1);
                None
            }
        }
    }

    async fn snapshot(&mut self) -> Result<Step, String> {
        let gateway = self.client.gateway.clone();
        let sent = gateway.now();
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        let mut first_end = None;
        if self.topic == Topic::Leaders {
            self.from = Some(0);
            return Ok(Step { records, snapshot: false, sent, held_ms: 0 });
        }
        loop {
            let call = gateway.dialect.newest(self.topic, after.as_deref());
            let (status, body) = self.client.call(&call, 0).await?;
            let page =
                gateway.dialect.page(self.topic, status, &body).map_err(|e| e.to_string())?;
            records.extend(page.records);
            // Pages are no snapshot: what changed since the first is read again.
            first_end.get_or_insert(page.end);
            after = page.after;
            if after.is_none() {
                break;
            }
        }
        self.from = first_end;
        Ok(Step { records, snapshot: true, sent, held_ms: 0 })
    }

    async fn tail(&mut self, from: u64, wait_ms: u64) -> Result<Step, String> {
        let gateway = self.client.gateway.clone();
        let sent = gateway.now();
        let call = gateway.dialect.tail(self.topic, from, wait_ms);
        let (status, body) = self.client.call(&call, wait_ms).await?;
        let tail = gateway
            .dialect
            .tailed(self.topic, from, status, &body)
            .map_err(|error| error.to_string())?;
        match tail {
            Tail::Records(records, next) => {
                let held_ms = if records.is_empty() { wait_ms } else { 0 };
                self.from = Some(next);
                Ok(Step { records, snapshot: false, sent, held_ms })
            }
            Tail::Expired(first) => {
                Event::new("records_expired")
                    .debug("topic", self.topic)
                    .with("from", from)
                    .with("first", first)
                    .write();
                self.from = (self.topic == Topic::Leaders).then_some(first);
                Ok(Step { records: Vec::new(), snapshot: false, sent, held_ms: 0 })
            }
            Tail::Refused(status) => Err(format!("refused with {status}")),
        }
    }
}

fn take_configuration(gateway: &Gateway, step: Step) {
    for record in step.records {
        match record {
            Record::Configuration(configuration) => {
                let held = gateway.lookup().map(|lookup| lookup.configuration.version);
                if held.is_some_and(|held| held >= configuration.version) {
                    continue;
                }
                Event::new("configuration")
                    .with("version", configuration.version)
                    .with("before", held)
                    .with("routes", configuration.routes.len())
                    .with("workspaces", configuration.workspaces.as_ref().map_or(0, Vec::len))
                    .write();
                *gateway.lookup.borrow_mut() = Some(Rc::new(Lookup::new(configuration)));
            }
            Record::Unknown(why) => warn!("configuration: {why}"),
            _ => {}
        }
    }
}

/// Follows the configuration.
pub async fn follow_configuration(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, Topic::Configuration);
    let longest_wait_ms = gateway.settings.configuration_wait_ms();
    let mut wait_ms = longest_wait_ms;
    loop {
        let Some(step) = follower.step(wait_ms).await else { continue };
        let known = follower.from.is_some();
        let (sent, held_ms) = (step.sent, step.held_ms);
        // An answer with records proves only what was so when the call was sent, perhaps long ago:
        // the next call is answered at once and proves more.
        wait_ms = if step.records.is_empty() { longest_wait_ms } else { 0 };
        take_configuration(&gateway, step);
        if known && gateway.lookup.borrow().is_some() {
            let mut freshness = gateway.freshness.get();
            freshness.proved(sent, held_ms);
            gateway.freshness.set(freshness);
        }
    }
}

/// Backend servers that are missing from the list, and since when.
#[derive(Default)]
struct Missing(BTreeMap<BackendServerId, Millis>);

impl Missing {
    /// Until when missing entries may come back.
    ///
    /// Only many at once, and only soon after the store was in trouble: then their leases ran out
    /// and the next heartbeats bring them back. One that goes alone has left.
    fn patient_until(&self, gateway: &Gateway) -> Millis {
        let listed = gateway.directory.borrow().len();
        let many = self.0.len() >= MANY && self.0.len() * 100 >= listed * MANY_PERCENT;
        match gateway.store_failed_at.get() {
            Some(failed_at) if many => failed_at + MISSING_TROUBLED_MS,
            _ => 0,
        }
    }

    /// Takes out those that are missing for long.
    fn sweep(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        gateway.gone.borrow_mut().retain(|_, at| now < *at + GONE_MS);
        if now < self.patient_until(gateway) {
            return;
        }
        for (id, since) in std::mem::take(&mut self.0) {
            let missing_ms = now - since;
            Event::new("host_gone").with("host", &*id).with("missing_ms", missing_ms).write();
            gateway.directory.borrow_mut().remove(&id);
            for planner in gateway.planners.borrow_mut().values_mut() {
                planner.unlisted(&id);
            }
            gateway.gone.borrow_mut().insert(id, now);
        }
    }
}

/// Takes records in; tells whether one was of a backend server that was not listed before.
fn take_servers(gateway: &Gateway, step: Step, missing: &mut Missing) -> bool {
    let mut new = false;
    let now = gateway.now();
    let mut listed = BTreeSet::new();
    for record in step.records {
        match record {
            Record::BackendServer(server) => {
                missing.0.remove(&server.id);
                gateway.gone.borrow_mut().remove(&server.id);
                listed.insert(server.id.clone());
                if let Some(planner) = gateway.planners.borrow_mut().get_mut(&server.service) {
                    planner.listed(now, &server);
                }
                let id = server.id.clone();
                let (service, domain) = (server.service.clone(), server.domain.clone());
                if gateway.directory.borrow().get(&id).is_none() {
                    new = true;
                    Event::new("host_listed")
                        .with("host", &*id)
                        .with("service", service)
                        .with("domain", domain)
                        .write();
                }
                gateway.directory.borrow_mut().put(server);
            }
            Record::BackendServerGone(id) => {
                missing.0.entry(id).or_insert(now);
            }
            Record::Unknown(why) => warn!("servers: {why}"),
            _ => {}
        }
    }
    if step.snapshot {
        for server in gateway.directory.borrow().iter() {
            if !listed.contains(&server.id) {
                missing.0.entry(server.id.clone()).or_insert(now);
            }
        }
        gateway.directory_read.set(true);
    }
    missing.sweep(gateway);
    gateway.forget_gone();
    new
}

/// Follows the list of backend servers.
pub async fn follow_servers(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, Topic::BackendServers);
    let mut missing = Missing::default();
    let mut listing = Listing::new(ListingConfig {
        quick_ms: SERVERS_QUICK_MS,
        settle_ms: SERVERS_SETTLE_MS,
        every_ms: gateway.settings.servers_every_ms(),
    });
    loop {
        if let Some(step) = follower.step(0).await {
            let new = take_servers(&gateway, step, &mut missing);
            if follower.from.is_some() {
                let pause_ms = listing.read(gateway.now(), new);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        missing.sweep(&gateway);
    }
}

/// Follows who leads.
pub async fn follow_leaders(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, Topic::Leaders);
    let mut wait_ms = 0;
    loop {
        let Some(step) = follower.step(wait_ms).await else { continue };
        let now = gateway.now();
        let mut newest = None;
        for record in step.records {
            if let Record::Leader { fence, claimant } = record {
                newest = Some(Claim { fence, claimant });
            }
        }
        if let Some(claim) = &newest {
            let own = claim.claimant == gateway.life;
            Event::new("leader").with("fence", claim.fence).with("this_gateway", own).write();
        }
        // The first read that answers tells the end of the topic; only then may this one wait.
        if let (Some(end), true) =
            (follower.from, step.held_ms > 0 || wait_ms == 0 || newest.is_some())
        {
            gateway.election.borrow_mut().read(now, newest, end);
        }
        wait_ms = match follower.from {
            Some(0) if step.sent == now => 0,
            _ => LEADERS_WAIT_MS,
        };
    }
}

/// Claims to lead, if it is time.
pub async fn claim_leadership(gateway: Rc<Gateway>, end: u64) {
    let mut client = Client::new(&gateway);
    let call = gateway.dialect.claim(end, gateway.life);
    Event::new("claims_to_lead").with("end", end).write();
    let answer = client.call(&call, 0).await;
    let claimed = answer.and_then(|(status, body)| {
        gateway.dialect.claimed(status, &body).map_err(|error| error.to_string())
    });
    let now = gateway.now();
    match claimed {
        // The follower of the topic reads it back; nothing leads before that.
        Ok(Claimed::Written(fence)) => {
            let claim = Claim { fence, claimant: gateway.life };
            gateway.election.borrow_mut().read(now, Some(claim), fence);
        }
        Ok(Claimed::Lost) => gateway.election.borrow_mut().refused(now),
        Ok(Claimed::Refused(status)) => gateway.store_failed("claim", &status.to_string()),
        Err(why) => gateway.store_failed("claim", &why),
    }
}
