//! Connections between entries. The entry that opened a connection sends the changes
//! of its gossip state, and the other entry acknowledges each frame. Either side ends
//! a connection on which nothing arrives any more; on the next one, the opener sends
//! its whole state again.

use std::net::SocketAddr;
use std::time::Duration;

use gannetvane_dispatch::GossipSender;
use gannetvane_dispatch::GossipState;
use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::PeerAck;
use gannetvane_dispatch::PeerFrame;
use gannetvane_dispatch::decode;
use gannetvane_dispatch::encode;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::Clock;
use crate::dialers::SharedDirectory;
use crate::links;
use crate::links::FrameReader;
use crate::links::FrameSender;

/// Longest pause between two frames to another entry, in milliseconds.
const KEEPALIVE_MS: u64 = 1_000;
/// Time without a frame or an acknowledgement after which a connection is ended, in
/// milliseconds. The platform considers a host healthy 3 s after its connections were
/// disturbed; one frame may be delayed.
const IDLE_TIMEOUT_MS: u64 = 2_200;

/// Connects to another entry and sends it the changes of the gossip state until the
/// connection ends or the entry is no longer a target. Returns whether the other
/// entry acknowledged a frame.
pub(crate) async fn dial(
    entry: SocketAddr,
    own_addr: SocketAddr,
    mut gossip: watch::Receiver<GossipState>,
    directory: SharedDirectory,
    clock: Clock,
) -> bool {
    let Ok(stream) = links::connect(entry).await else {
        return false;
    };
    let Ok((mut reader, sender)) = links::split(stream) else {
        return false;
    };
    let Ok(greeting) = encode(&Greeting::Entry(own_addr)) else {
        return false;
    };
    sender.send(greeting);
    let mut gossip_sender = GossipSender::default();
    let mut last_seen_ms = clock.now_ms();
    let mut was_answered = false;
    while clock.now_ms() < last_seen_ms + IDLE_TIMEOUT_MS && is_target(entry, &directory, &clock) {
        let now_ms = clock.now_ms();
        let known = || directory.borrow().seen_entries(now_ms);
        let frame = gossip_sender.next_frame(now_ms, &gossip.borrow_and_update(), known);
        let Ok(bytes) = encode(&frame) else {
            return was_answered;
        };
        sender.send(bytes);
        let until_next = tokio::time::sleep(Duration::from_millis(KEEPALIVE_MS));
        tokio::pin!(until_next);
        loop {
            tokio::select! {
                ack = next_ack(&mut reader) => {
                    if ack.is_none() {
                        return was_answered;
                    }
                    last_seen_ms = clock.now_ms();
                    was_answered = true;
                    directory.borrow_mut().mark_seen(last_seen_ms, entry);
                }
                changed = gossip.changed() => {
                    if changed.is_err() {
                        return was_answered;
                    }
                    break;
                }
                () = &mut until_next => break,
            }
        }
    }
    was_answered
}

/// Passes on and acknowledges each frame of the entry that opened the connection,
/// until the connection ends.
pub(crate) async fn serve(
    mut reader: FrameReader,
    sender: FrameSender,
    on_frame: impl Fn(PeerFrame),
) {
    let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    while let Ok(Some(frame)) = timeout(idle_timeout, links::next_frame(&mut reader)).await {
        let Ok(frame) = decode(&frame) else {
            return;
        };
        on_frame(frame);
        let Ok(bytes) = encode(&PeerAck) else {
            return;
        };
        sender.send(bytes);
    }
}

fn is_target(entry: SocketAddr, directory: &SharedDirectory, clock: &Clock) -> bool {
    let mut directory = directory.borrow_mut();
    directory.targets(clock.now_ms()).contains(&entry)
}

async fn next_ack(reader: &mut FrameReader) -> Option<PeerAck> {
    let frame = links::next_frame(reader).await?;
    decode(&frame).ok()
}
