//! Checks the limits of the HTTP interface and its answers to invalid requests.

#![allow(clippy::unwrap_used, reason = "tests")]

mod fleet;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::End;
use fleet::Fleet;
use fleet::booking;
use fleet::call;
use fleet::submit;
use fleet::wait_until;
use gannetvane_wire::api::Problem;
use oxhttp::model::Method;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

/// Returns the fleet that the tests share; it ends when no test uses it.
fn shared() -> Arc<Fleet> {
    static FLEET: Mutex<Weak<Fleet>> = Mutex::new(Weak::new());
    let mut shared = FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(fleet) = shared.upgrade() {
        return fleet;
    }
    let fleet = Arc::new(Fleet::start(1, 3));
    *shared = Arc::downgrade(&fleet);
    fleet
}

/// Sends the text of a request unchanged and returns the complete response.
fn send_raw(addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    // Fails when the server answers and closes before it has read everything.
    let _ = stream.write_all(request.as_bytes());
    let mut response = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(read) = stream.read(&mut chunk) {
        if read == 0 {
            break;
        }
        response.extend_from_slice(&chunk[..read]);
    }
    String::from_utf8_lossy(&response).into_owned()
}

fn put_job(body: &str) -> (&'static str, String, String) {
    ("PUT", "/v1/jobs/ID".to_owned(), body.to_owned())
}

fn bad_id(id: &str) -> (&'static str, String, String) {
    let body = r#"{"service":"bretti-desk","team":"desk","tasks":[{"kind":"label"}]}"#;
    ("PUT", format!("/v1/jobs/{id}"), body.to_owned())
}

fn tasks(count: usize) -> String {
    let tasks = vec![json!({"kind": "label"}); count];
    json!({"service": "bretti-desk", "team": "desk", "tasks": tasks}).to_string()
}

fn bad(method: &'static str, path: &str, body: &str) -> (&'static str, String, String) {
    (method, path.to_owned(), body.to_owned())
}

