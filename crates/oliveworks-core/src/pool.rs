//! Pool: the state that results from all records up to an offset. It is also called the
//! configuration of a process that holds it.
//!
//! [`Pool::apply`] is a pure function of the pool and the record. Every process applies the same
//! records in the same order and reaches the same pool, so a record that is not valid at its
//! position is ignored by every process alike. Agreement between processes needs nothing else: host
//! ownership depends on no lease, clock or compare-and-set.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::id::{DomainId, Epoch, HostId, Name, Offset, RecordId};
use crate::record::{Author, Basis, Body, Ignored, Record};
use crate::template::{Kind, SlotId, Template, TemplateKey, Workspace};

/// Number of record ids kept for detecting repeated records. A repeated append follows the first
/// within seconds; at 13,000 records a day the ids cover more than an hour.
const RECENT_IDS: usize = 1024;

/// Template in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Template.
    pub template: Template,
    /// Offset at which the template was published.
    pub at: Offset,
    /// Offset of the first publication or of the last change of the number of replicas. The home of
    /// a key depends on that number, so the homes were last reassigned at this offset.
    pub homes_at: Offset,
    /// Indexes of the replicas that cannot have been the home of any key: the template is new, so
    /// they were no home before `homes_at`, and they have had no group since. The set is empty if a
    /// template of this name was withdrawn before, and from the first change of the number of
    /// replicas on.
    pub never_homed: BTreeSet<u16>,
}

/// Whether a group takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupState {
    /// The group serves or is being prepared to serve.
    Active,
    /// The group finishes its running requests.
    Draining,
}

/// Replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Offset at which the group was formed.
    pub epoch: Epoch,
    /// Slot that the group fills.
    pub slot: SlotId,
    /// Digest of the template fields that determine the group's composition.
    pub shape: u64,
    /// Fabric domain of all hosts of the group.
    pub domain: DomainId,
    /// Members, then spares, in rank order.
    pub ranked: Vec<HostId>,
    /// Addresses of the hosts' agents, in the same order.
    pub addresses: Vec<SocketAddr>,
    /// Number of hosts in `ranked` that serve at the same time.
    pub width: u16,
    /// Whether the group takes new work.
    pub state: GroupState,
    /// Whether the slot is known to have had no group before, so that no request with a key can
    /// have run there. Always `false` after a change of the number of replicas, even for a new
    /// slot.
    pub first_home: bool,
    /// Group that this group replaces. The replaced group continues until this group serves.
    pub alongside: Option<Epoch>,
}

impl Group {
    /// Returns the address of a host's agent.
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        let at = self.ranked.iter().position(|h| *h == host)?;
        self.addresses.get(at).copied()
    }

    /// Returns the number of members that serve at the same time.
    pub fn width(&self) -> usize {
        usize::from(self.width)
    }
}

/// State that results from all records up to an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    partners: BTreeSet<Name>,
    next: Offset,
    templates: BTreeMap<TemplateKey, Published>,
    workspaces: BTreeMap<(Name, Name), Workspace>,
    shares: BTreeMap<Name, BTreeMap<Name, u8>>,
    groups: BTreeMap<Epoch, Group>,
    hosts: BTreeMap<HostId, Epoch>,
    slots: BTreeMap<SlotId, Vec<Epoch>>,
    drained: BTreeSet<HostId>,
    /// Withdrawn templates. A template that is published again under the same name does not count
    /// as new. The set grows with every name ever withdrawn, by about fifty bytes each.
    withdrawn: BTreeSet<TemplateKey>,
    recent: VecDeque<RecordId>,
}

impl Pool {
    /// Returns the empty pool of the given partners.
    pub fn new(partners: impl IntoIterator<Item = Name>) -> Pool {
        Pool {
            partners: partners.into_iter().collect(),
            next: Offset(0),
            templates: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            shares: BTreeMap::new(),
            groups: BTreeMap::new(),
            hosts: BTreeMap::new(),
            slots: BTreeMap::new(),
            drained: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            recent: VecDeque::new(),
        }
    }

    /// Returns the offset after the last applied record.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the partners.
    pub fn partners(&self) -> &BTreeSet<Name> {
        &self.partners
    }

    /// Returns the templates in force.
    pub fn templates(&self) -> impl Iterator<Item = &Published> {
        self.templates.values()
    }

    /// Returns a template.
    pub fn template(&self, key: &TemplateKey) -> Option<&Published> {
        self.templates.get(key)
    }

