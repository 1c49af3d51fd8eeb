//! Ends of stored tasks that the minion must still retain.
//!
//! A minion forgets an end that was acknowledged, and the platform then counts it: the
//! task may not run again. So an end is acknowledged only when the owner of its job has
//! recorded it. While there is no owner, the end is retained and reported to all
//! entries. An end that no owner records, or whose task was started again, is
//! acknowledged after the minion's lease has lapsed once, because it does not count
//! then.

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
use crate::lease::longest_ms;
use crate::stored::RUNS_PER_EPOCH;

/// Time for which an end waits for an owner, in milliseconds: the store gives a lost
/// owner's partitions away after 1.2 s, and the next owner starts tasks again 2.7 s
/// after that.
const RETAINED_END_TTL_MS: u64 = 6_000;

/// The ends that one incarnation of the minion must retain, by their number.
#[derive(Debug)]
pub(crate) struct RetainedEnds {
    /// Ends that were reported to one entry, with its link, and have no disposition
    /// yet.
    reported: BTreeMap<u64, (LinkId, RetainedEnd)>,
    /// Ends that wait for an owner, each with the time until which it waits.
    unowned: BTreeMap<u64, (RetainedEnd, u64)>,
    /// Ends that no owner will record; they wait for the lease to lapse.
    discarded: BTreeSet<u64>,
    /// When a lease that an earlier agent requested is over, on the agent's clock.
    inherited_lease_until_ms: u64,
}

impl RetainedEnds {
    /// Creates the state without ends, for a minion whose lease an earlier agent may
    /// have extended until now.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            reported: BTreeMap::new(),
            unowned: BTreeMap::new(),
            discarded: BTreeSet::new(),
            inherited_lease_until_ms: now_ms + longest_ms(MINION_LEASE_MS),
        }
    }

    /// Records that a call which was meant for an earlier incarnation may have extended
    /// the lease until now. The call gives the end of the lease on the earlier
    /// incarnation's clock, so the lease may be as long as the minion ever grants.
    pub(crate) fn inherit_lease(&mut self, now_ms: u64, max_lease_ms: u64) {
        self.inherited_lease_until_ms = now_ms + longest_ms(max_lease_ms);
    }

    /// Records that the report of an end was sent to the entry of a link.
    pub(crate) fn report_sent(&mut self, link: LinkId, end: RetainedEnd) {
        self.reported.insert(end.number, (link, end));
    }

    /// Records that an end waits for an owner.
    pub(crate) fn mark_unowned(&mut self, now_ms: u64, end: RetainedEnd) {
        self.unowned
            .insert(end.number, (end, now_ms + RETAINED_END_TTL_MS));
    }

    /// Makes the ends that were reported on a closed link wait for an owner, and
    /// returns them.
    fn reclaim_from(&mut self, now_ms: u64, link: LinkId) -> Vec<RetainedEnd> {
        let reclaimed = self
            .reported
            .values()
            .filter(|(reported_to, _)| *reported_to == link);
        let reclaimed: Vec<RetainedEnd> = reclaimed.map(|(_, end)| end.clone()).collect();
        for end in &reclaimed {
            self.reported.remove(&end.number);
            self.mark_unowned(now_ms, end.clone());
        }
        reclaimed
    }

    /// Applies the disposition of an end. Returns the end if it now waits for another
    /// owner.
    fn dispose(
        &mut self,
        now_ms: u64,
        number: u64,
        disposition: Disposition,
    ) -> Option<RetainedEnd> {
        let reported = self.reported.remove(&number).map(|(_, end)| end);
        let unowned = self.unowned.remove(&number).map(|(end, _)| end);
        let end = reported.or(unowned)?;
        match disposition {
            Disposition::Recorded => None,
            Disposition::Superseded => {
                self.discarded.insert(number);
                None
            }
            Disposition::NotOwner => {
                self.mark_unowned(now_ms, end.clone());
                Some(end)
            }
        }
    }

    /// Ends that wait for an owner.
    pub(crate) fn unowned(&self) -> Vec<RetainedEnd> {
        self.unowned.values().map(|(end, _)| end.clone()).collect()
    }

    /// Whether an end was reported on a link and has no disposition yet.
    pub(crate) fn has_reported_to(&self, link: LinkId) -> bool {
        self.reported
            .values()
            .any(|(reported_to, _)| *reported_to == link)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.reported.is_empty() && self.unowned.is_empty() && self.discarded.is_empty()
    }

    /// Number of the last end up to which all may be acknowledged, of the ends up to
    /// `listed_through`.
    pub(crate) fn acknowledgeable_through(&self, listed_through: u64) -> u64 {
        let reported = self.reported.keys().next();
        let unowned = self.unowned.keys().next();
        let discarded = self.discarded.first();
        let first = [reported, unowned, discarded].into_iter().flatten().min();
        first.map_or(listed_through, |first| first - 1)
    }

    /// Whether the lease must lapse before ends can be acknowledged.
    pub(crate) fn needs_lease_lapse(&self) -> bool {
        !self.discarded.is_empty()
    }

    /// When the lease has lapsed, if it must, or an end has waited too long for an
    /// owner.
    pub(crate) fn due_ms(&self, lease_until_ms: u64) -> Option<u64> {
        let lease_lapsed_ms = self.lease_lapsed_ms(lease_until_ms);
        let lease_lapsed_ms = self.needs_lease_lapse().then_some(lease_lapsed_ms);
        let unowned_until_ms = self.unowned.values().map(|(_, until_ms)| *until_ms).min();
        lease_lapsed_ms.into_iter().chain(unowned_until_ms).min()
    }

    /// When the lease has lapsed, including one that an earlier agent requested.
    fn lease_lapsed_ms(&self, lease_until_ms: u64) -> u64 {
        lease_until_ms.max(self.inherited_lease_until_ms) + 1
    }

    /// Discards ends that have waited too long for an owner, and releases discarded
    /// ends once the lease has lapsed. Returns the number of each.
    fn expire(&mut self, now_ms: u64, lease_until_ms: u64) -> (usize, usize) {
        let mut freed = 0;
        if self.needs_lease_lapse() && now_ms >= self.lease_lapsed_ms(lease_until_ms) {
            freed = self.discarded.len();
            self.discarded.clear();
        }
        let expired = self
            .unowned
            .iter()
            .filter(|(_, (_, until_ms))| now_ms >= *until_ms);
        let expired: Vec<u64> = expired.map(|(number, _)| *number).collect();
        for number in &expired {
            self.unowned.remove(number);
            self.discarded.insert(*number);
        }
        (expired.len(), freed)
    }
}

