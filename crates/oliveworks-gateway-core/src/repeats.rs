//! Detection of records of backend servers that are of no use to the gateways that follow the topic
//! through this one.
//!
//! Backend servers rewrite their records every second or so. With 3,000 backend servers, some 2,500
//! records a second would go to each gateway of a failure domain, of which some tens are new. A
//! repeat is nevertheless sent from time to time: a gateway may have lost a record in a way that
//! this gateway cannot observe, such as a list read while the store had let some entries expire.

use std::collections::HashMap;

use crate::Millis;
use crate::backend_servers::BackendServerId;

/// Time for which a record counts as sent, in ms: of the records that 3,000 backend servers write,
/// one in twelve is sent again.
const RESEND_MS: u64 = 15_000;

/// Time at which the record of each backend server was last sent as new.
#[derive(Clone, Debug, Default)]
pub struct Repeats(HashMap<BackendServerId, Millis>);

impl Repeats {
    /// Whether the record of a backend server is a repeat; `changed` is whether it differs from the
    /// record that is held.
    pub fn is_repeat(&mut self, now: Millis, id: &BackendServerId, changed: bool) -> bool {
        let sent_recently = self.0.get(id).is_some_and(|at| now < at + RESEND_MS);
        if sent_recently && !changed {
            return true;
        }
        self.0.insert(id.clone(), now);
        false
    }

    /// Forgets a backend server that has gone: its next record counts as new.
    pub fn gone(&mut self, id: &str) {
        self.0.remove(id);
    }
}
