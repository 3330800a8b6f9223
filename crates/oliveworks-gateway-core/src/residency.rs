//! Which regions may serve a request.
//!
//! A route and a workspace may each name the regions that serve their requests. What they name binds on
//! every attempt and on resumption, also when that leaves no place at all: where data may be read is no
//! matter of load. Rejected: to prefer allowed regions and fall back on others when they are full.

/// The regions that a route and a workspace allow; an empty list allows any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed<'a> {
    /// Those of the route.
    pub route: &'a [String],
    /// Those of the workspace.
    pub workspace: &'a [String],
}

impl Allowed<'_> {
    /// Whether a failure domain of a region may serve the request. One without a region serves only
    /// what may be served anywhere: nobody knows where it is.
    pub fn may_serve(&self, region: Option<&str>) -> bool {
        allows(self.route, region) && allows(self.workspace, region)
    }

    /// Whether any region may serve the request.
    pub fn is_anywhere(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }
}

fn allows(regions: &[String], region: Option<&str>) -> bool {
    regions.is_empty() || region.is_some_and(|region| regions.iter().any(|named| named == region))
}
