//! Limits on what clients can make a process hold, and the settings that they follow from.

use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

/// Bytes in a megabyte.
const MEGABYTE: usize = 1024 * 1024;
/// Share of the host's memory that clients may use: one byte in this many. The process
/// itself needs the rest.
const CLIENT_MEMORY_DIVISOR: usize = 2;
/// Share of the clients' memory that is reserved for open connections as such: one byte
/// in this many. The rest is for bodies, jobs and answers.
const CONNECTION_MEMORY_DIVISOR: usize = 2;
/// Share of the sockets that clients may use: one in this many. Connections to other
/// processes need the rest.
const CLIENT_SOCKET_DIVISOR: usize = 2;
/// Share of the sockets for connections of processes that have not named themselves: one in
/// this many.
const UNKNOWN_PEER_DIVISOR: usize = 4;
/// Descriptors of a process that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// The system grants twice the receive buffer that is requested, for its bookkeeping.
const RECEIVE_BUFFER_FACTOR: usize = 2;
/// Size of the write buffer, the parser and the task of an open connection, in bytes.
const CONNECTION_OVERHEAD_BYTES: usize = 16 * 1024;
/// Connections to a listener for checks and metrics: those of a balancer and of scrapers.
const MONITORING_CONNECTIONS: usize = 32;
/// Size of the answers that a listener for checks and metrics holds, in bytes.
const MONITORING_HELD_BYTES: usize = 2 * MEGABYTE;

/// The section `clients` of the settings. Limits that are absent follow from the size of
/// the host.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Memory that the host has for the process, in megabytes.
    pub host_memory_mb: usize,
    /// Descriptors that the host has for the process.
    pub host_descriptors: usize,
    /// Largest number of open connections of clients.
    pub max_connections: Option<usize>,
    /// Largest size of the bodies, jobs and answers of all clients, in bytes.
    pub max_held_bytes: Option<usize>,
    /// Largest size of the head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Size of the receive buffer of a connection, in bytes.
    pub receive_buffer_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            host_memory_mb: 128,
            host_descriptors: 4_096,
            max_connections: None,
            max_held_bytes: None,
            max_head_bytes: 16 * 1024,
            receive_buffer_bytes: 16 * 1024,
        }
    }
}

/// A limit on clients is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {value} given, from {min} to {max} allowed")]
pub struct ClientLimitError {
    /// The field, preceded by its section and a dot.
    pub field: &'static str,
    /// The value given.
    pub value: usize,
    /// The smallest value allowed.
    pub min: usize,
    /// The largest value allowed.
    pub max: usize,
}

impl ClientSettings {
    /// Checks every field.
    ///
    /// # Errors
    ///
    /// [`ClientLimitError`] for the first field that is out of its range.
    pub fn check(&self) -> Result<(), ClientLimitError> {
        check_range("clients.host_memory_mb", self.host_memory_mb, 32, 1 << 20)?;
        let descriptors = self.host_descriptors;
        check_range("clients.host_descriptors", descriptors, 400, 1 << 20)?;
        if let Some(connections) = self.max_connections {
            check_range("clients.max_connections", connections, 1, 100_000)?;
        }
        if let Some(held_bytes) = self.max_held_bytes {
            check_range("clients.max_held_bytes", held_bytes, MEGABYTE, 1 << 36)?;
        }
        let head_bytes = self.max_head_bytes;
        check_range("clients.max_head_bytes", head_bytes, 8_192, MEGABYTE)?;
        let buffer_bytes = self.receive_buffer_bytes;
        check_range(
            "clients.receive_buffer_bytes",
            buffer_bytes,
            4_096,
            MEGABYTE,
        )
    }

    /// Returns the limits of the listener for the clients of this process.
    #[must_use]
    pub fn limits(&self) -> ClientLimits {
        let client_bytes = self.host_memory_mb * MEGABYTE / CLIENT_MEMORY_DIVISOR;
        let connections_bytes = client_bytes / CONNECTION_MEMORY_DIVISOR;
        let fitting = connections_bytes / self.connection_bytes();
        let max_connections = fitting.min(self.sockets() / CLIENT_SOCKET_DIVISOR).max(1);
        ClientLimits {
            max_connections: self.max_connections.unwrap_or(max_connections),
            max_held_bytes: self
                .max_held_bytes
                .unwrap_or(client_bytes - connections_bytes),
            max_head_bytes: self.max_head_bytes,
            receive_buffer_bytes: self.receive_buffer_bytes,
            io_timeout: None,
        }
    }

    /// Returns the limits of a listener that only serves checks and metrics.
    #[must_use]
    pub fn monitoring_limits(&self) -> ClientLimits {
        ClientLimits {
            max_connections: MONITORING_CONNECTIONS,
            max_held_bytes: MONITORING_HELD_BYTES,
            ..self.limits()
        }
    }

    /// Returns the largest number of connections of processes that have not named
    /// themselves.
    #[must_use]
    pub fn max_unknown_peers(&self) -> usize {
        self.sockets() / UNKNOWN_PEER_DIVISOR
    }

    /// Returns the number of sockets that the process may have.
    fn sockets(&self) -> usize {
        self.host_descriptors.saturating_sub(FILE_DESCRIPTORS)
    }

    /// Returns the most memory that an open connection takes beside what is held for its
    /// request, in bytes.
    fn connection_bytes(&self) -> usize {
        let unread_bytes = RECEIVE_BUFFER_FACTOR * self.receive_buffer_bytes;
        unread_bytes + self.max_head_bytes + CONNECTION_OVERHEAD_BYTES
    }
}

/// Limits on the clients of one HTTP listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Largest size of the bodies, jobs and answers of all clients, in bytes.
    pub max_held_bytes: usize,
    /// Largest size of the head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Size of the receive buffer of a connection, in bytes: it bounds what arrives and
    /// is not read.
    pub receive_buffer_bytes: usize,
    /// Longest time without progress while a client sends or receives; `None` for no
    /// limit.
    pub io_timeout: Option<Duration>,
}

fn check_range(
    field: &'static str,
    value: usize,
    min: usize,
    max: usize,
) -> Result<(), ClientLimitError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ClientLimitError {
        field,
        value,
        min,
        max,
    })
}
