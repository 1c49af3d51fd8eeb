//! Selection of the seeds that a test plays.

use std::ops::Range;

/// Returns the seeds that once failed, followed by the range that every test run
/// plays or, if it is set, the range in `GANNETVANE_SEEDS=from..to`.
pub fn seeds(usual: Range<u64>, regressions: &[u64]) -> Vec<u64> {
    let named = std::env::var("GANNETVANE_SEEDS").ok();
    let named = named.and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let chosen = named.unwrap_or(usual);
    regressions.iter().copied().chain(chosen).collect()
}
