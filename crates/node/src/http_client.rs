//! An HTTP/1.1 client that keeps its connections open.
//!
//! A connection can stop passing data without a reset. When a call times out and no
//! call was answered recently, the client therefore drops all idle connections along
//! with the call's own one, so that the next call opens a new one.

use std::cell::Cell;
use std::cell::RefCell;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use thiserror::Error;
use tokio::time::Instant;

/// Largest number of connections to one address that stay open without a call.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Size of the largest response body that is accepted, in bytes.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Age up to which an answer counts as recent, in milliseconds, or the timeout of
/// the call if that is shorter. After a call that times out without a recent answer,
/// the client drops all idle connections.
const RECENT_ANSWER_MS: u64 = 250;

/// Number of rounds of the event loop in which an answer that has arrived passes
/// through the connection's own task to its caller.
const YIELDS_AFTER_TIMEOUT: usize = 6;

/// Why a call has no answer. The server may have carried out the call, except for
/// [`Refused`](Self::Refused), [`Unopened`](Self::Unopened) and
/// [`Invalid`](Self::Invalid).
#[derive(Debug, Error)]
pub enum CallError {
    /// The answer did not arrive within this many milliseconds.
    #[error("no answer within {0} ms")]
    TimedOut(u64),
    /// The address refused the connection: the call was not sent.
    #[error("connection refused")]
    Refused,
    /// The connection could not be opened: the call was not sent.
    #[error("connection could not be opened: {0}")]
    Unopened(String),
    /// The connection broke before the whole answer had arrived.
    #[error("connection broke before the whole answer arrived: {0}")]
    Broken(String),
    /// The call could not be encoded: it was not sent.
    #[error("call could not be encoded: {0}")]
    Invalid(String),
}

/// An HTTP response with its whole body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// An HTTP client for one address. Clones share its connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    client: Rc<RefCell<PooledClient>>,
    /// When a call last ended without a timeout.
    last_answer_at: Rc<Cell<Option<Instant>>>,
}

impl HttpClient {
    /// Creates a client for `addr`, without connections.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            client: Rc::new(RefCell::new(pooled_client())),
            last_answer_at: Rc::default(),
        }
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call cannot be sent, or if the whole answer does
    /// not arrive within `timeout_ms`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::Invalid(error.to_string()))?;
        let timeout = Duration::from_millis(timeout_ms);
        tokio::select! {
            biased;
            reply = self.exchange(request) => {
                self.last_answer_at.set(Some(Instant::now()));
                reply
            }
            () = wait_for_timeout(timeout) => {
                self.drop_suspect_connections(timeout_ms);
                Err(CallError::TimedOut(timeout_ms))
            }
        }
    }

    /// Drops all idle connections unless a call was answered recently.
    fn drop_suspect_connections(&self, timeout_ms: u64) {
        let recent = Duration::from_millis(timeout_ms.min(RECENT_ANSWER_MS));
        let last_answer_at = self.last_answer_at.get();
        if last_answer_at.is_none_or(|last_answer_at| last_answer_at.elapsed() >= recent) {
            *self.client.borrow_mut() = pooled_client();
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let client = self.client.borrow().clone();
        let response = client.request(request).await;
        let response = response.map_err(|error| connection_error(&error))?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| CallError::Broken(error.to_string()))?;
        Ok(Reply {
            status,
            body: body.to_bytes(),
        })
    }
}

/// Converts the client's error into a [`CallError`].
fn connection_error(error: &hyper_util::client::legacy::Error) -> CallError {
    if !error.is_connect() {
        return CallError::Broken(error.to_string());
    }
    let mut cause = error.source();
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == ErrorKind::ConnectionRefused) {
            return CallError::Refused;
        }
        cause = error.source();
    }
    CallError::Unopened(error.to_string())
}

fn pooled_client() -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(None)
        .build(connector)
}

/// Waits for the timeout, and then yields so that answers which arrived while this
/// process did not run are received first.
async fn wait_for_timeout(timeout: Duration) {
    tokio::time::sleep(timeout).await;
    for _ in 0..YIELDS_AFTER_TIMEOUT {
        tokio::task::yield_now().await;
    }
}
