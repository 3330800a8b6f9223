//! A TCP connection that counts the bytes received on it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes received on a connection.
pub type ReceivedBytes = Rc<Cell<usize>>;

/// A TCP connection that counts the bytes received on it.
pub struct CountedStream {
    stream: TcpStream,
    received: ReceivedBytes,
}

impl CountedStream {
    /// Counts the bytes that are received on a connection from now on.
    pub fn new(stream: TcpStream) -> CountedStream {
        CountedStream { stream, received: ReceivedBytes::default() }
    }

    /// Returns the counter of the received bytes.
    pub fn received(&self) -> ReceivedBytes {
        self.received.clone()
    }

    /// Returns the connection.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.received.update(|received| received + buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
