//! Messages that the processes of gannetvane exchange, and their encoding.
//!
//! Every message travels in an [`Envelope`] in `postcard` encoding. Small messages
//! of membership are sent as UDP datagrams; large messages and all task traffic
//! are sent over TCP.

mod answer;
pub mod api;
mod bounded_list;
mod codec;
mod configuration;
mod id;
mod member;
mod message;
mod submission;

pub use answer::Answer;
pub use answer::Outcome;
pub use answer::Ran;
pub use answer::Reason;
pub use answer::TaskReport;
pub use answer::TaskStatus;
pub use bounded_list::MAX_LIST_ITEMS;
pub use bounded_list::bounded_list;
pub use codec::CodecError;
pub use codec::MAX_FRAME_BYTES;
pub use codec::decode;
pub use codec::encode;
pub use configuration::Change;
pub use configuration::Configuration;
pub use configuration::LogRecord;
pub use configuration::Operation;
pub use configuration::Preference;
pub use configuration::ServiceConfig;
pub use configuration::Snapshot;
pub use configuration::TeamConfig;
pub use id::IdError;
pub use id::NodeId;
pub use id::SubmissionId;
pub use id::TaskId;
pub use member::Member;
pub use member::MemberState;
pub use member::Role;
pub use message::Credit;
pub use message::Envelope;
pub use message::Finished;
pub use message::Gossip;
pub use message::HandoverEntry;
pub use message::Message;
pub use message::SlotCredit;
pub use message::TaskResult;
pub use message::TaskStart;
pub use submission::Needs;
pub use submission::Submission;
pub use submission::Task;

/// A shared immutable text, such as the name of a service, team, zone or kind of task.
pub type Name = std::sync::Arc<str>;
