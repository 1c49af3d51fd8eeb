//! Limits on clients: which connection is closed for which, and what clients are told.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gannetvane_node::BodyError;
use gannetvane_node::ClientLimits;
use gannetvane_node::ClientRequest;
use gannetvane_node::ClientSettings;
use gannetvane_node::CloseReason;
use gannetvane_node::HttpResponse;
use gannetvane_node::HttpServer;
use gannetvane_node::bind_clients;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;
use yare::parameterized;

const MAX_BODY_BYTES: usize = 10_000;
const GET: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/// Longest time that a test waits for the server.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A server that answers at once, except at `/wait`.
struct Server {
    addr: SocketAddr,
    closed: Rc<RefCell<Vec<CloseReason>>>,
}

fn limits() -> ClientLimits {
    ClientLimits {
        max_connections: 2,
        max_held_bytes: 32_000,
        ..ClientSettings::default().limits()
    }
}

impl Server {
    fn start(limits: ClientLimits) -> Self {
        let closed = Rc::<RefCell<Vec<CloseReason>>>::default();
        let reasons = Rc::clone(&closed);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = bind_clients(any, &limits).expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let listener = TcpListener::from_std(listener).expect("a runtime");
        let server = HttpServer::new(limits, Logger::root(Discard, o!()))
            .with_on_close(move |reason| reasons.borrow_mut().push(reason));
        tokio::task::spawn_local(server.serve(listener, answer));
        Self { addr, closed }
    }

    async fn connect(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("sent");
        stream
    }

    /// Connects and waits for the answer to this request.
    async fn request(&self, text: &str) -> (TcpStream, String) {
        let mut stream = self.connect(text).await;
        let answer = read(&mut stream).await;
        (stream, answer)
    }
}

