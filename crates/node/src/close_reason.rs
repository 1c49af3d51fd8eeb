//! Reasons for which the server closes a connection of a client.

/// Why a connection of a client was closed by this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Another client connected while the most connections were open.
    ConnectionLimit,
    /// A new connection, while all others had a request that was being served.
    AllServing,
    /// Another client needed the memory.
    MemoryLimit,
    /// The head of the request was larger than the limit.
    HeadTooLarge,
    /// The head of the request did not arrive in time.
    HeadTimeout,
    /// The client neither sent nor received for too long.
    IoTimeout,
}

impl CloseReason {
    /// Returns the event name for metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionLimit => "client-closed-connection-limit",
            Self::AllServing => "client-closed-all-serving",
            Self::MemoryLimit => "client-closed-memory-limit",
            Self::HeadTooLarge => "client-closed-head-too-large",
            Self::HeadTimeout => "client-closed-head-timeout",
            Self::IoTimeout => "client-closed-io-timeout",
        }
    }
}