    /// Returns the workspaces in force.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Returns a workspace.
    pub fn workspace(&self, partner: &Name, name: &Name) -> Option<&Workspace> {
        self.workspaces.get(&(partner.clone(), name.clone()))
    }

    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// Returns a group.
    pub fn group(&self, epoch: Epoch) -> Option<&Group> {
        self.groups.get(&epoch)
    }

    /// Returns the group that a host belongs to as member or spare.
    pub fn group_of(&self, host: HostId) -> Option<&Group> {
        self.groups.get(self.hosts.get(&host)?)
    }

    /// Returns the groups in a slot, oldest first.
    pub fn groups_in(&self, slot: &SlotId) -> impl Iterator<Item = &Group> {
        self.slots.get(slot).into_iter().flatten().filter_map(|e| self.groups.get(e))
    }

    /// Returns the hosts that operators took out of use.
    pub fn drained(&self) -> &BTreeSet<HostId> {
        &self.drained
    }

    /// Returns a partner's share of the pool in percent, if every partner published the same
    /// shares.
    pub fn share(&self, partner: &Name) -> Option<u8> {
        let mut claims = self.partners.iter().map(|p| self.shares.get(p));
        let first = claims.next()??;
        if claims.any(|c| c != Some(first)) {
            return None;
        }
        first.get(partner).copied()
    }

    /// Returns a digest of the whole pool. Two processes at the same offset have the same digest.
    pub fn digest(&self) -> u128 {
        xxh3_128(&postcard::to_stdvec(self).expect("plain data always serializes"))
    }

    /// Skips an offset without a valid record, for example an unreadable or badly signed one.
    pub fn skip(&mut self, offset: Offset) {
        debug_assert!(offset >= self.next, "records are applied in order");
        self.next = Offset(offset.0 + 1);
    }

