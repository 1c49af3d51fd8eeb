//! Identifiers of processes, submissions and tasks.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// One run of one process: a random number drawn at its start.
///
/// A restarted process at the same address has another `NodeId`, so a message
/// meant for the earlier run is recognised and ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a submission and names the agent that answers for it.
///
/// The text form is `home-generation-nonce` in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SubmissionId {
    /// The agent run whose table holds the submission.
    pub home: NodeId,
    /// The generation of the home's table that the submission belongs to.
    pub generation: u32,
    /// Random part, drawn by the entry that issued the id.
    pub nonce: u64,
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:016x}", self.home, self.generation, self.nonce)
    }
}

/// A submission id that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("submission id {text:?} is not of the form home-generation-nonce in hexadecimal")]
pub struct IdError {
    text: String,
}

impl FromStr for SubmissionId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_submission_id(text).ok_or_else(|| IdError {
            text: text.chars().take(80).collect(),
        })
    }
}

fn parse_submission_id(text: &str) -> Option<SubmissionId> {
    let mut fields = text.split('-');
    let home = u64::from_str_radix(fields.next()?, 16).ok()?;
    let generation = u32::from_str_radix(fields.next()?, 16).ok()?;
    let nonce = u64::from_str_radix(fields.next()?, 16).ok()?;
    if fields.next().is_some() {
        return None;
    }
    Some(SubmissionId {
        home: NodeId(home),
        generation,
        nonce,
    })
}

/// Identifies one attempt at one task of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// Position of the task in the submission.
    pub index: u16,
    /// Number of the attempt, from 0; above 0 only for repeatable requests
    /// and for tasks that were provably not started before.
    pub attempt: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.submission, self.index)
    }
}
