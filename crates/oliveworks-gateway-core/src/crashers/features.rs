//! Features of a request: what it has in common with other requests that may crash for the same
//! reason.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The identity of a request's content. The hash is cryptographic, so a caller cannot make another
/// caller's request look like a crasher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl fmt::Display for Fingerprint {
    /// Writes the first bytes in hex, which suffice to tell requests apart in log lines.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Id of a part of a prompt, as named by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId(pub u128);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A workspace, identified by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkspaceHash(pub u64);

/// A feature of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Feature {
    /// The whole content.
    Content(Fingerprint),
    /// The body within its workspace, regardless of the target.
    Body(Fingerprint),
    /// A part of the prompt, in any workspace.
    Part(PartId),
    /// A part of the prompt within a workspace. Callers choose the ids of parts, so the crashes of
    /// one workspace alone do not convict a part in the others.
    WorkspacePart(WorkspaceHash, PartId),
}

impl Feature {
    /// Returns whether requests with different contents may have the feature.
    pub(super) fn is_shared(self) -> bool {
        !matches!(self, Feature::Content(_))
    }

    /// Returns the importance of a report, lowest first: the content and the body of a request reach
    /// other gateways with its caller's next attempt at the earliest, similar requests at once.
    pub(super) fn report_rank(self) -> u8 {
        match self {
            Feature::Part(_) => 3,
            Feature::Content(_) => 2,
            Feature::WorkspacePart(..) => 1,
            Feature::Body(_) => 0,
        }
    }

    /// Returns whether the feature is a part of a prompt.
    pub(super) fn is_part(self) -> bool {
        matches!(self, Feature::Part(_) | Feature::WorkspacePart(..))
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Feature::Content(content) => write!(f, "request {content}"),
            Feature::Body(body) => write!(f, "body {body}"),
            Feature::Part(part) => write!(f, "part {part}"),
            Feature::WorkspacePart(workspace, part) => {
                write!(f, "part {part} of workspace {:x}", workspace.0)
            }
        }
    }
}

/// All features of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Features {
    content: Fingerprint,
    /// The features, sorted: a prompt may have thousands of parts.
    all: Vec<Feature>,
}

impl From<Fingerprint> for Features {
    /// Creates the features of a request of which only the content is known.
    fn from(content: Fingerprint) -> Features {
        Features { content, all: vec![Feature::Content(content)] }
    }
}

impl Features {
    /// Adds the body.
    pub fn with_body(mut self, body: Fingerprint) -> Features {
        self.all.push(Feature::Body(body));
        self.all.sort_unstable();
        self
    }

    /// Adds the parts of the prompt that other requests may contain as well. No part is left out,
    /// wherever it stands: the size of a request head limits their number.
    pub fn with_parts(mut self, workspace: WorkspaceHash, parts: &[PartId]) -> Features {
        let mut distinct = parts.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        self.all.reserve_exact(2 * distinct.len());
        self.all.extend(distinct.iter().copied().map(Feature::Part));
        let of_workspace = |part| Feature::WorkspacePart(workspace, part);
        self.all.extend(distinct.into_iter().map(of_workspace));
        self.all.sort_unstable();
        self
    }

    /// Returns the identity of the whole content.
    pub fn content(&self) -> Fingerprint {
        self.content
    }

    /// Returns all features.
    pub fn iter(&self) -> impl Iterator<Item = Feature> + '_ {
        self.all.iter().copied()
    }

    /// Returns whether the request has a feature.
    pub fn has(&self, feature: Feature) -> bool {
        self.all.binary_search(&feature).is_ok()
    }
}
