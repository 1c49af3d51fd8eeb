//! Connections that agents and other entries open to an entry.

use std::time::Duration;

use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::decode;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;

use crate::entry_handle::Input;
use crate::links;
use crate::links::FrameReader;
use crate::peer_links;
use crate::stored_calls;

/// Pause after a failed accept, in milliseconds: the process has run out of file
/// descriptors, and some will soon be free.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Accepts connections of agents and other entries; never returns.
pub(crate) async fn accept(listener: TcpListener, inputs: UnboundedSender<Input>, log: Logger) {
    let mut next_link = 1;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = LinkId(next_link);
                next_link += 1;
                tokio::task::spawn_local(serve_connection(
                    link,
                    stream,
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

/// Reads the greeting of a connection, and serves what it asks for.
async fn serve_connection(
    link: LinkId,
    stream: TcpStream,
    inputs: UnboundedSender<Input>,
    log: Logger,
) {
    let Ok((mut reader, sender)) = links::split(stream) else {
        return;
    };
    let Some(frame) = links::next_frame(&mut reader).await else {
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
