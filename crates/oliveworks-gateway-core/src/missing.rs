//! Backend servers that are missing from the list, when they count as gone, and which of those are listed again.
//!
//! One that goes alone has left. Many that go together, soon after the store was in trouble, have their records lapsed, and
//! write again. One that is only not among all newest records may be missing in the copy that the store came back from.

use std::collections::{BTreeMap, HashMap};

use crate::Millis;
use crate::backend_servers::{BackendServer, BackendServerId, Born};
use crate::era::{REWRITE_MS, StoreEra};

/// How many entries that are missing together mean that the store let them go.
const MANY: usize = 3;
const MANY_PERCENT: usize = 15;
/// How long a backend server that is gone is remembered.
const GONE_MS: u64 = 60_000;

/// What is known of the store when the list is looked over.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// How many backend servers are listed, with those that are missing.
    pub listed: usize,
    /// When a call to the store last failed.
    pub store_failed_at: Option<Millis>,
    /// Which copy of itself the store answers from.
    pub store_era: StoreEra,
}

/// Since when a backend server is missing, and how that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loss {
    since: Millis,
    /// Whether it is only not among all newest records.
    is_absent: bool,
}

/// A backend server that is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gone {
    at: Millis,
    /// When its life had begun, if its record said so.
    born: Option<Born>,
}

/// A backend server that counts as gone from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Left {
    /// Its id.
    pub id: BackendServerId,
    /// How long it was missing.
    pub missing_ms: u64,
}

/// Backend servers that are missing from the list or gone.
#[derive(Clone, Debug, Default)]
pub struct Missing {
    lost: BTreeMap<BackendServerId, Loss>,
    gone: HashMap<BackendServerId, Gone>,
}

impl Missing {
    /// Whether a backend server is missing.
    pub fn holds(&self, id: &str) -> bool {
        self.lost.contains_key(id)
    }

    /// Whether a backend server is gone, and remembered.
    pub fn has_gone(&self, id: &str) -> bool {
        self.gone.contains_key(id)
    }

    /// A backend server is listed; tells whether it had been lost or gone, so that it may have started again meanwhile.
    ///
    /// One that the store lacked after it came back from an older copy was not lost.
    pub fn found(&mut self, now: Millis, id: &str, store_era: StoreEra) -> bool {
        let was_gone = self.gone.remove(id).is_some();
        let lost = self.lost.remove(id);
        let was_lost = lost.is_some_and(|l| !(l.is_absent && store_era.may_lack_records(now)));
        was_gone || was_lost
    }

    /// A record says that a backend server is no longer listed, or not to be used.
    pub fn dropped(&mut self, now: Millis, id: BackendServerId) {
        let loss = self.lost.entry(id).or_insert(Loss { since: now, is_absent: false });
        loss.is_absent = false;
    }

    /// A backend server is not among all newest records.
    pub fn absent(&mut self, now: Millis, id: BackendServerId) {
        self.lost.entry(id).or_insert(Loss { since: now, is_absent: true });
    }

    /// Whether a record among all newest ones is of a backend server that had gone before the store came back from an older
    /// copy, in the same life: it may stand there since then, and the next record shows whether it lives.
    pub fn is_listed_by_copy(&self, server: &BackendServer, store_era: StoreEra) -> bool {
        let Some(gone) = self.gone.get(&server.id) else { return false };
        store_era.known_since().is_some_and(|since| gone.at <= since)
            && !server.holding.is_of_later_life(gone.born)
    }

    /// Takes out those that are missing for long; `born` tells when the life of a backend server began.
    pub fn sweep(
        &mut self,
        now: Millis,
        look: Look,
        born: impl Fn(&str) -> Option<Born>,
    ) -> Vec<Left> {
        if now < self.patient_until(look) {
            return Vec::new();
        }
        let may_be_written_again = look.store_era.may_lack_records(now);
        let over = self.lost.extract_if(.., |_, l| !(l.is_absent && may_be_written_again));
        let left: Vec<Left> =
            over.map(|(id, loss)| Left { id, missing_ms: now - loss.since }).collect();
        for Left { id, .. } in &left {
            self.gone.insert(id.clone(), Gone { at: now, born: born(id) });
        }
        left
    }

    /// Forgets those that are gone for long, and tells which.
    pub fn forget_gone(&mut self, now: Millis) -> Vec<BackendServerId> {
        let over = self.gone.extract_if(|_, gone| now >= gone.at + GONE_MS);
        over.map(|(id, _)| id).collect()
    }

    /// Until when entries that went together may come back.
    fn patient_until(&self, look: Look) -> Millis {
        let many = self.lost.len() >= MANY && self.lost.len() * 100 >= look.listed * MANY_PERCENT;
        match look.store_failed_at {
            Some(failed_at) if many => failed_at + REWRITE_MS,
            _ => 0,
        }
    }
}