#[parameterized(
    not_json = { put_job("{"), 400, "body: EOF while parsing" },
    unknown_field = {
        put_job(r#"{"service":"s","team":"t","tasks":[],"colour":1}"#), 400,
        "body: unknown field `colour`"
    },
    missing_field = { put_job(r#"{"service":"s","tasks":[]}"#), 400, "body: missing field `team`" },
    no_tasks = { put_job(&tasks(0)), 400, "tasks: 0 given, from 1 to 1024 allowed" },
    far_too_many_tasks = { put_job(&tasks(1_025)), 400, "tasks: 1025 given, from 1 to 1024 allowed" },
    more_than_the_service_allows = { put_job(&tasks(261)), 422, "submission" },
    deadline = {
        put_job(r#"{"service":"s","team":"t","deadline_ms":0,"tasks":[{"kind":"k"}]}"#), 400,
        "deadline_ms: 0 given, from 1 to 120000 allowed"
    },
    empty_kind = {
        put_job(r#"{"service":"s","team":"t","tasks":[{"kind":""}]}"#), 400,
        "kind: from 1 to 64 printable characters"
    },
    id_text = { bad_id("no-id"), 400, "submission id \"no-id\" is not of the form" },
    id_parts = { bad_id("1-2-3-4"), 400, "submission id \"1-2-3-4\" is not of the form" },
    unknown_service = {
        put_job(r#"{"service":"no-such","team":"desk","tasks":[{"kind":"k"}]}"#), 404, "submission"
    },
    unknown_team = {
        put_job(r#"{"service":"bretti-desk","team":"no-such","tasks":[{"kind":"k"}]}"#), 404,
        "submission"
    },
    unknown_path = { bad("GET", "/v2/jobs", ""), 404, "GET /v2/jobs" },
    unknown_method = { bad("PATCH", "/v1/ids", ""), 404, "PATCH /v1/ids" },
    no_service = { bad("POST", "/v1/ids", ""), 400, "service: missing in the query" },
    count_text = {
        bad("POST", "/v1/ids?service=bretti-desk&count=many", ""), 400,
        "count: \"many\" is not a number"
    },
    count_range = {
        bad("POST", "/v1/ids?service=bretti-desk&count=0", ""), 400,
        "count: 0 given, from 1 to 10000 allowed"
    },
    ids_of_unknown_service = { bad("POST", "/v1/ids?service=no-such", ""), 404, "no-such" },
    bad_plan = { bad("POST", "/v1/plans", r#"{"operations":[]}"#), 400, "operations: 0 given" },
    bad_operation = {
        bad("POST", "/v1/plans", r#"{"operations":[{"operation":"explode"}]}"#), 400,
        "body: unknown variant `explode`"
    },
    other_change = {
        bad(
            "PUT", "/v1/changes/one",
            r#"{"change":{"change_id":"two","base_version":0,"operations":[]}}"#,
        ),
        400, "change_id: two in the body, one in the path"
    },
    unknown_change = { bad("GET", "/v1/changes/no-such", ""), 404, "change no-such" },
)]
fn bad_request_is_explained(request: (&str, String, String), status: u16, expected: &str) {
    let fleet = shared();
    let (method, path, body) = request;
    let path = path.replace("ID", &fleet.take_ids(0, 1)[0]);
    let addr = fleet.entry_http(0);
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let response = send_raw(addr, &text);
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(response.contains("application/problem+json"), "{response}");
    let json = response.split("\r\n\r\n").nth(1).expect("a body");
    let problem: Problem = serde_json::from_str(json).unwrap();
    assert!(problem.detail.contains(expected), "{}", problem.detail);
    assert_eq!(problem.status, status);
}

#[test]
fn own_idempotency_key_is_refused_clearly() {
    let fleet = shared();
    let id = &fleet.take_ids(0, 1)[0];
    let body = booking(10).to_string();
    let length = body.len();
    let text = format!(
        "PUT /v1/requests/{id} HTTP/1.1\r\nhost: test\r\nconnection: close\r\nidempotency-key: mine\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let response = send_raw(fleet.entry_http(0), &text);
    assert!(response.contains("\"reason\":\"own-key\""), "{response}");
    assert!(response.contains("\"ran\":\"not-run\""), "{response}");
    assert!(fleet.starts_of(id).is_empty());
}

#[test]
fn oversized_body_is_refused_and_others_are_served() {
    let fleet = shared();
    let addr = fleet.entry_http(0);
    let id = &fleet.take_ids(0, 1)[0];
    let body = "x".repeat(150_000);
    let response = call(
        addr,
        Method::PUT,
        &format!("/v1/jobs/{id}"),
        &Value::String(body),
    )
    .unwrap();
    assert_eq!(response.status, 413, "{}", response.body);
    let end = submit(addr, id, &booking(10));
    assert!(matches!(end, End::Complete(_)), "{end:?}");
}

#[test]
fn slow_clients_are_cut_off_and_others_are_served() {
    let fleet = shared();
    let addr = fleet.entry_http(0);
    let mut slow: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream
                .write_all(b"PUT /v1/jobs/x HTTP/1.1\r\nhost: te")
                .unwrap();
            stream
        })
        .collect();
    for id in fleet.take_ids(0, 10) {
        let end = submit(addr, &id, &booking(10));
        assert!(matches!(end, End::Complete(_)), "{end:?}");
    }
    for stream in &mut slow {
        // Ends when the server's timeout for the header expires.
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
    }
}

#[test]
fn more_requests_than_allowed_are_refused_at_once() {
    let fleet = Fleet::start(1, 3);
    let addr = fleet.entry_http(0);
    let ids = Mutex::new(fleet.take_ids(0, 1_024));
    let is_reached = AtomicBool::new(false);
    // Each caller keeps one request open. The poll below also takes one of the
    // allowed requests, so a caller that is refused because of it must try again.
    let keep_request_open = || {
        while !is_reached.load(Ordering::SeqCst) {
            let Some(id) = ids.lock().unwrap().pop() else {
                return;
            };
            let end = submit(addr, &id, &booking(1_000));
            assert!(
                matches!(end, End::Complete(_)) || fleet::reason(&end).is_some(),
                "{end:?}"
            );
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..64 {
            scope.spawn(keep_request_open);
        }
        wait_until("the limit is reached", || {
            let response = call(addr, Method::GET, "/healthz", &Value::Null).unwrap();
            response.status == 503 && response.body.contains("\"reason\":\"entry-overloaded\"")
        });
        is_reached.store(true, Ordering::SeqCst);
    });
    let id = &fleet.take_ids(0, 1)[0];
    let end = submit(addr, id, &booking(10));
    assert!(matches!(end, End::Complete(_)), "{end:?}");
}

#[test]
fn health_readiness_and_metrics_can_be_read() {
    let fleet = shared();
    let entry = fleet.entry_http(0);
    let agent = fleet.agents[0].as_ref().unwrap().http;
    let id = &fleet.take_ids(0, 1)[0];
    submit(entry, id, &booking(10));
    for addr in [entry, agent] {
        for path in ["/healthz", "/readyz"] {
            wait_until("the process is ready", || {
                call(addr, Method::GET, path, &Value::Null).unwrap().status == 200
            });
        }
        wait_until("the sizes are recorded", || {
            let metrics = call(addr, Method::GET, "/metrics", &Value::Null)
                .unwrap()
                .body;
            metrics.contains("gannetvane_messages_sent_total")
                && metrics.contains("gannetvane_members")
        });
    }
    let refused = submit(
        entry,
        id,
        &json!({"service": "no-such", "team": "t", "kind": "k"}),
    );
    assert!(fleet::reason(&refused).is_some());
}
