//! Late binding at an agent: entries whose tasks found no resources send probes, and
//! resources that become free are offered to the entry with the most urgent probe.
//!
//! The load pattern that it handles: a fleet that is full or nearly so, in which each
//! of many entries seldom learns of free resources. Without offers, resources go to the
//! entry that happens to learn of them, and more jobs are late.

use crate::LinkId;
use crate::Probe;
use crate::Resources;

/// Time for which an entry may use an offer, in milliseconds: two messages between
/// availability zones and a slow process.
const OFFER_TTL_MS: u64 = 10;
/// Time for which a probe is valid, in milliseconds. An entry whose task still waits
/// sends probes to other agents after that, so a lost probe does little harm.
pub(crate) const PROBE_TTL_MS: u64 = 60;

/// Probes that wait for resources, and offers that wait for a start.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    waiting: Vec<WaitingProbe>,
    open: Vec<Offer>,
    /// Entry for which everything is reserved, and the time until then, in milliseconds.
    reserved_for: Option<(LinkId, u64)>,
}

/// Tasks of an entry that would start here if there were free resources.
#[derive(Clone, Copy, Debug)]
struct WaitingProbe {
    link: LinkId,
    needs: Resources,
    tasks: u32,
    /// When the tasks should have started; the earliest is the most urgent.
    due_ms: u64,
    valid_until_ms: u64,
}

impl WaitingProbe {
    /// Returns resources for as many of the tasks as fit into `free`, and removes these
    /// tasks from the probe.
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

/// Resources that are reserved for one entry.
#[derive(Clone, Copy, Debug)]
struct Offer {
    link: LinkId,
    resources: Resources,
    valid_until_ms: u64,
}

impl Offers {
    /// Adds a probe of an entry whose tasks wait for resources.
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

    /// Reserves everything that is free or becomes free for an entry, unless another one
    /// has that already.
    pub(crate) fn reserve_all(&mut self, now_ms: u64, link: LinkId) {
        let is_others = |(other, until_ms): (LinkId, u64)| other != link && now_ms < until_ms;
        if !self.reserved_for.is_some_and(is_others) {
            self.reserved_for = Some((link, now_ms + PROBE_TTL_MS));
        }
    }

    /// Removes the offer of an entry that used or declined it.
    pub(crate) fn close(&mut self, link: LinkId) {
        self.open.retain(|offer| offer.link != link);
        self.reserved_for.take_if(|(reserved, _)| *reserved == link);
    }

    /// Removes the probes and the offer of an entry.
    pub(crate) fn forget(&mut self, link: LinkId) {
        self.close(link);
        self.waiting.retain(|probe| probe.link != link);
    }

    /// Removes all probes and offers.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.open.clear();
        self.reserved_for = None;
    }

    /// Removes the probes and offers that have expired.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.open.retain(|offer| now_ms < offer.valid_until_ms);
        self.reserved_for
            .take_if(|(_, until_ms)| now_ms >= *until_ms);
        self.waiting.retain(|probe| now_ms < probe.valid_until_ms);
    }

    /// Offers free resources, to the most urgent probe first. Returns the links that
    /// got an offer.
    pub(crate) fn make_offers(&mut self, now_ms: u64, free: Resources) -> Vec<LinkId> {
        self.expire(now_ms);
        let mut unreserved = self
            .open
            .iter()
            .fold(free, |unreserved, offer| unreserved.minus(&offer.resources));
        let mut offered_to = Vec::new();
        if self.reserved_for.is_some() {
            return offered_to;
        }
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

    /// Resources that are reserved for other entries.
    pub(crate) fn reserved_for_others(&self, link: LinkId) -> Resources {
        if self
            .reserved_for
            .is_some_and(|(reserved, _)| reserved != link)
        {
            return Resources::ALL;
        }
        let others = self.open.iter().filter(|offer| offer.link != link);
        others.fold(Resources::default(), |sum, offer| {
            sum.plus(&offer.resources)
        })
    }

    /// When the first offer expires.
    pub(crate) fn due_ms(&self) -> Option<u64> {
        let open = self.open.iter().map(|offer| offer.valid_until_ms);
        let reserved = self.reserved_for.map(|(_, until_ms)| until_ms);
        open.chain(reserved).min()
    }
}
