//! The configuration of services and teams, and its records in the platform's log.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Whether a short response time or few messages weigh more for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Short response time: several homes; each result is sent at once.
    #[default]
    ResponseTime,
    /// Few messages: one home; the tasks of a job are packed on few agents.
    Messages,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The preferred measure.
    #[serde(default)]
    pub preference: Preference,
    /// Maximum number of tasks in one job.
    #[serde(default = "default_max_tasks_per_job")]
    pub max_tasks_per_job: u16,
    /// Maximum number of tasks that wait at one home.
    #[serde(default = "default_max_queued_tasks")]
    pub max_queued_tasks: u32,
    /// Maximum number of homes, with at most one in each availability zone.
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
    /// Number of homes that the service may have under its preference.
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
    /// Weight of the team, relative to other teams, in the division of scarce slots.
    pub weight: u16,
    /// Maximum number of tasks that wait at one home.
    pub max_queued_tasks: u32,
    /// Maximum number of tasks that run at one time, over all homes.
    pub max_running_tasks: u32,
}

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of changes that led to this version.
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

/// A change of the configuration that can be applied to one version only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change, so that it is never applied twice.
    pub change_id: Name,
    /// The version of the configuration that the change was planned on.
    pub base_version: u64,
    /// The steps, in order.
    pub operations: Vec<Operation>,
}

/// The whole configuration, written to the log again before the earlier records
/// expire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration.
    pub configuration: Configuration,
    /// Ids of the most recent changes that the configuration contains, newest last.
    pub recent_changes: Vec<Name>,
    /// Offset of the first log record that the configuration does not contain.
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
