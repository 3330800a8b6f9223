//! Places that fall silent while their answers are awaited, or whose answers are invalid.

use oliveworks_gateway_core::configuration::Repeat;
use oliveworks_gateway_core::group_id::GroupId;

use super::Job;
use super::reception::{Reception, SilenceLimit};
use crate::events::Event;
use crate::places::Place;

/// Silence, in ms, after which a repeatable request without a model is sent to another backend
/// server as well.
const PLAIN_SILENCE_MS: u64 = 400;
/// Factor on the goal of the route. The product is used in place of `PLAIN_SILENCE_MS` if it is
/// longer.
const PLAIN_SILENCE_GOALS: u64 = 2;
impl Job<'_> {
    /// Returns the longest silence of a place before the request is sent to another one as well.
    pub(super) fn silence_limit(&self) -> SilenceLimit {
        if self.route.repeat != Repeat::Idempotent {
            return SilenceLimit::Unlimited;
        }
        if self.model.is_some() {
            return SilenceLimit::Group { pass_ms: self.pass_ms };
        }
        match self.attempts.sent() < self.route.max_attempts {
            true => SilenceLimit::Plain {
                silence_ms: PLAIN_SILENCE_MS.max(self.route.goal_ms * PLAIN_SILENCE_GOALS),
            },
            false => SilenceLimit::Unlimited,
        }
    }

    pub(super) fn record_silence(&mut self, reception: &mut Reception<'_>) {
        reception.is_silent = true;
        let (now, place) = (self.gateway.now(), &reception.place);
        self.log.push(format!("{} silent at {} ms", place.server, now - self.received));
        self.gateway.count("attempt_stalled");
        let Some(epoch) = place.epoch else { return };
        let target = place.candidate.target;
        if !self.gateway.suspensions.borrow().is_suspended(now, target) {
            let last = self.gateway.balance.borrow().last_progress(target).unwrap_or(now);
            Event::new("group_stands_still")
                .with("host", &*place.server)
                .with("epoch", epoch)
                .with("silent_ms", now - last)
                .with("longest_pass_ms", self.pass_ms)
                .with("request", self.asked.id.as_str())
                .write();
        }
        self.suspend(place);
    }

    /// Records that a place answered with bytes that are no answer.
    pub(super) fn record_invalid_answer(&self, reception: &Reception<'_>) {
        let place = &reception.place;
        Event::new("answer_is_invalid")
            .with("host", &*place.server)
            .with("epoch", place.epoch)
            .with("request", self.asked.id.as_str())
            .write();
        self.suspend(place);
    }

    /// Keeps further requests from a place for a while, and tells the leader of its group.
    fn suspend(&self, place: &Place) {
        let (now, target) = (self.gateway.now(), place.candidate.target);
        self.gateway.suspensions.borrow_mut().suspend(now, target);
        self.gateway.record_unreachable(&place.server);
        if let Some(epoch) = place.epoch {
            self.gateway.report_stalled_group(GroupId::of(&self.service, epoch));
        }
    }

    pub(super) fn record_end_of_silence(&mut self, reception: &mut Reception<'_>) {
        if std::mem::take(&mut reception.is_silent) {
            let at = self.gateway.now() - self.received;
            self.log.push(format!("{} continues at {at} ms", reception.place.server));
            self.gateway.count("silences_ended");
        }
    }
}
