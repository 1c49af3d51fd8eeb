//! Ends of stored tasks that the minion must still keep.
//!
//! A minion forgets an end that was acknowledged, and the platform then counts
//! it: the task may not run again. So an end is acknowledged only when the owner
//! of its job has recorded it. While there is no owner, the end is kept and
//! offered to all entries. One that nobody takes, or whose task was started
//! anew, is acknowledged after the minion's lease has lapsed once, since it does
//! not count then.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Agent;
use crate::Disposition;
use crate::EndedRun;
use crate::LinkId;
use crate::MINION_LEASE_MS;
use crate::Report;
use crate::RetainedEnd;
use crate::RunEnd;
use crate::stored::RUNS_PER_EPOCH;

/// Time for which an end is offered, in milliseconds: the store gives a lost
/// owner's partitions away after 1.2 s, and the next owner starts tasks anew
/// 2.7 s after that.
const RETAINED_END_TTL_MS: u64 = 6_000;

/// Ends, by their number in the minion's lifetime.
#[derive(Debug)]
pub(crate) struct RetainedEnds {
    /// Ends that an entry was told and has not settled yet.
    told: BTreeMap<u64, (LinkId, RetainedEnd)>,
    /// Ends that wait for an owner, and until when.
    kept: BTreeMap<u64, (RetainedEnd, u64)>,
    /// Ends that nobody will record.
    disowned: BTreeSet<u64>,
    /// When a lease that an earlier agent asked for is over.
    inherited_until_ms: u64,
}

impl RetainedEnds {
    /// None yet, on a minion that an earlier agent may have kept until now.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            told: BTreeMap::new(),
            kept: BTreeMap::new(),
            disowned: BTreeSet::new(),
            inherited_until_ms: now_ms + MINION_LEASE_MS + MINION_LEASE_MS / 50,
        }
    }

    /// A call that was meant for an earlier life, with a time on its clock, was
    /// carried out until now at the latest: the lease may be as long as any.
    pub(crate) fn inherit_lease(&mut self, now_ms: u64, longest_ms: u64) {
        self.inherited_until_ms = now_ms + longest_ms + longest_ms / 50;
    }

    /// An end was told to the entry at a link.
    pub(crate) fn tell(&mut self, link: LinkId, end: RetainedEnd) {
        self.told.insert(end.number, (link, end));
    }

    /// An end waits for an owner.
    pub(crate) fn keep(&mut self, now_ms: u64, end: RetainedEnd) {
        self.kept
            .insert(end.number, (end, now_ms + RETAINED_END_TTL_MS));
    }

    /// A link is gone: what was told there waits for an owner.
    fn keep_told(&mut self, now_ms: u64, link: LinkId) -> Vec<RetainedEnd> {
        let gone = self.told.values().filter(|(told, _)| *told == link);
        let gone: Vec<RetainedEnd> = gone.map(|(_, end)| end.clone()).collect();
        for end in &gone {
            self.told.remove(&end.number);
            self.keep(now_ms, end.clone());
        }
        gone
    }

    /// An entry settled an end; the end if it waits for another owner now.
    fn dispose(
        &mut self,
        now_ms: u64,
        number: u64,
        disposition: Disposition,
    ) -> Option<RetainedEnd> {
        let told = self.told.remove(&number).map(|(_, end)| end);
        let kept = self.kept.remove(&number).map(|(end, _)| end);
        let end = told.or(kept)?;
        match disposition {
            Disposition::Recorded => None,
            Disposition::Superseded => {
                self.disowned.insert(number);
                None
            }
            Disposition::NotOwner => {
                self.keep(now_ms, end.clone());
                Some(end)
            }
        }
    }

    /// Ends that wait for an owner.
    pub(crate) fn offered(&self) -> Vec<RetainedEnd> {
        self.kept.values().map(|(end, _)| end.clone()).collect()
    }

    /// Whether an entry was told an end that it has not settled.
    pub(crate) fn awaits(&self, link: LinkId) -> bool {
        self.told.values().any(|(told, _)| *told == link)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.told.is_empty() && self.kept.is_empty() && self.disowned.is_empty()
    }

    /// The last end up to which all may be acknowledged, of those listed.
    pub(crate) fn acknowledgeable(&self, listed_through: u64) -> u64 {
        let told = self.told.keys().next();
        let kept = self.kept.keys().next();
        let disowned = self.disowned.first();
        let first = [told, kept, disowned].into_iter().flatten().min();
        first.map_or(listed_through, |first| first - 1)
    }

    /// Whether the lease must lapse before ends can be acknowledged.
    pub(crate) fn needs_lapse(&self) -> bool {
        !self.disowned.is_empty()
    }

    /// When the lease has lapsed, if it must, or an end is given up.
    pub(crate) fn due_ms(&self, lease_until_ms: u64) -> Option<u64> {
        let lapsed_ms = self.lapsed_ms(lease_until_ms);
        let lapsed_ms = self.needs_lapse().then_some(lapsed_ms);
        let kept_ms = self.kept.values().map(|(_, until_ms)| *until_ms).min();
        lapsed_ms.into_iter().chain(kept_ms).min()
    }

    fn lapsed_ms(&self, lease_until_ms: u64) -> u64 {
        lease_until_ms.max(self.inherited_until_ms) + 1
    }

    /// Gives up what nobody took, and lets go what a lapse freed; how many of
    /// each.
    fn expire(&mut self, now_ms: u64, lease_until_ms: u64) -> (usize, usize) {
        let mut freed = 0;
        if self.needs_lapse() && now_ms >= self.lapsed_ms(lease_until_ms) {
            freed = self.disowned.len();
            self.disowned.clear();
        }
        let over = self
            .kept
            .iter()
            .filter(|(_, (_, until_ms))| now_ms >= *until_ms);
        let over: Vec<u64> = over.map(|(number, _)| *number).collect();
        for number in &over {
            self.kept.remove(number);
            self.disowned.insert(*number);
        }
        (over.len(), freed)
    }
}

