//! Locality: decides whether a request stays in its gateway's failure domain, and limits what a
//! gateway may use of the local and of the remote targets.
//!
//! Traffic between failure domains is charged for, and a remote target has no advantage for a
//! caller while local targets have free slots: a stream beside twenty others runs as fast as beside
//! ten. Requests therefore stay local while the domain has free slots. As the domain fills up, it
//! sends away the requests beyond its share of the slots: a domain with half of the callers and a
//! third of the slots keeps two thirds of its requests, and the rest are placed as if there were no
//! domains. If a difference in load remains, after failures or among long prompts, a further share
//! is sent away that grows with the difference.
//!
//! Both decisions use sums over a domain. These sums change slowly compared with the age of the
//! counts, so gateways with the same outdated counts do not all leave at once. The share of a
//! target's free capacity that each gateway may use is computed from the same sums: where the
//! callers of a domain fill its targets, nothing is reserved for gateways of other domains.
//!
//! The rules were designed for domains with unequal numbers of callers or targets, up to one domain
//! with all callers, and for callers that move. Rejected: a fixed cost of a remote target (between
//! two targets drawn from all, locality is left to chance), comparing the best local target with
//! the best remote one (four targets are then compared, and gateways with the same counts send to
//! the same one), and using differences alone (with all callers in a domain that has a third of the
//! groups, 13 gateways overload that domain until the counts arrive, and callers are late).

/// Share of the slots that may be used locally before requests are sent away. Below half, a pass
/// takes only a few ms longer than in an idle group.
const LOCAL_FREE_UP_TO: f64 = 0.5;
/// Share of used slots at which a domain counts as full. From this share on, gateways use only
/// their shares of the free capacity.
const FULL_FROM: f64 = 0.75;
/// Difference between the shares of used slots, local minus remote, at which all requests are sent
/// away.
const USED_DIFFERENCE_MAX: f64 = 0.4;
/// Local reading time up to which no request is sent away, in ms. This is the time for the prompt
/// of one request.
const READING_MIN_MS: f64 = 20.0;
/// Difference between the reading times, local minus remote, at which all requests are sent away,
/// in ms. This is half of the shortest usual goal for the first event.
const READING_DIFFERENCE_MAX_MS: f64 = 150.0;
/// Share of rejected requests for a model at which a domain counts as full, regardless of its
/// counts.
const REJECTED_SHARE_FULL: f64 = 0.05;
/// Ratio between a domain's share of the callers and its share of the slots above which requests
/// are sent away even though the domain has free slots. Increases in load reach such a domain
/// before the counts show them. Test case: all callers in a domain with a third of the groups, and
/// four times as many callers as can be served (means of six seeds). With forty gateways, 6.5 % are
/// served in time, against 5.5 % without this rule; with thirteen gateways fewer are served in time
/// with the rule: 9.5 % against 11.3 %.
const IMBALANCE_MIN: f64 = 1.25;
/// Further increase of that ratio over which the share sent away grows to that of a full domain.
const IMBALANCE_RAMP: f64 = 0.5;
/// Minimum share of remote capacity, as a part of the gateway's share of all callers. This minimum
/// applies even if the gateway's own domain has slots for all of its callers, and covers changes
/// that the sums do not show yet.
const REMOTE_SHARE_MIN: f64 = 0.1;

/// The load of the local or of the remote targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    open: f64,
    slots: f64,
    reading_ms: f64,
    targets: f64,
}

impl Usage {
    /// Adds a target with the given outstanding requests, slots and reading time of its unread
    /// prompts in ms.
    pub fn add(&mut self, open: f64, slots: f64, reading_ms: f64) {
        self.open += open;
        self.slots += slots;
        self.reading_ms += reading_ms;
        self.targets += 1.0;
    }

    fn used_share(&self) -> f64 {
        self.open / self.slots.max(1.0)
    }

    fn mean_reading_ms(&self) -> f64 {
        self.reading_ms / self.targets.max(1.0)
    }
}

/// The load of all eligible targets of a request, split by failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageByLocality {
    /// Targets in the gateway's own failure domain.
    pub local: Usage,
    /// Targets in other failure domains.
    pub remote: Usage,
}

