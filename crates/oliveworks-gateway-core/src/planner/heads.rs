//! Which member heads a new group.
//!
//! Requests go to the head alone, so only it has to be warm: a group of hosts that came back together and of
//! spares that stayed bears all its callers at once if a spare heads it. Among equals the first stays:
//! nothing else depends on who it is.

use super::Planner;
use crate::Millis;
use crate::backend_servers::BackendServerId;

/// Puts the member that is warm soonest first.
pub(super) fn put_warmest_first(now: Millis, planner: &Planner, members: &mut [BackendServerId]) {
    let cold_ms = |id: &BackendServerId| {
        let host = planner.hosts.get(id);
        host.map_or(u64::MAX, |host| host.cold_until.saturating_sub(now))
    };
    let warmest = members.iter().enumerate().min_by_key(|(_, id)| cold_ms(id));
    if let Some((place, _)) = warmest {
        members[..=place].rotate_right(1);
    }
}
