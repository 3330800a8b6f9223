//! Whether a request stays in its gateway's failure domain, and what a gateway may take there and elsewhere.
//!
//! Bytes between failure domains are priced, and a caller gains nothing from a target elsewhere while those
//! near have room: a stream runs as fast beside twenty others as beside ten. So requests stay while their
//! domain has room. As it fills, those go elsewhere for which it has no part of the slots: a domain with
//! half of the callers and a third of the slots keeps two thirds of its requests, and the others are placed as
//! if there were no domains. What that leaves of a difference, after losses or among long prompts, moves a further
//! part, as the difference grows.
//!
//! Both go by sums over a domain, which change slowly beside the age of the counts, so that gateways that know
//! the same old figures do not all leave at once. Shares of what a target has free follow the same sums: where a
//! domain's callers fill its targets themselves, nothing is set aside for gateways of others.
//!
//! The load that this answers: domains with unequal callers or unequal targets, up to one that has all callers, and
//! callers who move. Rejected: a fixed cost of being far (between two targets drawn from all, requests stay as
//! chance has it); to compare the best near target with the best far one (four are compared then, and gateways that
//! know the same send to the same one); and differences alone (with all callers in a domain that has a
//! third of the groups, 13 gateways herd there until the counts tell, and callers are late).

/// The part of the slots that may be taken near before others are looked for: below half, a pass takes a few
/// ms longer than in an idle group.
const ROOMY: f64 = 0.5;
/// The part at which a domain counts as full: from there on gateways take but their parts of what is free.
const FULL: f64 = 0.75;
/// By how much more of the slots may be taken near than elsewhere, so that no request stays.
const USED_RAMP: f64 = 0.4;
/// What reading may take near, in ms, before others are looked for: the prompt of one request.
const READING_MS: f64 = 20.0;
/// By how much longer reading may take near than elsewhere, in ms, so that no request stays: half of the
/// shortest usual time in which a first event is in time.
const READING_RAMP_MS: f64 = 150.0;
/// The part of the requests for a model that are refused when a domain counts as full, whatever its counts say.
const REFUSED_FULL: f64 = 0.05;
/// How many times its part of the slots a domain's part of the callers may be before requests go elsewhere
/// though it has room, and by how much more until as many go as if it were full: a step in the load reaches
/// such a domain before the counts tell. All callers in a domain with a third of the groups, four times as
/// many as are served, means of six seeds: with forty gateways 6.5 in 100 are in time, 5.5 without this; with
/// thirteen 9.5 and 11.3.
const LOPSIDED: f64 = 1.25;
const LOPSIDED_RAMP: f64 = 0.5;
/// The part of its part of all callers that a gateway may take elsewhere though its own domain has slots
/// for all of its callers: for what the sums do not show yet.
const LEAST_FAR: f64 = 0.1;

/// How busy the targets of one side are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    open: f64,
    slots: f64,
    reading_ms: f64,
    targets: f64,
}

impl Usage {
    /// Adds a target with so many open requests, slots, and ms that reading its unread prompts takes.
    pub fn add(&mut self, open: f64, slots: f64, reading_ms: f64) {
        self.open += open;
        self.slots += slots;
        self.reading_ms += reading_ms;
        self.targets += 1.0;
    }

    fn used(&self) -> f64 {
        self.open / self.slots.max(1.0)
    }

    fn mean_reading_ms(&self) -> f64 {
        self.reading_ms / self.targets.max(1.0)
    }
}

/// The targets that a request may go to, in its gateway's failure domain and elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sides {
    /// Those near.
    pub near: Usage,
    /// Those elsewhere.
    pub far: Usage,
}

/// A gateway's part of the callers of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallersPart {
    /// Of all, 0 to 1.
    pub of_all: f64,
    /// Of those of its failure domain, 0 to 1.
    pub of_domain: f64,
    /// The domain's part of all, 0 to 1; none if it is not known.
    pub domain: Option<f64>,
    /// The part of all that found no place lately, 0 to 1.
    pub refused: f64,
}

impl CallersPart {
    /// Where callers are not counted, so that nothing is known of a domain's part.
    pub const UNKNOWN: CallersPart =
        CallersPart { of_all: 1.0, of_domain: 1.0, domain: None, refused: 0.0 };
}

/// The parts of what targets have free that a gateway may take, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parts {
    /// Of those near.
    pub near: f64,
    /// Of those elsewhere.
    pub far: f64,
}

impl Sides {
    /// The near targets' part of all slots.
    fn near_slots(&self) -> f64 {
        self.near.slots / (self.near.slots + self.far.slots).max(1.0)
    }

    /// How full the near side is, 0 while it has room to 1. Where reading is what is short, little is unread
    /// between the end of a pass and the next requests, but some are refused.
    fn fullness(&self, callers: &CallersPart) -> f64 {
        let slots = (self.near.used() - ROOMY) / (FULL - ROOMY);
        let reading = self.near.mean_reading_ms() / READING_MS - 1.0;
        let refused = callers.refused / REFUSED_FULL;
        slots.max(reading).max(refused).clamp(0.0, 1.0)
    }

    /// Whether a request looks for a target everywhere and not only near; `draw` is a random number.
    pub fn spills(&self, callers: &CallersPart, draw: u64) -> bool {
        // The lower half says from which target on they are compared.
        let lot = (draw >> 32) as f64 / (1u64 << 32) as f64;
        lot < self.spilled(callers)
    }

    /// The part of the requests that looks everywhere, 0 to 1. Of these, as many stay as there are slots near.
    pub fn spilled(&self, callers: &CallersPart) -> f64 {
        if self.near.targets == 0.0 {
            return 1.0;
        }
        if self.far.targets == 0.0 {
            return 0.0;
        }
        let slots = self.near_slots();
        let without_slots = callers.domain.map_or(0.0, |domain| 1.0 - (slots / domain).min(1.0));
        let without_slots = without_slots / (1.0 - slots).max(f64::MIN_POSITIVE);
        let lopsided = callers.domain.map_or(0.0, |domain| {
            (domain / slots.max(f64::MIN_POSITIVE) - LOPSIDED) / LOPSIDED_RAMP
        });
        let fullness = self.fullness(callers).max(lopsided.clamp(0.0, 1.0));
        let fuller = self.near.used() - self.far.used().max(ROOMY);
        let slower_ms = self.near.mean_reading_ms() - self.far.mean_reading_ms() - READING_MS;
        let differs = (fuller / USED_RAMP).max(slower_ms / READING_RAMP_MS);
        (fullness * without_slots).max(differs).clamp(0.0, 1.0)
    }

    /// What a gateway may take: near, its domain's part of the callers shares out what the slots there are of all
    /// slots; elsewhere, what other domains' callers leave. So the parts of all gateways add up to about 1.
    pub fn parts(&self, callers: &CallersPart) -> Parts {
        let Some(domain) = callers.domain else {
            return Parts { near: callers.of_all, far: callers.of_all };
        };
        let slots = self.near_slots();
        let near = callers.of_domain * (domain / slots.max(f64::MIN_POSITIVE)).min(1.0);
        let left = (domain - slots).max(0.0) / (1.0 - slots).max(f64::MIN_POSITIVE);
        let far = (callers.of_domain * left.min(1.0)).max(callers.of_all * LEAST_FAR);
        Parts { near, far }
    }
}
