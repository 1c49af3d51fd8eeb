//! Stand-ins for the platform: its log service, and minions on workers.
//!
//! Only tests and the quick start use them. They record every start of a
//! task, so that events that the product must never cause can be counted, such as a
//! task that starts twice.

mod group;
mod log_service;
mod minion;
mod serve;

pub use group::Group;
pub use log_service::LogFault;
pub use log_service::LogService;
pub use minion::MinionStandIn;
pub use minion::StartRecord;
