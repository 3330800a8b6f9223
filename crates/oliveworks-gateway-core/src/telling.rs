//! What a heartbeat tells of the requests that are open.
//!
//! Each request needs to know how busy the targets are that it may go to, most of them in its own failure
//! domain. So gateways of one domain tell each other all that they have open, with each heartbeat.
//! Another domain is told with each heartbeat what is open at its own targets, which its gateways fill,
//! and now and then what is open elsewhere, by which it judges where to send what it cannot take itself.
//! The more targets, the less often, so that these bytes stay flat as groups grow in number.
//!
//! The load that this answers: ten gateways a domain before a thousand groups, where sums of all that a
//! domain has open, with each heartbeat to two gateways of each other domain, were most of what a gateway
//! sent. Rejected: sums of all targets at a slower pace (the counts of the targets that a domain fills
//! itself grow as old as those of the others), and only the targets that changed (a lost datagram
//! leaves a wrong count until the next whole one).

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::balance::{Balance, Load, Target};
use crate::fan_out::Source;

/// Targets elsewhere that may be told with each heartbeat, 100 ms apart: some 500 bytes, about what
/// the rest of a heartbeat takes.
const EACH_BEAT: usize = 64;
/// The time between two heartbeats, in ms.
const BEAT_MS: u64 = 100;
/// The longest time between two sums of what is open elsewhere, in ms: three of them come before the first
/// is believed no more.
const ELSEWHERE_MS: u64 = 500;

/// A target that is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The target.
    pub target: Target,
    /// What is open there.
    pub load: Load,
    /// Whether something has just come from there.
    pub heard: bool,
}

/// What one heartbeat tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Telling {
    /// What is open at targets that matter to the listener with each heartbeat.
    pub open: Vec<Count>,
    /// What is open at all others; none if that is not told this time.
    pub elsewhere: Option<Vec<(Target, Load)>>,
    /// Other targets that have just been heard and where the listener has something open.
    pub heard: Vec<Target>,
}

/// What a gateway tells those of its own failure domain; `since` is when a target must have been heard.
pub fn near(balance: &Balance, since: Millis) -> Telling {
    let count =
        |(target, load)| Count { target, load, heard: balance.is_heard_since(target, since) };
    let open: Vec<Count> = balance.own_open().map(count).collect();
    let told: HashSet<Target> = open.iter().map(|count| count.target).collect();
    let heard = balance.heard_since(since).filter(|target| !told.contains(target)).collect();
    Telling { open, elsewhere: None, heard }
}

/// What the gateways of one failure domain know together.
#[derive(Clone, Debug)]
pub struct Known {
    /// What they have open.
    pub open: HashMap<Target, Load>,
    /// Targets that one of them has just heard.
    pub heard: HashSet<Target>,
}

/// What a failure domain tells another, `listener`; `is_there` tells which targets are the listener's.
pub fn far(
    balance: &Balance,
    now: Millis,
    known: &Known,
    listener: Source,
    is_there: impl Fn(Target) -> bool,
    with_elsewhere: bool,
) -> Telling {
    let mut telling = Telling { elsewhere: with_elsewhere.then(Vec::new), ..Telling::default() };
    let mut told = HashSet::new();
    for (target, load) in &known.open {
        if is_there(*target) {
            let heard = known.heard.contains(target);
            telling.open.push(Count { target: *target, load: *load, heard });
            told.insert(*target);
        } else if let Some(elsewhere) = &mut telling.elsewhere {
            elsewhere.push((*target, *load));
        }
    }
    let waits = |target: &&Target| balance.is_open_at(now, listener, **target);
    let heard = known.heard.iter().filter(|target| !told.contains(target)).filter(waits);
    telling.heard = heard.copied().collect();
    telling
}

/// When each failure domain was last told what is open elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Pace(HashMap<Source, Millis>);

impl Pace {
    /// Whether a failure domain is told now, with so many targets open; if so, that is noted.
    pub fn is_due(&mut self, now: Millis, listener: Source, targets: usize) -> bool {
        let pause_ms = (targets as u64 * BEAT_MS / EACH_BEAT as u64).min(ELSEWHERE_MS);
        let due = self.0.get(&listener).is_none_or(|at| now >= at + pause_ms);
        if due {
            self.0.insert(listener, now);
        }
        due
    }
}
