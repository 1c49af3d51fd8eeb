//! The configuration as it follows from the platform's log.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use gannetvane_wire::Change;
use gannetvane_wire::Configuration;
use gannetvane_wire::LogRecord;
use gannetvane_wire::Name;
use gannetvane_wire::Operation;
use gannetvane_wire::Snapshot;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Ids of applied changes that are remembered.
const REMEMBERED_CHANGES: usize = 256;
/// Refused changes whose outcome is remembered.
const REMEMBERED_REFUSALS: usize = 256;
/// Most operations in one change.
const MAX_OPERATIONS: usize = 256;
/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Most tasks that any service may allow in a job.
const MAX_TASKS_PER_JOB: u16 = 1_024;

/// A record with its place in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The record; `None` when it cannot be read by this version.
    pub record: Option<LogRecord>,
}

/// Part of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest offset that the log still holds.
    pub oldest_offset: u64,
    /// The offset after the last record of this page.
    pub next_offset: u64,
    /// Whether the page reaches the end of the log.
    pub at_end: bool,
    /// The records, in order.
    pub records: Vec<LoggedRecord>,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is part of the configuration.
    Accepted,
    /// Another change came first.
    Conflict,
    /// It was not read from the log so far.
    Unseen,
}

/// What an intent would change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The change to confirm.
    pub change: Change,
    /// One line for each effect.
    pub effects: Vec<String>,
}

/// An intent that cannot be planned.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// No operation, or too many.
    #[error("operations: {count} given, from 1 to {MAX_OPERATIONS} allowed")]
    OperationCount {
        /// Operations given.
        count: usize,
    },
    /// A name is empty, too long or has odd characters.
    #[error(
        "name {name:?}: from 1 to {MAX_NAME_BYTES} of the characters a-z, 0-9, '-', '_' and '.' allowed"
    )]
    Name {
        /// The name.
        name: String,
    },
    /// What should be removed does not exist.
    #[error("{kind} {name:?}: does not exist, so it cannot be removed")]
    Missing {
        /// `service` or `team`.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A field is out of its range.
    #[error("{name}.{field}: {value} given, from {least} to {most} allowed")]
    Range {
        /// Service or team.
        name: String,
        /// The field.
        field: &'static str,
        /// The value given.
        value: u64,
        /// Least value allowed.
        least: u64,
        /// Greatest value allowed.
        most: u64,
    },
}

/// Follows the configuration; never goes back to an older version.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationStore {
    current: Configuration,
    recent: VecDeque<Name>,
    refused: VecDeque<Name>,
    next_offset: u64,
    gap: Option<Gap>,
    reached_end: bool,
    snapshot_seen_at_ms: Option<u64>,
}

/// Part of the log was forgotten before this process read it. What it held is
/// unknown, so later changes wait for a snapshot.
#[derive(Clone, Debug)]
struct Gap {
    /// The configuration takes all records before this offset into account.
    covered_offset: u64,
    /// From this offset on all changes are held.
    held_from: u64,
    changes: BTreeMap<u64, Change>,
}

impl ConfigurationStore {
    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// The first log offset that was not read yet.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Whether a gap in the log keeps changes from being applied.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// When a snapshot was last read that was written after this process had
    /// reached the end of the log; the age of earlier ones is not known.
    #[must_use]
    pub fn snapshot_seen_at_ms(&self) -> Option<u64> {
        self.snapshot_seen_at_ms
    }

    /// What became of a change, as far as this process has read.
    #[must_use]
    pub fn outcome(&self, change_id: &Name) -> ChangeOutcome {
        if self.recent.contains(change_id) {
            ChangeOutcome::Accepted
        } else if self.refused.contains(change_id) {
            ChangeOutcome::Conflict
        } else {
            ChangeOutcome::Unseen
        }
    }

    /// Whether the change that was made on `base_version` is still remembered,
    /// or none was made on it so far.
    #[must_use]
    pub fn remembers(&self, base_version: u64) -> bool {
        base_version + self.recent.len() as u64 >= self.current.version
    }

