//! A replica group as the leader knows it.

use crate::Millis;
use crate::backend_servers::BackendServerId;

/// Where a group stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Members join.
    Joining,
    /// The head is told to open.
    Opening,
    /// It serves, from a time on.
    Open {
        /// When the head is open.
        from: Millis,
    },
    /// A member leaves: the head finishes its work.
    Finishing,
    /// A member is lost: the group is taken apart.
    Breaking,
    /// It holds a model for repairs and serves nothing.
    Spare,
}

impl Phase {
    pub(super) fn name(self) -> &'static str {
        match self {
            Phase::Joining => "joining",
            Phase::Opening => "opening",
            Phase::Open { .. } => "open",
            Phase::Finishing => "finishing",
            Phase::Breaking => "breaking",
            Phase::Spare => "spare",
        }
    }
}

/// How the names of groups that serve or will begin, and those of spares. The next leader tells by it
/// whether a host that is alone in its group holds a model for repairs or is what is left of a group.
const NAME: char = 'g';
const SPARE_NAME: char = 's';

/// The name of a new group: one that will serve, or a spare.
pub(super) fn name(epoch: u64, serves: bool) -> String {
    let first = if serves { NAME } else { SPARE_NAME };
    format!("{first}{epoch}")
}

/// Whether a group of this name is a spare.
pub(super) fn is_spare_name(name: &str) -> bool {
    name.starts_with(SPARE_NAME)
}

/// A replica group.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) epoch: u64,
    pub(super) name: String,
    pub(super) model: String,
    pub(super) members: Vec<BackendServerId>,
    pub(super) phase: Phase,
    /// When it came into its phase.
    pub(super) since: Millis,
    /// The model that is to get its hosts.
    pub(super) yields_to: Option<String>,
    /// Whether an earlier leader formed it.
    pub(super) adopted: bool,
}

impl Group {
    pub(super) fn serves(&self, now: Millis) -> bool {
        matches!(self.phase, Phase::Open { from } if now >= from)
    }

    /// Whether it serves or will.
    pub(super) fn counts(&self) -> bool {
        matches!(self.phase, Phase::Joining | Phase::Opening | Phase::Open { .. })
    }

    pub(super) fn describe(&self) -> String {
        format!("{} {} {:?} {}", self.name, self.model, self.phase, self.members.join(","))
    }
}
