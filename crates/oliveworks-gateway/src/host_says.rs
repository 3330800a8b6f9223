//! Takes in what backend servers say of themselves in their answers, beside the answer itself.

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::Born;
use oliveworks_gateway_core::balance::Target;
use serde::{Deserialize, Serialize};

use crate::dialect::{Answered, RetryAfter};
use crate::events::Event;
use crate::state::Gateway;

/// How long a gateway that learns of a leaving backend server tells others, in ms: ten heartbeats, of which some may be
/// lost. Whoever learns of it from them tells it on for as long.
const LEAVING_TOLD_MS: u64 = 1_000;

/// Names of headers that nothing here reads and that are reported.
const UNREAD_NAMES_MAX: usize = 32;

/// Who answered.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// The backend server.
    pub server: &'a str,
    /// When its life had begun as far as was known when the request was sent.
    pub life: Option<Born>,
    /// When the request was sent.
    pub sent_at: Millis,
    /// Whether a caller's request was answered, and not a call of this system's own.
    pub to_request: bool,
}

/// A backend server that leaves, as gateways tell each other.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Leaving {
    /// The backend server.
    target: Target,
    /// When the life began that it leaves in.
    life: Option<Born>,
}

impl Gateway {
    /// Takes in what a backend server's answer to a request or a call says of its sender.
    pub fn heed(&self, sender: Sender<'_>, answered: &Answered, request: &str) {
        let Sender { server, life, .. } = sender;
        self.hear_limit(sender, answered, request);
        self.report_unread(server, &answered.unread);
        if answered.leaving {
            self.count("answers_of_leaving_hosts");
            self.host_leaves(server, life, "an answer");
        }
        match &answered.retry_after {
            RetryAfter::NotTold => {}
            RetryAfter::Ms(ms) => self.back_off(server, *ms, request),
            RetryAfter::Unreadable(value) => {
                self.count("retry_after_unreadable");
                warn!("{server}: when to ask again cannot be understood: {value:?}");
            }
        }
    }

    /// Reports headers that speak of a backend server and that nothing here reads, once a name: what hosts begin to say is
    /// seen by operators before it is missed.
    fn report_unread(&self, server: &str, names: &[String]) {
        if names.is_empty() {
            return;
        }
        self.count("answers_with_unread_headers");
        let mut known = self.unread_headers.borrow_mut();
        for name in names {
            if known.len() < UNREAD_NAMES_MAX && known.insert(name.clone()) {
                Event::new("header_not_read")
                    .with("host", server)
                    .with("header", name.as_str())
                    .write();
            }
        }
    }

    /// A backend server asked to be left alone for so long.
    fn back_off(&self, server: &str, ms: u64, request: &str) {
        self.count("refusals_with_retry_after");
        let is_news = self.backoffs.borrow_mut().asked(self.now(), Target::of(server), ms);
        if is_news {
            self.count("backoffs_begun");
            Event::new("backs_off")
                .with("host", server)
                .with("for_ms", ms)
                .with("request", request)
                .write();
        }
    }

    /// A backend server leaves: it gets nothing new, and the leader is told.
    fn host_leaves(&self, server: &str, life: Option<Born>, told_by: &str) {
        if !self.directory.borrow_mut().leaves(server, life) {
            return;
        }
        self.count("hosts_said_they_leave");
        Event::new("host_leaves")
            .with("host", server)
            .debug("born", life)
            .with("told_by", told_by)
            .write();
        for planner in self.planners.borrow_mut().values_mut() {
            planner.leaves(server, life);
        }
        self.plan_now.notify_one();
        let told = Leaving { target: Target::of(server), life };
        self.leaving_told.borrow_mut().push((self.now(), told));
        self.beat_is_urgent.set(true);
        self.send_now.notify_one();
    }

    /// Another gateway was told by a backend server that it leaves.
    pub fn leaves_by_another(&self, leaving: Leaving) {
        let server = self.directory.borrow().id(leaving.target).cloned();
        if let Some(server) = server {
            self.host_leaves(&server, leaving.life, "another gateway");
        }
    }

    /// Backend servers that are to be told on as leaving.
    pub fn leaving_told(&self) -> Vec<Leaving> {
        let now = self.now();
        let mut told = self.leaving_told.borrow_mut();
        told.retain(|(at, _)| now < *at + LEAVING_TOLD_MS);
        told.iter().map(|(_, leaving)| *leaving).collect()
    }

    /// Counts a request that is sent to a backend server which asked to be left alone, or names a limit.
    pub fn count_send(&self, target: Target) {
        if self.rate_limits.borrow_mut().limits.sent(target) {
            self.count("sent_to_limited_hosts");
        }
        if self.backoffs.borrow().until(self.now(), target).is_some() {
            self.count("sent_within_backoff");
        }
    }
}
