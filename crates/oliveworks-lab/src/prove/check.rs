//! Invariants of a proof run, checked from outside the processes.

use std::collections::{BTreeMap, HashMap, HashSet};

use oliveworks_core::id::{Epoch, HostId, RequestId};

/// Breach of an invariant.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Step at which the breach was found.
    pub step: u64,
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Description of the breach.
    pub detail: String,
}

/// Promise in force that a host has given, with its end in real time instead of the host's time. It
/// counts regardless of which incarnation of the agent gave it.
#[derive(Clone, Copy, Debug)]
pub struct TruePromise {
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Leader that the promise was made to.
    pub leader: HostId,
    /// Earliest real time at which the promise may have ended, in milliseconds.
    pub until: u64,
}

/// State of the invariant checks.
#[derive(Default)]
pub struct Checker {
    /// Breaches found so far.
    pub breaches: Vec<Breach>,
    /// Current step.
    pub step: u64,
    /// Number of times that each request ran at an engine or service.
    pub runs: HashMap<RequestId, u32>,
    /// Requests that were refused as "not run".
    pub not_run: HashSet<RequestId>,
    /// Pieces passed to the caller of each outstanding request.
    pub delivered: HashMap<RequestId, Vec<u64>>,
    /// Digest of the pool at each offset, as first reported by a process.
    pub digests: BTreeMap<u64, u128>,
    /// Hosts that were told to leave, with the real time of that in milliseconds.
    pub leaving: HashMap<HostId, u64>,
    /// Number of requests that were answered completely.
    pub answered: u64,
    /// Number of requests that were refused as not run.
    pub refused_not_run: u64,
    /// Number of requests whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Number of requests that were cut off by the end of their group.
    pub cut: u64,
}

impl Checker {
    /// Records that an invariant was violated in the current step.
    pub fn breach(&mut self, invariant: &'static str, detail: String) {
        self.breaches.push(Breach { step: self.step, invariant, detail });
    }

    /// Records that a request runs at an engine or service. Checks that a request that may not be
    /// repeated runs at most once, and that a request refused as "not run" does not run.
    pub fn record_run(&mut self, id: RequestId, repeatable: bool) {
        let count = self.runs.entry(id).or_default();
        *count += 1;
        if *count > 1 && !repeatable {
            let detail = format!("{id} ran {count} times");
            self.breach("at most once", detail);
        }
        if self.not_run.contains(&id) {
            self.breach("not run", format!("{id} ran after it was refused as not run"));
        }
    }

    /// Records that a request was refused as "not run", and checks that it did not run.
    pub fn record_not_run(&mut self, id: RequestId) {
        self.refused_not_run += 1;
        self.not_run.insert(id);
        if self.runs.contains_key(&id) {
            self.breach("not run", format!("{id} was refused as not run, but had run"));
        }
    }

    /// Records that a caller's answer ended, and checks that its pieces are complete and in order.
    pub fn record_complete_answer(&mut self, id: RequestId, total: u64) {
        self.answered += 1;
        let pieces = self.delivered.remove(&id).unwrap_or_default();
        let wanted: Vec<u64> = (0..total).map(|n| content(id, n)).collect();
        if pieces != wanted {
            let detail = format!(
                "{id} ended with {} of {total} pieces, or with wrong content",
                pieces.len()
            );
            self.breach("whole answer", detail);
        }
    }

    /// Checks that all processes that reach the offset `next` have the same digest of the pool.
    pub fn check_digest(&mut self, next: u64, digest: u128) {
        let first = *self.digests.entry(next).or_insert(digest);
        if first != digest {
            self.breach("one order", format!("the pools of two processes differ at offset {next}"));
        }
    }
}

/// Returns the content of a piece, which depends only on the request and the number of the piece.
pub fn content(id: RequestId, number: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&id.0.to_be_bytes(), number)
}
