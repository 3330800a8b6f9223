//! Calls of gateways to the store and to each other.

use oliveworks_gateway_core::election::Claim;
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::replay::ReplayAnswer;
use oliveworks_gateway_core::sources::ReadFrom;
use rand::RngExt;

use super::{CALL_TIMEOUT_MS, GATEWAYS, World};
use crate::gateway::{AnswerContent, AnsweredBy, Record, TOPICS, Topic, address};
use crate::messages::{Answer, Call};
use crate::platform::ClaimRecord;

/// Time from an answer to the next call for the same topic, in ms.
const CALL_INTERVAL_MS: u64 = 150;
/// Time from a failed call to the next call for the same topic, in ms.
const RETRY_MS: u64 = 300;

impl World {
    pub(super) fn call(&mut self, index: usize, topic: Topic) {
        let now = self.now;
        let due = self.nodes[index].next_call_at.get(&topic).is_none_or(|at| now >= *at);
        if !due || self.nodes[index].calls.contains_key(&topic) {
            return;
        }
        let draw = self.rng.random();
        let arrives = now + self.delay();
        let gateway = &mut self.nodes[index].gateway;
        let era = gateway.era.era();
        gateway.cursor(topic).discard_other_era(era);
        let to = gateway.choose_source(now, topic, draw);
        let from = gateway.cursors[&topic].position();
        if to == ReadFrom::Nobody {
            return;
        }
        self.nodes[index].calls.insert(topic, Call::Request { arrives, sent: now, to, from });
    }

    /// Delivers due calls to the store or to a gateway, which answers them even while the caller is
    /// paused.
    pub(super) fn deliver_calls(&mut self, index: usize) {
        let now = self.now;
        for topic in TOPICS {
            let Some(Call::Request { arrives, sent, to, from }) =
                self.nodes[index].calls.get(&topic)
            else {
                continue;
            };
            if now < *arrives {
                continue;
            }
            let (sent, to, from) = (*sent, *to, *from);
            let answer = match to {
                ReadFrom::Nobody => None,
                ReadFrom::Store | ReadFrom::StoreTrial => self.store_answers(index, topic, from),
                ReadFrom::Gateway(at) => {
                    let other = (0..GATEWAYS).find(|other| address(*other) == at);
                    self.gateway_answers(
                        index,
                        other.expect("the address belongs to a gateway"),
                        topic,
                        from,
                    )
                }
            };
            let arrives =
                if answer.is_some() { now + self.delay() } else { sent + CALL_TIMEOUT_MS / 4 };
            let response = Call::Response { arrives, sent, to, from, answer };
            self.nodes[index].calls.insert(topic, response);
        }
        self.deliver_claim(index);
    }

    fn store_answers(&self, index: usize, topic: Topic, from: Option<Position>) -> Option<Answer> {
        if self.platform.is_unavailable() || self.nodes[index].store_unreachable_until.is_some() {
            return None;
        }
        let topics = &self.platform.topics;
        let content = match topic {
            Topic::OperatorRecords => match from {
                None => self.newest_operator_records(),
                Some(from) => records_from(&topics.operator_records, from.offset, |_, record| {
                    Record::OperatorRecord(*record)
                }),
            },
            Topic::Hosts => match from {
                None => {
                    let records = self.platform.newest_hosts().into_iter().map(Record::Host);
                    let next = topics.hosts.len() as u64;
                    AnswerContent::Records { records: records.collect(), newest: true, next }
                }
                Some(from) => {
                    records_from(&topics.hosts, from.offset, |_, host| Record::Host(*host))
                }
            },
            Topic::Claims => {
                let record = |offset, claim: &ClaimRecord| {
                    let place = Position::new(Era(self.era_of(claim.era)), offset);
                    Record::Claim(Claim { place, claimant: claim.claimant })
                };
                records_from(&topics.claims, from.map_or(0, |from| from.offset), record)
            }
        };
        Some(Answer { era: self.platform.era, content, by: AnsweredBy::Store })
    }

    fn newest_operator_records(&self) -> AnswerContent {
        use crate::platform::OperatorRecord;
        let version =
            Record::OperatorRecord(OperatorRecord::Version(self.platform.stored_version()));
        let drain = self
            .platform
            .stored_drain()
            .then_some(Record::OperatorRecord(OperatorRecord::Drain(true)));
        let records = std::iter::once(version).chain(drain).collect();
        let next = self.platform.topics.operator_records.len() as u64;
        AnswerContent::Records { records, newest: true, next }
    }

