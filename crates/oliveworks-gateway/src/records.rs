//! Processing of the followed topics: configuration and leaders. The list of backend servers is
//! processed by [`crate::server_list`].

use std::collections::BTreeSet;
use std::rc::Rc;

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::configuration::{Configuration, Lookup};
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::store_calls;

use crate::dialect::{Record, Topic};
use crate::events::Event;
use crate::follow::{Follower, RecordSource, Step};
use crate::state::Gateway;
use crate::{drains, server_list, versions};

/// Longest time for which the store may hold back a read of the configuration while records may be
/// missing in the store, in ms. Drains that are not written again end soon after this time.
const SETTLING_WAIT_MS: u64 = 300;
/// Longest time for which the store may hold back a read of the leaders' topic, in ms.
const LEADERS_WAIT_MS: u64 = 15_000;

fn apply_configuration(gateway: &Gateway, step: Step, next: Option<Position>) {
    let mut drained_domains = BTreeSet::new();
    for record in step.records {
        match record {
            Record::Configuration(configuration) => {
                let held = gateway.lookup().map(|lookup| lookup.configuration.version);
                if held.is_some_and(|held| held >= configuration.version) {
                    continue;
                }
                Event::new("configuration")
                    .with("version", configuration.version)
                    .with("before", held)
                    .with("next_offset", next.map(|next| next.offset))
                    .with("era", gateway.era().0)
                    .debug("told_by", step.source)
                    .with("routes", configuration.routes.len())
                    .with("workspaces", configuration.workspaces.as_ref().map_or(0, Vec::len))
                    .write();
                forget_waits(gateway, &configuration);
                forget_numberings(gateway, &configuration);
                gateway.caller_limits.borrow_mut().adopt(
                    gateway.now(),
                    configuration.limits,
                    gateway.settings.bounds.apply_ms,
                );
                *gateway.lookup.borrow_mut() = Some(Rc::new(Lookup::new(configuration)));
            }
            Record::Drain { failure_domain, drained: true } => {
                drains::begin(gateway, &failure_domain);
                drained_domains.insert(failure_domain);
            }
            Record::Drain { failure_domain, drained: false } => {
                drains::end(gateway, &failure_domain);
            }
            Record::Unknown(why) => warn!("configuration: {why}"),
            _ => {}
        }
    }
    if step.snapshot {
        drains::apply_snapshot(gateway, &drained_domains, step.source);
    }
}

/// Removes the remaining waits of callers for routes that are absent from a configuration.
fn forget_waits(gateway: &Gateway, configuration: &Configuration) {
    let names = configuration.routes.iter().map(|route| route.name.as_str());
    let routes: BTreeSet<&str> = names.collect();
    gateway.waits.borrow_mut().retain(|route| routes.contains(route));
}

/// Removes what is known of the streams of services that are absent from a configuration.
fn forget_numberings(gateway: &Gateway, configuration: &Configuration) {
    let names = configuration.services.iter().map(|service| service.name.as_str());
    let services: BTreeSet<&str> = names.collect();
    gateway.numberings.borrow_mut().retain(|service, _| services.contains(service.as_str()));
}

/// Follows all topics, after other gateways had time to send heartbeats.
pub async fn follow(gateway: Rc<Gateway>) {
    versions::wait_for_peers(&gateway).await;
    ntex::rt::spawn(follow_configuration(gateway.clone()));
    ntex::rt::spawn(server_list::follow(gateway.clone()));
    ntex::rt::spawn(follow_leaders(gateway.clone()));
}

