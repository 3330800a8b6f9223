//! Tracks until when each backend server counts as cold.
//!
//! A record states for how much longer its backend server was cold when the record was written,
//! some time ago. Counted from the receipt of the record, this time is never too short. Events
//! after the record was written are missing from the record. A backend server that may have
//! returned cold is therefore *in doubt*: the backend server counts as cold until a record arrives
//! that was written later, or until the longest possible time of being cold has passed.

use std::collections::HashMap;

use crate::Millis;
use crate::backend_servers::Born;
use crate::balance::Target;
use crate::configuration::SlowStart;

/// The reason why a backend server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The record of the backend server states that.
    Record,
    /// The backend server is listed for the first time while callers are being served.
    NewlyListed,
    /// The drain of the backend server's failure domain has ended.
    DrainEnded,
    /// The backend server could not be reached, and may have returned cold.
    Lost,
    /// The backend server has restarted, as reported to the leader.
    StartedAgain,
    /// The record was received from a gateway without contact to the store, which may have lost the
    /// backend server since.
    ToldLate,
}

/// The way in which a record was added to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// The record replaces another one, is in the first list that this process has read, or was
    /// read before any caller arrived.
    Known,
    /// The backend server was not listed before, and callers are being served.
    Newly,
    /// The record is in the first list that this process has read, and that list came from a
    /// gateway without contact to the store. That gateway may have lost the backend server since.
    Late,
    /// The backend server was missing from the list, so the record was written after that.
    Again,
    /// The record was in a whole list and none of the other cases applies. It is the latest record
    /// of its backend server, but may have been written before a doubt arose, so doubts remain.
    Last,
}

/// The circumstances in which a record was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Whether the record was in the first list that this process read.
    pub first_list: bool,
    /// Whether the record was reported by a gateway that may have had no contact to the store for
    /// longer than the maximum age of records.
    pub late: bool,
    /// Whether the record was in a complete list, rather than among added records.
    pub whole_list: bool,
    /// Whether the backend server was missing from the list, or gone.
    pub was_missing: bool,
    /// Whether the backend server was not listed before.
    pub is_new: bool,
    /// Whether callers are being served.
    pub traffic: bool,
}

impl Listed {
    /// Classifies a record by the circumstances in which it was read.
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

/// The state of a cold backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdState {
    /// End of the time for which the backend server counts as cold; `None` until data is received
    /// from it.
    pub until: Option<Millis>,
    /// Reason why the backend server counts as cold.
    pub evidence: Evidence,
}

#[derive(Clone, Copy, Debug)]
struct Doubt {
    since: Millis,
    /// End of the doubt; `None` until data is received from the backend server.
    until: Option<Millis>,
    evidence: Evidence,
}

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    /// End of the time for which the backend server is cold according to its newest record.
    until: Millis,
    /// The newest known incarnation of the backend server.
    incarnation: Option<Born>,
    doubt: Option<Doubt>,
}

impl Host {
    fn state(&self, now: Millis) -> Option<ColdState> {
        let doubt = self.doubt.filter(|doubt| doubt.until.is_none_or(|until| now < until));
        match doubt {
            Some(doubt) => Some(ColdState { until: doubt.until, evidence: doubt.evidence }),
            None if now < self.until => {
                Some(ColdState { until: Some(self.until), evidence: Evidence::Record })
            }
            None => None,
        }
    }
}

/// The known backend servers, and the time until which each is cold.
#[derive(Clone, Debug)]
pub struct ColdHosts {
    record_lag_ms: u64,
    hosts: HashMap<Target, Host>,
}

impl ColdHosts {
    /// Creates an empty state. `record_lag_ms` is the maximum age of a record when this gateway
    /// receives it, in ms.
    pub fn new(record_lag_ms: u64) -> ColdHosts {
        ColdHosts { record_lag_ms, hosts: HashMap::new() }
    }

