//! The table of replica groups that serve, as the leader publishes it, and the propagation of its
//! changes to gateways.
//!
//! The table grows with the number of groups, and with hundreds of groups there is a change every
//! second. So the leader sends deltas, and a gateway that missed one requests the deltas since its
//! version. Each delta names the version that it applies to, so a lost or repeated datagram does no
//! harm: the delta does not apply, and the next heartbeat shows that a delta is missing. A gateway
//! that is too far behind receives the whole table in parts.
//!
//! Rejected alternative: sending the whole table with each change. At 150 bytes a group, tables of
//! more than 400 groups did not fit in a datagram, so gateways fell back to the records of backend
//! servers, which are older.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::backend_servers::Born;
use crate::group_id::GroupId;

/// Maximum size of one delta or part, in bytes as estimated by [`TableGroup::bytes`]: below the
/// largest datagram, with room for the fields that the estimate leaves out.
const MAX_DELTA_BYTES: usize = 40_000;
/// Number of deltas that are kept for gateways that missed some: at ten a second, enough for a
/// gateway that was paused for six seconds.
const MAX_KEPT_CHANGES: usize = 64;
/// Encoded size of a group besides its strings, in bytes: numbers, the address and length fields.
const GROUP_BYTES: usize = 48;

/// A replica group as the leader publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableGroup {
    /// Service of the group.
    pub service: String,
    /// Model of the group.
    pub model: String,
    /// Epoch of the group.
    pub epoch: u64,
    /// Ids of the members, the head first.
    pub members: Vec<String>,
    /// Address on which the head listens.
    pub address: SocketAddr,
    /// Number of requests that the group serves concurrently.
    pub slots: u32,
    /// Failure domain of the head.
    pub failure_domain: String,
    /// Duration of the group's work as a percentage of the usual one; 100 is usual, 200 is half as
    /// fast.
    pub pace_percent: u32,
    /// Start of the head's incarnation, as the head reported it to the leader: the record of the
    /// head in the store may hold it later, or never.
    pub head_born: Option<Born>,
}

impl TableGroup {
    /// Returns the slowdown factor of the group; 1 is the usual pace.
    pub fn pace(&self) -> f64 {
        f64::from(self.pace_percent.max(100)) / 100.0
    }

    /// Returns the id of the group.
    pub fn id(&self) -> GroupId {
        GroupId::of(&self.service, self.epoch)
    }

    fn key(&self) -> (&str, u64) {
        (&self.service, self.epoch)
    }

    /// Estimates the size of the group in a datagram, in bytes.
    fn bytes(&self) -> usize {
        let members: usize = self.members.iter().map(|id| id.len() + 1).sum();
        GROUP_BYTES + self.service.len() + self.model.len() + self.failure_domain.len() + members
    }
}

/// Identifies a group of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupKey {
    /// Service of the group.
    pub service: String,
    /// Epoch of the group.
    pub epoch: u64,
}

impl GroupKey {
    fn of((service, epoch): (&str, u64)) -> GroupKey {
        GroupKey { service: service.to_owned(), epoch }
    }

    fn key(&self) -> (&str, u64) {
        (&self.service, self.epoch)
    }
}

/// Version of a table. The table of a later leader is newer; among tables of one leader, the one
/// with the higher number is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Fence of the leader.
    pub fence: u64,
    /// Counts the changes.
    pub number: u64,
}

/// Largest number of hosts seen in each domain of each service.
pub type MostHosts = BTreeMap<String, BTreeMap<String, usize>>;

/// All groups that serve, as the leader published them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Fence of the leader.
    pub fence: u64,
    /// Counts the leader's changes.
    pub number: u64,
    /// Groups that serve.
    pub groups: Vec<TableGroup>,
    /// Groups that have certainly ended, for the next leader.
    pub ended: Vec<GroupId>,
    /// Largest number of hosts seen in each domain of each service, for the next leader.
    pub most_hosts: MostHosts,
}

/// A delta between two versions of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the delta applies to.
    pub from: Version,
    /// Version that results from the delta.
    pub to: Version,
    /// Groups that no longer serve.
    gone: Vec<GroupKey>,
    /// Groups that are new or have changed.
    groups: Vec<TableGroup>,
    /// Groups that are no longer listed as ended.
    forgotten: Vec<GroupId>,
    /// Groups that have ended since.
    ended: Vec<GroupId>,
    /// Largest numbers of hosts of all domains, if any of them has changed.
    most_hosts: Option<MostHosts>,
}

/// A part of a whole table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Version of the table.
    version: Version,
    /// Index of this part, and number of parts.
    index: usize,
    count: usize,
    groups: Vec<TableGroup>,
    /// Ended groups and largest numbers of hosts; in the first part only.
    ended: Vec<GroupId>,
    most_hosts: MostHosts,
}

impl Table {
    /// Returns the version of the table.
    pub fn version(&self) -> Version {
        Version { fence: self.fence, number: self.number }
    }

    /// Returns the deltas that turn this table into `new`, each small enough for a datagram; empty
    /// if the tables are equal. Their numbers continue from the number of this table, whatever the
    /// number of `new` is.
    pub fn changes_to(&self, new: &Table) -> Vec<Change> {
        let old_groups: BTreeMap<_, _> = self.groups.iter().map(|g| (g.key(), g)).collect();
        let kept: BTreeSet<_> = new.groups.iter().map(TableGroup::key).collect();
        let changed = new.groups.iter().filter(|group| old_groups.get(&group.key()) != Some(group));
        let mut runs = split_for_datagrams(changed).into_iter();
        let first = Change {
            from: self.version(),
            to: Version { fence: new.fence, number: self.number + 1 },
            gone: old_groups
                .into_keys()
                .filter(|key| !kept.contains(key))
                .map(GroupKey::of)
                .collect(),
            groups: runs.next().unwrap_or_default(),
            forgotten: difference(&self.ended, &new.ended),
            ended: difference(&new.ended, &self.ended),
            most_hosts: (self.most_hosts != new.most_hosts).then(|| new.most_hosts.clone()),
        };
        if self.fence == new.fence && first.is_empty() {
            return Vec::new();
        }
        let mut changes = vec![first];
        for groups in runs {
            let from = changes[changes.len() - 1].to;
            changes.push(Change::of_groups(from, groups));
        }
        changes
    }

