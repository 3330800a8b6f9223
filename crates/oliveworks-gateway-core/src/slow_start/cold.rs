//! Until when a backend server counts as cold.
//!
//! Its record says how much longer it was cold when the record was written, which is a moment ago: counted
//! from when it is taken in, it is never too short. What happens after a record was written is not in it,
//! so a backend server that may have come back cold is doubted until a record that was written later, or
//! until the time is over that it is cold at the longest.

use std::collections::HashMap;

use crate::Millis;
use crate::backend_servers::Born;
use crate::balance::Target;
use crate::configuration::SlowStart;

/// Why a backend server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its record says so.
    Record,
    /// It is listed for the first time, and callers are being served.
    NewlyListed,
    /// Its failure domain's drain has ended.
    DrainEnded,
    /// It was not reached, and may have come back cold.
    Lost,
    /// It has started again, as the leader heard from it.
    StartedAgain,
    /// Its record came from a gateway that did not hear the store, and may have lost it since.
    ToldLate,
}

/// How a record came to be in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It replaces another, or is the first that this process has read, or callers have not come yet.
    Known,
    /// Its backend server was not listed before, while callers are being served.
    Newly,
    /// It is the first that this process has read, of a gateway that did not hear the store itself: that
    /// gateway may have lost the backend server since.
    Late,
    /// Its backend server was missing from the list: the record was written after that.
    Again,
    /// It is the last of its backend server, written at any time: doubts stay.
    Last,
}

/// How a record was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Whether it stood in the first list that this process read.
    pub first_list: bool,
    /// Whether a gateway told it that may not have heard the store for longer than records lag.
    pub late: bool,
    /// Whether it stood in a whole list, and not among records that were added.
    pub whole_list: bool,
    /// Whether its backend server was missing from the list, or gone.
    pub was_missing: bool,
    /// Whether its backend server was not listed before.
    pub is_new: bool,
    /// Whether callers are being served.
    pub traffic: bool,
}

impl Listed {
    /// What a reading says of when a record was written.
    pub fn of(reading: Reading) -> Listed {
        match reading {
            Reading { first_list: true, late: true, .. } => Listed::Late,
            Reading { was_missing: true, .. } => Listed::Again,
            Reading { first_list: true, .. } => Listed::Known,
            Reading { is_new: true, traffic: true, .. } => Listed::Newly,
            Reading { whole_list: true, .. } => Listed::Last,
            Reading { .. } => Listed::Known,
        }
    }
}

/// What is known of a cold backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// Until when it counts as cold; none until something is heard of it.
    pub until: Option<Millis>,
    /// By what.
    pub evidence: Evidence,
}

#[derive(Clone, Copy, Debug)]
struct Doubt {
    since: Millis,
    /// None until something is heard from it.
    until: Option<Millis>,
    evidence: Evidence,
}

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    /// Until when it is cold by its newest record.
    until: Millis,
    /// The newest life that it is known to have begun.
    life: Option<Born>,
    doubt: Option<Doubt>,
}

impl Host {
    fn known(&self, now: Millis) -> Option<Known> {
        let doubt = self.doubt.filter(|doubt| doubt.until.is_none_or(|until| now < until));
        match doubt {
            Some(doubt) => Some(Known { until: doubt.until, evidence: doubt.evidence }),
            None if now < self.until => {
                Some(Known { until: Some(self.until), evidence: Evidence::Record })
            }
            None => None,
        }
    }
}

/// Backend servers and until when they are cold.
#[derive(Clone, Debug)]
pub struct ColdHosts {
    record_lag_ms: u64,
    hosts: HashMap<Target, Host>,
}

impl ColdHosts {
    /// None is known. `record_lag_ms` is how long before it is taken in a record may have been written.
    pub fn new(record_lag_ms: u64) -> ColdHosts {
        ColdHosts { record_lag_ms, hosts: HashMap::new() }
    }

