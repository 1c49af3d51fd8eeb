//! Connections between processes: TCP with frames of a length and `postcard`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame in bytes: thousands of starts with a full text each would not
/// fit, and are split by the time that room comes up.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Time to open a connection, in milliseconds: hosts are a few apart, and one
/// that was just switched on loses the first packet.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// The frames that arrive on a connection.
pub(crate) type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// The sending side of a connection; the connection closes when it is dropped
/// and all frames are written.
#[derive(Clone, Debug)]
pub(crate) struct FrameSender {
    queue: UnboundedSender<Bytes>,
}

impl FrameSender {
    /// Queues a frame; a broken connection is told by its reader.
    pub(crate) fn send(&self, frame: Vec<u8>) {
        let _ = self.queue.send(Bytes::from(frame));
    }
}

/// Opens a connection.
pub(crate) async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = TcpStream::connect(addr);
    match tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await {
        Ok(stream) => stream,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Splits a connection into frames that arrive and a queue of those to send.
pub(crate) fn split(stream: TcpStream) -> std::io::Result<(FrameReader, FrameSender)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let (queue, frames) = unbounded_channel();
    tokio::task::spawn_local(write_frames(write, frames));
    Ok((FramedRead::new(read, codec()), FrameSender { queue }))
}

/// The next frame; `None` when the connection is over.
pub(crate) async fn next_frame(reader: &mut FrameReader) -> Option<Bytes> {
    match reader.next().await {
        Some(Ok(frame)) => Some(frame.freeze()),
        _ => None,
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Writes all frames that wait in one call.
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
    // The other side learns of the end by the closed connection.
    let _ = write.shutdown().await;
}

fn append_frame(buffer: &mut Vec<u8>, frame: &Bytes) {
    let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_be_bytes());
    buffer.extend_from_slice(frame);
}
