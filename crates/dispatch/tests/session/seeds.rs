//! Which seeds a test plays.

use std::ops::Range;

/// Seeds that once failed, then those that every run plays, or the ones that
/// `GANNETVANE_SEEDS=from..to` names.
pub fn seeds(usual: Range<u64>, regressions: &[u64]) -> Vec<u64> {
    let named = std::env::var("GANNETVANE_SEEDS").ok();
    let named = named.and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let chosen = named.unwrap_or(usual);
    regressions.iter().copied().chain(chosen).collect()
}
