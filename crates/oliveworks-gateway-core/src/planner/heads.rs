//! Choice of the head of a new group.
//!
//! Requests go to the head alone, so only the head has to be warm, that is, no longer in the slow
//! start that follows its own start. This is independent of [`Warmth`](super::domain::Warmth),
//! which says whether a host must load a model. A group may consist of hosts that have just
//! returned together and of spares that are warm. With a spare as its head, such a group can serve
//! all of its requests at once. Among equals the first member stays the head, because nothing else
//! depends on the choice.

use super::Planner;
use crate::Millis;
use crate::backend_servers::BackendServerId;

/// Moves the member that is warm soonest to the front.
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