    /// Takes a record in, of a backend server that is cold for `lasts_ms` from its start, if that is known yet; tells what is
    /// known now if that makes a warm one cold.
    pub fn record(
        &mut self,
        now: Millis,
        target: Target,
        lasts_ms: Option<u64>,
        cold_ms: u64,
        listed: Listed,
    ) -> Option<Known> {
        let was_cold = self.hosts.get(&target).is_some_and(|host| host.known(now).is_some());
        let host = self.hosts.entry(target).or_default();
        host.until = if cold_ms > 0 { now + cold_ms } else { 0 };
        match listed {
            // One that says how long it is cold is believed; one that says that it is warm has just started.
            Listed::Newly if cold_ms == 0 => {
                let until = lasts_ms.map(|lasts_ms| now + lasts_ms);
                let evidence = Evidence::NewlyListed;
                host.doubt = Some(Doubt { since: now, until, evidence });
            }
            Listed::Newly => {}
            Listed::Late => {
                let evidence = Evidence::ToldLate;
                host.doubt = Some(Doubt { since: now, until: None, evidence });
            }
            Listed::Last => {}
            Listed::Again => host.doubt = None,
            Listed::Known => {
                let lag_ms = self.record_lag_ms;
                host.doubt = host.doubt.filter(|doubt| now < doubt.since + lag_ms);
            }
        }
        host.known(now).filter(|_| !was_cold)
    }

    /// A backend server may be cold, whatever its records said until now; tells what is known now if it
    /// was not doubted before.
    pub fn doubt(
        &mut self,
        now: Millis,
        target: Target,
        until: Option<Millis>,
        evidence: Evidence,
    ) -> Option<Known> {
        let host = self.hosts.get_mut(&target)?;
        let was_cold = host.known(now).is_some();
        // One that was lost stays cold until it is heard, whatever else ends meanwhile.
        let is_lost = host.doubt.is_some_and(|doubt| doubt.until.is_none());
        let until = until.filter(|_| !is_lost);
        host.doubt = Some(Doubt { since: now, until, evidence });
        host.known(now).filter(|_| !was_cold)
    }

    /// A backend server began a life of which its record does not tell; tells what is known now if that makes a warm
    /// one cold. Each life counts once.
    pub fn started_again(
        &mut self,
        now: Millis,
        target: Target,
        born: Born,
        lasts_ms: Option<u64>,
    ) -> Option<Known> {
        let host = self.hosts.get_mut(&target)?;
        if host.life >= Some(born) {
            return None;
        }
        host.life = Some(born);
        let until = lasts_ms.map(|lasts_ms| now + lasts_ms);
        self.doubt(now, target, until, Evidence::StartedAgain)
    }

    /// Something came from a backend server: if it came back cold, then not later than now.
    pub fn heard(&mut self, now: Millis, target: Target, terms: SlowStart) {
        let Some(host) = self.hosts.get_mut(&target) else { return };
        if let Some(doubt) = host.doubt.as_mut().filter(|doubt| doubt.until.is_none()) {
            doubt.until = Some(now + terms.lasts_ms);
        }
    }

    /// How much longer a backend server counts as cold, in ms, for a gateway that takes the list over from this
    /// one: it cannot know what is doubted here. One that was not heard of since it was lost is cold for the
    /// whole time after it is, and by then a younger record is read.
    pub fn told_ms(&self, now: Millis, target: Target, lasts_ms: u64) -> u64 {
        match self.hosts.get(&target).and_then(|host| host.known(now)) {
            None => 0,
            Some(Known { until: Some(until), .. }) => until.saturating_sub(now),
            Some(Known { until: None, .. }) => lasts_ms + self.record_lag_ms,
        }
    }

    /// Whether a backend server is doubted, so that a younger record of it would tell more.
    pub fn doubts_any(&self, now: Millis) -> bool {
        let mut known = self.hosts.values().filter_map(|host| host.known(now));
        known.any(|known| known.evidence != Evidence::Record)
    }

    /// Whether a backend server counts as cold; one that no record was read of does.
    pub fn is_cold(&self, now: Millis, target: Target) -> bool {
        self.hosts.get(&target).is_none_or(|host| host.known(now).is_some())
    }

    /// Forgets backend servers that are gone.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.hosts.retain(|target, _| keep(*target));
    }
}
