//! Cost of the decisions by the size of the pool. These are the slopes in `docs/CAPACITY.md`.

use std::time::Instant;

use oliveworks_core::fleet::{Fleet, FleetConfig, ListedHost};
use oliveworks_core::id::{DomainId, Epoch, HostId, Millis, Name, Offset, RecordId, View};
use oliveworks_core::message::{GroupReport, LeaseMsg};
use oliveworks_core::placement::{PlacementConfig, plan};
use oliveworks_core::pool::{Pool, Snapshot};
use oliveworks_core::record::{Author, Body, Record};
use oliveworks_core::template::{Kind, Limits, Role, Template};

/// Number of hosts of one replica.
const HOSTS_PER_REPLICA: u16 = 8;
/// Number of hosts of each fabric domain at the full size.
const HOSTS_PER_DOMAIN: u32 = 273;
/// Number of replicas of each template.
const REPLICAS_PER_TEMPLATE: u16 = 16;

/// Costs at one fleet size.
#[derive(Clone, Debug)]
pub struct Row {
    /// Number of hosts.
    pub hosts: u32,
    /// Number of groups formed.
    pub groups: usize,
    /// Size of a snapshot, in bytes.
    pub snapshot_bytes: usize,
    /// Size of one group record as JSON, in bytes.
    pub record_bytes: usize,
    /// Mean time to apply one record, in microseconds.
    pub apply_us: f64,
    /// Time to open and verify a snapshot, in microseconds.
    pub open_us: f64,
    /// Time of a planning round that changes nothing, in microseconds.
    pub idle_plan_us: f64,
    /// Size of the platform's host list as JSON, in bytes.
    pub list_bytes: usize,
    /// Numbers of records and of planning rounds after the loss of a rack of 40 hosts.
    pub rack_repair: (usize, usize),
    /// Numbers of records and of planning rounds after the loss of a fabric domain.
    pub domain_repair: (usize, usize),
    /// Time of the longest planning round of these repairs, in microseconds.
    pub repair_plan_us: f64,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the name literal is valid")
}

fn host_list(hosts: u32, is_lost: &dyn Fn(u32) -> bool) -> Vec<ListedHost> {
    let present = (0..hosts).filter(|h| !is_lost(*h));
    present
        .map(|h| ListedHost {
            host: HostId(h),
            domain: DomainId((h / HOSTS_PER_DOMAIN) as u16),
            address: ([10, 1, (h >> 8) as u8, h as u8], 7000).into(),
            leaving: false,
            service: None,
            weights: Some(1),
        })
        .collect()
}

fn template(number: u32, replicas: u16) -> Template {
    let partner = if number.is_multiple_of(2) { "saffah" } else { "sahel" };
    Template {
        partner: name(partner),
        workspace: name("main"),
        name: name(&format!("assistant-{number}")),
        kind: Kind::Model,
        model: name(&format!("assistant-{number}")),
        adapter: None,
        version: name("1"),
        role: Role::Combined,
        hosts: HOSTS_PER_REPLICA,
        spares: 0,
        replicas,
        priority: 5,
        repeatable: true,
        limits: Limits::default(),
    }
}

struct Log {
    pool: Pool,
    next: u64,
    applied_us: f64,
}

impl Log {
    fn append(&mut self, author: Author, body: Body) {
        let record = Record { id: RecordId(u128::from(self.next)), author, body };
        let start = Instant::now();
        let _ = self.pool.apply(Offset(self.next), &record);
        self.applied_us += elapsed_us(start);
        self.next += 1;
    }
}

fn elapsed_us(start: Instant) -> f64 {
    start.elapsed().as_nanos() as f64 / 1000.0
}

fn report_all(log: &Log, fleet: &mut Fleet, now: Millis, is_lost: &dyn Fn(u32) -> bool) {
    for group in log.pool.groups() {
        let lost: Vec<HostId> = group.ranked.iter().copied().filter(|h| is_lost(h.0)).collect();
        let from = group.ranked[0];
        let (view, serving) = (View(1), lost.is_empty());
        let report = GroupReport {
            epoch: group.epoch,
            from,
            view,
            serving,
            lost,
            leaving: false,
            drained: true,
        };
        fleet.report(now, report);
    }
}

/// Runs the planner until it has nothing left to change, for at most 201 rounds. Returns the number
/// of records, the number of rounds, and the time of the longest round in microseconds.
fn plan_until_stable(
    log: &mut Log,
    fleet: &mut Fleet,
    now: Millis,
    is_lost: &dyn Fn(u32) -> bool,
) -> (usize, usize, f64) {
    let (mut records, mut rounds, mut longest) = (0, 0, 0.0f64);
    loop {
        report_all(log, fleet, now, is_lost);
        let start = Instant::now();
        let planned = plan(&log.pool, fleet, &PlacementConfig::default());
        longest = longest.max(elapsed_us(start));
        let before = log.pool.digest();
        if planned.records.is_empty() || rounds > 200 {
            return (records, rounds, longest);
        }
        rounds += 1;
        records += planned.records.len();
        for body in planned.records {
            log.append(Author::System, body);
        }
        debug_assert_ne!(
            before,
            log.pool.digest(),
            "the planner returned records that change nothing"
        );
    }
}

