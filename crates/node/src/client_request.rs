//! A request of a client, whose body is read within the limits on clients.

use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use thiserror::Error;

use crate::connection_table::ClientMemoryExhausted;
use crate::connection_table::ConnectionSlot;
use crate::connection_table::HeldBytes;

/// Largest rest of a refused body that is read and dropped, in bytes: a client that is
/// still sending does not see the answer.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;

/// A request of a client.
#[derive(Debug)]
pub struct ClientRequest {
    head: Parts,
    body: Incoming,
    slot: ConnectionSlot,
}

/// The complete body of a request. Its memory is reserved until it is dropped.
#[derive(Debug)]
pub struct ClientBody {
    bytes: Vec<u8>,
    _held: HeldBytes,
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is over the limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The memory for clients is used up.
    #[error(transparent)]
    MemoryExhausted(#[from] ClientMemoryExhausted),
    /// The client broke off, or its encoding is malformed.
    #[error("the body is incomplete")]
    Incomplete,
}

impl ClientRequest {
    pub(crate) fn new(request: Request<Incoming>, slot: ConnectionSlot) -> Self {
        if request.body().is_end_stream() {
            slot.request_received();
        } else {
            slot.body_expected();
        }
        let (head, body) = request.into_parts();
        Self { head, body, slot }
    }

    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// Returns the target.
    #[must_use]
    pub fn uri(&self) -> &Uri {
        &self.head.uri
    }

    /// Returns the headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Reserves memory for what is made of the request until the returned value is
    /// dropped.
    ///
    /// # Errors
    ///
    /// [`ClientMemoryExhausted`] if the memory is used up by other requests that are
    /// being served.
    pub fn hold(&self, bytes: usize) -> Result<HeldBytes, ClientMemoryExhausted> {
        self.slot.hold(bytes)
    }

    /// Reads the body, which may have up to `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if it is larger, if the memory for clients is used up, or if the
    /// client breaks off.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<ClientBody, BodyError> {
        // A body is held twice while it is joined.
        let max_held_bytes = self.slot.max_held_bytes() / 2;
        let body = self.read_within(max_bytes.min(max_held_bytes)).await;
        if body.is_err() {
            self.slot.take_body();
        }
        if matches!(
            body,
            Err(BodyError::TooLarge | BodyError::MemoryExhausted(_))
        ) {
            self.drop_rest().await;
        }
        self.slot.request_received();
        body
    }

    async fn read_within(&mut self, max_bytes: usize) -> Result<ClientBody, BodyError> {
        if self.declared_bytes() > max_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        let mut held = self.slot.hold(0)?;
        let mut received_bytes = 0;
        while let Some(part) = self.next_data().await? {
            received_bytes += part.len();
            if received_bytes > max_bytes {
                return Err(BodyError::TooLarge);
            }
            self.slot.append_to_body(&part, &mut held)?;
        }
        self.join_body(held)
    }

    /// Returns the received body in one piece.
    fn join_body(&self, segments: HeldBytes) -> Result<ClientBody, BodyError> {
        let body = self.slot.take_body();
        let held = self.slot.hold(body.len())?;
        let bytes = body.into_bytes();
        drop(segments);
        Ok(ClientBody { bytes, _held: held })
    }

    /// Reads and drops the rest of a body that is not too large.
    async fn drop_rest(&mut self) {
        if self.declared_bytes() > MAX_DROPPED_BYTES as u64 {
            return;
        }
        let mut dropped_bytes = 0;
        while dropped_bytes <= MAX_DROPPED_BYTES {
            let Ok(Some(data)) = self.next_data().await else {
                return;
            };
            dropped_bytes += data.len();
        }
    }

    /// Returns the least size that the rest of the body has according to its head.
    fn declared_bytes(&self) -> u64 {
        self.body.size_hint().lower()
    }

    /// Returns the next part of the body, or `None` at its end.
    async fn next_data(&mut self) -> Result<Option<Bytes>, BodyError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

impl ClientBody {
    /// Returns the bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
