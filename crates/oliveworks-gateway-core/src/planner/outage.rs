//! Domains that fall silent as a whole.
//!
//! The load that this answers: a domain loses its power or its network. Gateways notice it where requests stand still,
//! group by group as each gets some; spares and quiet groups seem to live on for seconds, and callers are sent to
//! one group after the other. So once several hosts of a domain, of groups that gateways saw standing still, are
//! silent within a heartbeat, all others there are asked at once, and one silence tells. Rejected: counting every
//! silence (a leader that is cut off from a domain would take apart groups that serve its gateways well), and
//! taking the rest as lost without asking (several may fail in a domain that lives).

use std::collections::BTreeMap;

use super::Planner;
use crate::Millis;

/// Silent hosts from which on a domain may be dark: a rack or a release takes fewer at once.
const SILENT_HOSTS: usize = 3;
/// The time within which they fall silent, in ms: a host's heartbeat.
const WITHIN_MS: u64 = 1_200;

/// When hosts of each domain fell silent, of groups that gateways saw standing still.
#[derive(Clone, Debug, Default)]
pub(super) struct Outages(BTreeMap<String, Vec<Millis>>);

impl Outages {
    /// One more host of a domain is silent.
    pub(super) fn add(&mut self, now: Millis, domain: &str) {
        self.0.entry(domain.to_owned()).or_default().push(now);
    }

    /// Domains that may be dark, each with the time from which on.
    fn dark(&mut self, now: Millis) -> BTreeMap<String, Millis> {
        self.0.retain(|_, silences| {
            silences.retain(|at| now < *at + WITHIN_MS);
            !silences.is_empty()
        });
        let dark = self.0.iter().filter(|(_, silences)| silences.len() >= SILENT_HOSTS);
        dark.map(|(domain, silences)| (domain.clone(), silences[0])).collect()
    }
}

impl Planner {
    /// Asks the hosts of domains that may be dark which nobody heard of since.
    pub(super) fn ask_dark_domains(&mut self, now: Millis) {
        let dark = self.outages.dark(now);
        if dark.is_empty() {
            return;
        }
        for host in self.hosts.values_mut().filter(|host| !host.is_lost()) {
            let since = dark.get(&host.server.domain);
            // What it was heard to say may be an old record of the list.
            if since.is_some_and(|since| host.probed_at < *since) {
                host.suspect();
            }
        }
    }
}
