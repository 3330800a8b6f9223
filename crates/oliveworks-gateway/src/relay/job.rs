//! Matches a request with the configuration, and creates the job that relays it.

use std::rc::Rc;

use oliveworks_gateway_core::attempts::{Attempts, Terms, Verdict};
use oliveworks_gateway_core::configuration::{Lookup, Repeat, Unmatched};
use oliveworks_gateway_core::event_order::Position;
use oliveworks_gateway_core::timeliness::Served;

use super::Job;
use crate::connection::ReceivedRequest;
use crate::crashers::features;
use crate::dialect::{RequestInfo, SharedParts};
use crate::memory_budget::MemoryShare;
use crate::state::Gateway;

/// Deadline of a request whose caller names none, in ms, counted from its receipt.
const DEADLINE_MS: u64 = 30_000;
/// Number of parts up to which a prompt takes no memory of the budget for heads: the limit on
/// connections covers them.
const PARTS_FREE: usize = 64;
/// Memory that a part of a prompt takes while its request is handled, in bytes: its id, and its
/// features while they are sorted and kept.
const PART_BYTES: usize = 256;

/// Creates the job of a request.
///
/// # Errors
/// Returns a verdict if the request has no route or key, or there is no memory for its prompt.
pub(super) fn new_job<'a>(
    gateway: &'a Gateway,
    lookup: &Lookup,
    request: &'a ReceivedRequest,
    asked: RequestInfo,
) -> Result<Job<'a>, Verdict> {
    let host = request.header("host").ok_or(Verdict::BadRequest)?;
    let path = request.target.split('?').next().unwrap_or_default();
    let found = lookup.find(host, path, asked.key.as_deref());
    let found = found.map_err(|why| match why {
        Unmatched::NoRoute => Verdict::NoRoute,
        Unmatched::NoKey => Verdict::NoKey,
    })?;
    let service = found.route.service_for(&asked.id).ok_or(Verdict::NoRoute)?.to_owned();
    let engine = lookup.service(&service).and_then(|service| service.engine.as_ref());
    let grouped = engine.is_some_and(|engine| !engine.models.is_empty());
    let received = gateway.now();
    let time_ms = asked.deadline_ms.unwrap_or(DEADLINE_MS).min(found.route.timeout_ms);
    let deadline = received + time_ms;
    let repeatable = found.route.repeat == Repeat::Idempotent;
    let max_attempts = found.route.max_attempts.max(1);
    let workspace_rank = found.workspace.and_then(|workspace| workspace.priority);
    gateway.budget.borrow_mut().request(received, &service);
    let pass_ms = engine.and_then(|engine| {
        let model = engine.model(asked.model.as_deref()?)?;
        Some(engine.longest_pass_ms(model).ceil() as u64)
    });
    let came_back = asked.deadline_ms.is_some_and(|left_ms| {
        let mut waits = gateway.waits.borrow_mut();
        waits.came_back(&found.route.name, u32::try_from(left_ms).unwrap_or(u32::MAX))
    });
    let workspace = found.workspace.map(|workspace| workspace.name.clone());
    let shared_parts = gateway.dialect.parse_shared_parts(&request.headers);
    let parts_share = reserve_parts(gateway, &shared_parts)?;
    let features = features(request, &asked, &shared_parts, workspace.as_deref());
    Ok(Job {
        features: Rc::new(features),
        shared_parts,
        _parts_share: parts_share,
        is_offered: pass_ms.is_some(),
        pass_ms: pass_ms.unwrap_or(0),
        model: asked.model.clone().filter(|_| grouped),
        workspace,
        workspace_regions: found.workspace.map_or_else(Vec::new, |found| found.regions.clone()),
        priority: Some(workspace_rank.unwrap_or(found.route.priority)),
        position: Position::Begin(asked.last_event),
        attempts: Attempts::new(Terms { repeatable, max_attempts, deadline }),
        route: found.route.clone(),
        has_stale_key: !found.route.public && !gateway.honours_keys(),
        gateway,
        request,
        asked,
        service,
        received,
        deadline,
        tried_targets: Vec::new(),
        searches_failed: 0,
        head_sent: false,
        served: Served { came_back, ..Served::default() },
        table: (0, 0),
        log: Vec::new(),
    })
}

/// Reserves memory for what is derived from the parts of a prompt.
fn reserve_parts(gateway: &Gateway, parts: &SharedParts) -> Result<MemoryShare, Verdict> {
    let mut share = gateway.head_memory.share();
    if let SharedParts::Named(parts) = parts
        && parts.len() > PARTS_FREE
        && share.grow_to(parts.len() * PART_BYTES).is_err()
    {
        gateway.count("refused_memory");
        return Err(Verdict::NotRun);
    }
    Ok(share)
}
