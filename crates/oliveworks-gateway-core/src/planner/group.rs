//! State of a replica group as the leader knows it.

use crate::Millis;
use crate::backend_servers::BackendServerId;

/// Phase of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Members join.
    Joining,
    /// The head is ordered to open.
    Opening,
    /// The group serves from the given time on.
    Open {
        /// Time at which the head is open.
        from: Millis,
    },
    /// A member leaves or the group is preempted: the head finishes its requests.
    Finishing,
    /// The group is being ended: its head is ordered to leave. Reasons are a member that is lost,
    /// slow, restarted or in a later group, a group that did not finish its requests in time, and a
    /// group that an earlier leader left closing or broken. The group is dissolved once its head
    /// has certainly stopped serving, and abandoned if the head is lost.
    Breaking,
    /// The group holds a model for repairs and does not serve.
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

/// First characters of the names of groups that serve or will serve, and of spares. By these the
/// next leader distinguishes a host that holds a model for repairs from the last remaining member
/// of a group.
const NAME: char = 'g';
const SPARE_NAME: char = 's';

/// Returns the name of a new group, which is either a group that will serve or a spare.
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
    /// Time at which the group entered its phase.
    pub(super) since: Millis,
    /// Model for which the group is preempted.
    pub(super) preempted_for: Option<String>,
    /// Whether an earlier leader formed the group.
    pub(super) adopted: bool,
}

impl Group {
    pub(super) fn serves(&self, now: Millis) -> bool {
        matches!(self.phase, Phase::Open { from } if now >= from)
    }

    /// Whether callers may have requests at the group.
    pub(super) fn is_in_service(&self) -> bool {
        matches!(self.phase, Phase::Opening | Phase::Open { .. } | Phase::Finishing)
    }

    /// Whether the group holds a model for repairs.
    pub(super) fn is_spare(&self) -> bool {
        is_spare_name(&self.name)
    }

    /// Whether the group serves or is being formed to serve.
    pub(super) fn counts(&self) -> bool {
        matches!(self.phase, Phase::Joining | Phase::Opening | Phase::Open { .. })
    }

    pub(super) fn describe(&self) -> String {
        format!("{} {} {:?} {}", self.name, self.model, self.phase, self.members.join(","))
    }
}
