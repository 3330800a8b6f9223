//! Public keys in the settings.

use std::collections::BTreeMap;

use oliveworks_core::id::Name;
use serde::{Deserialize, Serialize};

/// Public keys with which every process verifies the signatures of records, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordKeys {
    /// Key of the operators of each partner.
    pub partners: BTreeMap<Name, String>,
    /// Key of the processes of the system itself.
    pub system: String,
}

impl RecordKeys {
    /// Checks the rules that the types do not express.
    ///
    /// # Errors
    /// Returns an error that names the invalid settings key.
    pub fn check(&self) -> Result<(), String> {
        if self.partners.is_empty() {
            return Err("record_keys.partners: at least one partner is required".into());
        }
        Ok(())
    }
}
