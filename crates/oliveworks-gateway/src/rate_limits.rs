//! Rate limits that backend servers name: takes in what answers tell of them, and tells of their changes.

use log::warn;
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::rate_limits::Rate;
use oliveworks_gateway_core::rate_limits::limits::Answer;

use crate::dialect::NamedLimit;
use crate::events::Event;
use crate::host_says::Sender;
use crate::state::Gateway;

/// The time between two lines of one backend server's limit, in ms: it may name another in each answer.
const TELL_MS: u64 = 1_000;

impl Gateway {
    /// Takes in which limit an answer names.
    pub fn hear_limit(&self, sender: Sender<'_>, named: &NamedLimit, request: &str) {
        let rate = match named {
            NamedLimit::NotTold => None,
            NamedLimit::Rate(rate) => {
                self.count("answers_with_limit");
                Some(*rate)
            }
            NamedLimit::Unreadable(value) => {
                self.count("limit_unreadable");
                warn!("{}: its limit cannot be understood: {value:?}", sender.server);
                return;
            }
        };
        let target = Target::of(sender.server);
        let answer = Answer { target, life: sender.life, sent_at: sender.sent_at, rate };
        let now = self.now();
        let before = self.limits.borrow().rate(target);
        let sent_before = self.limits.borrow().sent_since_change(now, target);
        if self.limits.borrow_mut().answered(now, answer) {
            self.tell_limit(sender.server, before, sent_before, request);
        }
    }

    /// A line for a limit that has changed from `before`; `sent_before` is how many requests this gateway had sent under it
    /// and how long it had been in force, in ms.
    fn tell_limit(
        &self,
        server: &str,
        before: Option<Rate>,
        sent_before: Option<(u64, u64)>,
        told_by: &str,
    ) {
        self.count("limits_changed");
        let (now, target) = (self.now(), Target::of(server));
        let mut told_at = self.limits_told_at.borrow_mut();
        if told_at.get(&target).is_some_and(|at| now < at + TELL_MS) {
            return;
        }
        told_at.insert(target, now);
        let known = self.limits.borrow().get(target);
        Event::new("host_limit")
            .with("host", server)
            .with("per_s", known.and_then(|known| known.rate).map(Rate::per_s))
            .with("before_per_s", before.map(Rate::per_s))
            .with("sent_before", sent_before.map(|(sent, _)| sent))
            .with("before_lasted_ms", sent_before.map(|(_, ms)| ms))
            .with("revision", known.map(|known| known.revision))
            .with("told_by", told_by)
            .write();
    }
}
