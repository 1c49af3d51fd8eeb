//! Late binding at an agent: entries whose tasks found no room leave probes,
//! and room that comes up is offered to the entry with the most urgent one.
//!
//! The load pattern it answers: a fleet that is full or nearly so, in which each
//! of many entries hears of room seldom. Without offers, room goes to whoever
//! happens to hear of it, and more jobs are late.

use crate::LinkId;
use crate::Probe;
use crate::Resources;

/// Time for which an entry may use an offer, in milliseconds: two messages
/// between availability zones and a slow process.
const OFFER_TTL_MS: u64 = 10;
/// Time for which a probe counts, in milliseconds. An entry whose task still
/// waits probes other agents after that, so a lost probe does little harm.
pub(crate) const PROBE_TTL_MS: u64 = 60;

/// Probes that wait for room, and offers that wait for a start.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    waiting: Vec<WaitingProbe>,
    open: Vec<Offer>,
}

/// Tasks that would start here if there were room.
#[derive(Clone, Copy, Debug)]
struct WaitingProbe {
    link: LinkId,
    needs: Resources,
    tasks: u32,
    due_ms: u64,
    valid_until_ms: u64,
}

impl WaitingProbe {
    /// Room for as many of the tasks as fit, which are then served.
    fn reserve(&mut self, mut free: Resources) -> Resources {
        let mut reserved = Resources::default();
        while self.tasks > 0 && free.can_fit(&self.needs) {
            free = free.minus(&self.needs);
            reserved = reserved.plus(&self.needs);
            self.tasks -= 1;
        }
        reserved
    }
}

/// Room that is kept for one entry.
#[derive(Clone, Copy, Debug)]
struct Offer {
    link: LinkId,
    resources: Resources,
    valid_until_ms: u64,
}

impl Offers {
    /// Tasks of an entry wait for room.
    pub(crate) fn add_probe(&mut self, now_ms: u64, link: LinkId, probe: &Probe) {
        self.waiting.push(WaitingProbe {
            link,
            needs: probe.needs,
            tasks: probe.tasks,
            due_ms: now_ms + u64::from(probe.slack_ms),
            valid_until_ms: now_ms + PROBE_TTL_MS,
        });
        self.waiting.sort_by_key(|probe| probe.due_ms);
    }

    /// An entry used its offer, or has no use for it.
    pub(crate) fn close(&mut self, link: LinkId) {
        self.open.retain(|offer| offer.link != link);
    }

    /// Forgets an entry.
    pub(crate) fn forget(&mut self, link: LinkId) {
        self.close(link);
        self.waiting.retain(|probe| probe.link != link);
    }

    /// Forgets all entries.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.open.clear();
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.open.retain(|offer| now_ms < offer.valid_until_ms);
        self.waiting.retain(|probe| now_ms < probe.valid_until_ms);
    }

    /// Offers free room, the most urgent probe first; returns whom to tell.
    pub(crate) fn make_offers(&mut self, now_ms: u64, free: Resources) -> Vec<LinkId> {
        self.expire(now_ms);
        let mut unreserved = self
            .open
            .iter()
            .fold(free, |unreserved, offer| unreserved.minus(&offer.resources));
        let mut offered_to = Vec::new();
        for probe in &mut self.waiting {
            if self.open.iter().any(|offer| offer.link == probe.link) {
                continue;
            }
            let resources = probe.reserve(unreserved);
            if resources == Resources::default() {
                continue;
            }
            unreserved = unreserved.minus(&resources);
            self.open.push(Offer {
                link: probe.link,
                resources,
                valid_until_ms: now_ms + OFFER_TTL_MS,
            });
            offered_to.push(probe.link);
        }
        self.waiting.retain(|probe| probe.tasks > 0);
        offered_to
    }

    /// Room that is kept for other entries.
    pub(crate) fn reserved_for_others(&self, link: LinkId) -> Resources {
        let others = self.open.iter().filter(|offer| offer.link != link);
        others.fold(Resources::default(), |sum, offer| {
            sum.plus(&offer.resources)
        })
    }

    /// When the first offer ends.
    pub(crate) fn due_ms(&self) -> Option<u64> {
        self.open.iter().map(|offer| offer.valid_until_ms).min()
    }
}
