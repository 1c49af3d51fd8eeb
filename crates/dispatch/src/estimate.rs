//! Learned run times of queues and speeds of minions.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

/// Weight of one observation in a queue's factor.
const QUEUE_WEIGHT: f64 = 0.02;
/// Weight of one observation in a minion's factor.
const MINION_WEIGHT: f64 = 0.06;
/// Bounds of one observation; beyond them it says more of the declaration.
const OBSERVED: (f64, f64) = (0.25, 4.0);
/// Bounds of a learned factor.
const LEARNED: (f64, f64) = (0.3, 6.0);

/// How true declared run times are, for each queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    queues: BTreeMap<Name, f64>,
}

impl Estimates {
    /// Expected run time on a minion of ordinary speed, in milliseconds.
    pub(crate) fn expected_ms(&self, queue: &Name, declared_ms: u64) -> f64 {
        let factor = self.queues.get(queue).copied().unwrap_or(1.0);
        declared_ms.max(1) as f64 * factor
    }

    /// Learns from a run that was done; returns the new factor of the minion.
    pub(crate) fn observe(
        &mut self,
        queue: &Name,
        declared_ms: u64,
        ran_ms: u32,
        slowness: f64,
    ) -> f64 {
        let expected_ms = self.expected_ms(queue, declared_ms) * slowness;
        let observed = f64::from(ran_ms.max(1)) / expected_ms;
        let observed = observed.clamp(OBSERVED.0, OBSERVED.1);
        let factor = self.queues.entry(queue.clone()).or_insert(1.0);
        *factor = learn(*factor, observed, QUEUE_WEIGHT);
        learn(slowness, observed, MINION_WEIGHT)
    }
}

fn learn(factor: f64, observed: f64, weight: f64) -> f64 {
    (factor * (1.0 + weight * (observed - 1.0))).clamp(LEARNED.0, LEARNED.1)
}
