//! Load of an entry's network link, and the delay that one more copy of a spec causes on it.
//!
//! The load pattern that it answers: many callers at an entry with a narrow link. The spec of
//! a job goes to each host that runs a task of it. Orders that queue on the link arrive when
//! the resources that they were meant for are taken, so that tasks wait although others of
//! the same urgency start at once elsewhere.

use crate::policy::decaying_rate::DecayingRate;

/// Time constant of the measured load, in milliseconds: shorter than a short task, so that a
/// jump of the load is answered before it makes tasks late.
const LOAD_DECAY_MS: u64 = 50;
/// Bytes that the transport adds to each frame: headers of IP and TCP, and the length.
const FRAME_OVERHEAD_BYTES: usize = 60;
/// Bytes that a link of one megabit per second carries in a millisecond.
const BYTES_PER_MS_AND_MBPS: f64 = 125.0;
/// Largest utilization in estimates. Above it the delay depends on how long the overload
/// lasts more than on the utilization.
const MAX_UTILIZATION: f64 = 0.95;
/// Utilization from which the link counts as busy: frames wait on average for as long as
/// three others take to send.
const BUSY_UTILIZATION: f64 = 0.75;
/// Utilization below which a busy link counts as free again.
const FREE_UTILIZATION: f64 = 0.5;

/// The network link over which an entry sends.
#[derive(Debug, Default)]
pub struct Uplink {
    /// Rate of the link; `None` if it is unknown.
    bytes_per_ms: Option<f64>,
    sent_bytes: DecayingRate<LOAD_DECAY_MS>,
    is_busy: bool,
}

impl Uplink {
    /// Returns a link of this rate, in megabits per second. The default is a link of unknown
    /// rate, whose load counts as zero.
    #[must_use]
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_ms: Some(link_mbps * BYTES_PER_MS_AND_MBPS),
            ..Self::default()
        }
    }

    /// Notes that a frame of `bytes` bytes was sent.
    pub fn frame_sent(&mut self, now_ms: u64, bytes: usize) {
        let bytes = bytes + FRAME_OVERHEAD_BYTES;
        self.sent_bytes.add(now_ms, bytes as f64);
    }

    /// Returns the recent load as a fraction of the link's rate; 0 if the rate is not known.
    #[must_use]
    pub fn utilization(&self, now_ms: u64) -> f64 {
        let sent = self.sent_bytes.rate_at(now_ms);
        self.bytes_per_ms.map_or(0.0, |rate| sent / rate)
    }

    /// Returns whether the link has become busy, or free again, since the last call; `None` if
    /// neither.
    pub fn take_change(&mut self, now_ms: u64) -> Option<bool> {
        let utilization = self.utilization(now_ms);
        let limit = match self.is_busy {
            true => FREE_UTILIZATION,
            false => BUSY_UTILIZATION,
        };
        let is_busy = utilization >= limit;
        let is_change = is_busy != self.is_busy;
        self.is_busy = is_busy;
        is_change.then_some(is_busy)
    }

    /// Returns by how much another copy of a spec of `bytes` bytes delays the frames of this
    /// entry, in milliseconds: the time to send it, and the queue that it adds to, both of
    /// which grow with the inverse of the idle fraction of the link.
    #[must_use]
    pub fn copy_delay_ms(&self, now_ms: u64, bytes: usize) -> f64 {
        let idle = 1.0 - self.utilization(now_ms).min(MAX_UTILIZATION);
        self.bytes_per_ms
            .map_or(0.0, |rate| bytes as f64 / rate / (idle * idle))
    }
}
