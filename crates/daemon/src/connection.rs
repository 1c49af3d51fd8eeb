//! One TCP connection between two processes, with its framing: each frame is
//! preceded by its length, and an empty frame announces the close.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;

use gannetvane_wire::MAX_FRAME_BYTES;
use mio::net::TcpStream;

/// Size in bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
/// Size in bytes of the buffer for one read.
pub(crate) const READ_BYTES: usize = 64 * 1024;
/// Largest size of the frames that one call of [`Connection::receive`] returns, in bytes.
const RECEIVED_BATCH_BYTES: usize = MAX_FRAME_BYTES;
/// Largest number of queued bytes; with more, the connection is closed as broken.
const MAX_QUEUED_BYTES: usize = 64 * 1024 * 1024;

/// A connection with the bytes received so far and the frames to be written.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    /// Address at which the other process receives, once known.
    pub(crate) peer: Option<SocketAddr>,
    pub(crate) is_established: bool,
    pub(crate) opened_at_ms: u64,
    pub(crate) last_used_at_ms: u64,
    received: Vec<u8>,
    queued: VecDeque<Frame>,
    queued_bytes: usize,
}

#[derive(Debug)]
struct Frame {
    bytes: Vec<u8>,
    written: usize,
}

/// The result of reading from a connection.
#[derive(Debug, Default)]
pub(crate) struct Received {
    /// Complete frames, without their lengths.
    pub(crate) frames: Vec<Vec<u8>>,
    /// Whether the other process announced the close with an empty frame.
    pub(crate) is_closed_by_peer: bool,
    /// Whether the connection ended, failed, or carried a frame over the limit.
    pub(crate) is_broken: bool,
    /// Whether there may be more to read.
    pub(crate) may_have_more: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, peer: Option<SocketAddr>, now_ms: u64) -> Self {
        Self {
            stream,
            is_established: peer.is_none(),
            peer,
            opened_at_ms: now_ms,
            last_used_at_ms: now_ms,
            received: Vec::new(),
            queued: VecDeque::new(),
            queued_bytes: 0,
        }
    }

    /// Queues a frame; an empty payload announces the close.
    ///
    /// Returns false when the queue exceeds [`MAX_QUEUED_BYTES`].
    pub(crate) fn queue(&mut self, payload: &[u8]) -> bool {
        let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + payload.len());
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(payload);
        self.queued_bytes += bytes.len();
        self.queued.push_back(Frame { bytes, written: 0 });
        self.queued_bytes <= MAX_QUEUED_BYTES
    }

    /// Writes queued frames until the socket would block.
    pub(crate) fn flush(&mut self) -> Result<()> {
        if !self.is_established {
            return Ok(());
        }
        while let Some(frame) = self.queued.front_mut() {
            match self.stream.write(&frame.bytes[frame.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => frame.written += written,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            if frame.written == frame.bytes.len() {
                self.queued_bytes -= frame.bytes.len();
                self.queued.pop_front();
            }
        }
        Ok(())
    }

    /// Reads until the socket would block or a batch is complete, through a buffer of
    /// the caller, and returns the complete frames.
    pub(crate) fn receive(&mut self, buffer: &mut [u8]) -> Received {
        let mut result = Received::default();
        let mut batch_bytes = 0;
        while !result.is_broken && !result.is_closed_by_peer {
            if batch_bytes >= RECEIVED_BATCH_BYTES {
                result.may_have_more = true;
                break;
            }
            match self.stream.read(buffer) {
                Ok(0) => {
                    result.is_broken = true;
                    break;
                }
                Ok(read) => {
                    batch_bytes += read;
                    self.received.extend_from_slice(&buffer[..read]);
                    self.split_frames(&mut result);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    result.is_broken = true;
                    break;
                }
            }
        }
        result
    }

    /// Returns the memory that an incomplete frame takes, in bytes.
    pub(crate) fn received_bytes(&self) -> usize {
        self.received.capacity()
    }

    /// Returns the payloads of the frames of which no byte was written.
    pub(crate) fn unsent(self) -> impl Iterator<Item = Vec<u8>> {
        self.queued
            .into_iter()
            .filter(|frame| frame.written == 0 && frame.bytes.len() > LENGTH_BYTES)
            .map(|frame| frame.bytes[LENGTH_BYTES..].to_vec())
    }

    fn split_frames(&mut self, result: &mut Received) {
        let mut start = 0;
        while let Some(length) = frame_length(&self.received[start..]) {
            if length == 0 {
                result.is_closed_by_peer = true;
                break;
            }
            if length > MAX_FRAME_BYTES {
                result.is_broken = true;
                break;
            }
            let end = start + LENGTH_BYTES + length;
            let Some(frame) = self.received.get(start + LENGTH_BYTES..end) else {
                break;
            };
            result.frames.push(frame.to_vec());
            start = end;
        }
        self.received.drain(..start);
    }
}

fn frame_length(bytes: &[u8]) -> Option<usize> {
    let length: [u8; LENGTH_BYTES] = bytes.get(..LENGTH_BYTES)?.try_into().ok()?;
    usize::try_from(u32::from_le_bytes(length)).ok()
}
