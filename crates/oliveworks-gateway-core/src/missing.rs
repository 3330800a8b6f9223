//! Backend servers that are missing from the list: when they count as gone, and which of them have
//! been listed again.
//!
//! A backend server that goes missing alone has left. When many go missing together soon after a
//! failure of the store, their records have expired, and the servers write them again. A backend
//! server that is merely absent from a read of all newest records may be missing only in the copy
//! that the store was restored from.

use std::collections::{BTreeMap, HashMap};

use crate::Millis;
use crate::backend_servers::{BackendServer, BackendServerId, Born, Directory};
use crate::era::{REWRITE_MS, StoreEra};

/// Minimum number of entries, and minimum percentage of the list, whose joint absence indicates
/// that the store let them expire.
const MIN_JOINT_LOSSES: usize = 3;
const MIN_JOINT_LOSS_PERCENT: usize = 15;
/// How long a gone backend server is remembered, in ms.
const REMEMBER_GONE_MS: u64 = 60_000;

/// State of the store at the time of a sweep.
#[derive(Clone, Copy, Debug)]
pub struct StoreState {
    /// Time at which a call to the store last failed.
    pub store_failed_at: Option<Millis>,
    /// Time up to which the store's list is known.
    pub read_at: Millis,
}

/// Time since which a backend server is missing, and the evidence for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loss {
    since: Millis,
    /// Time until which the entry may be missing only in the copy that the store was restored from;
    /// `None` if a record removed it.
    may_return_until: Option<Millis>,
}

/// A backend server that is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gone {
    at: Millis,
    /// Last record that the backend server wrote, if known.
    last: Option<Last>,
}

/// Identity of the last record that a backend server wrote before it went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Last {
    born: Option<Born>,
    number: Option<u64>,
}

impl Last {
    fn of(server: &BackendServer) -> Last {
        Last { born: server.holding.born, number: server.number }
    }
}

/// A backend server that counts as gone from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departed {
    /// Id of the backend server.
    pub id: BackendServerId,
    /// How long the backend server was missing, in ms.
    pub missing_ms: u64,
}

/// Backend servers that are missing from the list, or gone.
#[derive(Clone, Debug, Default)]
pub struct Missing {
    missing: BTreeMap<BackendServerId, Loss>,
    gone: HashMap<BackendServerId, Gone>,
}

impl Missing {
    /// Whether a backend server is missing.
    pub fn contains(&self, id: &str) -> bool {
        self.missing.contains_key(id)
    }

    /// Returns the number of missing backend servers.
    pub fn len(&self) -> usize {
        self.missing.len()
    }

    /// Whether no backend server is missing.
    pub fn is_empty(&self) -> bool {
        self.missing.is_empty()
    }

    /// Whether a backend server is gone and still remembered.
    pub fn is_gone(&self, id: &str) -> bool {
        self.gone.contains_key(id)
    }

    /// Records that a backend server is listed, and returns whether it had been missing or gone, in
    /// which case it may have restarted meanwhile.
    ///
    /// A backend server that the store lacked after it was restored from an older copy does not
    /// count as missing here.
    pub fn record_listed(&mut self, now: Millis, id: &str) -> bool {
        let was_gone = self.gone.remove(id).is_some();
        let loss = self.missing.remove(id);
        was_gone || loss.is_some_and(|loss| loss.may_return_until.is_none_or(|until| now >= until))
    }

    /// Records that a record removes a backend server from the list or declares it unusable.
    pub fn record_removal(&mut self, now: Millis, id: BackendServerId) {
        let loss = self.missing.entry(id).or_insert(Loss { since: now, may_return_until: None });
        loss.may_return_until = None;
    }

    /// Records that a backend server is absent from a read of all newest records, as held by the
    /// store (`by_store`) or by another gateway.
    pub fn record_absence(
        &mut self,
        now: Millis,
        id: BackendServerId,
        store_era: StoreEra,
        by_store: bool,
    ) {
        let until = match by_store {
            true => store_era.lacks_records_until(),
            false => store_era.others_lack_records_until(),
        };
        let loss = Loss { since: now, may_return_until: Some(until) };
        let known = self.missing.entry(id).or_insert(loss);
        known.may_return_until = known.may_return_until.map(|known| known.max(until));
    }

    /// Whether a record is no newer than the last one of a gone backend server, and so does not
    /// bring the server back. `newest` is whether the record stands among all newest records.
    ///
    /// A backend server that went before the store was restored from an older copy may reappear
    /// among all newest records, also with a record that was not read before. If the server lives,
    /// it writes another record.
    pub fn is_old(&self, server: &BackendServer, newest: bool, store_era: StoreEra) -> bool {
        let Some(gone) = self.gone.get(&server.id) else { return false };
        let (born, number) = gone.last.map_or((None, None), |last| (last.born, last.number));
        let incarnations = server.holding.born.zip(born);
        if let Some((incarnation, last_incarnation)) =
            incarnations.filter(|(incarnation, last_incarnation)| incarnation != last_incarnation)
        {
            return incarnation < last_incarnation;
        }
        let is_counted_before = server.number.zip(number).is_some_and(|(own, last)| own <= last);
        let is_from_copy = newest && store_era.known_since().is_some_and(|since| gone.at <= since);
        is_counted_before || is_from_copy
    }

    /// Removes the backend servers that are certainly missing and returns them; they count as gone.
    /// A server that a record removed is certainly missing at once, any other one once the store
    /// has been read up to the time until which it may return. No server is removed while entries
    /// that went missing together may be listed again.
    pub fn sweep(
        &mut self,
        now: Millis,
        store: StoreState,
        directory: &Directory,
    ) -> Vec<Departed> {
        if now < self.rewrite_deadline(store, directory.len()) {
            return Vec::new();
        }
        // A gateway that was paused or cut off may not have read the rewritten record yet.
        let is_final =
            |loss: &Loss| loss.may_return_until.is_none_or(|until| store.read_at >= until);
        let removed = self.missing.extract_if(.., |_, loss| is_final(loss));
        let departed: Vec<Departed> =
            removed.map(|(id, loss)| Departed { id, missing_ms: now - loss.since }).collect();
        for Departed { id, .. } in &departed {
            let before = self.gone.get(id).and_then(|gone| gone.last);
            let last = directory.get(id).map(Last::of).or(before);
            self.gone.insert(id.clone(), Gone { at: now, last });
        }
        departed
    }

    /// Forgets backend servers that have been gone for long, and returns their ids.
    pub fn forget_gone(&mut self, now: Millis) -> Vec<BackendServerId> {
        let removed = self.gone.extract_if(|_, gone| now >= gone.at + REMEMBER_GONE_MS);
        removed.map(|(id, _)| id).collect()
    }

    /// Returns the time until which entries that went missing together may be listed again.
    fn rewrite_deadline(&self, store: StoreState, listed: usize) -> Millis {
        let many = self.missing.len() >= MIN_JOINT_LOSSES
            && self.missing.len() * 100 >= listed * MIN_JOINT_LOSS_PERCENT;
        match store.store_failed_at {
            Some(failed_at) if many => failed_at + REWRITE_MS,
            _ => 0,
        }
    }
}
