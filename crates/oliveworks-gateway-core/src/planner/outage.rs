//! Detection of domains that stop answering as a whole.
//!
//! Motivating case: a domain loses its power or its network. Gateways notice that only where
//! requests make no progress, one group after the other as each group receives requests. Spares and
//! groups without requests seem to be alive for seconds, and requests are sent to one group after
//! the other. Therefore, once several hosts of a domain stop answering within a heartbeat and
//! gateways observed no progress in their groups, all other hosts of the domain are probed at once,
//! and one probe without a connection marks them as lost. A host that accepts connections and does
//! not answer is not counted: it runs and has a network. Rejected: counting every host that does
//! not answer, because a leader that is partitioned from a domain would dissolve groups that the
//! gateways of that domain reach well. Rejected: taking the remaining hosts as lost without a
//! probe, because several hosts may fail in a domain that is otherwise up.

use std::collections::BTreeMap;

use super::Planner;
use crate::Millis;

/// Number of silent hosts from which on a domain may be down. A rack failure or a release affects
/// fewer at once.
const SILENT_HOSTS_MIN: usize = 3;
/// Time within which these hosts stop answering, in ms: the heartbeat interval of a host.
const SILENCE_WINDOW_MS: u64 = 1_200;

/// Times at which hosts of each domain stopped answering while gateways observed no progress in
/// their groups.
#[derive(Clone, Debug, Default)]
pub(super) struct Outages(BTreeMap<String, Vec<Millis>>);

impl Outages {
    /// Records that one more host of a domain does not answer.
    pub(super) fn add(&mut self, now: Millis, domain: &str) {
        self.0.entry(domain.to_owned()).or_default().push(now);
    }

    /// Returns the domains that may be down, each with the time of its first silent host.
    fn silent_domains(&mut self, now: Millis) -> BTreeMap<String, Millis> {
        self.0.retain(|_, silences| {
            silences.retain(|at| now < *at + SILENCE_WINDOW_MS);
            !silences.is_empty()
        });
        let silent = self.0.iter().filter(|(_, silences)| silences.len() >= SILENT_HOSTS_MIN);
        silent.map(|(domain, silences)| (domain.clone(), silences[0])).collect()
    }
}

impl Planner {
    /// Probes the hosts of domains that may be down, unless they were probed since the outage
    /// began.
    pub(super) fn probe_silent_domains(&mut self, now: Millis) {
        let silent = self.outages.silent_domains(now);
        if silent.is_empty() {
            return;
        }
        for host in self.hosts.values_mut().filter(|host| !host.is_lost()) {
            let since = silent.get(&host.server.domain);
            // The last report may stem from an old record of the list, so the time of the last
            // probe counts.
            if since.is_some_and(|since| host.probed_at < *since) {
                host.suspect();
            }
        }
    }
}