async fn answer(mut request: ClientRequest) -> HttpResponse {
    let status = match request.read_body(MAX_BODY_BYTES).await {
        Ok(body) => {
            if request.uri().path() == "/wait" {
                std::future::pending::<()>().await;
            }
            assert!(body.bytes().len() <= MAX_BODY_BYTES);
            StatusCode::OK
        }
        Err(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        Err(BodyError::MemoryExhausted(_)) => StatusCode::SERVICE_UNAVAILABLE,
        Err(BodyError::Incomplete) => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(Full::new(Bytes::from_static(b"answer")));
    *response.status_mut() = status;
    response
}

/// Reads what the server sends next; empty once the connection is closed.
async fn read(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 4_096];
    let read = timeout(WAIT_LIMIT, stream.read(&mut buffer)).await;
    // A connection that is closed with unread bytes is reset.
    let read = read.expect("the server answers or closes").unwrap_or(0);
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

fn post(path: &str, declared_bytes: usize, sent_bytes: usize) -> String {
    let body = "x".repeat(sent_bytes);
    format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {declared_bytes}\r\n\r\n{body}")
}

async fn with_server<F: Future<Output = ()>>(
    limits: ClientLimits,
    test: impl FnOnce(Rc<Server>) -> F,
) {
    let run = async { test(Rc::new(Server::start(limits))).await };
    LocalSet::new().run_until(run).await;
}

/// Lets the server read what was sent.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[tokio::test]
async fn the_connection_that_waits_longest_for_its_request_is_closed_for_another() {
    with_server(limits(), |server| async move {
        let mut oldest = server.connect("GET / HT").await;
        settle().await;
        let _newer = server.connect("GET / HT").await;
        settle().await;
        let (_, text) = server.request(GET).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert_eq!(read(&mut oldest).await, "");
        assert_eq!(*server.closed.borrow(), [CloseReason::ConnectionLimit]);
    })
    .await;
}

#[tokio::test]
async fn an_idle_connection_is_kept_while_another_waits_for_its_request() {
    with_server(limits(), |server| async move {
        let (mut idle, _) = server.request(GET).await;
        settle().await;
        let mut unfinished = server.connect("GET / HT").await;
        settle().await;
        let (_, text) = server.request(GET).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert_eq!(read(&mut unfinished).await, "");
        idle.write_all(GET.as_bytes()).await.expect("sent");
        assert!(read(&mut idle).await.starts_with("HTTP/1.1 200"));
    })
    .await;
}

#[tokio::test]
async fn a_request_that_is_being_served_is_closed_for_no_other() {
    with_server(limits(), |server| async move {
        let waiting = post("/wait", 10, 10);
        let mut served = [
            server.connect(&waiting).await,
            server.connect(&waiting).await,
        ];
        settle().await;
        let (_, text) = server.request(GET).await;
        assert_eq!(text, "");
        assert_eq!(*server.closed.borrow(), [CloseReason::AllServing]);
        for stream in &mut served {
            let answered = timeout(Duration::from_millis(50), read(stream)).await;
            assert!(answered.is_err(), "{answered:?}");
        }
    })
    .await;
}

#[tokio::test]
async fn the_oldest_large_body_is_dropped_for_another() {
    let limits = ClientLimits {
        max_connections: 10,
        max_held_bytes: 45_000,
        ..limits()
    };
    with_server(limits, |server| async move {
        let mut small = server.connect(&post("/", 20, 10)).await;
        settle().await;
        let mut oldest = server.connect(&post("/", 9_000, 8_999)).await;
        settle().await;
        let mut newer = server.connect(&post("/", 9_000, 8_999)).await;
        settle().await;
        let (_, text) = server.request(&post("/", 9_000, 9_000)).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert_eq!(read(&mut oldest).await, "");
        assert!(server.closed.borrow().contains(&CloseReason::MemoryLimit));
        for (stream, rest) in [(&mut small, 10), (&mut newer, 1)] {
            let rest = "x".repeat(rest);
            stream.write_all(rest.as_bytes()).await.expect("sent");
            let text = read(stream).await;
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_body_is_refused_while_served_requests_use_up_the_memory() {
    let limits = ClientLimits {
        max_connections: 10,
        ..limits()
    };
    with_server(limits, |server| async move {
        let waiting = post("/wait", 9_000, 9_000);
        let _served = [
            server.connect(&waiting).await,
            server.connect(&waiting).await,
        ];
        settle().await;
        let (_, text) = server.request(&post("/", 9_000, 9_000)).await;
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
        let (_, text) = server.request(GET).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    })
    .await;
}

#[parameterized(
    declared = { post("/", MAX_BODY_BYTES + 1, MAX_BODY_BYTES + 1) },
    chunked = { format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
                         4000\r\n{}\r\n0\r\n\r\n", "x".repeat(0x4000)) },
)]
fn a_client_that_sends_too_large_a_body_gets_the_refusal(request: String) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = with_server(limits(), |server| async move {
        let (_, text) = server.request(&request).await;
        assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    });
    runtime.expect("a runtime").block_on(test);
}

#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    with_server(limits(), |server| async move {
        let head = format!("GET / HTTP/1.1\r\nCookie: {}", "x".repeat(20_000));
        let mut stream = server.connect(&head).await;
        read(&mut stream).await;
        settle().await;
        assert_eq!(*server.closed.borrow(), [CloseReason::HeadTooLarge]);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_client_without_progress_is_closed_after_the_timeout() {
    let limits = ClientLimits {
        io_timeout: Some(Duration::from_secs(5)),
        ..limits()
    };
    with_server(limits, |server| async move {
        let mut stream = server.connect(&post("/", 10, 9)).await;
        let started = tokio::time::Instant::now();
        let answer = read(&mut stream).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
            "{answer}"
        );
        assert!(started.elapsed() >= Duration::from_secs(5));
        assert_eq!(*server.closed.borrow(), [CloseReason::IoTimeout]);
    })
    .await;
}

#[parameterized(
    smallest_host = { 120, 3_075 },
    entry = { 260, 4_100 },
    fleet_entry = { 1_024, 16_384 },
    agent = { 128, 4_096 },
)]
fn default_limits_leave_half_of_the_host_to_the_process(memory_mb: usize, descriptors: usize) {
    let settings = ClientSettings {
        host_memory_mb: memory_mb,
        host_descriptors: descriptors,
        ..ClientSettings::default()
    };
    settings.check().expect("valid settings");
    let limits = settings.limits();
    let connection_bytes = 2 * limits.receive_buffer_bytes + limits.max_head_bytes;
    let client_bytes = limits.max_connections * connection_bytes + limits.max_held_bytes;
    assert!(client_bytes <= memory_mb * 1024 * 1024 / 2);
    assert!(limits.max_connections <= (descriptors - 200) / 2);
    // The largest job of each of a hundred callers, and a connection for each of 400.
    assert!(limits.max_held_bytes >= 100 * 262_144);
    assert!(limits.max_connections >= 400);
}
