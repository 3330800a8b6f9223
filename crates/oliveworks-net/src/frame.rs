//! Frames on a stream. A frame is a length followed by a message in the postcard format.

use std::sync::Arc;

use anyhow::Context;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use oliveworks_runtime::metrics::{Direction, Metrics};
use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::wire::{Question, Reply};

/// Maximum size of a frame, in bytes. A snapshot of the largest pool fits into one frame. The body
/// of a request is split into several frames.
pub const FRAME_MAX: usize = 8 << 20;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX).new_codec()
}

/// Kind of a message, used in metrics.
pub trait Kind {
    /// Returns the kind of the message.
    fn kind(&self) -> &'static str;
}

impl Kind for Question {
    fn kind(&self) -> &'static str {
        Question::kind(self)
    }
}

impl Kind for Reply {
    fn kind(&self) -> &'static str {
        Reply::kind(self)
    }
}

/// Sending side of a stream.
pub struct Writer {
    inner: FramedWrite<SendStream, LengthDelimitedCodec>,
    metrics: Arc<Metrics>,
}

impl Writer {
    /// Returns a writer of frames to a stream.
    pub fn new(stream: SendStream, metrics: Arc<Metrics>) -> Writer {
        Writer { inner: FramedWrite::new(stream, codec()), metrics }
    }

    /// Sends a message.
    ///
    /// # Errors
    /// Returns an error if the stream or its connection ended.
    pub async fn send<T: Serialize + Kind>(&mut self, message: &T) -> anyhow::Result<()> {
        let bytes = postcard::to_stdvec(message).context("encoding")?;
        self.metrics.message(Direction::Out, message.kind(), bytes.len());
        self.inner.send(Bytes::from(bytes)).await.context("sending")
    }

    /// Signals the end of the stream to the peer.
    pub fn finish(mut self) {
        // This fails only if the stream has already ended.
        let _ = self.inner.get_mut().finish();
    }

    /// Waits until the peer stops reading or the connection is lost.
    pub async fn stopped(&mut self) {
        let _ = self.inner.get_mut().stopped().await;
    }
}

/// Receiving side of a stream.
pub struct Reader {
    inner: FramedRead<RecvStream, LengthDelimitedCodec>,
    metrics: Arc<Metrics>,
}

impl Reader {
    /// Returns a reader of frames from a stream.
    pub fn new(stream: RecvStream, metrics: Arc<Metrics>) -> Reader {
        Reader { inner: FramedRead::new(stream, codec()), metrics }
    }

    /// Returns the next message, or `None` at the end of the stream.
    ///
    /// # Errors
    /// Returns an error if the stream or its connection failed, or if the frame does not contain a
    /// message of this type.
    pub async fn next<T: DeserializeOwned + Kind>(&mut self) -> anyhow::Result<Option<T>> {
        let Some(frame) = self.inner.next().await else { return Ok(None) };
        let frame = frame.context("receiving")?;
        let message: T = postcard::from_bytes(&frame).context("decoding")?;
        self.metrics.message(Direction::In, message.kind(), frame.len());
        Ok(Some(message))
    }
}
