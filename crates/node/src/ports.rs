//! What a deployment provides: its minions and its store.

use std::net::SocketAddr;

use async_trait::async_trait;
use gannetvane_dispatch::HoldResult;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartResult;
use gannetvane_wire::Name;
use thiserror::Error;

/// Starts, stops and lists the runs of the minion on this host.
#[async_trait(?Send)]
pub trait MinionPort {
    /// Starts a run under a lease.
    async fn start(&self, call: StartCall) -> StartResult;
    /// Stops a run, or forbids it if it is not there yet; true when the minion
    /// acknowledged it.
    async fn stop(&self, instance: Name, key: RunKey, epoch: u64) -> bool;
    /// Extends the lease and lists.
    async fn hold(&self, call: HoldCall) -> HoldResult;
}

/// The order to start a run.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The minion's lifetime.
    pub instance: Name,
    /// The run.
    pub key: RunKey,
    /// Text for the task.
    pub spec: Name,
    /// End of the lease on the minion's clock, in milliseconds.
    pub deadline_ms: u64,
    /// The agent's epoch.
    pub epoch: u64,
}

/// The order to extend the lease and list.
#[derive(Clone, Debug)]
pub struct HoldCall {
    /// The minion's lifetime.
    pub instance: Name,
    /// The agent's epoch; 0 before it has one.
    pub epoch: u64,
    /// Ends up to this number may be forgotten.
    pub acked_through: u64,
    /// New end of the lease on the minion's clock, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Longest time that the answer may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// A call to the store that failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// No answer; a write may have been carried out.
    #[error("the store gave no answer: {0}")]
    Unreachable(String),
    /// The store refused, and did nothing.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// Records were dropped that a reader had not seen.
    #[error("the store has dropped the records that were asked for")]
    Gone,
    /// The answer cannot be read.
    #[error("the answer of the store is not understood: {0}")]
    Malformed(String),
}

/// What a reader of the store learned.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    /// The newest configuration in the page.
    pub table: Option<RoutingTable>,
    /// Where to read on.
    pub next_offset: u64,
}

/// The store of the deployment.
#[async_trait(?Send)]
pub trait StorePort {
    /// The newest configuration, whole.
    async fn newest_configuration(&self) -> Result<StorePage, StoreError>;
    /// Waits for a configuration from an offset on.
    async fn next_configuration(
        &self,
        from_offset: u64,
        wait_ms: u64,
    ) -> Result<StorePage, StoreError>;
    /// Addresses at which entries announced themselves.
    async fn entries(&self) -> Result<Vec<SocketAddr>, StoreError>;
    /// Announces an entry.
    async fn announce(&self, entry: SocketAddr) -> Result<(), StoreError>;
}
