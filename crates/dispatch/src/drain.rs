//! How much work of a service an entry got started of late, and whether it has
//! had to refuse jobs for a while.

/// Time constant in milliseconds: a few rounds of sub-second tasks.
const MEMORY_MS: f64 = 400.0;
/// Least rate that is reckoned with, in thousandths of a core: with one task
/// of half a core at a time.
pub(crate) const LEAST_RATE: f64 = 500.0;

/// Started work, fading with time.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    work: f64,
    updated_ms: u64,
}

impl Drain {
    /// Notes work that started: expected time by thousandths of a core.
    pub(crate) fn add(&mut self, now_ms: u64, work: f64) {
        self.decay(now_ms);
        self.work += work;
    }

    /// Brings the sum up to the present.
    pub(crate) fn decay(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.work *= (-pause_ms / MEMORY_MS).exp();
        self.updated_ms = now_ms;
    }

    /// Thousandths of a core that were put to work.
    pub(crate) fn rate(&self) -> f64 {
        self.work / MEMORY_MS
    }
}

/// Pause between refusals after which an overload counts as over, in
/// milliseconds.
const PRESSURE_GAP_MS: u64 = 300;
/// Time from which an overload counts as lasting, in milliseconds: longer than
/// the loss of a host or of all connections takes to be made up for.
const LASTING_MS: u64 = 1_500;

/// For how long jobs have been refused for want of room.
#[derive(Debug, Default)]
pub(crate) struct Pressure {
    since_ms: u64,
    refused_ms: u64,
}

impl Pressure {
    /// Notes a refusal.
    pub(crate) fn refused(&mut self, now_ms: u64) {
        if now_ms > self.refused_ms + PRESSURE_GAP_MS {
            self.since_ms = now_ms;
        }
        self.refused_ms = now_ms;
    }

    /// Whether refusals have gone on for a while.
    pub(crate) fn is_lasting(&self, now_ms: u64) -> bool {
        let is_present = now_ms <= self.refused_ms + PRESSURE_GAP_MS;
        is_present && now_ms >= self.since_ms + LASTING_MS
    }
}

/// The load of one service, as an entry sees it.
#[derive(Debug, Default)]
pub(crate) struct ServiceLoad {
    pub(crate) drain: Drain,
    pub(crate) pressure: Pressure,
}
