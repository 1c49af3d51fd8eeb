//! Traits that a deployment implements to connect its minions and its store.

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
use gannetvane_dispatch::StopResult;
use gannetvane_wire::Name;
use thiserror::Error;

/// Starts, stops and lists the runs of the minion on this host.
#[async_trait(?Send)]
pub trait MinionPort {
    /// Starts a run that the minion may continue until the lease ends.
    async fn start(&self, call: StartCall) -> StartResult;
    /// Stops a run, or forbids it if the minion has not started it yet.
    async fn stop(&self, incarnation: &Incarnation, key: RunKey, epoch: u64) -> StopResult;
    /// Extends the lease, acknowledges ends, and lists the minion's runs.
    async fn list(&self, call: ListCall) -> ListResult;
}

/// A call to start a run.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The incarnation of the minion that is meant.
    pub incarnation: Incarnation,
    /// The run.
    pub key: RunKey,
    /// The text that the task receives.
    pub spec: Name,
    /// End of the lease on the minion's clock, in milliseconds.
    pub deadline_ms: u64,
    /// The agent's epoch; the minion refuses one that is lower than it has seen.
    pub epoch: u64,
}

/// A call to extend the lease, acknowledge ends, and list runs.
#[derive(Clone, Debug)]
pub struct ListCall {
    /// The incarnation of the minion that is meant.
    pub incarnation: Incarnation,
    /// The agent's epoch; 0 before it has one.
    pub epoch: u64,
    /// The minion can forget retained ends up to this number.
    pub acknowledged_through: u64,
    /// New end of the lease on the minion's clock, in milliseconds; `None` leaves it
    /// as it is.
    pub deadline_ms: Option<u64>,
    /// Longest time that the minion waits for the end of a run before it answers, in
    /// milliseconds.
    pub wait_ms: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The store gave no answer; it may have carried out a write.
    #[error("the store gave no answer: {0}")]
    Unreachable(String),
    /// The store refused the call with this HTTP status, and did nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store has dropped the records at the requested offset. The reader has to
    /// read the newest records instead.
    #[error("the store has dropped the records at the requested offset")]
    Gone,
    /// The answer, or data in it, cannot be decoded.
    #[error("the answer of the store is malformed: {0}")]
    Malformed(String),
}

/// Content of the operators' records that one read returned.
#[derive(Clone, Debug, Default)]
pub struct StorePage {
    /// The newest configuration in the page.
    pub table: Option<RoutingTable>,
    /// Zones whose evacuation began or ended, the oldest record first. A page with
    /// the newest records contains all zones that are evacuated.
    pub evacuations: Vec<ZoneRecord>,
    /// Offset at which the next read continues.
    pub next_offset: u64,
}

/// An operators' record that begins or ends the evacuation of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The zone.
    pub zone: Name,
    /// Whether the zone is evacuated; otherwise it is used again.
    pub is_evacuated: bool,
}

/// The store of the deployment.
#[async_trait(?Send)]
pub trait StorePort {
    /// Reads the newest record of each key that operators wrote.
    async fn newest_operators(&self) -> Result<StorePage, StoreError>;
    /// Reads the records of the operators from an offset on; waits for at most
    /// `wait_ms` milliseconds if there are none yet.
    async fn next_operators(&self, from_offset: u64, wait_ms: u64)
    -> Result<StorePage, StoreError>;
    /// Reads what entries announced.
    async fn announced(&self) -> Result<Announced, StoreError>;
    /// Announces the address of an entry.
    async fn announce(&self, entry: SocketAddr) -> Result<(), StoreError>;
    /// Announces that there are stored jobs.
    async fn announce_stored_jobs(&self) -> Result<(), StoreError>;
}

/// What entries announced in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announced {
    /// Addresses on which entries accept connections.
    pub entries: Vec<SocketAddr>,
    /// Whether there are stored jobs.
    pub has_stored_jobs: bool,
}

/// A call with which an owner appends records to its partition.
#[derive(Clone, Debug)]
pub struct AppendCall {
    /// The partition.
    pub partition: Partition,
    /// The owner's epoch for this partition.
    pub epoch: u32,
    /// Number of the append in that epoch.
    pub number: u64,
    /// Offset at which the partition must end; otherwise nothing is appended.
    pub expected_end: Option<u64>,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// The job log of the deployment: partitions of keyed records, each with one
/// owner among the entries.
#[async_trait(?Send)]
pub trait JobLogPort {
    /// Returns whether there are stored jobs in this deployment.
    async fn is_in_use(&self) -> Result<bool, StoreError>;
    /// Joins the group of owners, or renews the membership. `generation` is the one
    /// of the last assignment that the entry has applied.
    async fn join(&self, generation: u64) -> Result<Assignment, StoreError>;
    /// Leaves the group.
    async fn leave(&self) -> Result<(), StoreError>;
    /// Returns the address on which the owner of each partition accepts connections.
    async fn owners(&self) -> Result<BTreeMap<Partition, SocketAddr>, StoreError>;
    /// Appends all records or none. An append whose number is repeated takes effect
    /// once.
    async fn append(&self, call: &AppendCall) -> AppendResult;
    /// Reads the newest record of each key.
    async fn newest(&self, partition: Partition) -> Result<Vec<LogRecord>, StoreError>;
}
