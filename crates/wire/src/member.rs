//! What the processes know of each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::Needs;
use crate::NodeId;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs beside a minion and can be home of submissions.
    Agent,
    /// Takes requests from callers.
    Entry,
}

/// Liveness of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe; declared dead unless it answers.
    Suspect,
    /// Finishes its work and takes no more.
    Leaving,
    /// Missed its probes for the suspicion timeout.
    Dead,
    /// Stopped as planned; its submissions are answered by the successor.
    Left {
        /// The agent that answers for it, if any.
        successor: Option<NodeId>,
    },
}

impl MemberState {
    /// Order in which states of one version replace each other.
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

    /// Whether the member will never again send a message of its own.
    #[must_use]
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left { .. })
    }
}

/// One member as carried by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The run of the process.
    pub node: NodeId,
    /// Where it receives UDP and TCP.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// The service of its minion.
    pub service: Name,
    /// Slots of its minion.
    pub slots: u16,
    /// Capacity of its worker for one task.
    pub capacity: Needs,
    /// Raised by the member itself to refute a suspicion.
    pub version: u32,
    /// Liveness.
    pub state: MemberState,
    /// Milliseconds since the member started, at the time of sending. The
    /// generation of its table follows from it.
    pub uptime_ms: u64,
}

impl Member {
    /// Whether `self` is newer than `other`, of the same node.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.state.rank()) > (other.version, other.state.rank())
    }
}
