//! Decodes the head of a request, and bounds the memory that decoded heads take.
//!
//! A head is decoded once it has arrived completely: until then it takes the memory of its bytes
//! alone. Decoded, a field of a few bytes takes hundreds, so heads with many fields share a budget.

use std::cell::{Cell, RefCell};

use ntex::codec::Decoder;
use ntex::http::error::DecodeError;
use ntex::http::h1::Codec;
use ntex::util::BytesMut;

use crate::memory_budget::{MemoryShare, OutOfMemory};
use crate::state::Gateway;

/// Limit on the head of a request before the first configuration has arrived, in bytes.
const HEAD_MAX: usize = 16 << 10;
/// Number of fields up to which a head takes no memory of the budget: the limit on connections
/// covers them.
const FIELDS_FREE: usize = 32;
/// Memory that a field takes while its request is handled, in bytes, beside the text itself: entries
/// in the fields as received, as kept, and as sent to a backend server.
const FIELD_BYTES: usize = 512;

/// Error for a head that is not decoded.
#[derive(Debug)]
pub enum HeadError {
    /// The head is invalid or too large.
    Invalid(DecodeError),
    /// The heads of other requests use up the memory for them.
    OutOfMemory,
}

impl From<DecodeError> for HeadError {
    fn from(error: DecodeError) -> HeadError {
        HeadError::Invalid(error)
    }
}

impl From<OutOfMemory> for HeadError {
    fn from(_: OutOfMemory) -> HeadError {
        HeadError::OutOfMemory
    }
}

/// Decodes a head that has arrived completely, up to the limit of the moment.
pub struct HeadDecoder<'a> {
    codec: &'a Codec,
    gateway: &'a Gateway,
    /// Number of bytes that hold no end of a head.
    searched: Cell<usize>,
    /// Memory of the decoded head.
    share: RefCell<MemoryShare>,
}

impl<'a> HeadDecoder<'a> {
    /// Creates the decoder of one head.
    pub fn new(codec: &'a Codec, gateway: &'a Gateway) -> HeadDecoder<'a> {
        let share = RefCell::new(gateway.head_memory.share());
        HeadDecoder { codec, gateway, searched: Cell::new(0), share }
    }

    /// Returns the memory that the decoded head holds.
    pub fn into_share(self) -> MemoryShare {
        self.share.into_inner()
    }
}

impl Decoder for HeadDecoder<'_> {
    type Item = <Codec as Decoder>::Item;
    type Error = HeadError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Self::Item>, HeadError> {
        let end = find_head_end(src, self.searched.get());
        let length = end.unwrap_or(src.len());
        if length > self.gateway.limits().map_or(HEAD_MAX, |limits| limits.max_header_bytes) {
            return Err(DecodeError::TooLarge(length).into());
        }
        let Some(end) = end else {
            self.searched.set(src.len());
            return Ok(None);
        };
        let fields = src[..end].iter().filter(|byte| **byte == b'\n').count();
        if fields > FIELDS_FREE {
            self.share.borrow_mut().grow_to(fields * FIELD_BYTES)?;
        }
        match self.codec.decode(src)? {
            Some(head) => Ok(Some(head)),
            // The end that was found is none for the codec.
            None => Err(DecodeError::Header.into()),
        }
    }
}

/// Returns the length of the head at the start of `bytes`, with the empty line that ends it. The
/// first `searched` bytes were searched before, when no others had arrived.
fn find_head_end(bytes: &[u8], searched: usize) -> Option<usize> {
    const LINE_END_MAX: usize = 2;
    let mut from = searched.saturating_sub(LINE_END_MAX);
    loop {
        let line_end = from + bytes.get(from..)?.iter().position(|byte| *byte == b'\n')?;
        let next = line_end + 1;
        match bytes.get(next..)? {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => from = next,
        }
    }
}
