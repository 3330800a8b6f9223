//! Admission at an entry: queues requests, selects the next one, and sheds load.
//!
//! Requests wait in one bounded queue for each workspace. The next request comes from the highest
//! priority and, within it, from the workspace with the least service received relative to its
//! weight. When the queues are full, the least valuable request is rejected at once: the lowest
//! priority first, then the workspace with the most waiting requests relative to its weight, then
//! the earliest deadline. A request that cannot meet its deadline any more is rejected as soon as
//! that is known, not when the deadline passes.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::error::{ErrorKind, Ran, Refusal};
use crate::id::{Millis, Name, RequestId};
use crate::template::TemplateKey;

/// Limits of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmitConfig {
    /// Maximum number of requests that wait at this entry.
    pub queue: usize,
    /// Maximum expected wait, in milliseconds. A request with a longer expected wait is rejected at
    /// once: its first token would come too late to be of use, and it would delay every request
    /// behind it.
    pub wait_ms: u64,
    /// Minimum time between the start of a request and its deadline for the request to be worth
    /// starting, in milliseconds.
    pub least_ms: u64,
}

impl Default for AdmitConfig {
    fn default() -> AdmitConfig {
        AdmitConfig { queue: 256, wait_ms: 120, least_ms: 20 }
    }
}

/// Workspace that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceKey {
    /// Partner.
    pub partner: Name,
    /// Workspace of the partner.
    pub workspace: Name,
}

/// Waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Template of the request. The request is sent only when its template has room.
    pub template: TemplateKey,
    /// Priority of the template.
    pub priority: u8,
    /// Latest time at which the request may end.
    pub deadline: Millis,
    /// Number of requests in the workspace's queue at which this request is rejected.
    pub limit: usize,
}

#[derive(Clone, Debug)]
struct Queue {
    waiting: VecDeque<WaitingRequest>,
    weight: u32,
    /// Service received, divided by the weight. The queue with the lowest value is served next.
    service: u64,
}

/// Queues of one entry.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmitConfig,
    queues: BTreeMap<WorkspaceKey, Queue>,
    len: usize,
    departure_rates: BTreeMap<TemplateKey, DepartureRate>,
}

/// Rate at which a template's requests leave the queues.
#[derive(Clone, Copy, Debug)]
struct DepartureRate {
    /// Smoothed time between two requests, in microseconds.
    gap_us: u64,
    last: Millis,
}

/// Service units for one request, chosen to divide evenly by small weights.
const UNIT: u64 = 1_000_000;
/// Time between two requests that is assumed before any was measured, in microseconds.
const INITIAL_GAP_US: u64 = 20_000;
/// Maximum measured time between two requests, in milliseconds. A longer gap means that the entry
/// was idle, not that it is slow.
const IDLE_GAP_MS: u64 = 1_000;

impl Admission {
    /// Returns empty queues.
    pub fn new(config: AdmitConfig) -> Admission {
        Admission { config, queues: BTreeMap::new(), len: 0, departure_rates: BTreeMap::new() }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the expected wait of a request of this template and priority, in milliseconds.
    /// Requests of other templates wait for other groups and are not counted.
    pub fn expected_wait_ms(&self, template: &TemplateKey, priority: u8) -> u64 {
        let before = |w: &&WaitingRequest| w.template == *template && w.priority >= priority;
        let ahead: usize =
            self.queues.values().map(|q| q.waiting.iter().filter(before).count()).sum();
        ahead as u64 * self.gap_us(template) / 1000
    }

    fn gap_us(&self, template: &TemplateKey) -> u64 {
        self.departure_rates.get(template).map_or(INITIAL_GAP_US, |rate| rate.gap_us)
    }

    /// Adds a request to its queue. Returns the requests that are rejected as a result, possibly
    /// the new request itself.
    pub fn enqueue(
        &mut self,
        now: Millis,
        owner: &WorkspaceKey,
        weight: u32,
        request: WaitingRequest,
    ) -> Vec<(RequestId, Refusal)> {
        let wait = self.expected_wait_ms(&request.template, request.priority);
        let retry_after = self.retry_after_ms(&request.template);
        if now.plus(wait + self.config.least_ms) >= request.deadline {
            let reason = format!("it would wait {wait} ms, past its deadline");
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded, Ran::No, reason);
            return vec![(request.id, refusal.with_retry_after(retry_after))];
        }
        if wait > self.config.wait_ms {
            let reason = format!("it would wait {wait} ms");
            let refusal = Refusal::new(ErrorKind::Overloaded, Ran::No, reason);
            return vec![(request.id, refusal.with_retry_after(retry_after))];
        }
        let lowest_service =
            self.queues.values().filter(|q| !q.waiting.is_empty()).map(|q| q.service).min();
        let queue = self.queues.entry(owner.clone()).or_insert_with(|| Queue {
            waiting: VecDeque::new(),
            weight,
            service: 0,
        });
        queue.weight = weight.max(1);
        if queue.waiting.is_empty() {
            // A workspace that was idle accumulates no credit.
            queue.service = queue.service.max(lowest_service.unwrap_or(0));
        }
        let id = request.id;
        let over_own_limit = queue.waiting.len() >= request.limit;
        queue.waiting.push_back(request);
        self.len += 1;
        let shed = match () {
            () if over_own_limit => self.remove(id),
            () if self.len > self.config.queue => {
                self.least_valuable().and_then(|id| self.remove(id))
            }
            () => None,
        };
        let refusal = |id: RequestId| {
            let reason = "more waits than can be served in time";
            (id, Refusal::new(ErrorKind::Overloaded, Ran::No, reason).with_retry_after(retry_after))
        };
        shed.map(|w| refusal(w.id)).into_iter().collect()
    }

