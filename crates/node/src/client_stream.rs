//! The socket of a client's connection. It keeps the connection table informed and ends
//! a connection whose client makes no progress.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::close_reason::CloseReason;
use crate::connection_table::ConnectionSlot;

/// The socket of a client's connection.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    slot: ConnectionSlot,
    read_timeout: ProgressTimeout,
    write_timeout: ProgressTimeout,
}

impl ClientStream {
    /// Wraps a socket. A client that makes no progress for `io_timeout` while it is
    /// waited for ends the connection with [`io::ErrorKind::TimedOut`].
    pub(crate) fn new(
        stream: TcpStream,
        slot: ConnectionSlot,
        io_timeout: Option<Duration>,
    ) -> Self {
        Self {
            stream,
            slot,
            read_timeout: ProgressTimeout::new(io_timeout),
            write_timeout: ProgressTimeout::new(io_timeout),
        }
    }

    /// Counts the connection as closed if a call has timed out.
    fn count_timeout<T>(&self, result: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(error)) = result
            && error.kind() == io::ErrorKind::TimedOut
        {
            self.slot.count(CloseReason::IoTimeout);
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.slot.bytes_received();
        }
        let read = match read {
            Poll::Pending if !self.slot.awaits_client() => {
                self.read_timeout.reset();
                Poll::Pending
            }
            read => self.read_timeout.observe(cx, read),
        };
        self.count_timeout(&read);
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        let written = self.write_timeout.observe(cx, written);
        self.count_timeout(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        let written = self.write_timeout.observe(cx, written);
        self.count_timeout(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes only once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.slot.all_sent();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Time without progress after which a call on a socket fails.
#[derive(Debug)]
struct ProgressTimeout {
    timeout: Option<Duration>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl ProgressTimeout {
    fn new(timeout: Option<Duration>) -> Self {
        Self {
            timeout,
            sleep: None,
        }
    }

    fn reset(&mut self) {
        self.sleep = None;
    }

    /// Passes on the result of a call, or fails once it has been pending for too long.
    fn observe<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.reset();
            return result;
        }
        let Some(timeout) = self.timeout else {
            return Poll::Pending;
        };
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        sleep
            .as_mut()
            .poll(cx)
            .map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}
