//! Resources that tasks need and minions have.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An amount of resources of a minion: what a task needs, the capacity, or what is free.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

// Log lines keep the former name of the type, `Room`, so that their format stays the same.
impl fmt::Debug for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Room")
            .field("cpu_milli", &self.cpu_milli)
            .field("memory_mb", &self.memory_mb)
            .field("accelerators", &self.accelerators)
            .finish()
    }
}

impl Resources {
    /// More than any minion has.
    pub(crate) const ALL: Self = Self {
        cpu_milli: u32::MAX,
        memory_mb: u32::MAX,
        accelerators: u32::MAX,
    };

    /// Returns whether `need` fits into these resources.
    #[must_use]
    pub fn can_fit(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Returns what is left of each resource after `need`, at least zero.
    #[must_use]
    pub fn minus(&self, need: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(need.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(need.memory_mb),
            accelerators: self.accelerators.saturating_sub(need.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the sum of each resource.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