    /// Applies a delta and returns whether it applies to this version; otherwise the table stays
    /// unchanged. A replaced leader may not yet know of its successor, so a table never returns to
    /// a lower fence.
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.from != self.version() || change.to <= change.from {
            return false;
        }
        self.fence = change.to.fence;
        self.number = change.to.number;
        let replaced = change.groups.iter().map(TableGroup::key);
        let removed: BTreeSet<_> = replaced.chain(change.gone.iter().map(GroupKey::key)).collect();
        self.groups.retain(|group| !removed.contains(&group.key()));
        self.groups.extend(change.groups.iter().cloned());
        self.ended.retain(|group| !change.forgotten.contains(group));
        self.ended.extend(&change.ended);
        if let Some(most_hosts) = &change.most_hosts {
            self.most_hosts.clone_from(most_hosts);
        }
        true
    }

    /// Returns the whole table in parts, each small enough for a datagram. All gateways that hold
    /// the same table split it alike, whatever the order in which they received its groups.
    pub fn parts(&self) -> Vec<Part> {
        let mut groups: Vec<_> = self.groups.iter().collect();
        groups.sort_by(|one, other| one.key().cmp(&other.key()));
        let mut runs = split_for_datagrams(groups.into_iter());
        if runs.is_empty() {
            runs.push(Vec::new());
        }
        let count = runs.len();
        let part = |(index, groups)| Part {
            version: self.version(),
            index,
            count,
            groups,
            ended: if index == 0 { self.ended.clone() } else { Vec::new() },
            most_hosts: if index == 0 { self.most_hosts.clone() } else { MostHosts::new() },
        };
        runs.into_iter().enumerate().map(part).collect()
    }
}

impl Change {
    fn of_groups(from: Version, groups: Vec<TableGroup>) -> Change {
        let to = Version { number: from.number + 1, ..from };
        let (gone, forgotten, ended) = (Vec::new(), Vec::new(), Vec::new());
        Change { from, to, gone, groups, forgotten, ended, most_hosts: None }
    }

    fn is_empty(&self) -> bool {
        let groups = self.gone.is_empty() && self.groups.is_empty();
        let ended = self.forgotten.is_empty() && self.ended.is_empty();
        groups && ended && self.most_hosts.is_none()
    }

    /// Whether the delta adds, changes or removes groups.
    pub fn regroups(&self) -> bool {
        !self.gone.is_empty() || !self.groups.is_empty()
    }
}

/// Returns the groups of the first list that are not in the second.
fn difference(all: &[GroupId], others: &[GroupId]) -> Vec<GroupId> {
    all.iter().filter(|group| !others.contains(group)).copied().collect()
}

/// Splits groups into runs that each fit in a datagram.
fn split_for_datagrams<'a>(groups: impl Iterator<Item = &'a TableGroup>) -> Vec<Vec<TableGroup>> {
    let mut runs: Vec<Vec<TableGroup>> = Vec::new();
    let mut room = 0;
    for group in groups {
        let bytes = group.bytes();
        match runs.last_mut() {
            Some(run) if bytes <= room => run.push(group.clone()),
            _ => {
                room = MAX_DELTA_BYTES;
                runs.push(vec![group.clone()]);
            }
        }
        room = room.saturating_sub(bytes);
    }
    runs
}

/// The most recent deltas, for gateways that missed some.
#[derive(Clone, Debug, Default)]
pub struct Changes(VecDeque<Change>);

impl Changes {
    /// Adds a delta that was applied. A delta that does not follow the last one discards all
    /// earlier ones.
    pub fn keep(&mut self, change: Change) {
        if self.0.back().is_some_and(|last| last.to != change.from) {
            self.0.clear();
        }
        self.0.push_back(change);
        if self.0.len() > MAX_KEPT_CHANGES {
            self.0.pop_front();
        }
    }

    /// Returns the deltas since version `held`, in order; `None` if some of them are no longer
    /// kept.
    pub fn since(&self, held: Version) -> Option<Vec<Change>> {
        let first = self.0.iter().position(|change| change.from == held)?;
        Some(self.0.iter().skip(first).cloned().collect())
    }
}

/// Assembles the parts of a table as they arrive.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    parts: BTreeMap<usize, Part>,
}

impl Assembly {
    /// Adds a part and returns the table once it is complete. Parts of a version older than the one
    /// being assembled are ignored.
    pub fn add_part(&mut self, part: Part) -> Option<Table> {
        let assembling = self.parts.values().next().map(|part| part.version);
        if assembling.is_some_and(|assembling| part.version < assembling) {
            return None;
        }
        if assembling.is_some_and(|assembling| assembling < part.version) {
            self.parts.clear();
        }
        let count = part.count;
        self.parts.insert(part.index, part);
        if self.parts.len() < count {
            return None;
        }
        let mut parts = std::mem::take(&mut self.parts).into_values();
        let first = parts.next()?;
        let Version { fence, number } = first.version;
        let Part { mut groups, ended, most_hosts, .. } = first;
        groups.extend(parts.flat_map(|part| part.groups));
        Some(Table { fence, number, groups, ended, most_hosts })
    }
}