/// A gateway's share of the callers of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerShare {
    /// Share of all callers, from 0 to 1.
    pub of_all: f64,
    /// Share of the callers of the gateway's failure domain, from 0 to 1.
    pub of_domain: f64,
    /// The failure domain's share of all callers, from 0 to 1; `None` if unknown.
    pub domain: Option<f64>,
    /// Share of all requests that recently found no place, from 0 to 1.
    pub refused: f64,
}

impl CallerShare {
    /// The value used where callers are not counted, so the shares of the domains are unknown.
    pub const UNKNOWN: CallerShare =
        CallerShare { of_all: 1.0, of_domain: 1.0, domain: None, refused: 0.0 };
}

/// The shares of the free capacity of targets that a gateway may use, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShares {
    /// Share of the local targets' free capacity.
    pub local: f64,
    /// Share of the remote targets' free capacity.
    pub remote: f64,
}

impl UsageByLocality {
    /// Returns the local targets' share of all slots.
    fn local_slot_share(&self) -> f64 {
        self.local.slots / (self.local.slots + self.remote.slots).max(1.0)
    }

    /// Returns how full the local targets are, from 0 (free slots) to 1 (full). Rejected requests
    /// count as well: where reading is the bottleneck, little is unread between the end of a pass
    /// and the next requests, but some requests are rejected.
    fn fullness(&self, callers: &CallerShare) -> f64 {
        let slots = (self.local.used_share() - LOCAL_FREE_UP_TO) / (FULL_FROM - LOCAL_FREE_UP_TO);
        let reading = self.local.mean_reading_ms() / READING_MIN_MS - 1.0;
        let refused = callers.refused / REJECTED_SHARE_FULL;
        slots.max(reading).max(refused).clamp(0.0, 1.0)
    }

    /// Returns whether a request is placed among all targets instead of only local ones. `draw` is
    /// a random number.
    pub fn spills(&self, callers: &CallerShare, draw: u64) -> bool {
        // The lower half of the draw selects the target at which the comparison starts.
        let random_share = (draw >> 32) as f64 / (1u64 << 32) as f64;
        random_share < self.spill_share(callers)
    }

    /// Returns the share of the requests that are placed among all targets, from 0 to 1. Of these
    /// requests, a part in proportion to the local slots still stays local.
    pub fn spill_share(&self, callers: &CallerShare) -> f64 {
        if self.local.targets == 0.0 {
            return 1.0;
        }
        if self.remote.targets == 0.0 {
            return 0.0;
        }
        let slots = self.local_slot_share();
        let excess_callers = callers.domain.map_or(0.0, |domain| 1.0 - (slots / domain).min(1.0));
        let excess_callers = excess_callers / (1.0 - slots).max(f64::MIN_POSITIVE);
        let imbalance = callers.domain.map_or(0.0, |domain| {
            (domain / slots.max(f64::MIN_POSITIVE) - IMBALANCE_MIN) / IMBALANCE_RAMP
        });
        let fullness = self.fullness(callers).max(imbalance.clamp(0.0, 1.0));
        let used_difference =
            self.local.used_share() - self.remote.used_share().max(LOCAL_FREE_UP_TO);
        let reading_difference_ms =
            self.local.mean_reading_ms() - self.remote.mean_reading_ms() - READING_MIN_MS;
        let load_difference = (used_difference / USED_DIFFERENCE_MAX)
            .max(reading_difference_ms / READING_DIFFERENCE_MAX_MS);
        (fullness * excess_callers).max(load_difference).clamp(0.0, 1.0)
    }

    /// Returns the shares of the free capacity that a gateway may use. The local share divides the
    /// part of the local slots that belongs to the domain's own callers. The remote share divides
    /// what the callers of other domains leave. The shares of all gateways therefore add up to
    /// about 1.
    pub fn capacity_shares(&self, callers: &CallerShare) -> CapacityShares {
        let Some(domain) = callers.domain else {
            return CapacityShares { local: callers.of_all, remote: callers.of_all };
        };
        let slots = self.local_slot_share();
        let local = callers.of_domain * (domain / slots.max(f64::MIN_POSITIVE)).min(1.0);
        let left = (domain - slots).max(0.0) / (1.0 - slots).max(f64::MIN_POSITIVE);
        let remote = (callers.of_domain * left.min(1.0)).max(callers.of_all * REMOTE_SHARE_MIN);
        CapacityShares { local, remote }
    }
}