    /// Applies the record at `offset`.
    ///
    /// # Errors
    /// Returns why the record is ignored. The pool then differs only in its next offset.
    ///
    /// # Panics
    /// In debug builds, if `offset` was applied before: the configuration never goes back.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Result<(), Ignored> {
        debug_assert!(offset >= self.next, "records are applied in order");
        self.next = Offset(offset.0 + 1);
        if self.recent.contains(&record.id) {
            return Err(Ignored::Repeated);
        }
        self.apply_body(offset, record)?;
        self.recent.push_back(record.id);
        if self.recent.len() > RECENT_IDS {
            self.recent.pop_front();
        }
        Ok(())
    }

    fn apply_body(&mut self, offset: Offset, record: &Record) -> Result<(), Ignored> {
        match (&record.body, &record.author) {
            (Body::PublishTemplate { template, edits }, Author::Partner(author)) => {
                self.publish(offset, author, template, *edits)
            }
            (Body::WithdrawTemplate { key }, Author::Partner(author)) => {
                self.check_author(author, &key.partner)?;
                self.templates.remove(key).ok_or(Ignored::Missing)?;
                self.withdrawn.insert(key.clone());
                Ok(())
            }
            (Body::PublishWorkspace { workspace }, Author::Partner(author)) => {
                self.check_author(author, &workspace.partner)?;
                workspace.check().map_err(|e| Ignored::Invalid(e.to_string()))?;
                let key = (workspace.partner.clone(), workspace.workspace.clone());
                self.workspaces.insert(key, workspace.clone());
                Ok(())
            }
            (Body::SetShares { shares }, Author::Partner(author)) => {
                self.set_shares(author, shares)
            }
            (Body::DrainHost { host }, Author::Partner(author)) => {
                self.check_author_of_host(author, *host)?;
                self.drained.insert(*host);
                Ok(())
            }
            (Body::RestoreHost { host }, Author::Partner(author)) => {
                self.check_author_of_host(author, *host)?;
                self.drained.remove(host).then_some(()).ok_or(Ignored::Missing)
            }
            (
                Body::FormGroup { slot, template_at, domain, hosts, spares, addresses, basis },
                Author::System,
            ) => {
                if addresses.len() != hosts.len() + spares.len() {
                    return Err(Ignored::Invalid("the number of addresses".into()));
                }
                let shape = self.check_group(slot, *template_at, hosts, spares, *basis)?;
                let published = self.templates.get_mut(&slot.template).ok_or(Ignored::Missing)?;
                let group = Group {
                    first_home: published.never_homed.remove(&slot.index),
                    epoch: Epoch(offset.0),
                    slot: slot.clone(),
                    shape,
                    domain: *domain,
                    ranked: hosts.iter().chain(spares).copied().collect(),
                    addresses: addresses.clone(),
                    width: hosts.len() as u16,
                    state: GroupState::Active,
                    alongside: match basis {
                        Basis::Alongside(old) => Some(*old),
                        _ => None,
                    },
                };
                if let Basis::Supersedes(old) = basis {
                    self.remove_group(*old);
                }
                self.insert_group(group);
                Ok(())
            }
            (Body::DrainGroup { epoch }, Author::System) => {
                let group = self.groups.get_mut(epoch).ok_or(Ignored::Missing)?;
                if group.state == GroupState::Draining {
                    return Err(Ignored::Stale);
                }
                group.state = GroupState::Draining;
                Ok(())
            }
            (Body::FreeGroup { epoch }, Author::System) => {
                let group = self.groups.get(epoch).ok_or(Ignored::Missing)?;
                if group.state != GroupState::Draining {
                    return Err(Ignored::Stale);
                }
                self.remove_group(*epoch);
                Ok(())
            }
            _ => Err(Ignored::NoRight),
        }
    }

    fn check_author(&self, author: &Name, owner: &Name) -> Result<(), Ignored> {
        let known = self.partners.contains(author);
        (known && author == owner).then_some(()).ok_or(Ignored::NoRight)
    }

    /// Checks that a partner may take a host out of use: a host without a group or with a group of
    /// its own, never a host that serves the other partner.
    fn check_author_of_host(&self, author: &Name, host: HostId) -> Result<(), Ignored> {
        match self.group_of(host) {
            Some(group) => self.check_author(author, &group.slot.template.partner),
            None => self.check_author(author, author),
        }
    }

    fn publish(
        &mut self,
        offset: Offset,
        author: &Name,
        template: &Template,
        edits: Option<Offset>,
    ) -> Result<(), Ignored> {
        self.check_author(author, &template.partner)?;
        template.check().map_err(|e| Ignored::Invalid(e.to_string()))?;
        let old = self.templates.get(&template.key());
        if edits.is_some() && edits != old.map(|p| p.at) {
            return Err(Ignored::Stale);
        }
        let key = template.key();
        let published = match old {
            Some(old) if old.template.replicas == template.replicas => {
                Published { template: template.clone(), at: offset, ..old.clone() }
            }
            _ => {
                let is_new = old.is_none() && !self.withdrawn.contains(&key);
                let never_homed =
                    if is_new { (0..template.replicas).collect() } else { BTreeSet::new() };
                Published { template: template.clone(), at: offset, homes_at: offset, never_homed }
            }
        };
        self.templates.insert(key, published);
        Ok(())
    }

    fn set_shares(&mut self, author: &Name, shares: &BTreeMap<Name, u8>) -> Result<(), Ignored> {
        self.check_author(author, author)?;
        let sum: u32 = shares.values().map(|s| u32::from(*s)).sum();
        let names_all = shares.keys().eq(self.partners.iter());
        if !names_all || sum != 100 {
            return Err(Ignored::Invalid("shares name every partner and add up to 100".into()));
        }
        self.shares.insert(author.clone(), shares.clone());
        Ok(())
    }

    /// Checks a new group and returns its shape.
    fn check_group(
        &self,
        slot: &SlotId,
        template_at: Offset,
        hosts: &[HostId],
        spares: &[HostId],
        basis: Basis,
    ) -> Result<u64, Ignored> {
        let published = self.templates.get(&slot.template).ok_or(Ignored::Missing)?;
        if published.at != template_at {
            return Err(Ignored::Stale);
        }
        let template = &published.template;
        if slot.index >= template.replicas {
            return Err(Ignored::Missing);
        }
        let spares_max = usize::from(template.spares.min(template.hosts - 1));
        if hosts.len() != usize::from(template.hosts) || spares.len() > spares_max {
            return Err(Ignored::Invalid("the number of hosts".into()));
        }
        self.check_basis(slot, template.shape(), basis)?;
        let replaced = match basis {
            Basis::Supersedes(old) => Some(old),
            _ => None,
        };
        let mut seen = BTreeSet::new();
        for host in hosts.iter().chain(spares) {
            let owner = self.hosts.get(host).copied();
            let free = owner.is_none() || owner == replaced;
            if !free || self.drained.contains(host) || !seen.insert(*host) {
                return Err(Ignored::HostNotFree(*host));
            }
        }
        Ok(template.shape())
    }

    fn check_basis(&self, slot: &SlotId, shape: u64, basis: Basis) -> Result<(), Ignored> {
        let mut active = self.groups_in(slot).filter(|g| g.state == GroupState::Active);
        match basis {
            Basis::Fresh => match active.next() {
                Some(_) => Err(Ignored::SlotTaken),
                None => Ok(()),
            },
            Basis::Supersedes(old) => {
                // Only the replaced group may have the same shape. Otherwise two groups would serve
                // the slot.
                let others = |g: &Group| g.epoch != old && g.shape == shape;
                if !self.groups_in(slot).any(|g| g.epoch == old) {
                    return Err(Ignored::Missing);
                }
                match active.any(others) {
                    true => Err(Ignored::SlotTaken),
                    false => Ok(()),
                }
            }
            Basis::Alongside(old) => {
                let epochs: Vec<Epoch> = active.map(|g| g.epoch).collect();
                match epochs[..] {
                    [only] if only == old => Ok(()),
                    _ => Err(Ignored::SlotTaken),
                }
            }
        }
    }

    fn insert_group(&mut self, group: Group) {
        for host in &group.ranked {
            let before = self.hosts.insert(*host, group.epoch);
            debug_assert!(before.is_none(), "{host} is in two groups");
        }
        self.slots.entry(group.slot.clone()).or_default().push(group.epoch);
        self.groups.insert(group.epoch, group);
    }

    fn remove_group(&mut self, epoch: Epoch) {
        let Some(group) = self.groups.remove(&epoch) else {
            return;
        };
        for host in &group.ranked {
            self.hosts.remove(host);
        }
        if let Some(epochs) = self.slots.get_mut(&group.slot) {
            epochs.retain(|e| *e != epoch);
            if epochs.is_empty() {
                self.slots.remove(&group.slot);
            }
        }
    }

    /// Checks the invariants of the pool.
    ///
    /// # Errors
    /// Describes the violated invariant.
    pub fn verify(&self) -> Result<(), String> {
        let mut seen = BTreeMap::new();
        for group in self.groups.values() {
            let spares = group.ranked.len() - group.width().min(group.ranked.len());
            if group.width() > group.ranked.len() || spares >= group.width() {
                return Err(format!("{} has {} spares", group.epoch, spares));
            }
            for host in &group.ranked {
                if let Some(other) = seen.insert(*host, group.epoch) {
                    return Err(format!("{host} is in {other} and {}", group.epoch));
                }
            }
        }
        match seen == self.hosts {
            true => Ok(()),
            false => Err("the index of hosts differs from the groups".into()),
        }
    }

    /// Finds the template that callers of a workspace request by the model's or the template's
    /// name.
    pub fn find_template(
        &self,
        partner: &Name,
        workspace: &Name,
        kind: Kind,
        name: &str,
    ) -> Option<&Published> {
        self.templates.values().find(|p| {
            let t = &p.template;
            let same = t.model.as_str() == name || t.name.as_str() == name;
            same && t.kind == kind && t.partner == *partner && t.workspace == *workspace
        })
    }
}

/// Pool together with the digest that verifies it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Pool.
    pub pool: Pool,
    /// Digest of the pool.
    pub digest: u128,
}

impl Snapshot {
    /// Takes a snapshot.
    pub fn of(pool: &Pool) -> Snapshot {
        Snapshot { pool: pool.clone(), digest: pool.digest() }
    }

    /// Encodes the snapshot in a compact binary form.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always serializes")
    }

    /// Decodes the output of [`Snapshot::to_bytes`].
    ///
    /// # Errors
    /// If the bytes are not a snapshot. [`Snapshot::into_verified_pool`] checks the digest and the
    /// invariants.
    pub fn from_bytes(bytes: &[u8]) -> Result<Snapshot, String> {
        postcard::from_bytes(bytes).map_err(|e| format!("no snapshot: {e}"))
    }

    /// Returns the pool after checking its digest and invariants.
    ///
    /// # Errors
    /// If the digest or an invariant does not hold.
    pub fn into_verified_pool(self) -> Result<Pool, String> {
        if self.pool.digest() != self.digest {
            return Err("the snapshot's digest does not match".into());
        }
        self.pool.verify()?;
        Ok(self.pool)
    }
}
