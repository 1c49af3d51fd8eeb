//! The decision logic of gannetvane, without input or output.
//!
//! Nothing in this crate opens a socket, starts a thread or reads a clock. A
//! core, [`Agent`] or [`Entry`], takes an event and the current time in
//! milliseconds and returns a list of [`Action`]s, which the process around it
//! performs. Tests therefore run whole sessions of several cores on a clock
//! that they advance.
//!
//! ```
//! use gannetvane_core::Estimates;
//!
//! let mut estimates = Estimates::default();
//! assert_eq!(estimates.estimate_ms(&"label".into(), Some(80)), 80);
//! for _ in 0..20 {
//!     estimates.observe(&"label".into(), Some(80), 160);
//! }
//! assert_eq!(estimates.estimate_ms(&"label".into(), Some(80)), 160);
//! ```

mod action;
mod agent;
mod agent_configuration;
mod borrowing;
mod budget;
mod command;
mod configuration;
mod confirm;
mod credits;
mod dispatch;
mod drain;
mod entry;
mod entry_view;
mod estimate;
mod gossip;
mod health;
mod home;
mod leaving;
mod lending;
mod membership;
mod progress;
mod queue;
mod recovery;
mod runner;
mod service;
mod submission;
mod table;
mod teams;
mod upkeep;
mod view;
mod waiting;

pub use action::Action;
pub use action::CallerId;
pub use action::Counter;
pub use action::Notice;
pub use action::Peer;
pub use agent::Agent;
pub use agent::AgentSettings;
pub use budget::RetryBudget;
pub use command::Command;
pub use command::Reply;
pub use configuration::ChangeOutcome;
pub use configuration::ConfigurationStore;
pub use configuration::LogPage;
pub use configuration::LoggedRecord;
pub use configuration::Plan;
pub use configuration::PlanError;
pub use credits::CreditPool;
pub use entry::Entry;
pub use entry::EntrySettings;
pub use estimate::Estimates;
pub use health::Health;
pub use membership::Membership;
pub use membership::MembershipSettings;
pub use queue::TaskQueue;
pub use runner::Runner;
pub use table::GENERATION_MS;
pub use table::Lookup;
pub use table::SubmissionTable;
pub use table::TableSettings;
pub use teams::TeamShares;
pub use view::HomeTarget;
pub use view::View;
