//! What a task needs of a minion, and what a minion has.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An amount of a minion's resources.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

// Log lines keep the name `Room`.
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
    /// Whether `need` fits.
    #[must_use]
    pub fn can_fit(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// What is left after `need`; never below zero.
    #[must_use]
    pub fn minus(&self, need: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(need.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(need.memory_mb),
            accelerators: self.accelerators.saturating_sub(need.accelerators),
        }
    }

    /// The larger of each.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
