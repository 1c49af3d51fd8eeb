//! The configuration of services and teams, and its records in the log.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Which measure weighs more for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Response time: several homes, each result sent at once.
    #[default]
    ResponseTime,
    /// Messages: one home, tasks of a job packed on few agents.
    Messages,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Which measure weighs more.
    #[serde(default)]
    pub preference: Preference,
    /// Most tasks in one job.
    #[serde(default = "default_max_tasks_per_job")]
    pub max_tasks_per_job: u16,
    /// Most tasks that wait at one home.
    #[serde(default = "default_max_queued_tasks")]
    pub max_queued_tasks: u32,
    /// Most homes, at most one in each availability zone.
    #[serde(default = "default_max_homes")]
    pub max_homes: u16,
}

fn default_max_tasks_per_job() -> u16 {
    260
}

fn default_max_queued_tasks() -> u32 {
    4_000
}

fn default_max_homes() -> u16 {
    3
}

impl ServiceConfig {
    /// Number of homes that the preference asks for.
    #[must_use]
    pub fn homes(&self) -> usize {
        match self.preference {
            Preference::ResponseTime => usize::from(self.max_homes.max(1)),
            Preference::Messages => 1,
        }
    }
}

/// Quota of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    /// Share of the slots relative to other teams, when slots are short.
    pub weight: u16,
    /// Most tasks that wait at one home.
    pub max_queued_tasks: u32,
    /// Most tasks that run at one time, over all homes.
    pub max_running_tasks: u32,
}

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of changes that led here.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceConfig>,
    /// Teams by name.
    pub teams: BTreeMap<Name, TeamConfig>,
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "operation", deny_unknown_fields)]
pub enum Operation {
    /// Creates or replaces a service.
    PutService {
        /// Name of the service.
        name: Name,
        /// Its settings.
        service: ServiceConfig,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: Name,
    },
    /// Creates or replaces a team.
    PutTeam {
        /// Name of the team.
        name: Name,
        /// Its quota.
        team: TeamConfig,
    },
    /// Removes a team.
    RemoveTeam {
        /// Name of the team.
        name: Name,
    },
}

/// A change of the configuration, valid on one version only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change, so that it is never applied twice.
    pub change_id: Name,
    /// The version that the change was planned on.
    pub base_version: u64,
    /// The steps, in order.
    pub operations: Vec<Operation>,
}

/// The whole configuration, written again before the log forgets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration.
    pub configuration: Configuration,
    /// Ids of the changes that led to it most recently, newest last.
    pub recent_changes: Vec<Name>,
    /// Offset of the first log record that is not yet taken into account.
    pub next_offset: u64,
}

/// A record of the configuration stream in the platform's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "record")]
pub enum LogRecord {
    /// A change that an operator confirmed.
    Change(Change),
    /// The configuration at the time of writing.
    Snapshot(Snapshot),
}
