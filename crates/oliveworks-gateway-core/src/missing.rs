//! Backend servers that are missing from the list, when they count as gone, and which of those are listed again.
//!
//! One that goes alone has left. Many that go together, soon after the store was in trouble, have their records lapsed, and
//! write again. One that is only not among all newest records may be missing in the copy that the store came back from.

use std::collections::{BTreeMap, HashMap};

use crate::Millis;
use crate::backend_servers::{BackendServer, BackendServerId, Born, Directory};
use crate::era::{REWRITE_MS, StoreEra};

/// How many entries that are missing together mean that the store let them go.
const MANY: usize = 3;
const MANY_PERCENT: usize = 15;
/// How long a backend server that is gone is remembered.
const GONE_MS: u64 = 60_000;

/// What is known of the store when the list is looked over.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// When a call to the store last failed.
    pub store_failed_at: Option<Millis>,
    /// Up to when it is known what the store told in the list.
    pub read_at: Millis,
}

/// Since when a backend server is missing, and how that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loss {
    since: Millis,
    /// Until when it may only be missing in the copy that the store came back from; none if a record dropped it.
    may_return_until: Option<Millis>,
}

/// A backend server that is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gone {
    at: Millis,
    /// The last that it wrote, if that is known.
    last: Option<Last>,
}

/// The last record that a backend server wrote before it went.
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

    /// How many are missing.
    pub fn len(&self) -> usize {
        self.lost.len()
    }

    /// Whether none is missing.
    pub fn is_empty(&self) -> bool {
        self.lost.is_empty()
    }

    /// Whether a backend server is gone, and remembered.
    pub fn has_gone(&self, id: &str) -> bool {
        self.gone.contains_key(id)
    }

    /// A backend server is listed; tells whether it had been lost or gone, so that it may have started again meanwhile.
    ///
    /// One that the store lacked after it came back from an older copy was not lost.
    pub fn found(&mut self, now: Millis, id: &str) -> bool {
        let was_gone = self.gone.remove(id).is_some();
        let lost = self.lost.remove(id);
        was_gone || lost.is_some_and(|loss| loss.may_return_until.is_none_or(|until| now >= until))
    }

    /// A record says that a backend server is no longer listed, or not to be used.
    pub fn dropped(&mut self, now: Millis, id: BackendServerId) {
        let loss = self.lost.entry(id).or_insert(Loss { since: now, may_return_until: None });
        loss.may_return_until = None;
    }

    /// A backend server is not among all newest records, as the store holds them or another gateway knows them.
    pub fn absent(
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
        let known = self.lost.entry(id).or_insert(loss);
        known.may_return_until = known.may_return_until.map(|known| known.max(until));
    }

    /// Whether a record is no younger than the last one of a backend server that is gone, and so does not bring it back. `newest`
    /// is whether it stands among all newest records.
    ///
    /// One that went before the store came back from an older copy may stand among all newest records since then, also with one
    /// that was not read before. If it lives, it writes again.
    pub fn is_old(&self, server: &BackendServer, newest: bool, store_era: StoreEra) -> bool {
        let Some(gone) = self.gone.get(&server.id) else { return false };
        let (born, number) = gone.last.map_or((None, None), |last| (last.born, last.number));
        let lives = server.holding.born.zip(born);
        if let Some((life, last_life)) = lives.filter(|(life, last_life)| life != last_life) {
            return life < last_life;
        }
        let is_counted_before = server.number.zip(number).is_some_and(|(own, last)| own <= last);
        let by_copy = newest && store_era.known_since().is_some_and(|since| gone.at <= since);
        is_counted_before || by_copy
    }

    /// Takes out those that are missing for long.
    pub fn sweep(&mut self, now: Millis, look: Look, directory: &Directory) -> Vec<Left> {
        if now < self.patient_until(look, directory.len()) {
            return Vec::new();
        }
        // One that wrote again may not have been read yet, by a gateway that was paused or cut off.
        let is_over = |loss: &Loss| loss.may_return_until.is_none_or(|until| look.read_at >= until);
        let over = self.lost.extract_if(.., |_, loss| is_over(loss));
        let left: Vec<Left> =
            over.map(|(id, loss)| Left { id, missing_ms: now - loss.since }).collect();
        for Left { id, .. } in &left {
            let before = self.gone.get(id).and_then(|gone| gone.last);
            let last = directory.get(id).map(Last::of).or(before);
            self.gone.insert(id.clone(), Gone { at: now, last });
        }
        left
    }

    /// Forgets those that are gone for long, and tells which.
    pub fn forget_gone(&mut self, now: Millis) -> Vec<BackendServerId> {
        let over = self.gone.extract_if(|_, gone| now >= gone.at + GONE_MS);
        over.map(|(id, _)| id).collect()
    }

    /// Until when entries that went together may come back.
    fn patient_until(&self, look: Look, listed: usize) -> Millis {
        let many = self.lost.len() >= MANY && self.lost.len() * 100 >= listed * MANY_PERCENT;
        match look.store_failed_at {
            Some(failed_at) if many => failed_at + REWRITE_MS,
            _ => 0,
        }
    }
}
