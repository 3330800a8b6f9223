//! Load reports: the outstanding requests that a heartbeat reports.
//!
//! The placement of a request needs the load of its eligible targets, most of which are in its own
//! failure domain. Gateways of one domain therefore report all of their outstanding requests to
//! each other with each heartbeat. A remote domain receives, with each heartbeat, the load on its
//! own targets, which its gateways fill. At longer intervals it receives the load on all other
//! targets, which it needs to place requests that exceed its own capacity. The interval grows with
//! the number of targets, so the traffic stays constant as the number of groups grows.
//!
//! This scheme was designed for ten gateways per domain and a thousand groups, where sending the
//! sums over everything that a domain has outstanding, with each heartbeat to two gateways of each
//! other domain, made up most of a gateway's traffic. Rejected: sums over all targets at a longer
//! interval (the counts of targets that a domain fills itself become as old as the others), and
//! sending only the targets that changed (a lost datagram leaves a wrong count until the next
//! complete report).

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::balance::{Balance, Load, Target};
use crate::fan_out::Source;

/// Number of other targets that each heartbeat may report, at an interval of 100 ms: about 500
/// bytes, as much as the rest of a heartbeat.
const TARGETS_PER_HEARTBEAT: usize = 64;
/// Interval between two heartbeats, in ms.
const HEARTBEAT_MS: u64 = 100;
/// Maximum interval between two reports of the load of all other targets, in ms. Three of them
/// arrive before the first one expires.
const ELSEWHERE_INTERVAL_MAX_MS: u64 = 500;

/// The load of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The target to which the load applies.
    pub target: Target,
    /// Outstanding requests at the target.
    pub load: Load,
    /// Whether data was received from the target recently.
    pub heard: bool,
}

/// The load report in one heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load of the targets that the recipient needs with each heartbeat.
    pub open: Vec<Count>,
    /// Load of all other targets; `None` if this heartbeat does not report it.
    pub elsewhere: Option<Vec<(Target, Load)>>,
    /// Further targets from which data was received recently and at which the recipient has
    /// outstanding requests.
    pub heard: Vec<Target>,
}

/// Returns the report for gateways of the same failure domain. Data received from a target at or
/// after `since` counts as recent.
pub fn local_report(balance: &Balance, since: Millis) -> LoadReport {
    let count =
        |(target, load)| Count { target, load, heard: balance.has_received_since(target, since) };
    let open: Vec<Count> = balance.own_open().map(count).collect();
    let reported: HashSet<Target> = open.iter().map(|count| count.target).collect();
    let heard = balance.received_since(since).filter(|target| !reported.contains(target)).collect();
    LoadReport { open, elsewhere: None, heard }
}

/// The combined knowledge of the gateways of one failure domain.
#[derive(Clone, Debug)]
pub struct DomainLoad {
    /// Outstanding requests by target.
    pub open: HashMap<Target, Load>,
    /// Targets from which one of the gateways received data recently.
    pub heard: HashSet<Target>,
}

/// Returns the report of this failure domain for the failure domain `recipient`. `is_there` returns
/// whether a target belongs to the recipient's domain.
pub fn remote_report(
    balance: &Balance,
    now: Millis,
    known: &DomainLoad,
    recipient: Source,
    is_there: impl Fn(Target) -> bool,
    with_elsewhere: bool,
) -> LoadReport {
    let mut report =
        LoadReport { elsewhere: with_elsewhere.then(Vec::new), ..LoadReport::default() };
    let mut reported = HashSet::new();
    for (target, load) in &known.open {
        if is_there(*target) {
            let heard = known.heard.contains(target);
            report.open.push(Count { target: *target, load: *load, heard });
            reported.insert(*target);
        } else if let Some(elsewhere) = &mut report.elsewhere {
            elsewhere.push((*target, *load));
        }
    }
    let recipient_waits = |target: &&Target| balance.is_open_at(now, recipient, **target);
    let heard =
        known.heard.iter().filter(|target| !reported.contains(target)).filter(recipient_waits);
    report.heard = heard.copied().collect();
    report
}

/// Time of the last report of the load outside the recipient's domain, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct ReportIntervals(HashMap<Source, Millis>);

impl ReportIntervals {
    /// Returns whether a report of the load outside the recipient's domain is due for that domain,
    /// given the number of targets. If so, the report is recorded.
    pub fn is_due(&mut self, now: Millis, recipient: Source, targets: usize) -> bool {
        let interval_ms = (targets as u64 * HEARTBEAT_MS / TARGETS_PER_HEARTBEAT as u64)
            .min(ELSEWHERE_INTERVAL_MAX_MS);
        let due = self.0.get(&recipient).is_none_or(|at| now >= at + interval_ms);
        if due {
            self.0.insert(recipient, now);
        }
        due
    }
}
