//! Takes in which copy of itself the store answers from.

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::era::Told;

use crate::dialect::NamedEra;
use crate::events::Event;
use crate::state::Gateway;

impl Gateway {
    /// The store answered a call that was made at `sent`.
    pub fn hear_store_era(&self, sent: Millis, named: &NamedEra, call: &str) {
        let era = match named {
            NamedEra::NotTold => return,
            NamedEra::Era(era) => *era,
            NamedEra::Unreadable(value) => {
                self.count("store_era_unreadable");
                warn!("store: its era cannot be understood: {value:?}");
                return;
            }
        };
        let mut known = self.store_era.get();
        let told = known.told(self.now(), sent, era);
        self.store_era.set(known);
        match told {
            Told::Known => {}
            Told::New { before } => {
                self.count("store_eras");
                Event::new("store_era")
                    .with("era", era.0)
                    .with("before", before.map(|era| era.0))
                    .with("call", call)
                    .write();
            }
            Told::Late => self.count("store_answers_of_former_eras"),
        }
    }
}
