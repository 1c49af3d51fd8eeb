//! An HTTP/1.1 server for callers, whose connections stay open until a planned
//! stop.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::Logger;
use slog::debug;
use slog::warn;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::ClientLimits;

/// Timeout for reading the header of a request, in milliseconds. The limits that
/// users configure on their sites are not below it.
const HEADER_TIMEOUT_MS: u64 = 15_000;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Largest number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// A response of the server.
pub type HttpResponse = Response<Full<Bytes>>;

/// A counter of open connections. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
}

impl OpenConnections {
    /// Returns the number of connections that are open now.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts a connection until the returned guard is dropped.
    fn register(&self) -> OpenConnection {
        self.count.set(self.count.get() + 1);
        OpenConnection(self.clone())
    }
}

/// Guard that counts one open connection until it is dropped.
struct OpenConnection(OpenConnections);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
    }
}

/// Binds the address on which clients connect. Their connections get the receive buffer
/// of the limits.
///
/// # Errors
///
/// An I/O error if the address cannot be bound.
pub fn bind_clients(
    addr: SocketAddr,
    limits: &ClientLimits,
) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(limits.receive_buffer_bytes)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts connections until `stop` is true, and then closes each connection after
/// the request in progress. Heads over the limit are refused.
pub async fn serve_http<F, R>(
    listener: TcpListener,
    limits: ClientLimits,
    handler: F,
    mut stop: watch::Receiver<bool>,
    open_connections: OpenConnections,
    log: Logger,
) where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|is_stopping| *is_stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = open_connections.register();
                let handler = Rc::clone(&handler);
                let served = serve_connection(stream, limits, handler, stop.clone(), log.clone());
                tokio::task::spawn_local(async move {
                    served.await;
                    drop(connection);
                });
            }
            Err(error) => {
                warn!(log, "accept-failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    limits: ClientLimits,
    handler: Rc<F>,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        debug!(log, "connection-option"; "error" => %error);
    }
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stop.wait_for(|is_stopping| *is_stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(log, "connection-ended"; "error" => %error);
    }
}
