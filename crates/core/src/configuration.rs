//! The configuration that results from the records of the platform's log, and
//! the plans that change it.

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

/// Number of applied changes whose ids are retained.
const RETAINED_CHANGES: usize = 256;
/// Number of refused changes whose ids are retained.
const RETAINED_REFUSALS: usize = 256;
/// Maximum number of operations in one change.
const MAX_OPERATIONS: usize = 256;
/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum value of a service's `max_tasks_per_job`.
const MAX_TASKS_PER_JOB: u16 = 1_024;

/// A record and its offset in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The record; `None` if this version cannot read it.
    pub record: Option<LogRecord>,
}

/// A page of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest offset that the log still retains.
    pub oldest_offset: u64,
    /// The offset after the last record of this page.
    pub next_offset: u64,
    /// Whether the page reaches the end of the log.
    pub at_end: bool,
    /// The records, in order.
    pub records: Vec<LoggedRecord>,
}

/// The outcome of a change, as far as a process has read the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is part of the configuration.
    Accepted,
    /// The change was refused, because another change on the same version came
    /// first.
    Conflict,
    /// The change has not been read from the log yet.
    Unseen,
}

/// The change that an intent leads to, and its effects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The change for the operator to confirm.
    pub change: Change,
    /// One line of text for each effect.
    pub effects: Vec<String>,
}

/// The reason why an intent cannot be planned.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The intent has no operations or too many.
    #[error("operations: {count} given, from 1 to {MAX_OPERATIONS} allowed")]
    OperationCount {
        /// Number of operations given.
        count: usize,
    },
    /// A name is empty, is too long or contains characters that are not
    /// allowed.
    #[error(
        "name {name:?}: from 1 to {MAX_NAME_BYTES} of the characters a-z, 0-9, '-', '_' and '.' allowed"
    )]
    Name {
        /// The name.
        name: String,
    },
    /// The service or team to remove does not exist.
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
        /// Name of the service or team.
        name: String,
        /// Name of the field.
        field: &'static str,
        /// The value given.
        value: u64,
        /// Minimum value allowed.
        least: u64,
        /// Maximum value allowed.
        most: u64,
    },
}

/// The configuration of one process. It never returns to an older version.
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

/// A part of the log that was deleted before this process read it. Its records
/// are unknown, so later changes wait for a snapshot.
#[derive(Clone, Debug)]
struct Gap {
    /// The configuration includes all records before this offset.
    covered_offset: u64,
    /// Changes from this offset on are held back.
    held_from: u64,
    changes: BTreeMap<u64, Change>,
}

impl ConfigurationStore {
    /// Returns the configuration that this process applies.
    #[must_use]
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// Returns the first log offset that has not been read yet.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether a gap in the log prevents changes from being applied.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns the time at which a snapshot was last read that was written
    /// after this process had reached the end of the log. The age of earlier
    /// snapshots is not known.
    #[must_use]
    pub fn snapshot_seen_at_ms(&self) -> Option<u64> {
        self.snapshot_seen_at_ms
    }

    /// Returns the outcome of a change, as far as this process has read the
    /// log.
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

    /// Returns whether the id of the change that was made on `base_version` is
    /// still retained, or no change has been made on it yet.
    #[must_use]
    pub fn remembers(&self, base_version: u64) -> bool {
        base_version + self.recent.len() as u64 >= self.current.version
    }

    /// Returns a snapshot of the configuration for a process with an older one.
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

    /// Applies a page of the log.
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

    /// Adopts the configuration of another process if it is newer; returns
    /// whether it was.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let is_newer = snapshot.configuration.version > self.current.version;
        if is_newer {
            self.apply_snapshot(snapshot);
        }
        is_newer
    }

    /// Plans the change that an intent leads to.
    ///
    /// # Errors
    ///
    /// Returns a [`PlanError`] that names the operation or field that is not
    /// allowed.
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

    /// Records that the log was deleted up to `oldest_offset` before it was
    /// read.
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

    /// Applies a change if it is the first one on the current version, and
    /// refuses it otherwise. A change that has been applied already is ignored.
    fn apply_or_refuse(&mut self, change: Change) {
        if self.recent.contains(&change.change_id) {
            return;
        }
        if change.base_version != self.current.version {
            push_bounded(&mut self.refused, change.change_id, RETAINED_REFUSALS);
            return;
        }
        for operation in &change.operations {
            apply(operation, &mut self.current);
        }
        self.current.version += 1;
        push_bounded(&mut self.recent, change.change_id, RETAINED_CHANGES);
    }

    /// Applies a snapshot that is not older than the configuration. If the
    /// snapshot covers the gap, closes it and processes the changes held back.
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

fn push_bounded(names: &mut VecDeque<Name>, name: Name, limit: usize) {
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

/// Returns the line that describes the effect of an operation.
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
