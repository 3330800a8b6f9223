//! Log of a proof run, and its readers.

use oliveworks_core::feed::Source;
use oliveworks_core::id::{EntryId, Offset};
use oliveworks_core::pool::Snapshot;
use rand::RngExt;

use super::Broken;
use super::net::{Msg, Node};
use super::world::{TAIL, World};

impl World {
    pub(super) fn log_receive(&mut self, from: Node, msg: Msg) {
        if self.log.down {
            return;
        }
        match msg {
            Msg::Append(record) => {
                self.log.append(self.now, record);
            }
            Msg::StoreSnapshot(snapshot) => {
                let old = self.log.snapshot.as_ref().map(|s| s.pool.next());
                if old.is_none_or(|o| snapshot.pool.next() > o) {
                    self.log.snapshot = Some(snapshot);
                }
            }
            Msg::FeedRequest { from: offset, number } => {
                if self.log.loses_answers && self.rng.random_range(0..2) == 0 {
                    return;
                }
                let expired = offset.0 < self.log.start;
                let snapshot = if expired { self.log.snapshot.clone() } else { None };
                let first = snapshot.as_ref().map_or(offset, |s| s.pool.next()).0;
                if first < self.log.start {
                    return; // The records are gone, and no snapshot covers them.
                }
                let records = (first..self.log.next().0)
                    .map(|o| (Offset(o), self.log.records[o as usize].clone()))
                    .collect();
                let next = self.log.next();
                let answer = Msg::FeedResponse { number, snapshot, records, next, age_ms: Some(0) };
                self.send(Node::Log, from, answer);
            }
            _ => {}
        }
    }

    /// Applies an answer of the feed. Returns whether the pool changed.
    pub fn apply_feed_response(&mut self, node: Node, from: Node, msg: Msg) -> bool {
        let Msg::FeedResponse { number, snapshot, records, next, age_ms } = msg else {
            return false;
        };
        let now = self.clock(node);
        let broken = self.broken;
        let source = match from {
            Node::Entry(e) => Source::Entry(EntryId(e as u32)),
            _ => Source::Log,
        };
        let reader = match node {
            Node::Agent(host) => self.agents.get_mut(&host).map(|a| &mut a.reader),
            Node::Entry(entry) => self.entries.get_mut(&entry).map(|e| &mut e.reader),
            Node::Log => None,
        };
        let Some(reader) = reader else { return false };
        let before = reader.pool.next();
        if let Some(snapshot) = snapshot {
            let newer = snapshot.pool.next() > reader.pool.next();
            if newer || broken == Broken::AdoptsOlder {
                match Snapshot::clone(&snapshot).into_verified_pool() {
                    Ok(pool) => reader.pool = pool,
                    Err(e) => self.check.breach("one order", e),
                }
                reader.tail.clear();
            }
        }
        let mut digests = Vec::new();
        let mut applied = Vec::new();
        for (offset, record) in records {
            if offset != reader.pool.next() {
                continue;
            }
            let _ = reader.pool.apply(offset, &record);
            digests.push((reader.pool.next().0, reader.pool.digest()));
            reader.tail.push_back((offset, record.clone()));
            applied.push(record);
            if reader.tail.len() > TAIL {
                reader.tail.pop_front();
            }
        }
        let held = reader.pool.next();
        if held < before {
            let detail = format!("{node:?} went back from offset {before} to {held}");
            self.check.breach("configuration", detail);
        }
        reader.feed.record_answer(now, source, number, next, age_ms, held);
        if let Err(e) = reader.pool.verify() {
            self.check.breach("two groups", e);
        }
        for (next, digest) in digests {
            self.check.check_digest(next, digest);
        }
        if let Node::Entry(entry) = node
            && let Some(entry) = self.entries.get_mut(&entry)
        {
            for record in &applied {
                entry.decider.applied(record);
            }
        }
        self.check_configuration_age(node);
        held != before
    }

    /// Checks the age that a process reports for its configuration: the process must hold all
    /// records that the log held at that age.
    pub(super) fn check_configuration_age(&mut self, node: Node) {
        let now = self.clock(node);
        let reader = match node {
            Node::Agent(host) => self.agents.get(&host).map(|a| &a.reader),
            Node::Entry(entry) => self.entries.get(&entry).map(|e| &e.reader),
            Node::Log => None,
        };
        let Some(reader) = reader else { return };
        let Some(age) = reader.feed.age_ms(now) else {
            return;
        };
        // The age was measured on drifting clocks. A margin of 4/1000 and 2 ms covers their errors.
        let real_age = age + age * 4 / 1000 + 2;
        let next_then = self.log.next_at(self.now.saturating_sub(real_age));
        if reader.pool.next().0 < next_then {
            let detail = format!(
                "{node:?} reports offset {} as the latest {age} ms ago, when the log was at {next_then}",
                reader.pool.next()
            );
            self.check.breach("configuration", detail);
        }
    }

    /// Requests records from the process's current source.
    pub fn request_records(&mut self, node: Node) {
        let now = self.clock(node);
        let reader = match node {
            Node::Agent(host) => self.agents.get_mut(&host).map(|a| &mut a.reader),
            Node::Entry(entry) => self.entries.get_mut(&entry).map(|e| &mut e.reader),
            Node::Log => None,
        };
        let Some(reader) = reader else { return };
        reader.feed.tick(now);
        let to = match reader.feed.source() {
            Source::Log => Node::Log,
            Source::Entry(e) => Node::Entry(e.0 as usize),
        };
        let number = reader.feed.ask(now);
        let ask = Msg::FeedRequest { from: reader.pool.next(), number };
        self.send(node, to, ask);
    }
}