/// Follows the configuration.
async fn follow_configuration(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, Topic::Configuration);
    let longest_wait_ms = gateway.settings.configuration_wait_ms();
    let mut returned_records = false;
    loop {
        adopt_from_peers(&gateway, &mut follower).await;
        if drains::needs_snapshot(&gateway) {
            follower.request_snapshot();
        }
        let mut wait_ms = match returned_records {
            true => 0,
            false => store_calls::held_ms(longest_wait_ms, gateway.proof_age_ms()),
        };
        if gateway.store_may_lack_records() {
            wait_ms = wait_ms.min(SETTLING_WAIT_MS);
        }
        if let Some(left_ms @ 1..) = gateway.store_incomplete_ms() {
            // The end of this call is then the first proof.
            wait_ms = wait_ms.min(left_ms);
        }
        let Some(step) = follower.step(wait_ms).await else { continue };
        let (sent, held_ms, source) = (step.sent, step.held_ms, step.source);
        let reaches_end = step.reaches_end;
        // An answer with records proves the state of the store only at the time of the call, which
        // may be long ago. The next call is not held back, so its answer gives a younger proof.
        returned_records = !step.records.is_empty();
        keep_for_peers(&gateway, Topic::Configuration, &step, follower.position());
        gateway.record_stored_version(&step);
        apply_configuration(&gateway, step, follower.position());
        if reaches_end && follower.position().is_some() && gateway.lookup.borrow().is_some() {
            record_proof(&gateway, sent, held_ms, source);
        }
        gateway.new_records(Topic::Configuration).notify_waiters();
    }
}

/// Adopts a newer version held by another gateway if the store has not delivered it in time.
async fn adopt_from_peers(gateway: &Gateway, follower: &mut Follower) {
    let records = versions::catch_up(gateway, follower).await;
    if records.is_empty() {
        return;
    }
    let source =
        RecordSource::Gateway { proof_age_ms: None, list_age_ms: None, stored_version: None };
    let sent = gateway.now();
    let step = Step { records, snapshot: false, reaches_end: false, sent, held_ms: 0, source };
    apply_configuration(gateway, step, follower.position());
}

/// Records the age of the proof that the configuration is current.
fn record_proof(gateway: &Gateway, sent: Millis, held_ms: u64, source: RecordSource) {
    if !gateway.step_proves(gateway.now(), sent + held_ms, source) {
        return;
    }
    let mut freshness = gateway.freshness.get();
    let had_recent_proof = gateway.has_recent_proof();
    match source {
        RecordSource::Store => freshness.proved(sent, held_ms),
        RecordSource::Gateway { proof_age_ms: None, .. } => return,
        RecordSource::Gateway { proof_age_ms: Some(age_ms), .. } => {
            freshness.proved_by_peer(sent, held_ms, age_ms);
            gateway.store_answered_peer((sent + held_ms).saturating_sub(age_ms));
        }
    }
    gateway.freshness.set(freshness);
    if !had_recent_proof && gateway.has_recent_proof() {
        // Others may have no source.
        gateway.send_heartbeat_now();
    }
}

/// Keeps the records of a step for gateways that read through this one; `next` is the position
/// after them.
fn keep_for_peers(gateway: &Gateway, topic: Topic, step: &Step, next: Option<Position>) {
    let mut buffer = gateway.replay_buffer(topic).borrow_mut();
    match next {
        Some(next) if step.snapshot => buffer.restart_at(next),
        Some(next) => buffer.append(step.records.clone(), next),
        // The position is unknown: the next step reads the whole topic again.
        None => {}
    }
}

/// Follows the topic of leaders.
async fn follow_leaders(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, Topic::Leaders);
    loop {
        let Some(step) = follower.step(LEADERS_WAIT_MS).await else { continue };
        keep_for_peers(&gateway, Topic::Leaders, &step, follower.position());
        let now = gateway.now();
        let mut newest = None;
        for record in step.records {
            if let Record::Leader(claim) = record {
                newest = Some(claim);
            }
        }
        if let Some(claim) = &newest {
            let own = claim.claimant == gateway.incarnation;
            Event::new("leader").with("fence", claim.fence()).with("this_gateway", own).write();
            gateway.new_records(Topic::Leaders).notify_waiters();
        }
        if let Some(end) = follower.position() {
            gateway.election.borrow_mut().read(now, newest, end);
        }
    }
}
