//! Which records of backend servers tell nothing new to gateways that ask this one for them.
//!
//! Backend servers write their records anew every second or so. With 3,000 of them, some 2,500 records a second
//! would go to each gateway of a failure domain, of which some tens say something new. A repeat is told once in a
//! while all the same: a gateway may have lost a record in a way that nobody here saw, such as a list that it
//! read while the store had let some entries go.

use std::collections::HashMap;

use crate::Millis;
use crate::backend_servers::BackendServerId;

/// How long a record counts as told, in ms: of what 3,000 backend servers write, one in twelve is told again.
const TOLD_MS: u64 = 15_000;

/// When records were last told as news.
#[derive(Clone, Debug, Default)]
pub struct Repeats(HashMap<BackendServerId, Millis>);

impl Repeats {
    /// Whether a backend server's record is a repeat; `changed` is whether it differs from what is held.
    pub fn is_repeat(&mut self, now: Millis, id: &BackendServerId, changed: bool) -> bool {
        let told = self.0.get(id).is_some_and(|at| now < at + TOLD_MS);
        if told && !changed {
            return true;
        }
        self.0.insert(id.clone(), now);
        false
    }

    /// A backend server has gone: whatever it says next is news.
    pub fn gone(&mut self, id: &str) {
        self.0.remove(id);
    }
}
