//! Data residency: decides which regions may serve a request.
//!
//! A route and a workspace may each restrict the regions that serve their requests. The restriction
//! applies to every attempt and to resumption, even if no place is left: data residency does not
//! depend on load. Rejected: preferring the allowed regions and falling back to others when they
//! are full.

/// The regions allowed by a route and by a workspace. An empty list allows every region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed<'a> {
    /// Regions allowed by the route.
    pub route: &'a [String],
    /// Regions allowed by the workspace.
    pub workspace: &'a [String],
}

impl Allowed<'_> {
    /// Returns whether a failure domain in `region` may serve the request. A failure domain without
    /// a region serves only requests without restrictions, because its location is unknown.
    pub fn may_serve(&self, region: Option<&str>) -> bool {
        allows(self.route, region) && allows(self.workspace, region)
    }

    /// Returns whether every region may serve the request.
    pub fn is_anywhere(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }
}

fn allows(regions: &[String], region: Option<&str>) -> bool {
    regions.is_empty() || region.is_some_and(|region| regions.iter().any(|named| named == region))
}
