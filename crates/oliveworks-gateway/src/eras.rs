//! Tracking of the store's era, which changes when the store is restored from an older copy of its
//! data.

use std::net::SocketAddr;

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::era::{Era, EraChange};

use crate::dialect::{NamedEra, TOPICS};
use crate::events::Event;
use crate::state::Gateway;

/// Counter of store answers whose era cannot be parsed.
const UNREADABLE: &str = "store_era_unreadable";

impl Gateway {
    /// Returns the current era of the store.
    pub fn era(&self) -> Era {
        self.store_era.get().era()
    }

    /// Returns whether the store may lack records that it had acknowledged before it was restored
    /// from a copy.
    pub fn store_may_lack_records(&self) -> bool {
        self.store_era.get().may_lack_records(self.now())
    }

    /// Returns the earliest time from which the store is known to be complete, to this gateway or to
    /// another one. A read that shows an earlier state of the store proves nothing.
    pub fn store_complete_from(&self) -> Millis {
        let peers = self.peers.borrow();
        let reported =
            peers.values().filter_map(|peer| Some((peer.era, peer.store_complete_from?)));
        self.store_era.get().earliest_complete_from(reported)
    }

    /// Returns for how long the store may still lack records, in ms; `None` if no era is known.
    pub fn store_incomplete_ms(&self) -> Option<u64> {
        let now = self.now();
        let is_known = self.store_era.get().known_since().is_some();
        is_known.then(|| self.store_complete_from().saturating_sub(now))
    }

    /// Processes the era named in the store's answer to a call sent at `sent`, and returns its
    /// meaning.
    pub fn record_store_era(&self, sent: Millis, named: &NamedEra, call: &str) -> EraChange {
        match named {
            NamedEra::Absent => EraChange::Known,
            NamedEra::Era(era) => self.update_era(sent, *era, call),
            NamedEra::Unreadable(value) => {
                if !self.counters.borrow().contains_key(UNREADABLE) {
                    warn!("store: cannot parse the era in an answer: {value:?}");
                }
                self.count(UNREADABLE);
                EraChange::Known
            }
        }
    }

    /// Processes the era named by another gateway in its answer to a question sent at `sent`.
    pub fn record_peer_era(&self, sent: Millis, era: Era, address: SocketAddr) {
        if era > self.era() {
            self.update_era(sent, era, &address.to_string());
        }
    }

    fn update_era(&self, sent: Millis, era: Era, reported_by: &str) -> EraChange {
        let mut known = self.store_era.get();
        let change = known.observe(self.now(), sent, era);
        self.store_era.set(known);
        match change {
            EraChange::Known => {}
            EraChange::New { before } => self.begin_era(era, before, reported_by),
            EraChange::Late => self.count("store_answers_of_former_eras"),
        }
        change
    }

    /// Begins a new era, in which the contents of the store are not known yet.
    fn begin_era(&self, era: Era, before: Option<Era>, reported_by: &str) {
        self.stored_version.set(None);
        TOPICS.iter().for_each(|topic| self.replay_buffer(*topic).borrow_mut().clear());
        self.count("store_eras");
        Event::new("store_era")
            .with("era", era.0)
            .with("before", before.map(|era| era.0))
            .with("told_by", reported_by)
            .with("version_held", self.version_held())
            .with("complete_in_ms", self.store_incomplete_ms())
            .with("hosts_known", self.directory.borrow().len())
            .with("drains_in_force", self.drains.borrow().failure_domains().len())
            .write();
    }
}