/// The end that the minion must retain, if the end counts for a stored task.
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
    /// Applies the disposition of an end that an entry sent.
    pub(crate) fn apply_disposition(&mut self, now_ms: u64, number: u64, disposition: Disposition) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        let needed_lapse = minion.retained_ends.needs_lease_lapse();
        let unowned = minion.retained_ends.dispose(now_ms, number, disposition);
        self.log_lease_lapse(now_ms, needed_lapse);
        self.report_unowned_ends(unowned.into_iter().collect());
    }

    /// Makes the ends that were reported on a closed link wait for another owner, since
    /// their entry cannot send a disposition any more.
    pub(crate) fn reclaim_ends_of_link(&mut self, now_ms: u64, link: LinkId) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        let unowned = minion.retained_ends.reclaim_from(now_ms, link);
        self.report_unowned_ends(unowned);
    }

    /// Reports ends that wait for an owner to all entries.
    pub(crate) fn report_unowned_ends(&mut self, ends: Vec<RetainedEnd>) {
        if ends.is_empty() {
            return;
        }
        let detail = format!("ends={}", ends.len());
        self.event("ends-offered", None, detail);
        self.report_to_all(&Report::RetainedEnds(ends));
    }

    /// Discards ends that have waited too long for an owner, and logs these and the
    /// ends that a lapse of the lease released.
    pub(crate) fn expire_retained_ends(&mut self, now_ms: u64) {
        let Some(minion) = &mut self.minion else {
            return;
        };
        let lease_until_ms = minion.lease_until_ms;
        let needed_lapse = minion.retained_ends.needs_lease_lapse();
        let (given_up, freed) = minion.retained_ends.expire(now_ms, lease_until_ms);
        if given_up + freed > 0 {
            let detail = format!("given_up={given_up} freed={freed}");
            self.event("ends-disowned", None, detail);
        }
        self.log_lease_lapse(now_ms, needed_lapse && freed == 0);
    }

    /// Logs that the lease must lapse, unless it had to before: the minion gets no starts
    /// until then.
    fn log_lease_lapse(&mut self, now_ms: u64, needed_lapse: bool) {
        let Some(minion) = &self.minion else {
            return;
        };
        if needed_lapse || !minion.retained_ends.needs_lease_lapse() {
            return;
        }
        let lapsed_ms = minion.retained_ends.lease_lapsed_ms(minion.lease_until_ms);
        let wait_ms = lapsed_ms.saturating_sub(now_ms);
        self.event("lease-must-lapse", None, format!("wait_ms={wait_ms}"));
    }
}
