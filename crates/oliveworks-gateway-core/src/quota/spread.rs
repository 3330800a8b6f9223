//! Spread of each model over failure domains.
//!
//! Guards against the loss of a whole failure domain: the remaining ones continue to serve every
//! model. A model whose groups were all in the lost one would refuse requests for the time of a
//! load. Only the first groups of a model are placed for that purpose. The others stay where they
//! are, because moving a group also costs a load.

use std::collections::{BTreeMap, BTreeSet};

use super::Quotas;
use crate::configuration::Model;

/// Tolerated losses of failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Number of failure domains that may be lost at once. Each model is spread over one more.
    pub lost: usize,
    /// Failure domain of each domain.
    pub failure_domains: BTreeMap<String, String>,
}

/// A model with groups in fewer failure domains than it should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpreadGap {
    /// Name of the model.
    pub model: String,
    /// Number of failure domains that should hold groups of the model.
    pub wanted: usize,
    /// Number of failure domains that do.
    pub found: usize,
}

/// Returns the models whose groups do not fit into enough failure domains.
pub fn spread_gaps(models: &[Model], quotas: &Quotas, spread: &Spread) -> Vec<SpreadGap> {
    if spread.lost == 0 {
        return Vec::new();
    }
    let wanted = spread.lost + 1;
    let found = |model: &Model| {
        let holding = quotas.iter().filter(|(_, groups)| groups.contains_key(&model.name));
        let names = holding.map(|(domain, _)| spread.failure_domains.get(domain).unwrap_or(domain));
        names.collect::<BTreeSet<_>>().len()
    };
    let all = models.iter().filter(|model| model.size > 0);
    let gaps =
        all.map(|model| SpreadGap { model: model.name.clone(), wanted, found: found(model) });
    gaps.filter(|gap| gap.found < wanted).collect()
}
