//! A small HTTP server for the stand-ins.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;

/// An HTTP request with its whole body.
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) body: String,
    pub(crate) is_repeatable: bool,
}

impl Call {
    /// Returns the value of a query field that is a number.
    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(k, _)| *k == key)
            .find_map(|(_, value)| value.parse().ok())
    }
}

/// The status and body of a stand-in's response.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Serves `handler` at an address from threads that run until the process ends.
pub(crate) fn serve(
    addr: SocketAddr,
    connections: usize,
    handler: impl Fn(&Call) -> Answer + Send + Sync + 'static,
) -> std::io::Result<()> {
    let server = Server::new(move |request| {
        let answer = handler(&read_call(request));
        let response = Response::builder()
            .status(answer.status)
            .body(Body::from(answer.body));
        response.unwrap_or_default()
    });
    let running_server = server
        .bind(addr)
        .with_max_concurrent_connections(connections)
        .with_global_timeout(Duration::from_secs(30))
        .spawn()?;
    std::mem::forget(running_server);
    Ok(())
}

fn read_call(request: &mut Request<Body>) -> Call {
    let mut body = String::new();
    let _ = request.body_mut().read_to_string(&mut body);
    let repeatable = request.headers().get("gannetvane-repeatable");
    Call {
        method: request.method().as_str().to_owned(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        body,
        is_repeatable: repeatable.is_some_and(|value| value.as_bytes() == b"true"),
    }
}
