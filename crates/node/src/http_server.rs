//! An HTTP/1.1 server for callers, whose connections stay open until a planned
//! stop. It bounds what clients can make the process hold: the receive buffers, heads
//! and number of connections here, what belongs to requests in `connection_table`.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Body;
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
use crate::client_request::ClientRequest;
use crate::client_stream::ClientStream;
use crate::close_reason::CloseReason;
use crate::connection_phase::RequestCounts;
use crate::connection_table::ConnectionSlot;
use crate::connection_table::ConnectionTable;

/// Timeout for reading the header of a request where no pause of a client is bounded, in
/// milliseconds. The limits that users configure on their sites are not below it.
const HEADER_TIMEOUT_MS: u64 = 15_000;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Largest number of connections that wait to be accepted, if as many may be open. What
/// they have sent counts as received and not read.
const MAX_BACKLOG: i32 = 1_024;

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
    let max_connections = i32::try_from(limits.max_connections).unwrap_or(i32::MAX);
    let backlog = max_connections.min(MAX_BACKLOG);
    listen(addr, limits.receive_buffer_bytes, backlog)
}

/// Binds an address; connections to it get this receive buffer.
pub(crate) fn listen(
    addr: SocketAddr,
    receive_buffer_bytes: usize,
    backlog: i32,
) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(receive_buffer_bytes)?;
    socket.bind(&addr.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}

/// Serves the clients of one listener.
pub struct HttpServer {
    limits: ClientLimits,
    on_close: Rc<dyn Fn(CloseReason)>,
    stop: Option<watch::Receiver<bool>>,
    open_connections: OpenConnections,
    counts: Arc<RequestCounts>,
    log: Logger,
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer").finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Creates a server with these limits that runs until the process ends.
    #[must_use]
    pub fn new(limits: ClientLimits, log: Logger) -> Self {
        Self {
            limits,
            on_close: Rc::new(|_| ()),
            stop: None,
            open_connections: OpenConnections::default(),
            counts: Arc::default(),
            log,
        }
    }

    /// Calls `on_close` for each connection that the server closes for a limit.
    #[must_use]
    pub fn with_on_close(mut self, on_close: impl Fn(CloseReason) + 'static) -> Self {
        self.on_close = Rc::new(on_close);
        self
    }

    /// Stops once `stop` is true: each connection is closed after the request in
    /// progress.
    #[must_use]
    pub fn with_stop(mut self, stop: watch::Receiver<bool>) -> Self {
        self.stop = Some(stop);
        self
    }

    /// Counts open connections in `open_connections`.
    #[must_use]
    pub fn with_open_connections(mut self, open_connections: OpenConnections) -> Self {
        self.open_connections = open_connections;
        self
    }

    /// Counts requests in `counts`.
    #[must_use]
    pub fn with_counts(mut self, counts: Arc<RequestCounts>) -> Self {
        self.counts = counts;
        self
    }

    /// Accepts connections and passes their requests to the handler.
    pub async fn serve<F, R>(self, listener: TcpListener, handler: F)
    where
        F: Fn(ClientRequest) -> R + 'static,
        R: Future<Output = HttpResponse> + 'static,
    {
        let handler = Rc::new(handler);
        let table = ConnectionTable::new(
            self.limits,
            Arc::clone(&self.counts),
            Rc::clone(&self.on_close),
        );
        let stop = self.stop.clone();
        let mut stopping = pin!(stopped(stop));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut stopping => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let Some(slot) = table.open().await else {
                        continue;
                    };
                    let served = self.connection(stream, slot, Rc::clone(&handler));
                    tokio::task::spawn_local(served);
                    self.wait_for_evicted().await;
                }
                Err(error) => {
                    warn!(self.log, "accept-failed"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    /// Lets the tasks of evicted connections close them, so that their descriptors are
    /// free before the next connection is accepted.
    async fn wait_for_evicted(&self) {
        while self.open_connections.count() > self.limits.max_connections {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the future that serves a connection to its end.
    fn connection<F, R>(
        &self,
        stream: TcpStream,
        slot: ConnectionSlot,
        handler: Rc<F>,
    ) -> impl Future<Output = ()> + 'static
    where
        F: Fn(ClientRequest) -> R + 'static,
        R: Future<Output = HttpResponse> + 'static,
    {
        let counted = self.open_connections.register();
        let limits = self.limits;
        let stop = self.stop.clone();
        let log = self.log.clone();
        async move {
            let served = serve_connection(stream, &slot, limits, handler, stop);
            let ended = tokio::select! {
                // The body of an evicted connection is gone, so its request must not go on.
                biased;
                () = slot.evicted() => Ok(()),
                ended = served => ended,
            };
            if let Err(error) = ended {
                if let Some(reason) = close_reason(&error) {
                    slot.count(reason);
                }
                debug!(log, "connection-ended"; "error" => %error);
            }
            slot.close();
            drop(counted);
        }
    }
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    slot: &ConnectionSlot,
    limits: ClientLimits,
    handler: Rc<F>,
    stop: Option<watch::Receiver<bool>>,
) -> hyper::Result<()>
where
    F: Fn(ClientRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    // Only costs latency if it fails.
    let _ = stream.set_nodelay(true);
    let stream = ClientStream::new(stream, slot.clone(), limits.io_timeout);
    let service = service_fn(move |request| {
        let slot = slot.clone();
        let answer = handler(ClientRequest::new(request, slot.clone()));
        async move {
            let answer = answer.await;
            let bytes = answer.body().size_hint().lower();
            slot.answer_started(usize::try_from(bytes).unwrap_or(usize::MAX));
            Ok::<_, Infallible>(answer)
        }
    });
    let head_timeout = match limits.io_timeout {
        // Bounds each pause, also in a head.
        Some(_) => None,
        None => Some(Duration::from_millis(HEADER_TIMEOUT_MS)),
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopped(stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

/// Returns once a stop is requested; never without a receiver or sender of it.
async fn stopped(stop: Option<watch::Receiver<bool>>) {
    if let Some(mut stop) = stop
        && stop.wait_for(|is_stopping| *is_stopping).await.is_ok()
    {
        return;
    }
    std::future::pending::<()>().await;
}

/// Returns the limit for which the HTTP library closed a connection, if any.
fn close_reason(error: &hyper::Error) -> Option<CloseReason> {
    if error.is_parse_too_large() {
        return Some(CloseReason::HeadTooLarge);
    }
    error.is_timeout().then_some(CloseReason::HeadTimeout)
}
