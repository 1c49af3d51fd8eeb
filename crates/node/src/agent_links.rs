//! Connections that agents and other entries open to an entry. Until its greeting has
//! arrived, a connection may be from anyone, so the number of such connections and what
//! they hold is bounded.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::decode;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

use crate::ClientLimits;
use crate::ClientSettings;
use crate::CloseReason;
use crate::Metrics;
use crate::connection_table::ConnectionSlot;
use crate::connection_table::ConnectionTable;
use crate::entry_handle::Input;
use crate::http_server::listen;
use crate::links;
use crate::links::FrameReader;
use crate::peer_links;
use crate::stored_calls;

/// Pause after a failed accept, in milliseconds: the process has run out of file
/// descriptors, and some will soon be free.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Largest number of connections whose greeting has not arrived.
const MAX_GREETING_CONNECTIONS: usize = 128;
/// Largest size of incomplete greetings, in bytes; one of the largest size fits.
const MAX_GREETING_BYTES: usize = 8 * 1024 * 1024;
/// Receive buffer of a connection, in bytes: it takes what an agent reports at a time.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of connections that wait to be accepted: all agents may come at once.
const BACKLOG: i32 = 1_024;
/// Time within which a greeting arrives, in milliseconds.
const GREETING_TIMEOUT_MS: u64 = 5_000;

/// Binds the address on which agents and other entries connect.
///
/// # Errors
///
/// An I/O error if the address cannot be bound.
pub(crate) fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    listen(addr, RECEIVE_BUFFER_BYTES, BACKLOG).and_then(TcpListener::from_std)
}

/// Accepts connections of agents and other entries; never returns.
pub(crate) async fn accept(
    listener: TcpListener,
    inputs: UnboundedSender<Input>,
    metrics: Rc<Metrics>,
    log: Logger,
) {
    let greeting = ConnectionTable::new(
        greeting_limits(),
        Arc::default(),
        Rc::new(move |reason| metrics.event(close_event(reason))),
    );
    let mut next_link = 1;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = LinkId(next_link);
                next_link += 1;
                let Some(slot) = greeting.open().await else {
                    continue;
                };
                tokio::task::spawn_local(serve_connection(
                    link,
                    stream,
                    slot,
                    inputs.clone(),
                    log.clone(),
                ));
            }
            Err(error) => {
                warn!(log, "accept-failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

fn greeting_limits() -> ClientLimits {
    ClientLimits {
        max_connections: MAX_GREETING_CONNECTIONS,
        max_held_bytes: MAX_GREETING_BYTES,
        ..ClientSettings::default().limits()
    }
}

fn close_event(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::MemoryLimit => "link-closed-memory-limit",
        _ => "link-closed-connection-limit",
    }
}

/// Reads the greeting of a connection, and serves what it asks for.
async fn serve_connection(
    link: LinkId,
    mut stream: TcpStream,
    slot: ConnectionSlot,
    inputs: UnboundedSender<Input>,
    log: Logger,
) {
    let frame = read_greeting(&mut stream, &slot).await;
    slot.close();
    let Some(frame) = frame else {
        return;
    };
    let Ok((reader, sender)) = links::split(stream) else {
        return;
    };
    match decode::<Greeting>(&frame) {
        Ok(Greeting::Agent(hello)) => {
            let task = tokio::task::spawn_local(read_agent(link, reader, inputs.clone()));
            let input = Input::AgentUp(link, hello, sender, task.abort_handle());
            // The send only fails when the process is about to end.
            let _ = inputs.send(input);
        }
        Ok(Greeting::Entry(entry)) => {
            let on_frame = |frame| {
                // The send only fails when the process is about to end.
                let _ = inputs.send(Input::Peer(entry, frame));
            };
            peer_links::serve(reader, sender, on_frame).await;
        }
        Ok(Greeting::StoredCalls) => stored_calls::serve(reader, sender, inputs).await,
        Err(error) => warn!(log, "greeting-malformed"; "error" => %error),
    }
}

/// Reads the greeting of a connection; `None` if it does not arrive in time or if the
/// connection has to be closed for another one.
async fn read_greeting(stream: &mut TcpStream, slot: &ConnectionSlot) -> Option<Vec<u8>> {
    let time_limit = Duration::from_millis(GREETING_TIMEOUT_MS);
    tokio::select! {
        biased;
        () = slot.evicted() => None,
        frame = timeout(time_limit, links::first_frame(stream, slot)) => frame.ok()?,
    }
}

/// Passes on an agent's frames until its connection ends.
async fn read_agent(link: LinkId, mut reader: FrameReader, inputs: UnboundedSender<Input>) {
    while let Some(frame) = links::next_frame(&mut reader).await {
        let Ok(frame) = decode(&frame) else {
            break;
        };
        if inputs.send(Input::AgentFrame(link, frame)).is_err() {
            return;
        }
    }
    // The send only fails when the process is about to end.
    let _ = inputs.send(Input::LinkDown(link));
}
