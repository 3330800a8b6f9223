//! Spread of the groups of a model over failure domains.

use std::collections::BTreeMap;

use super::Planner;
use crate::quota::{Spread, SpreadGap, spread_gaps};

impl Planner {
    /// Sets how many failure domains may be lost at once with every model still served.
    pub fn set_tolerance(&mut self, failure_domains: usize) {
        if self.tolerance != failure_domains {
            self.tolerance = failure_domains;
            // An empty capacity map makes the next tick recompute the quotas.
            self.capacities.clear();
        }
    }

    /// Returns the failure domains over which groups are spread.
    pub(super) fn spread(&self) -> Spread {
        if self.tolerance == 0 {
            return Spread::default();
        }
        let servers = self.hosts.values().map(|host| &host.server);
        let failure_domains: BTreeMap<String, String> =
            servers.map(|server| (server.domain.clone(), server.failure_domain.clone())).collect();
        Spread { lost: self.tolerance, failure_domains }
    }

    /// Returns the models whose groups do not fit into enough failure domains.
    pub fn spread_gaps(&self) -> Vec<SpreadGap> {
        spread_gaps(&self.engine.models, &self.quotas, &self.spread())
    }
}
