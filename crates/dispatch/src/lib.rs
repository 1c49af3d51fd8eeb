//! The decisions of entries and agents: which tasks start where and when, and what follows
//! when they end.
//!
//! - An entry ([`Dispatcher`]) takes jobs from callers and keeps a job for as long as its
//!   caller waits. It divides the job into tasks and orders agents to start them.
//! - An agent ([`Agent`]) sits beside one minion. It alone admits tasks to the minion and
//!   accounts for the minion's resources.
//! - Stored jobs outlive their callers and entries. Their records are in the partitioned
//!   job log, and the entry that owns a partition runs its jobs ([`Ledger`]).
//!
//! This crate does no I/O, starts no thread and reads no clock. Callers pass in events and
//! the present time in milliseconds, and carry out the resulting actions.
//!
//! ```
//! use gannetvane_dispatch::Resources;
//!
//! let free = Resources { cpu_milli: 4_000, memory_mb: 1_024, accelerators: 0 };
//! let task = Resources { cpu_milli: 1_600, memory_mb: 64, accelerators: 0 };
//! assert!(free.can_fit(&task));
//! assert!(!free.minus(&task).minus(&task).can_fit(&task));
//! ```

mod agent;
mod crashes;
mod delayed_starts;
mod directory;
mod dispatcher;
mod evacuations;
mod gossip;
mod job;
mod lease;
mod ledger;
mod message;
mod minion_calls;
mod policy;
mod rendezvous;
mod resources;
mod route;
mod stored;
mod witnessed_starts;

pub use agent::Agent;
pub use agent::AgentAction;
pub use agent::AgentEvent;
pub use agent::AgentIdentity;
pub use crashes::Crash;
pub use crashes::KnownCrashes;
pub use delayed_starts::DelayedStart;
pub use delayed_starts::KnownDelayedStarts;
pub use directory::Directory;
pub use directory::MAX_LINKED_ENTRIES;
pub use directory::MAX_LINKED_PEERS;
pub use dispatcher::Dispatcher;
pub use dispatcher::DispatcherAction;
pub use dispatcher::DispatcherSettings;
pub use dispatcher::EntryEvent;
pub use evacuations::Evacuations;
pub use gossip::GossipSender;
pub use gossip::GossipState;
pub use job::CallerId;
pub use job::Job;
pub use job::JobOutcome;
pub use job::Refusal;
pub use job::Step;
pub use job::TaskId;
pub use lease::GRANT_MS;
pub use lease::KEEPALIVE_MS;
pub use lease::MINION_LEASE_MS;
pub(crate) use lease::PROBATION_MS;
pub use lease::RUNS_GONE_AFTER_MS;
pub use ledger::Assignment;
pub use ledger::Ledger;
pub use ledger::LedgerAction;
pub use ledger::LedgerSettings;
pub use ledger::MEMBER_TTL_MS;
pub use ledger::OWNER_LEASE_MS;
pub use ledger::partition::AppendResult;
pub use message::AgentFrame;
pub use message::AgentHello;
pub use message::CrashEvidence;
pub use message::Demand;
pub use message::Disposition;
pub use message::EntryFrame;
pub use message::Greeting;
pub use message::LinkId;
pub use message::NotStartedReason;
pub use message::Order;
pub use message::OrderId;
pub use message::PeerAck;
pub use message::PeerFrame;
pub use message::Probe;
pub use message::Report;
pub use message::RetainedEnd;
pub use message::RunEnd;
pub use message::SeenEntry;
pub use message::StartOrder;
pub use message::StoredReply;
pub use message::StoredRequest;
pub use message::Suspicion;
pub use message::decode;
pub use message::encode;
pub use minion_calls::ActiveRun;
pub use minion_calls::EndedRun;
pub use minion_calls::Incarnation;
pub use minion_calls::ListResult;
pub use minion_calls::Listing;
pub use minion_calls::MinionReport;
pub use minion_calls::RunKey;
pub use minion_calls::StartResult;
pub use minion_calls::StopResult;
pub use policy::Arrival;
pub use policy::BoxedPolicy;
pub use policy::FairShare;
pub use policy::OverloadPolicy;
pub use policy::Rank;
pub use policy::ServiceView;
pub use policy::Uplink;
pub use policy::WaitingJob;
pub use resources::Resources;
pub use route::Queue;
pub use route::RouteError;
pub use route::RoutingTable;
pub use stored::LogRecord;
pub use stored::Partition;
pub use stored::RecordError;
pub use stored::StoredAnswer;
pub use stored::StoredCall;
pub use stored::StoredCaller;
pub use stored::StoredEnd;
pub use stored::StoredJob;
pub use stored::StoredState;
pub use witnessed_starts::ReportedStarts;
pub use witnessed_starts::WitnessedOrder;
pub use witnessed_starts::WitnessedStarts;