    /// The configuration for a process that has an older one.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            configuration: self.current.clone(),
            recent_changes: self.recent.iter().cloned().collect(),
            next_offset: self
                .gap
                .as_ref()
                .map_or(self.next_offset, |gap| gap.covered_offset),
        }
    }

    /// Takes in a page of the log.
    pub fn read(&mut self, now_ms: u64, page: LogPage) {
        if page.oldest_offset > self.next_offset {
            self.open_gap(page.oldest_offset);
        }
        for logged in page.records {
            if logged.offset < self.next_offset {
                continue;
            }
            self.next_offset = logged.offset + 1;
            match logged.record {
                Some(LogRecord::Change(change)) => self.read_change(logged.offset, change),
                Some(LogRecord::Snapshot(snapshot)) => {
                    if self.reached_end {
                        self.snapshot_seen_at_ms = Some(now_ms);
                    }
                    self.apply_snapshot(&snapshot);
                }
                None => {}
            }
        }
        self.next_offset = self.next_offset.max(page.next_offset);
        self.reached_end |= page.at_end;
    }

    /// Takes in the configuration of another process, if it is newer.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let is_newer = snapshot.configuration.version > self.current.version;
        if is_newer {
            self.apply_snapshot(snapshot);
        }
        is_newer
    }

    /// Works out what an intent would change.
    ///
    /// # Errors
    ///
    /// [`PlanError`] names the operation or field that is not allowed.
    pub fn plan(&self, change_id: Name, operations: Vec<Operation>) -> Result<Plan, PlanError> {
        if operations.is_empty() || operations.len() > MAX_OPERATIONS {
            return Err(PlanError::OperationCount {
                count: operations.len(),
            });
        }
        check_name(&change_id)?;
        let mut planned = self.current.clone();
        let mut effects = Vec::with_capacity(operations.len());
        for operation in &operations {
            check(operation, &planned)?;
            effects.push(effect(operation, &planned));
            apply(operation, &mut planned);
        }
        let base_version = self.current.version;
        Ok(Plan {
            change: Change {
                change_id,
                base_version,
                operations,
            },
            effects,
        })
    }

    fn open_gap(&mut self, oldest_offset: u64) {
        let covered_offset = self.snapshot().next_offset;
        let gap = Gap {
            covered_offset,
            held_from: oldest_offset,
            changes: BTreeMap::new(),
        };
        self.gap = Some(gap);
        self.next_offset = oldest_offset;
    }

    fn read_change(&mut self, offset: u64, change: Change) {
        match &mut self.gap {
            Some(gap) => {
                gap.changes.insert(offset, change);
            }
            None => self.apply_or_refuse(change),
        }
    }

    /// The first change on a version wins; all later ones on it are refused.
    fn apply_or_refuse(&mut self, change: Change) {
        if self.recent.contains(&change.change_id) {
            return;
        }
        if change.base_version != self.current.version {
            remember(&mut self.refused, change.change_id, REMEMBERED_REFUSALS);
            return;
        }
        for operation in &change.operations {
            apply(operation, &mut self.current);
        }
        self.current.version += 1;
        remember(&mut self.recent, change.change_id, REMEMBERED_CHANGES);
    }

    /// Takes in a snapshot that is not older, and closes the gap if it can.
    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        if snapshot.configuration.version < self.current.version {
            return;
        }
        if snapshot.configuration.version > self.current.version {
            self.current = snapshot.configuration.clone();
            self.recent = snapshot.recent_changes.iter().cloned().collect();
        }
        if snapshot.next_offset >= self.next_offset {
            self.next_offset = snapshot.next_offset;
            self.gap = None;
            return;
        }
        let Some(mut gap) = self.gap.take() else {
            return;
        };
        if snapshot.next_offset < gap.held_from {
            gap.covered_offset = gap.covered_offset.max(snapshot.next_offset);
            self.gap = Some(gap);
            return;
        }
        for (_, change) in gap.changes.split_off(&snapshot.next_offset) {
            self.apply_or_refuse(change);
        }
    }
}

fn remember(names: &mut VecDeque<Name>, name: Name, limit: usize) {
    if names.contains(&name) {
        return;
    }
    if names.len() == limit {
        names.pop_front();
    }
    names.push_back(name);
}

fn apply(operation: &Operation, configuration: &mut Configuration) {
    match operation {
        Operation::PutService { name, service } => {
            configuration.services.insert(name.clone(), service.clone());
        }
        Operation::RemoveService { name } => {
            configuration.services.remove(name);
        }
        Operation::PutTeam { name, team } => {
            configuration.teams.insert(name.clone(), team.clone());
        }
        Operation::RemoveTeam { name } => {
            configuration.teams.remove(name);
        }
    }
}

fn effect(operation: &Operation, configuration: &Configuration) -> String {
    match operation {
        Operation::PutService { name, service } => match configuration.services.get(name) {
            None => format!("create service {name}: {service:?}"),
            Some(old) if old == service => format!("service {name}: no change"),
            Some(old) => format!("change service {name}: {old:?} becomes {service:?}"),
        },
        Operation::RemoveService { name } => {
            format!("remove service {name}: its submissions will be refused")
        }
        Operation::PutTeam { name, team } => match configuration.teams.get(name) {
            None => format!("create team {name}: {team:?}"),
            Some(old) if old == team => format!("team {name}: no change"),
            Some(old) => format!("change team {name}: {old:?} becomes {team:?}"),
        },
        Operation::RemoveTeam { name } => {
            format!("remove team {name}: its submissions will be refused")
        }
    }
}

fn check(operation: &Operation, planned: &Configuration) -> Result<(), PlanError> {
    match operation {
        Operation::PutService { name, service } => {
            check_name(name)?;
            let most = u64::from(MAX_TASKS_PER_JOB);
            check_range(
                name,
                "max_tasks_per_job",
                service.max_tasks_per_job.into(),
                1,
                most,
            )?;
            let queued = service.max_queued_tasks.into();
            check_range(name, "max_queued_tasks", queued, 1, 1_000_000)?;
            check_range(name, "max_homes", service.max_homes.into(), 1, 64)
        }
        Operation::PutTeam { name, team } => {
            check_name(name)?;
            check_range(name, "weight", team.weight.into(), 1, 1_000)?;
            check_range(
                name,
                "max_queued_tasks",
                team.max_queued_tasks.into(),
                1,
                1_000_000,
            )?;
            check_range(
                name,
                "max_running_tasks",
                team.max_running_tasks.into(),
                1,
                1_000_000,
            )
        }
        Operation::RemoveService { name } if !planned.services.contains_key(name) => {
            Err(PlanError::Missing {
                kind: "service",
                name: name.to_string(),
            })
        }
        Operation::RemoveTeam { name } if !planned.teams.contains_key(name) => {
            Err(PlanError::Missing {
                kind: "team",
                name: name.to_string(),
            })
        }
        Operation::RemoveService { .. } | Operation::RemoveTeam { .. } => Ok(()),
    }
}

fn check_name(name: &str) -> Result<(), PlanError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(PlanError::Name {
            name: name.chars().take(80).collect(),
        });
    }
    Ok(())
}

fn check_range(
    name: &str,
    field: &'static str,
    value: u64,
    least: u64,
    most: u64,
) -> Result<(), PlanError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(PlanError::Range {
        name: name.to_string(),
        field,
        value,
        least,
        most,
    })
}
