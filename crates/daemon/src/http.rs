//! The HTTP server of a process and its limits.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gannetvane_wire::Answer;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;

use crate::problem::refusal_response;
use crate::problem::rejection;

/// Connections accepted beyond the limit on requests, so that their requests
/// get a refusal as answer.
const SPARE_CONNECTIONS: usize = 128;
/// Time after which a refused caller may try again.
const RETRY_AFTER_MS: u32 = 1_000;

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HttpLimits {
    /// Largest number of concurrent requests; further ones are refused.
    pub max_requests: usize,
    /// Largest body in bytes.
    pub max_body_bytes: u64,
    /// Longest time without progress while a caller sends or receives.
    pub io_timeout: Duration,
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct HttpCall {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) has_idempotency_key: bool,
    pub(crate) body: Vec<u8>,
}

/// Returns the response to a request.
pub(crate) type Handler = dyn Fn(&HttpCall) -> Response<Body> + Send + Sync;

/// The HTTP server for callers, operators, metrics scrapers and the balancer.
#[derive(Clone, Debug, Default)]
pub(crate) struct HttpServer {
    active: Arc<AtomicUsize>,
}

struct ActiveGuard(Arc<AtomicUsize>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl HttpServer {
    /// Binds the address and serves requests on the server's own threads.
    ///
    /// # Errors
    ///
    /// An I/O error when the address cannot be bound.
    pub(crate) fn start(
        addr: SocketAddr,
        limits: HttpLimits,
        handler: Box<Handler>,
    ) -> std::io::Result<Self> {
        let server = Self::default();
        let active = Arc::clone(&server.active);
        let listener = Server::new(move |request| {
            let count = active.fetch_add(1, Ordering::SeqCst);
            let _guard = ActiveGuard(Arc::clone(&active));
            if count >= limits.max_requests {
                return overloaded();
            }
            match read_call(request, limits.max_body_bytes) {
                Ok(call) => handler(&call),
                Err(refusal) => *refusal,
            }
        })
        .bind(addr)
        .with_max_concurrent_connections(limits.max_requests + SPARE_CONNECTIONS)
        .with_global_timeout(limits.io_timeout)
        .spawn()?;
        // The listener runs until the process ends.
        std::mem::forget(listener);
        Ok(server)
    }

    /// Returns the number of requests that are being served.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }
}

fn overloaded() -> Response<Body> {
    // Another entry may already have run the submission, so whether it ran is
    // unknown here.
    let answer = Answer::refusal(Ran::Unknown, Reason::EntryOverloaded, Some(RETRY_AFTER_MS));
    refusal_response(&answer, "try any other entry".to_owned())
}

fn read_call(
    request: &mut Request<Body>,
    max_body_bytes: u64,
) -> Result<HttpCall, Box<Response<Body>>> {
    let mut body = Vec::new();
    let mut limited = request.body_mut().take(max_body_bytes + 1);
    if let Err(error) = limited.read_to_end(&mut body) {
        return Err(Box::new(rejection(
            Reason::BadRequest,
            format!("body: {error}"),
        )));
    }
    if body.len() as u64 > max_body_bytes {
        let detail = format!("body: larger than {max_body_bytes} bytes");
        return Err(Box::new(rejection(Reason::BodyTooLarge, detail)));
    }
    Ok(HttpCall {
        method: request.method().as_str().to_owned(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        has_idempotency_key: request.headers().contains_key("idempotency-key"),
        body,
    })
}
