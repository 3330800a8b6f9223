//! Descriptions of the planner's state for operators.

use std::collections::BTreeMap;

use super::Planner;
use super::group::Group;

impl Planner {
    /// Returns a line for each group, for operators.
    pub fn describe(&self) -> Vec<String> {
        self.groups.values().map(Group::describe).collect()
    }

    /// Returns a line for each domain, with the state of its hosts and the groups that it should
    /// hold.
    pub fn describe_domains(&self) -> Vec<String> {
        let mut domains: BTreeMap<&str, BTreeMap<String, usize>> = BTreeMap::new();
        for host in self.hosts.values() {
            let what = match host.group.and_then(|epoch| self.groups.get(&epoch)) {
                _ if host.is_lost() => "lost".to_owned(),
                _ if host.is_silent() => "silent".to_owned(),
                _ if host.server.draining || host.unlisted => "leaving".to_owned(),
                _ if host.is_slow() => "slow".to_owned(),
                Some(group) if host.drained => {
                    format!("drained:{}:{}", group.model, group.phase.name())
                }
                None if host.drained => "drained:free".to_owned(),
                Some(group) => {
                    format!("{}:{}{}", group.model, group.phase.name(), host.describe_staged())
                }
                None => format!("free:{}{}", host.last_model(), host.describe_staged()),
            };
            *domains.entry(&host.server.domain).or_default().entry(what).or_default() += 1;
        }
        let none = BTreeMap::new();
        let line = |name: &str, hosts| {
            let wanted = self.quotas.get(name).unwrap_or(&none);
            format!("{name} {hosts:?} wanted {wanted:?}")
        };
        domains.iter().map(|(name, hosts)| line(name, hosts)).collect()
    }
}