    /// Applies a record of a backend server that is cold for `lasts_ms` after its start, if that
    /// time is known. Returns the new state if the record turns a warm backend server cold.
    pub fn record(
        &mut self,
        now: Millis,
        target: Target,
        lasts_ms: Option<u64>,
        cold_ms: u64,
        listed: Listed,
    ) -> Option<ColdState> {
        let was_cold = self.hosts.get(&target).is_some_and(|host| host.state(now).is_some());
        let host = self.hosts.entry(target).or_default();
        host.until = if cold_ms > 0 { now + cold_ms } else { 0 };
        match listed {
            // A new record with a remaining cold time is accepted as written. A new record without
            // one belongs to a backend server that has just started.
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
        host.state(now).filter(|_| !was_cold)
    }

    /// Records that a backend server may be cold, regardless of its records so far. Returns the new
    /// state if the backend server was warm before.
    pub fn doubt(
        &mut self,
        now: Millis,
        target: Target,
        until: Option<Millis>,
        evidence: Evidence,
    ) -> Option<ColdState> {
        let host = self.hosts.get_mut(&target)?;
        let was_cold = host.state(now).is_some();
        // A doubt without an end lasts until data is received, even if another doubt would end
        // earlier.
        let waits_for_data = host.doubt.is_some_and(|doubt| doubt.until.is_none());
        let until = until.filter(|_| !waits_for_data);
        host.doubt = Some(Doubt { since: now, until, evidence });
        host.state(now).filter(|_| !was_cold)
    }

    /// Records that a backend server has started an incarnation that its record does not show.
    /// Returns the new state if that turns a warm backend server cold. Each incarnation counts
    /// once.
    pub fn started_again(
        &mut self,
        now: Millis,
        target: Target,
        born: Born,
        lasts_ms: Option<u64>,
    ) -> Option<ColdState> {
        let host = self.hosts.get_mut(&target)?;
        if host.incarnation >= Some(born) {
            return None;
        }
        host.incarnation = Some(born);
        let until = lasts_ms.map(|lasts_ms| now + lasts_ms);
        self.doubt(now, target, until, Evidence::StartedAgain)
    }

    /// Records that data was received from a backend server. If the backend server returned cold,
    /// it did so before this time.
    pub fn record_data(&mut self, now: Millis, target: Target, terms: SlowStart) {
        let Some(host) = self.hosts.get_mut(&target) else { return };
        if let Some(doubt) = host.doubt.as_mut().filter(|doubt| doubt.until.is_none()) {
            doubt.until = Some(now + terms.lasts_ms);
        }
    }

    /// Returns the remaining time for which a backend server counts as cold, in ms, for a gateway
    /// that copies the list from this one and does not know the doubts held here. If the doubt
    /// lasts until data is received, the complete cold time plus the maximum age of records is
    /// returned: by the end of that time a newer record has been read.
    pub fn remaining_cold_ms(&self, now: Millis, target: Target, lasts_ms: u64) -> u64 {
        match self.hosts.get(&target).and_then(|host| host.state(now)) {
            None => 0,
            Some(ColdState { until: Some(until), .. }) => until.saturating_sub(now),
            Some(ColdState { until: None, .. }) => lasts_ms + self.record_lag_ms,
        }
    }

    /// Returns whether any backend server counts as cold for another reason than its record, in
    /// which case a newer record would settle its state.
    pub fn doubts_any(&self, now: Millis) -> bool {
        let mut state = self.hosts.values().filter_map(|host| host.state(now));
        state.any(|state| state.evidence != Evidence::Record)
    }

    /// Returns whether a backend server counts as cold. A backend server without a record does.
    pub fn is_cold(&self, now: Millis, target: Target) -> bool {
        self.hosts.get(&target).is_none_or(|host| host.state(now).is_some())
    }

    /// Drops the backend servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.hosts.retain(|target, _| keep(*target));
    }
}
