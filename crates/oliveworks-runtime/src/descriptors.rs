//! Limit on the descriptors of a process.

use rustix::process::{Resource, getrlimit};

/// Returns the number of descriptors that the process may have open; `None` without a limit.
pub fn limit() -> Option<usize> {
    getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok())
}
