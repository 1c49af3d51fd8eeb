//! HTTP calls to an entry.

use std::io::Read;
use std::time::Duration;

use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Time added to the expected wait for a response to give the timeout of a call.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(15);

/// Why a call gave no usable response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The entry cannot be reached, or the connection broke.
    #[error("{url}: {source}")]
    Connection {
        /// The URL that was called.
        url: String,
        /// The error of the connection.
        source: std::io::Error,
    },
    /// The URL or a header is malformed.
    #[error("{url}: request is invalid: {reason}")]
    Request {
        /// The URL that was to be called.
        url: String,
        /// What is malformed.
        reason: String,
    },
    /// The body of the request cannot be written as JSON, or the response is not
    /// the expected JSON.
    #[error("body is not the expected JSON: {0}")]
    Response(#[from] serde_json::Error),
}

/// An HTTP response with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Whether the status is one of success, from 200 to 299.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Response`] when the body is not JSON of the type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// An HTTP client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    url: String,
}

impl Client {
    /// Creates a client of the server at `url`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    /// Sends a `GET` request for a path.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when there is no response.
    pub fn get(&self, path: &str, response_wait: Duration) -> Result<Response, CallError> {
        self.call(Method::GET, path, Vec::new(), response_wait)
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when there is no response.
    pub fn send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        response_wait: Duration,
    ) -> Result<Response, CallError> {
        self.call(method, path, serde_json::to_vec(body)?, response_wait)
    }

    /// Sends a request. The call times out when the response takes longer than
    /// `response_wait` and a fixed margin.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when there is no response.
    pub fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        response_wait: Duration,
    ) -> Result<Response, CallError> {
        let url = format!("{}{path}", self.url);
        let request = Request::builder()
            .method(method)
            .uri(&url)
            .body(Body::from(body));
        let request = request.map_err(|error| CallError::Request {
            url: url.clone(),
            reason: error.to_string(),
        })?;
        let client = oxhttp::Client::new().with_global_timeout(response_wait + TIMEOUT_MARGIN);
        let connection_error = |source| CallError::Connection {
            url: url.clone(),
            source,
        };
        let response = client.request(request).map_err(connection_error)?;
        let status = response.status().as_u16();
        let mut bytes = Vec::new();
        response
            .into_body()
            .read_to_end(&mut bytes)
            .map_err(connection_error)?;
        Ok(Response {
            status,
            body: bytes,
        })
    }
}
