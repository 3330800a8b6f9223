//! Which gateways read the store, and whom the others ask.
//!
//! Calls to the store are priced and limited, so one gateway of each failure domain reads it and the
//! others ask that one. Nobody elects it: it is the first by name among those that say that the
//! store answers them, and when it falls silent or is turned away, the next takes over as soon as it
//! hears so. One that comes before it by name takes over once it has read the store itself, and not when it is first heard:
//! until then nobody would read. A store that is silent shows late, so who asks goes by the age of proofs: a reader whose
//! own is old is not asked while another gateway, of whatever failure domain, has a young one. Whoever
//! finds none reads the store itself. Rejected: every gateway reads it (with 53
//! gateways 7,717 calls in 48 s, of the day's worth 0.077), two readers of a failure domain (15 gateways:
//! 1,235 calls in 48 s, of the day's worth 0.101), and one reader for all (all would depend on what it
//! reaches).

use std::net::SocketAddr;

use crate::era::Era;

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
    /// Whether it reads the store itself.
    pub reads: bool,
    /// Whether its proof that nothing is newer is young.
    pub informed: bool,
    /// Whether it did not answer lately.
    pub avoided: bool,
    /// Which copy of itself the store answers it from, as far as it has heard.
    pub era: Era,
    /// The newest version of the configuration that it holds.
    pub version: Option<u64>,
}

/// This gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// Whether it reads the store itself.
    pub reads: bool,
    /// Whether it is time to see if the store answers again.
    pub retry_due: bool,
    /// Which copy of itself the store answers from.
    pub era: Era,
}

/// Where to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFrom {
    /// The store itself.
    Store,
    /// Another gateway.
    Gateway(SocketAddr),
}

/// Questions in turn without an answer after which a gateway whom the store answers asks that.
const UNANSWERED_MAX: u32 = 2;

/// Where this gateway reads next, after so many questions in turn without an answer; `draw` is a random number.
pub fn read_from(own: Own<'_>, others: &[Known<'_>], unanswered: u32, draw: u64) -> ReadFrom {
    if !own.store_answers && own.retry_due {
        return ReadFrom::Store;
    }
    if own.store_answers && unanswered >= UNANSWERED_MAX {
        return ReadFrom::Store;
    }
    let near = || others.iter().filter(|other| other.near);
    let able = || near().filter(|other| other.store_answers);
    let reads = able().filter(|other| other.reads).min_by_key(|other| other.name);
    let reader = match own.reads {
        true => reads,
        false => reads.or_else(|| able().min_by_key(|other| other.name)),
    };
    if own.store_answers && reader.is_none_or(|reader| own.name < reader.name) {
        return ReadFrom::Store;
    }
    // One that has not heard that the store came back from a copy has nothing to tell to one that has.
    let answers = |other: &&Known<'_>| other.informed && !other.avoided && other.era >= own.era;
    let asked = reader
        .filter(answers)
        .or_else(|| drawn(near().filter(answers), draw))
        .or_else(|| drawn(others.iter().filter(answers), draw));
    asked.map_or(ReadFrom::Store, |other| ReadFrom::Gateway(other.address))
}

/// Whom a gateway asks that knows nothing yet: one that holds a newest version. The store may have come back from a copy that
/// lacks what others know to be in force.
pub fn first_asked(others: &[Known<'_>], draw: u64) -> Option<SocketAddr> {
    let able = || others.iter().filter(|other| !other.avoided && other.version.is_some());
    let newest = able().map(|other| (other.version, other.era)).max()?;
    let holds_newest = able().filter(|other| (other.version, other.era) == newest);
    drawn(holds_newest, draw).map(|other| other.address)
}

fn drawn<'a, 'b: 'a>(all: impl Iterator<Item = &'a Known<'b>>, draw: u64) -> Option<&'a Known<'b>> {
    let all: Vec<&Known<'_>> = all.collect();
    let count = all.len() as u64;
    (count > 0).then(|| all[(draw % count) as usize])
}
