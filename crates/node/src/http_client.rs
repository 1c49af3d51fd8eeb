//! Calls over HTTP/1.1 on connections that stay open.
//!
//! A connection can go silent for good without a reset. When a call times out
//! and nothing was answered of late, all idle connections are suspect and are
//! given up with it, so that the next call opens a new one.

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

/// Connections to one address that are kept open without a call.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time to open a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Largest answer in bytes.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Time without any answer after which idle connections are suspect when a call
/// times out, in milliseconds, or the time of the call if that is less.
const RECENT_ANSWER_MS: u64 = 250;

/// Rounds of the event loop in which an answer that has arrived gets through
/// the connection's own task to its caller.
const YIELDS_AFTER_TIMEOUT: usize = 6;

/// A call without an answer. It may have been carried out.
#[derive(Debug, Error)]
pub enum CallError {
    /// No answer in time.
    #[error("no answer within {0} ms")]
    TimedOut(u64),
    /// Nobody takes connections there: the call was not sent.
    #[error("connection refused")]
    Refused,
    /// The connection could not be opened.
    #[error("connection not opened: {0}")]
    Unopened(String),
    /// The connection broke before the whole answer had arrived.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The call itself cannot be written.
    #[error("call not valid: {0}")]
    Invalid(String),
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// A client of one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    client: Rc<RefCell<PooledClient>>,
    /// When a call was last answered.
    last_answer_at: Rc<Cell<Option<Instant>>>,
}

impl HttpClient {
    /// A client of `addr`.
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
    /// [`CallError`] without a whole answer in time.
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

    /// Gives up all idle connections unless something was answered of late.
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

/// Why a call got no response.
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

/// Waits, and then lets answers go first that arrived while this process stood
/// still.
async fn wait_for_timeout(timeout: Duration) {
    tokio::time::sleep(timeout).await;
    for _ in 0..YIELDS_AFTER_TIMEOUT {
        tokio::task::yield_now().await;
    }
}
