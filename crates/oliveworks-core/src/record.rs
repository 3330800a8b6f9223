//! Records: the agreed changes, in the total order of the platform's log.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, Epoch, HostId, Name, Offset, RecordId};
use crate::template::{SlotId, Template, TemplateKey, Workspace};

/// Author of a record. Its signature is verified before the record reaches this crate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Author {
    /// Operators of a partner.
    Partner(Name),
    /// Process of the system.
    System,
}

/// Record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id drawn by the author. Identifies the record again after the answer to its append was lost.
    pub id: RecordId,
    /// Author.
    pub author: Author,
    /// Content.
    pub body: Body,
}

/// Relation of a new group to a group already in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Basis {
    /// The slot is empty.
    Fresh,
    /// The old group cannot serve. It ends with this record, and the new group may contain its
    /// hosts.
    Supersedes(Epoch),
    /// The old group continues until the new group serves. The groups share no host.
    Alongside(Epoch),
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A partner publishes a template.
    PublishTemplate {
        /// Template.
        template: Template,
        /// Offset of the version that the operator edited. The record is ignored if another version
        /// was published since. With `None` any version is replaced.
        #[serde(default)]
        edits: Option<Offset>,
    },
    /// A partner withdraws a template, and its groups drain.
    WithdrawTemplate {
        /// Key of the template.
        key: TemplateKey,
    },
    /// A partner publishes a workspace.
    PublishWorkspace {
        /// Workspace.
        workspace: Workspace,
    },
    /// A partner proposes the shares of the hosts in percent. The shares take effect once every
    /// partner has published the same values.
    SetShares {
        /// Share of each partner.
        shares: BTreeMap<Name, u8>,
    },
    /// A partner takes a host out of use.
    DrainHost {
        /// Host.
        host: HostId,
    },
    /// A partner returns a host to use.
    RestoreHost {
        /// Host.
        host: HostId,
    },
    /// The system forms a replica group.
    FormGroup {
        /// Slot of the replica.
        slot: SlotId,
        /// Offset of the template version on which the decision was based.
        template_at: Offset,
        /// Fabric domain of the members.
        domain: DomainId,
        /// Members in rank order. The first member leads.
        hosts: Vec<HostId>,
        /// Hosts that may take a lost member's place without a record.
        spares: Vec<HostId>,
        /// Addresses of the agents of members and spares, in the same order.
        addresses: Vec<SocketAddr>,
        /// Relation to a group already in the slot.
        basis: Basis,
    },
    /// The system orders a group to finish its running requests and accept no new ones.
    DrainGroup {
        /// Epoch of the group.
        epoch: Epoch,
    },
    /// The system releases a drained group's hosts.
    FreeGroup {
        /// Epoch of the group.
        epoch: Epoch,
    },
}

impl Body {
    /// Returns the kind of the body, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Body::PublishTemplate { .. } => "publish_template",
            Body::WithdrawTemplate { .. } => "withdraw_template",
            Body::PublishWorkspace { .. } => "publish_workspace",
            Body::SetShares { .. } => "set_shares",
            Body::DrainHost { .. } => "drain_host",
            Body::RestoreHost { .. } => "restore_host",
            Body::FormGroup { .. } => "form_group",
            Body::DrainGroup { .. } => "drain_group",
            Body::FreeGroup { .. } => "free_group",
        }
    }
}

/// Reason for which every reader ignores a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ignored {
    /// The same record was applied before.
    Repeated,
    /// The author may not write this record.
    NoRight,
    /// A rule of the template or workspace is violated.
    Invalid(String),
    /// Another version was published since the author read the state.
    Stale,
    /// The template, group or host does not exist.
    Missing,
    /// A host belongs to another group, is listed twice or is out of use.
    HostNotFree(HostId),
    /// The slot already has a group.
    SlotTaken,
}

impl fmt::Display for Ignored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Ignored::Repeated => f.write_str("the same record came before"),
            Ignored::NoRight => f.write_str("the author has no right to it"),
            Ignored::Invalid(why) => write!(f, "invalid: {why}"),
            Ignored::Stale => f.write_str("another version was published since"),
            Ignored::Missing => f.write_str("there is no such thing"),
            Ignored::HostNotFree(host) => write!(f, "{host} is not free"),
            Ignored::SlotTaken => f.write_str("the replica has a group already"),
        }
    }
}
