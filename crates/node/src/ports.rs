//! What a deployment provides: its minions and its store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use async_trait::async_trait;
use gannetvane_dispatch::AppendResult;
use gannetvane_dispatch::Assignment;
use gannetvane_dispatch::Incarnation;
use gannetvane_dispatch::ListResult;
use gannetvane_dispatch::LogRecord;
use gannetvane_dispatch::Partition;
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
    async fn stop(&self, incarnation: &Incarnation, key: RunKey, epoch: u64) -> bool;
    /// Extends the lease and lists.
    async fn list(&self, call: ListCall) -> ListResult;
}

/// The order to start a run.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The minion's lifetime.
    pub incarnation: Incarnation,
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
pub struct ListCall {
    /// The minion's lifetime.
    pub incarnation: Incarnation,
    /// The agent's epoch; 0 before it has one.
    pub epoch: u64,
    /// Ends up to this number may be forgotten.
    pub acknowledged_through: u64,
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

/// What a reader of the operators' records learned.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    /// The newest configuration in the page.
    pub table: Option<RoutingTable>,
    /// Zones that operators began to empty or took back, the oldest first; in a
    /// page with the newest records, all that are being emptied.
    pub evacuations: Vec<ZoneRecord>,
    /// Where to read on.
    pub next_offset: u64,
}

/// What operators want of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The zone.
    pub zone: Name,
    /// Whether it is to be emptied; otherwise it is taken back.
    pub is_evacuated: bool,
}

/// The store of the deployment.
#[async_trait(?Send)]
pub trait StorePort {
    /// The newest records of the operators, whole.
    async fn newest_operators(&self) -> Result<StorePage, StoreError>;
    /// Waits for records of the operators from an offset on.
    async fn next_operators(&self, from_offset: u64, wait_ms: u64)
    -> Result<StorePage, StoreError>;
    /// What entries announced.
    async fn announced(&self) -> Result<Announced, StoreError>;
    /// Announces an entry.
    async fn announce(&self, entry: SocketAddr) -> Result<(), StoreError>;
    /// Announces that there are stored jobs.
    async fn announce_stored_jobs(&self) -> Result<(), StoreError>;
}

/// What entries announced in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announced {
    /// Where entries accept connections.
    pub entries: Vec<SocketAddr>,
    /// Whether there are stored jobs.
    pub has_stored_jobs: bool,
}

/// Records that an owner appends to its partition.
#[derive(Clone, Debug)]
pub struct AppendCall {
    /// The partition.
    pub partition: Partition,
    /// The owner's epoch there.
    pub epoch: u32,
    /// Number of the append in that epoch.
    pub number: u64,
    /// Where the partition must end; otherwise nothing is done.
    pub expected_end: Option<u64>,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// The job log of the deployment: partitions of keyed records, each with one
/// owner among the entries.
#[async_trait(?Send)]
pub trait JobLogPort {
    /// Whether there are stored jobs in this deployment.
    async fn is_in_use(&self) -> Result<bool, StoreError>;
    /// Joins the group of owners, or stays in it; `generation` is the last one
    /// that was taken over.
    async fn join(&self, generation: u64) -> Result<Assignment, StoreError>;
    /// Leaves the group.
    async fn leave(&self) -> Result<(), StoreError>;
    /// Where the owner of each partition accepts connections.
    async fn owners(&self) -> Result<BTreeMap<Partition, SocketAddr>, StoreError>;
    /// Appends records, all or none; a repeated number is done once.
    async fn append(&self, call: &AppendCall) -> AppendResult;
    /// The newest record of each key.
    async fn newest(&self, partition: Partition) -> Result<Vec<LogRecord>, StoreError>;
}
