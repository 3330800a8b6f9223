//! Services that serve models by replica groups, and whether the leader plans their groups.

use oliveworks_gateway_core::configuration::Service;

use crate::state::Gateway;

/// Numbers of services, hosts and models that wait for the leader, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unplanned {
    /// Services with models whose groups the leader does not plan.
    pub services: usize,
    /// Listed hosts of these services.
    pub hosts: usize,
    /// Models of all services that no group serves.
    pub models_without_group: usize,
}

impl Gateway {
    /// Returns whether the leader plans the groups of a service, according to its table.
    fn is_planned(&self, service: &str) -> bool {
        self.table.borrow().most_hosts.contains_key(service)
    }

    fn listed_hosts(&self, service: &str) -> usize {
        self.directory.borrow().of_service(service).count()
    }

    /// Returns the number of serving groups of a service.
    fn group_count(&self, service: &str) -> usize {
        self.table.borrow().groups.iter().filter(|group| group.service == service).count()
    }

    fn has_serving_group(&self, service: &str, model: &str) -> bool {
        let table = self.table.borrow();
        table.groups.iter().any(|group| group.service == service && group.model == model)
    }

    /// Describes a service for the log line of a request that found no group of its model.
    pub fn describe_service(&self, service: &str) -> String {
        let planned = if self.is_planned(service) { "yes" } else { "no" };
        let (hosts, groups) = (self.listed_hosts(service), self.group_count(service));
        format!("service {service}: planned: {planned}; hosts: {hosts}; groups: {groups}")
    }

    /// Returns the services with models whose groups the leader does not plan, with the number of
    /// their listed hosts.
    pub fn unplanned_services(&self) -> Vec<(String, usize)> {
        let Some(lookup) = self.lookup() else { return Vec::new() };
        let services = lookup.configuration.services.iter().filter(|service| has_models(service));
        let unplanned = services.filter(|service| !self.is_planned(&service.name));
        unplanned.map(|service| (service.name.clone(), self.listed_hosts(&service.name))).collect()
    }

    /// Counts what waits for the leader.
    pub fn count_unplanned(&self) -> Unplanned {
        let unplanned = self.unplanned_services();
        Unplanned {
            services: unplanned.len(),
            hosts: unplanned.iter().map(|(_, hosts)| hosts).sum(),
            models_without_group: self.models_without_group(),
        }
    }

    fn models_without_group(&self) -> usize {
        let Some(lookup) = self.lookup() else { return 0 };
        let services = lookup.configuration.services.iter();
        let models = services.flat_map(|service| {
            let engine = service.engine.iter();
            engine.flat_map(|engine| &engine.models).map(|model| (&service.name, &model.name))
        });
        models.filter(|(service, model)| !self.has_serving_group(service, model)).count()
    }
}

fn has_models(service: &Service) -> bool {
    service.engine.as_ref().is_some_and(|engine| !engine.models.is_empty())
}
