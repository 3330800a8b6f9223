//! Choice of the domain, the hosts and the spares of a group.

use super::Draft;
use crate::id::{DomainId, HostId};
use crate::pool::Published;
use crate::template::Kind;

/// Number of hosts of a domain for each free host that is reserved for repairs. Spares are assigned
/// only from what remains. A domain with fewer hosts reserves none, because a spare is worth more
/// than a free host there.
const HOSTS_PER_RESERVED_HOST: usize = 30;

impl Draft<'_> {
    /// Returns the free hosts of a domain that suit a template.
    pub(super) fn suitable(&self, domain: DomainId, published: &Published) -> Vec<HostId> {
        let template = &published.template;
        let wanted = (template.kind == Kind::Service).then_some(template.model.as_str());
        let suits = |h: &&HostId| {
            self.fleet.host(**h).is_some_and(|view| view.service.as_deref() == wanted)
        };
        self.free.get(&domain).into_iter().flatten().filter(suits).copied().collect()
    }

    pub(super) fn choose_domain(&self, published: &Published, width: usize) -> Option<DomainId> {
        let spares = usize::from(published.template.spares);
        let weights = published.template.weights();
        let mut best: Option<((usize, usize, usize), DomainId)> = None;
        for domain in self.free.keys() {
            let suitable = self.suitable(*domain, published);
            if suitable.len() < width {
                continue;
            }
            if !self.config.best_fit {
                return Some(*domain);
            }
            let warm =
                suitable.iter().filter(|h| self.holds_weights(**h, weights)).count().min(width);
            let no_room_for_spares = usize::from(suitable.len() < width + spares);
            let score = (width - warm, no_room_for_spares, suitable.len() - width);
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, *domain));
            }
        }
        best.map(|(_, domain)| domain)
    }

    fn holds_weights(&self, host: HostId, weights: u64) -> bool {
        self.fleet.host(host).is_some_and(|v| v.weights == Some(weights))
    }

    /// Removes `count` suitable hosts from a domain's free hosts and returns them.
    pub(super) fn pick(
        &mut self,
        domain: DomainId,
        count: usize,
        published: &Published,
    ) -> Option<Vec<HostId>> {
        let mut suitable = self.suitable(domain, published);
        if suitable.len() < count {
            return None;
        }
        if self.config.best_fit {
            let weights = published.template.weights();
            suitable.sort_by_key(|h| (!self.holds_weights(*h, weights), *h));
        }
        suitable.truncate(count);
        let free = self.free.entry(domain).or_default();
        for host in &suitable {
            free.remove(host);
        }
        Some(suitable)
    }

    /// Picks spares. Hosts that a missing replica could use and the last free hosts of a domain are
    /// excluded, because a spare serves one group while a free host can repair any group.
    pub(super) fn pick_spares(
        &mut self,
        domain: DomainId,
        published: &Published,
        have: usize,
    ) -> Vec<HostId> {
        if !self.config.spares {
            return Vec::new();
        }
        let template = &published.template;
        let needed = usize::from(template.spares).saturating_sub(have);
        let left = self.suitable(domain, published).len();
        // While a replica lacks a group, hosts that make up whole replicas are left free and only
        // the remainder may become spares. Otherwise all of them may.
        let remainder = left % usize::from(template.hosts.max(1));
        let spare = if self.are_all_groups_formed() { left } else { remainder };
        let count = needed.min(spare.saturating_sub(self.reserve(domain)));
        self.pick(domain, count, published).unwrap_or_default()
    }

    /// Returns how many free hosts of a domain are reserved for repairs.
    fn reserve(&self, domain: DomainId) -> usize {
        let hosts = self.fleet.hosts().filter(|(_, v)| v.domain == domain).count();
        hosts / HOSTS_PER_RESERVED_HOST
    }
}
