//! Takes in which copy of itself the store answers from.

use std::net::SocketAddr;

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::era::{Era, Told};

use crate::dialect::{NamedEra, TOPICS};
use crate::events::Event;
use crate::state::Gateway;

/// Counts answers of the store whose era cannot be understood.
const UNREADABLE: &str = "store_era_unreadable";

impl Gateway {
    /// Which copy of itself the store answers from.
    pub fn era(&self) -> Era {
        self.store_era.get().era()
    }

    /// Whether the store may lack what was acknowledged before it came back from a copy.
    pub fn store_may_lack_records(&self) -> bool {
        self.store_era.get().may_lack_records(self.now())
    }

    /// The store answered a call that was made at `sent`; tells what the era of its answer means.
    pub fn hear_store_era(&self, sent: Millis, named: &NamedEra, call: &str) -> Told {
        match named {
            NamedEra::NotTold => Told::Known,
            NamedEra::Era(era) => self.take_era(sent, *era, call),
            NamedEra::Unreadable(value) => {
                if !self.counters.borrow().contains_key(UNREADABLE) {
                    warn!("store: its era cannot be understood: {value:?}");
                }
                self.count(UNREADABLE);
                Told::Known
            }
        }
    }

    /// Another gateway answered a question that was asked at `sent` with a place of an era.
    pub fn era_told_by_gateway(&self, sent: Millis, era: Era, address: SocketAddr) {
        if era > self.era() {
            self.take_era(sent, era, &address.to_string());
        }
    }

    fn take_era(&self, sent: Millis, era: Era, told_by: &str) -> Told {
        let mut known = self.store_era.get();
        let told = known.told(self.now(), sent, era);
        self.store_era.set(known);
        match told {
            Told::Known => {}
            Told::New { before } => self.begin_era(era, before, told_by),
            Told::Late => self.count("store_answers_of_former_eras"),
        }
        told
    }

    /// The store answers from another copy: what it holds is not known yet.
    fn begin_era(&self, era: Era, before: Option<Era>, told_by: &str) {
        self.stored_version.set(None);
        TOPICS.iter().for_each(|topic| self.passing(*topic).borrow_mut().forget());
        self.count("store_eras");
        Event::new("store_era")
            .with("era", era.0)
            .with("before", before.map(|era| era.0))
            .with("told_by", told_by)
            .with("version_held", self.version_held())
            .with("hosts_known", self.directory.borrow().len())
            .with("drains_in_force", self.drains.borrow().failure_domains().len())
            .write();
    }
}