/// The end, if it counts for a stored task.
pub(crate) fn stored_end(ended: &EndedRun) -> Option<RetainedEnd> {
    let key = ended.key.as_ref()?;
    let is_counted = matches!(ended.end, RunEnd::Done | RunEnd::Failed);
    let is_stored = key.run >= RUNS_PER_EPOCH && is_counted;
    is_stored.then(|| RetainedEnd {
        number: ended.number,
        task: key.task.clone(),
        run: key.run,
        is_done: ended.end == RunEnd::Done,
    })
}

impl Agent {
    /// The entry at a link settled an end.
    pub(crate) fn apply_disposition(&mut self, now_ms: u64, number: u64, disposition: Disposition) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        let offered = minion.retained_ends.dispose(now_ms, number, disposition);
        self.offer(offered.into_iter().collect());
    }

    /// A link is gone, and with it the one who would record what was told there.
    pub(crate) fn keep_ends(&mut self, now_ms: u64, link: LinkId) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        let offered = minion.retained_ends.keep_told(now_ms, link);
        self.offer(offered);
    }

    /// Offers ends to all entries.
    pub(crate) fn offer(&mut self, ends: Vec<RetainedEnd>) {
        if ends.is_empty() {
            return;
        }
        let detail = format!("ends={}", ends.len());
        self.event("ends-offered", None, detail);
        self.report_to_all(&Report::RetainedEnds(ends));
    }

    /// Gives up ends that nobody took, and notes that the lease lapsed.
    pub(crate) fn watch_ends(&mut self, now_ms: u64) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        let lease_until_ms = minion.lease_until_ms;
        let (given_up, freed) = minion.retained_ends.expire(now_ms, lease_until_ms);
        if given_up + freed > 0 {
            let detail = format!("given_up={given_up} freed={freed}");
            self.event("ends-disowned", None, detail);
        }
    }
}
