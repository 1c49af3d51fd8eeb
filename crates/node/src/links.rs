//! Connections between processes: TCP with length-delimited frames that are encoded
//! by `postcard`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::connection_table::ConnectionSlot;

/// Size of the largest frame, in bytes. Thousands of starts with a full-length spec
/// each would not fit, but they are spread over many frames, since a start is only
/// sent once there are free resources for it.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for opening a connection, in milliseconds: hosts are a few milliseconds
/// apart, and the first packet to a host that was just switched on is lost.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// Size of the length before each frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Bytes of a first frame that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Reads the frames that arrive on a connection.
pub(crate) type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Sends frames on a connection. Once it is dropped and all frames are written, the
/// connection closes.
#[derive(Clone, Debug)]
pub(crate) struct FrameSender {
    queue: UnboundedSender<Bytes>,
}

impl FrameSender {
    /// Queues a frame. The connection's reader reports when the connection breaks.
    pub(crate) fn send(&self, frame: Vec<u8>) {
        let _ = self.queue.send(Bytes::from(frame));
    }
}

/// Opens a connection to `addr`.
pub(crate) async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = TcpStream::connect(addr);
    match tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await {
        Ok(stream) => stream,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Splits a connection into a reader of frames and a queue of frames to send.
pub(crate) fn split(stream: TcpStream) -> std::io::Result<(FrameReader, FrameSender)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let (queue, frames) = unbounded_channel();
    tokio::task::spawn_local(write_frames(write, frames));
    Ok((FramedRead::new(read, codec()), FrameSender { queue }))
}

/// Returns the next frame; `None` when the connection has ended.
pub(crate) async fn next_frame(reader: &mut FrameReader) -> Option<Bytes> {
    match reader.next().await {
        Some(Ok(frame)) => Some(frame.freeze()),
        _ => None,
    }
}

/// Reads the first frame of a connection, whose memory is reserved as it arrives; `None`
/// if it is too large or the connection ends. Nothing after the frame is read.
pub(crate) async fn first_frame(stream: &mut TcpStream, slot: &ConnectionSlot) -> Option<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await.ok()?;
    let length = usize::try_from(u32::from_be_bytes(length)).ok()?;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = Vec::new();
    let mut held = slot.hold(0).ok()?;
    while frame.len() < length {
        let part = READ_BYTES.min(length - frame.len());
        held.grow(part).ok()?;
        let start = frame.len();
        frame.resize(start + part, 0);
        stream.read_exact(&mut frame[start..]).await.ok()?;
    }
    Some(frame)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Writes queued frames, as many as there are in one call.
async fn write_frames(mut write: OwnedWriteHalf, mut frames: UnboundedReceiver<Bytes>) {
    let mut buffer = Vec::new();
    while let Some(frame) = frames.recv().await {
        buffer.clear();
        append_frame(&mut buffer, &frame);
        while let Ok(frame) = frames.try_recv() {
            append_frame(&mut buffer, &frame);
        }
        if write.write_all(&buffer).await.is_err() {
            return;
        }
    }
    // The other side's reader ends when the connection closes, also if this fails.
    let _ = write.shutdown().await;
}

/// Appends a frame and its length to the buffer.
fn append_frame(buffer: &mut Vec<u8>, frame: &Bytes) {
    let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_be_bytes());
    buffer.extend_from_slice(frame);
}
