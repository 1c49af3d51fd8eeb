//! Clients that keep to the limits, which the default limits must not refuse.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use gannetvane_platform_standins::READINESS_PATH;
use gannetvane_platform_standins::job_of_small_tasks;
use yare::parameterized;

use crate::crowd::Behaviour;
use crate::crowd::Crowd;
use crate::crowd::JOB_ID;
use crate::crowd::Target;
use crate::site;
use crate::site::Limits;
use crate::site::Listener;
use crate::take_turn;

/// Connections that callers keep open between their requests.
const IDLE_CONNECTIONS: usize = 400;
/// Readiness checks of a balancer.
const CHECKS: usize = 50;
/// Parts in which a slow client sends its request, with a pause after each.
const SLOW_PARTS: usize = 40;
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// Sends a request on an open connection and returns the status of the answer.
fn status_of(stream: &mut TcpStream, request: &[u8]) -> u16 {
    stream.write_all(request).expect("the request is taken");
    read_status(stream)
}

fn read_status(stream: &mut TcpStream) -> u16 {
    let mut text = String::new();
    let mut part = [0; 4_096];
    while !is_complete(&text) {
        let read = stream.read(&mut part).expect("an answer");
        assert!(read > 0, "the connection was closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&part[..read]));
    }
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.expect("a status")
}

/// Returns whether a text is a head and as much of a body as the head declares.
fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let lower = head.to_lowercase();
    let length = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.is_none_or(|length| length.parse() == Ok(body.len()))
}

fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).expect("a connection")
}

/// Returns a small request to the target, whose body ends at once.
fn small_request(target: &Target) -> Vec<u8> {
    let target = Target {
        max_body_bytes: target.body_start.len() + target.body_end.len(),
        ..target.clone()
    };
    target.bytes(Behaviour::WholeBody)
}

#[parameterized(front = { Listener::Front }, own_entry = { Listener::OwnEntry })]
fn a_body_of_the_largest_size_is_served(listener: Listener) {
    let _turn = take_turn();
    let site = site::start(listener, Limits::Defaults);
    let target = site.target();
    let request = target.bytes(Behaviour::WholeBody);
    assert_eq!(status_of(&mut connect(target.addr), &request), 200);
}

#[test]
fn a_job_with_the_most_tasks_and_the_longest_text_is_served() {
    let _turn = take_turn();
    let site = site::start(Listener::Front, Limits::Defaults);
    let text = format!("ms=10 {}", "\\u00e9".repeat(1_990));
    let target = Target {
        body_start: job_of_small_tasks(&text, 260)
            .trim_end_matches('}')
            .to_owned(),
        ..site.target()
    };
    assert_eq!(
        status_of(&mut connect(target.addr), &small_request(&target)),
        200
    );
}

#[parameterized(front = { Listener::Front }, own_entry = { Listener::OwnEntry })]
fn a_slow_client_is_served(listener: Listener) {
    let _turn = take_turn();
    let site = site::start(listener, Limits::Defaults);
    let target = site.target();
    let request = small_request(&target);
    let mut stream = connect(target.addr);
    for part in request.chunks(request.len().div_ceil(SLOW_PARTS)) {
        stream.write_all(part).expect("the part is taken");
        thread::sleep(SLOW_PAUSE);
    }
    assert_eq!(read_status(&mut stream), 200);
}

#[parameterized(front = { Listener::Front }, own_entry = { Listener::OwnEntry })]
fn connections_are_kept_between_requests(listener: Listener) {
    let _turn = take_turn();
    let site = site::start(listener, Limits::Defaults);
    let target = site.target();
    let unknown = format!("GET /no-such HTTP/1.1\r\nHost: {}\r\n\r\n", target.host);
    let mut streams: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .map(|_| connect(target.addr))
        .collect();
    for _ in 0..2 {
        for stream in &mut streams {
            assert_eq!(status_of(stream, unknown.as_bytes()), 404);
        }
    }
    assert!(site.serves());
}

#[test]
fn readiness_checks_are_answered_on_new_and_on_kept_connections() {
    let _turn = take_turn();
    let site = site::start(Listener::Ready, Limits::Defaults);
    let addr = site.target().addr;
    let check = format!("GET {READINESS_PATH} HTTP/1.1\r\nHost: balancer\r\n\r\n");
    let mut kept = connect(addr);
    for _ in 0..CHECKS {
        assert_eq!(status_of(&mut kept, check.as_bytes()), 200);
        assert_eq!(status_of(&mut connect(addr), check.as_bytes()), 200);
    }
}

#[parameterized(front = { Listener::Front }, own_entry = { Listener::OwnEntry })]
fn a_planned_stop_beside_a_crowd_cuts_no_request(listener: Listener) {
    let _turn = take_turn();
    let site = site::start(listener, Limits::Lowered);
    let target = site.target();
    let crowd_target = Target {
        request: target.request.replace(JOB_ID, "00000000000000bb"),
        ..target.clone()
    };
    let _crowd = Crowd::send(&crowd_target, Behaviour::ShortBody);
    let mut stream = connect(target.addr);
    stream
        .write_all(&small_request(&target))
        .expect("the request is taken");
    let answer = thread::spawn(move || read_status(&mut stream));
    // The request is read before the stop, as it arrived before it.
    thread::sleep(SLOW_PAUSE);
    let status = site.stop();
    assert!(status.success(), "{status}");
    assert_eq!(answer.join().expect("the client gets an answer"), 200);
}
