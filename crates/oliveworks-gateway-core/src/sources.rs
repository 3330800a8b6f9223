//! Which gateways read the store, and whom the others ask.
//!
//! Calls to the store are priced and limited, so one gateway of each failure domain reads it and the
//! others ask that one. Nobody elects it: it is the first by name among those that say that the
//! store answers them, and when it falls silent or is turned away, the next takes over as soon as it
//! hears so. Whoever gets no answer reads the store itself. Rejected: every gateway reads it (with 53
//! gateways 7,717 calls in 48 s, of the day's worth 0.077), and one reader for all (all would depend on
//! what it reaches).

use std::net::SocketAddr;

/// Gateways of a failure domain that read the store. With two, a day of 15 gateways makes 1,235 calls
/// in 48 s, of its worth 0.101; the next one takes over within a second all the same.
const READERS: usize = 1;

/// Another gateway, as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it can be asked.
    pub address: SocketAddr,
    /// Whether it is of this gateway's failure domain.
    pub near: bool,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// Whether it did not answer lately.
    pub avoided: bool,
}

/// This gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// Whether it is time to see if the store answers again.
    pub retry_due: bool,
}

/// Where to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFrom {
    /// The store itself.
    Store,
    /// Another gateway.
    Gateway(SocketAddr),
}

/// Where this gateway reads next; `draw` is a random number.
pub fn read_from(own: Own<'_>, others: &[Known<'_>], draw: u64) -> ReadFrom {
    if !own.store_answers && own.retry_due {
        return ReadFrom::Store;
    }
    let mut here: Vec<(bool, &str, Option<&Known<'_>>)> = others
        .iter()
        .filter(|other| other.near)
        .map(|other| (!other.store_answers, other.name, Some(other)))
        .collect();
    here.push((!own.store_answers, own.name, None));
    here.sort_by_key(|(turned_away, name, _)| (*turned_away, *name));
    here.truncate(READERS);
    let reads = here.iter().any(|(_, _, other)| other.is_none());
    if reads && own.store_answers {
        return ReadFrom::Store;
    }
    let readers = here.iter().filter_map(|(_, _, other)| *other).filter(|other| !other.avoided);
    // A reader that is turned away itself asks only those that are not.
    let readers: Vec<&Known<'_>> = readers.filter(|other| !reads || other.store_answers).collect();
    let helpers = others.iter().filter(|other| other.store_answers && !other.avoided);
    let asked = drawn(&readers, draw).or_else(|| drawn(&helpers.collect::<Vec<_>>(), draw));
    asked.map_or(ReadFrom::Store, |other| ReadFrom::Gateway(other.address))
}

fn drawn<'a, 'b>(all: &[&'a Known<'b>], draw: u64) -> Option<&'a Known<'b>> {
    let count = all.len() as u64;
    (count > 0).then(|| all[(draw % count) as usize])
}