    /// Returns the time after which a rejected caller should retry, in milliseconds: the expected
    /// time until the requests that wait for the template now have left.
    pub fn retry_after_ms(&self, template: &TemplateKey) -> u32 {
        let drain = self.expected_wait_ms(template, 0) + self.gap_us(template) / 1000;
        drain.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS) as u32
    }

    fn least_valuable(&self) -> Option<RequestId> {
        let all = self
            .queues
            .values()
            .flat_map(|q| q.waiting.iter().map(move |w| (q.waiting.len() / q.weight as usize, w)));
        let key = |(len, w): &(usize, &WaitingRequest)| {
            (w.priority, std::cmp::Reverse(*len), w.deadline, w.id)
        };
        all.min_by_key(key).map(|(_, w)| w.id)
    }

    /// Removes a request that is rejected or whose caller disconnected.
    pub fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        for queue in self.queues.values_mut() {
            if let Some(at) = queue.waiting.iter().position(|w| w.id == id) {
                self.len -= 1;
                return queue.waiting.remove(at);
            }
        }
        None
    }

    /// Returns the next request to send, and the requests that cannot meet their deadlines any
    /// more. Requests whose template has no room are skipped and do not block others.
    pub fn next(
        &mut self,
        now: Millis,
        has_room: impl Fn(&TemplateKey) -> bool,
    ) -> (Option<RequestId>, Vec<(RequestId, Refusal)>) {
        let late = self.reject_late(now);
        let best = self
            .queues
            .iter()
            .filter_map(|(owner, q)| {
                let ready = q.waiting.iter().filter(|w| has_room(&w.template));
                let top = ready.map(|w| w.priority).max()?;
                Some((std::cmp::Reverse(top), q.service, owner.clone()))
            })
            .min();
        let Some((std::cmp::Reverse(top), _, owner)) = best else { return (None, late) };
        let Some(queue) = self.queues.get_mut(&owner) else { return (None, late) };
        let fits = |w: &WaitingRequest| w.priority == top && has_room(&w.template);
        let at = queue.waiting.iter().position(fits);
        let next = at.and_then(|at| queue.waiting.remove(at));
        queue.service += UNIT / u64::from(queue.weight);
        self.len -= 1;
        if let Some(next) = &next {
            self.record_departure(now, &next.template);
        }
        (next.map(|w| w.id), late)
    }

    fn reject_late(&mut self, now: Millis) -> Vec<(RequestId, Refusal)> {
        let least = self.config.least_ms;
        let is_late = |w: &&WaitingRequest| now.plus(least) >= w.deadline;
        let all = self.queues.values().flat_map(|q| q.waiting.iter().filter(is_late));
        let ids: Vec<(RequestId, u32)> =
            all.map(|w| (w.id, self.retry_after_ms(&w.template))).collect();
        let mut refused = Vec::new();
        for (id, retry_after) in ids {
            self.remove(id);
            let reason = "its deadline came while it waited";
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded, Ran::No, reason);
            refused.push((id, refusal.with_retry_after(retry_after)));
        }
        refused
    }

    /// Rejects all late requests without sending any.
    pub fn expire(&mut self, now: Millis) -> Vec<(RequestId, Refusal)> {
        self.reject_late(now)
    }

    fn record_departure(&mut self, now: Millis, template: &TemplateKey) {
        let first = DepartureRate { gap_us: INITIAL_GAP_US, last: now };
        let rate = self.departure_rates.entry(template.clone()).or_insert(first);
        let gap = now.since(rate.last);
        if gap <= IDLE_GAP_MS {
            rate.gap_us = (rate.gap_us * 7 + gap * 1000) / 8;
        }
        rate.last = now;
    }
}

/// Minimum time after which a rejected caller is asked to retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 200;
/// Maximum time after which a rejected caller is asked to retry, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 30_000;
