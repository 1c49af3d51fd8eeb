//! HTTP calls to an entry.

use std::io::Read;
use std::time::Duration;

use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Time that a call takes at most beyond the caller's deadline.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(15);

/// A call without a usable response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The entry cannot be reached, or the connection broke.
    #[error("{url}: {source}")]
    Connection {
        /// What was called.
        url: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The URL or a header is malformed.
    #[error("{url}: not a valid request: {reason}")]
    Request {
        /// What was to be called.
        url: String,
        /// What is malformed.
        reason: String,
    },
    /// The response is not what was expected.
    #[error("response not understood: {0}")]
    Response(#[from] serde_json::Error),
}

/// A response with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Whether the call succeeded.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// [`CallError::Response`] when it is of another form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// Calls one HTTP server.
#[derive(Clone, Debug)]
pub struct Client {
    url: String,
}

impl Client {
    /// A client of the server at `url`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// [`CallError`] when there is no response.
    pub fn get(&self, path: &str, response_wait: Duration) -> Result<Response, CallError> {
        self.call(Method::GET, path, Vec::new(), response_wait)
    }

    /// Sends a JSON body.
    ///
    /// # Errors
    ///
    /// [`CallError`] when there is no response.
    pub fn send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        response_wait: Duration,
    ) -> Result<Response, CallError> {
        self.call(method, path, serde_json::to_vec(body)?, response_wait)
    }

    /// Makes a call; the response may take as long as `wait`.
    ///
    /// # Errors
    ///
    /// [`CallError`] when there is no response.
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