    fn gateway_answers(
        &self,
        index: usize,
        other: usize,
        topic: Topic,
        from: Option<Position>,
    ) -> Option<Answer> {
        if !self.can_reach(index, other) {
            return None;
        }
        let asked = &self.nodes[other].gateway;
        let (records, newest, next) = match asked.replay_buffers[&topic].since(from) {
            ReplayAnswer::Records(records, next) => (records, false, next),
            ReplayAnswer::Newest(next) => (asked.newest(topic), true, next),
            ReplayAnswer::Behind | ReplayAnswer::Unread => return None,
        };
        let by =
            AnsweredBy::Gateway { age_ms: asked.freshness.age_ms(self.now), stored: asked.stored };
        let content = AnswerContent::Records { records, newest, next: next.offset };
        Some(Answer { era: next.era.0, content, by })
    }

    pub(super) fn receive_answer(&mut self, index: usize, topic: Topic) {
        let now = self.now;
        let arrived =
            |call: &Call| matches!(call, Call::Response { arrives, .. } if *arrives <= now);
        if !self.nodes[index].calls.get(&topic).is_some_and(arrived) {
            return;
        }
        let Some(Call::Response { sent, to, from, answer, .. }) =
            self.nodes[index].calls.remove(&topic)
        else {
            return;
        };
        let is_late = now > sent + CALL_TIMEOUT_MS;
        let is_applied = match answer.filter(|_| !is_late) {
            None => false,
            Some(answer) if matches!(to, ReadFrom::Store | ReadFrom::StoreTrial) => {
                self.apply_store_answer(index, topic, sent, from, answer)
            }
            Some(answer) => self.apply_gateway_answer(index, topic, sent, to, answer),
        };
        let gateway = &mut self.nodes[index].gateway;
        if !is_applied {
            match to {
                ReadFrom::Nobody => {}
                ReadFrom::Store | ReadFrom::StoreTrial => gateway.store_failed(now),
                ReadFrom::Gateway(at) => {
                    let other = (0..GATEWAYS).find(|other| address(*other) == at);
                    gateway.gateway_did_not_answer(
                        now,
                        topic,
                        other.expect("the address belongs to a gateway"),
                    );
                }
            }
        }
        let pause = if is_applied { CALL_INTERVAL_MS } else { RETRY_MS };
        self.nodes[index].next_call_at.insert(topic, now + pause);
    }

    fn apply_store_answer(
        &mut self,
        index: usize,
        topic: Topic,
        sent: u64,
        from: Option<Position>,
        answer: Answer,
    ) -> bool {
        let now = self.now;
        let gateway = &mut self.nodes[index].gateway;
        let Some(era) = gateway.observe_era(now, sent, answer.era) else { return false };
        gateway.store_answered(now);
        // The records do not follow the ones read before, because the position is of another era.
        if from.is_some_and(|from| from.era != era && from.offset != 0) {
            return true;
        }
        match answer.content {
            AnswerContent::Expired => gateway.cursor(topic).store_answered(None),
            AnswerContent::Records { records, newest, next } => {
                gateway.cursor(topic).store_answered(Some(Position::new(era, next)));
                gateway.apply(now, sent, topic, records, newest, answer.by);
            }
        }
        true
    }

    fn apply_gateway_answer(
        &mut self,
        index: usize,
        topic: Topic,
        sent: u64,
        to: ReadFrom,
        answer: Answer,
    ) -> bool {
        let now = self.now;
        let gateway = &mut self.nodes[index].gateway;
        let era = Era(answer.era);
        let AnswerContent::Records { records, newest, next } = answer.content else { return false };
        let place = Position::new(era, next);
        if era < gateway.era.era() || (newest && gateway.replay_buffers[&topic].is_ahead_of(place))
        {
            return false;
        }
        if era > gateway.era.era() {
            gateway.observe_era(now, sent, answer.era);
        }
        if let ReadFrom::Gateway(address) = to {
            gateway.cursor(topic).gateway_answered(address, place);
        }
        gateway.apply(now, sent, topic, records, newest, answer.by);
        true
    }
}

fn records_from<T>(all: &[T], from: u64, record: impl Fn(u64, &T) -> Record) -> AnswerContent {
    let Some(new) = all.get(from as usize..) else { return AnswerContent::Expired };
    let records = (from..).zip(new).map(|(offset, item)| record(offset, item)).collect();
    AnswerContent::Records { records, newest: false, next: all.len() as u64 }
}
