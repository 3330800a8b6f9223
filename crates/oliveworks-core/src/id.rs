//! Identifiers and points in time.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Host with a backend server and one agent beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u32);

/// Entry: a process that takes callers' requests and hands them to agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EntryId(pub u32);

/// Fabric domain. All hosts of a replica group are in the same fabric domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DomainId(pub u16);

/// Position in the platform's log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

/// Formation of a replica group: the offset of the record that formed the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Choice of members within an epoch. Later views replace earlier ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct View(pub u32);

/// Run of an agent process, identified by a random number drawn at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Id of a caller's request, drawn at random by the entry or derived from the caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

/// Id of a record, drawn by its author.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub u128);

/// Time in milliseconds on one process's own monotonic clock. Values of two processes are never
/// compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

macro_rules! prefixed {
    ($type:ident, $prefix:literal, $what:literal) => {
        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                let digits = text.strip_prefix($prefix).unwrap_or(text);
                digits.parse().map($type).map_err(|_| NameError {
                    text: text.into(),
                    wanted: concat!($what, " such as ", $prefix, "7"),
                })
            }
        }
    };
}

prefixed!(HostId, "host-", "a host");
prefixed!(EntryId, "entry-", "an entry");
prefixed!(DomainId, "fabric-", "a fabric domain");

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "group-{}", self.0)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        u128::from_str_radix(text, 16)
            .map(RequestId)
            .map_err(|_| NameError { text: text.into(), wanted: "a request id in hexadecimal" })
    }
}

/// Short name given by an operator: a partner, workspace, template, model or service.
///
/// Consists of 1 to 64 characters out of `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`, and starts with a
/// letter or a digit. Cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Maximum number of characters in a [`Name`].
pub const NAME_MAX: usize = 64;

impl Name {
    /// Creates a name after checking the text.
    ///
    /// # Errors
    /// If the text is not a valid name as described at the type.
    pub fn new(text: &str) -> Result<Name, NameError> {
        let error = NameError {
            text: text.chars().take(NAME_MAX).collect(),
            wanted: "a name of 1 to 64 letters, digits, '-', '_' or '.'",
        };
        let good = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
        if !starts_well || text.len() > NAME_MAX || !text.chars().all(good) {
            return Err(error);
        }
        Ok(Name(text.into()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        Name::new(&text)
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        Name::new(text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.to_string()
    }
}

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameError {
    text: String,
    wanted: &'static str,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.wanted)
    }
}

impl std::error::Error for NameError {}
