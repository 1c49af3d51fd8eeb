//! The HTTP server of a process: one thread reads requests within the limits and passes
//! them to the process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use async_trait::async_trait;
use gannetvane_node::BodyError;
use gannetvane_node::ClientBody;
use gannetvane_node::ClientLimits;
use gannetvane_node::ClientRequest;
use gannetvane_node::HttpResponse;
use gannetvane_node::HttpServer as NodeServer;
use gannetvane_node::RequestCounts;
use gannetvane_node::bind_clients;
use gannetvane_wire::Answer;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use slog::Logger;
use slog::crit;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::metrics::Metrics;
use crate::problem::refusal_response;
use crate::problem::rejection;

/// Time after which a refused caller may try again.
const RETRY_AFTER_MS: u32 = 1_000;

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HttpLimits {
    /// Largest number of concurrent requests; further ones are refused.
    pub max_requests: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Limits on connections.
    pub clients: ClientLimits,
}

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct HttpCall {
    pub(crate) request: ClientRequest,
    pub(crate) body: ClientBody,
}

impl HttpCall {
    pub(crate) fn method(&self) -> &str {
        self.request.method().as_str()
    }

    pub(crate) fn path(&self) -> &str {
        self.request.uri().path()
    }

    pub(crate) fn query(&self) -> &str {
        self.request.uri().query().unwrap_or_default()
    }

    pub(crate) fn has_idempotency_key(&self) -> bool {
        self.request.headers().contains_key("idempotency-key")
    }
}

/// Answers requests.
#[async_trait(?Send)]
pub(crate) trait Handler: Send + Sync {
    /// Returns the response to a request.
    async fn handle(&self, call: HttpCall) -> HttpResponse;
}

/// The HTTP server for callers, operators, metrics scrapers and the balancer.
#[derive(Clone, Debug)]
pub(crate) struct HttpServer {
    counts: Arc<RequestCounts>,
}

impl HttpServer {
    /// Binds the address and serves requests on a separate thread until the process ends.
    ///
    /// # Errors
    ///
    /// An I/O error when the address cannot be bound or the thread cannot start.
    pub(crate) fn start(
        addr: SocketAddr,
        limits: HttpLimits,
        handler: Arc<dyn Handler>,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> std::io::Result<Self> {
        let listener = bind_clients(addr, &limits.clients)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let counts = Arc::<RequestCounts>::default();
        let service = HttpService {
            limits,
            handler,
            counts: Arc::clone(&counts),
        };
        let thread = move || {
            LocalSet::new().block_on(&runtime, service.serve(listener, metrics, log));
        };
        thread::Builder::new().name("http".into()).spawn(thread)?;
        Ok(Self { counts })
    }

    /// Returns the number of complete requests that have no answer yet.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.counts.serving()
    }

    /// Returns the number of requests whose body or answer is being transferred.
    #[must_use]
    pub fn transferring(&self) -> usize {
        self.counts.transferring()
    }
}

/// Reads and answers requests on the thread of the server.
#[derive(Clone)]
struct HttpService {
    limits: HttpLimits,
    handler: Arc<dyn Handler>,
    counts: Arc<RequestCounts>,
}

impl HttpService {
    async fn serve(self, listener: std::net::TcpListener, metrics: Arc<Metrics>, log: Logger) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                crit!(log, "http-failed"; "error" => %error);
                return;
            }
        };
        NodeServer::new(self.limits.clients, log)
            .with_counts(Arc::clone(&self.counts))
            .with_on_close(move |reason| metrics.count_event(reason.name()))
            .serve(listener, move |request| self.clone().answer(request))
            .await;
    }

    async fn answer(self, mut request: ClientRequest) -> HttpResponse {
        let body = match request.read_body(self.limits.max_body_bytes).await {
            Ok(body) => body,
            Err(error) => return self.refuse_body(error),
        };
        if self.counts.serving() > self.limits.max_requests {
            return overloaded();
        }
        let call = HttpCall { request, body };
        // A submission runs on when its caller disconnects, and so do its task and the
        // memory that is reserved for it.
        let handler = Arc::clone(&self.handler);
        let handled = tokio::task::spawn_local(async move { handler.handle(call).await });
        handled.await.unwrap_or_else(|_| overloaded())
    }

    fn refuse_body(&self, error: BodyError) -> HttpResponse {
        match error {
            BodyError::TooLarge => {
                let max_body_bytes = self.limits.max_body_bytes;
                let detail = format!("body: larger than {max_body_bytes} bytes");
                rejection(Reason::BodyTooLarge, detail)
            }
            BodyError::MemoryExhausted(_) => overloaded(),
            BodyError::Incomplete => rejection(Reason::BadRequest, format!("body: {error}")),
        }
    }
}

/// Returns the refusal of a request that this entry has no room for.
pub(crate) fn overloaded() -> HttpResponse {
    // Another entry may already have run the submission, so whether it ran is
    // unknown here.
    let answer = Answer::refusal(Ran::Unknown, Reason::EntryOverloaded, Some(RETRY_AFTER_MS));
    refusal_response(&answer, "try any other entry".to_owned())
}
