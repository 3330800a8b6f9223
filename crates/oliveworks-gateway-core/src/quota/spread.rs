//! In how many failure domains each model has groups.
//!
//! Answers the loss of a whole failure domain: what is left goes on serving every model, while a model whose
//! groups all stood there would refuse its callers for the time of a load. Only the first groups of a model
//! are placed for that; the others stay where they are, since moving one costs a load, too.

use std::collections::{BTreeMap, BTreeSet};

use super::Quotas;
use crate::configuration::Model;

/// What is to be borne.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// How many failure domains may be lost at once; each model is spread over one more.
    pub lost: usize,
    /// The failure domain of each domain.
    pub failure_domains: BTreeMap<String, String>,
}

/// A model with groups in fewer failure domains than it should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The model.
    pub model: String,
    /// How many failure domains should hold groups of it.
    pub wanted: usize,
    /// How many do.
    pub found: usize,
}

/// The models whose groups do not fit into enough failure domains.
pub fn gaps(models: &[Model], quotas: &Quotas, spread: &Spread) -> Vec<Gap> {
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
    let gaps = all.map(|model| Gap { model: model.name.clone(), wanted, found: found(model) });
    gaps.filter(|gap| gap.found < wanted).collect()
}
