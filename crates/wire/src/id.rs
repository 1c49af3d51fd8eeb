//! Ids of processes, submissions and tasks.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Id of one run of a process: a random number drawn at its start.
///
/// A process that restarts at the same address draws another `NodeId`, so that
/// it recognises and ignores messages meant for the earlier run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Id of a submission; it names the agent that answers for the submission.
///
/// The text form is `home-generation-nonce` in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SubmissionId {
    /// The agent run whose table holds the submission.
    pub home: NodeId,
    /// The generation of the home's table that the submission belongs to.
    pub generation: u32,
    /// Random number, drawn by the entry that issued the id.
    pub nonce: u64,
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:016x}", self.home, self.generation, self.nonce)
    }
}

/// A text that is not a submission id.
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

/// Id of one attempt at one task of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// Position of the task in the submission, from 0.
    pub index: u16,
    /// Number of the attempt, from 0. It is above 0 only for repeatable requests
    /// and for tasks that are known not to have started before.
    pub attempt: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.submission, self.index)
    }
}
