//! Members: what each process knows about the others.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::Needs;
use crate::NodeId;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs beside a minion and can be the home of submissions.
    Agent,
    /// Takes requests from callers.
    Entry,
}

/// Whether a member is reachable, leaves, or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and is declared dead unless it answers.
    Suspect,
    /// The member finishes its work and accepts no more.
    Leaving,
    /// The member answered no probe during the suspicion timeout.
    Dead,
    /// The member stopped as planned; the successor, if any, answers for its
    /// submissions.
    Left {
        /// The agent that answers for the member's submissions, if any.
        successor: Option<NodeId>,
    },
}

impl MemberState {
    /// Rank of the state among those of the same version: a higher one replaces
    /// a lower one.
    #[must_use]
    pub fn rank(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspect => 1,
            Self::Leaving => 2,
            Self::Dead => 3,
            Self::Left { .. } => 4,
        }
    }

    /// Whether this run of the member sends no more messages of its own.
    #[must_use]
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left { .. })
    }
}

/// One member, as gossip carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the run of the process.
    pub node: NodeId,
    /// Address at which the member receives UDP datagrams and TCP connections.
    pub addr: SocketAddr,
    /// Availability zone of the member.
    pub zone: Name,
    /// Service of the member's minion.
    pub service: Name,
    /// Number of slots of the member's minion.
    pub slots: u16,
    /// Resources that the member's worker has for one task.
    pub capacity: Needs,
    /// Version of the member's state; the member itself raises it to refute a
    /// suspicion.
    pub version: u32,
    /// State of the member.
    pub state: MemberState,
    /// Milliseconds since the member started, at the time of sending. They give
    /// the generation of the member's table.
    pub uptime_ms: u64,
}

impl Member {
    /// Whether `self` is newer than `other`; both must be of the same node.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.state.rank()) > (other.version, other.state.rank())
    }
}
