//! Encoding and decoding of envelopes.

use thiserror::Error;

use crate::Envelope;

/// Maximum size of an encoded envelope that a process sends or accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Why an envelope cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not a valid envelope.
    #[error("malformed message: {0}")]
    Malformed(#[from] postcard::Error),
    /// The encoded envelope is larger than [`MAX_FRAME_BYTES`].
    #[error("message of {size_bytes} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLarge {
        /// Size of the encoded envelope in bytes.
        size_bytes: usize,
    },
}

/// Encodes an envelope.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] when the result is over [`MAX_FRAME_BYTES`].
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_stdvec(envelope)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge {
            size_bytes: bytes.len(),
        });
    }
    Ok(bytes)
}

/// Decodes an envelope.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] when the bytes are not a valid envelope.
pub fn decode(bytes: &[u8]) -> Result<Envelope, CodecError> {
    Ok(postcard::from_bytes(bytes)?)
}