/// Measures the costs at one fleet size.
pub fn measure(hosts: u32) -> Row {
    let mut log =
        Log { pool: Pool::new([name("saffah"), name("sahel")]), next: 0, applied_us: 0.0 };
    // One sixteenth of the replicas that fit is left out, so that repairs find free hosts.
    let mut replicas_left = hosts / u32::from(HOSTS_PER_REPLICA) * 15 / 16;
    let mut number = 0;
    while replicas_left > 0 {
        let replicas = replicas_left.min(u32::from(REPLICAS_PER_TEMPLATE)) as u16;
        let t = template(number, replicas);
        log.append(
            Author::Partner(t.partner.clone()),
            Body::PublishTemplate { template: t, edits: None },
        );
        replicas_left -= u32::from(replicas);
        number += 1;
    }
    let no_host = |_: u32| false;
    let mut fleet = Fleet::new(FleetConfig { settle_ms: 0, ..FleetConfig::default() });
    fleet.update_list(Millis(0), &host_list(hosts, &no_host));
    plan_until_stable(&mut log, &mut fleet, Millis(0), &no_host);
    let apply_us = log.applied_us / log.next as f64;
    let groups = log.pool.groups().count();
    let snapshot = Snapshot::of(&log.pool).to_bytes();
    let start = Instant::now();
    Snapshot::from_bytes(&snapshot)
        .and_then(Snapshot::into_verified_pool)
        .expect("a snapshot that was just written is valid");
    let open_us = elapsed_us(start);
    let start = Instant::now();
    for _ in 0..20 {
        plan(&log.pool, &fleet, &PlacementConfig::default());
    }
    let idle_plan_us = elapsed_us(start) / 20.0;
    let repair = |is_lost: &dyn Fn(u32) -> bool| {
        let mut log = Log { pool: log.pool.clone(), next: log.next, applied_us: 0.0 };
        let mut fleet = fleet.clone();
        fleet.update_list(Millis(10_000), &host_list(hosts, is_lost));
        fleet.tick(Millis(20_000));
        plan_until_stable(&mut log, &mut fleet, Millis(20_000), is_lost)
    };
    let rack_repair = repair(&|h| (100..140).contains(&h));
    let domain_repair = repair(&|h| h / HOSTS_PER_DOMAIN == 0);
    let form = log.pool.groups().next().map(|g| Body::FormGroup {
        slot: g.slot.clone(),
        template_at: Offset(1),
        domain: g.domain,
        hosts: g.ranked.clone(),
        spares: Vec::new(),
        addresses: g.addresses.clone(),
        basis: oliveworks_core::record::Basis::Fresh,
    });
    let record = form.map(|body| Record { id: RecordId(u128::MAX), author: Author::System, body });
    Row {
        hosts,
        groups,
        snapshot_bytes: snapshot.len(),
        record_bytes: serde_json::to_string(&record).map_or(0, |t| t.len()),
        apply_us,
        open_us,
        idle_plan_us,
        list_bytes: serde_json::to_string(&host_list(hosts, &no_host)).map_or(0, |t| t.len()),
        rack_repair: (rack_repair.0, rack_repair.1),
        domain_repair: (domain_repair.0, domain_repair.1),
        repair_plan_us: rack_repair.2.max(domain_repair.2),
    }
}

/// Returns the encoded size of messages by kind, in bytes.
pub fn message_bytes() -> Vec<(&'static str, usize)> {
    let size = |m: &LeaseMsg| postcard::to_stdvec(m).map_or(0, |b| b.len());
    let (epoch, view, seq) = (Epoch(13_000), View(3), u64::MAX / 3);
    let report = GroupReport {
        epoch,
        from: HostId(4_000),
        view,
        serving: true,
        lost: vec![HostId(4_001)],
        leaving: false,
        drained: false,
    };
    vec![
        ("lease ask", size(&LeaseMsg::Ask { epoch, view, rank: 7, seq })),
        ("lease grant", size(&LeaseMsg::Grant { epoch, view, seq, ready: true, leaving: false })),
        ("lease beat", size(&LeaseMsg::Beat { epoch, view })),
        ("report", postcard::to_stdvec(&report).map_or(0, |b| b.len())),
    ]
}

/// Fits a line to points by least squares. Returns the value at zero, the slope, and the largest
/// residual as a fraction of the largest value.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
    let sxx: f64 = points.iter().map(|(x, _)| x * x).sum();
    let sxy: f64 = points.iter().map(|(x, y)| x * y).sum();
    let slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let base = (sy - slope * sx) / n;
    let max_value = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let residual = points.iter().map(|(x, y)| (y - base - slope * x).abs()).fold(0.0, f64::max);
    (base, slope, residual / max_value)
}
