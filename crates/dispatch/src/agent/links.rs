//! The connections of an agent to entries: greeting, frames, reports, and what happens
//! to the runs of a closed connection.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::Agent;
use crate::AgentAction;
use crate::AgentFrame;
use crate::DelayedStart;
use crate::Demand;
use crate::KEEPALIVE_MS;
use crate::LinkId;
use crate::OrderId;
use crate::Report;
use crate::Resources;
use crate::RetainedEnd;
use crate::RunEnd;

/// Minimum interval between frames that only report changed free resources, in
/// milliseconds. These change about a hundred times a second at full load.
const FREE_UPDATE_INTERVAL_MS: u64 = 20;
/// Number of links up to which [`FREE_UPDATE_INTERVAL_MS`] applies. With more links the
/// interval grows, so that these frames cost an agent and its entries no more in a
/// larger fleet.
const ENTRIES_AT_FULL_RATE: u64 = 3;

/// Time for which an unused link that takes no more starts stays open, in milliseconds:
/// two keepalive intervals, so that the entry receives both keepalives.
const RETIRING_LINGER_MS: u64 = 200;

/// One connection to an entry.
#[derive(Debug)]
pub(crate) struct Link {
    addr: SocketAddr,
    /// End of the grant, on the agent's clock.
    pub(crate) grant_until_ms: u64,
    pub(crate) is_greeted: bool,
    /// Whether the link takes no more starts and is closed after its last run.
    pub(crate) is_retiring: bool,
    /// Number of start orders received on this link.
    pub(crate) starts_received: u64,
    /// Last time at which the link was not retiring, had a run or had a report to send.
    last_used_ms: u64,
    /// Reports for the next frame.
    reports: Vec<Report>,
    /// Delayed starts for the next frame.
    delayed_starts: Vec<DelayedStart>,
    pub(crate) last_sent_ms: u64,
    /// Free resources in the last frame.
    last_free: Resources,
    /// Number of settled starts in the last frame.
    last_settled: u64,
    /// Whether the next frame announces an offer.
    pub(crate) has_offer: bool,
    /// Whether the last frame said that starts are admitted.
    was_accepting_starts: bool,
    /// The demand that the entry sent last.
    pub(crate) demand: Demand,
}

impl Agent {
    /// Number of connections to entries that may order starts.
    #[must_use]
    pub fn greeted_links(&self) -> usize {
        self.links.values().filter(|link| link.is_greeted).count()
    }

    /// Handles a newly opened connection to an entry.
    pub fn link_up(&mut self, now_ms: u64, link: LinkId, addr: SocketAddr) {
        let state = Link {
            addr,
            grant_until_ms: now_ms + crate::GRANT_MS,
            is_greeted: false,
            is_retiring: false,
            starts_received: 0,
            last_used_ms: now_ms,
            reports: Vec::new(),
            delayed_starts: Vec::new(),
            last_sent_ms: now_ms,
            last_free: Resources::default(),
            last_settled: 0,
            has_offer: false,
            was_accepting_starts: false,
            demand: Demand::default(),
        };
        self.links.insert(link, state);
        self.greet_links(now_ms);
    }

    /// Handles a broken connection to an entry: stops the runs that the entry ordered.
    pub fn link_down(&mut self, now_ms: u64, link: LinkId) {
        if self.links.remove(&link).is_some() {
            self.abandon_runs(now_ms, link, "link-broken");
            self.report_witnessed(now_ms, link);
        }
    }

    /// Keeps links to these entries only. Once each of them has a link, the other links
    /// take no more starts and are closed when none of their runs is left.
    pub fn keep_links(&mut self, entries: &BTreeSet<SocketAddr>) {
        let linked: BTreeSet<SocketAddr> = self.links.values().map(|link| link.addr).collect();
        if !entries.is_subset(&linked) {
            return;
        }
        let extra = self.links.values_mut();
        let extra = extra.filter(|link| !entries.contains(&link.addr) && !link.is_retiring);
        let retired = extra.map(|link| link.is_retiring = true).count();
        if retired > 0 {
            self.event("links-retired", None, format!("links={retired}"));
        }
    }

    /// Stops all runs of a closed link.
    fn abandon_runs(&mut self, now_ms: u64, link: LinkId, cause: &'static str) {
        self.offers.forget(link);
        self.reclaim_ends_of_link(now_ms, link);
        let orders = self.runs.orders_of(link);
        if !orders.is_empty() {
            self.event(
                "runs-abandoned",
                None,
                format!("cause={cause} runs={}", orders.len()),
            );
        }
        for order in orders {
            self.stop_run(now_ms, link, order);
        }
    }

    pub(crate) fn expire_links(&mut self, now_ms: u64) {
        let is_expired = |link: &Link| link.is_greeted && link.grant_until_ms < now_ms;
        let expired: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| is_expired(link))
            .map(|(id, _)| *id)
            .collect();
        for link in expired {
            self.expire_link(now_ms, link);
        }
    }

    /// Closes retiring links that have had no run and nothing to report for
    /// [`RETIRING_LINGER_MS`]. A link that closed with its last run lost the report of
    /// that run's end, and the job was late.
    pub(crate) fn close_retired_links(&mut self, now_ms: u64) {
        let minion = self.minion.as_ref();
        let has_reported_ends =
            |link: LinkId| minion.is_some_and(|minion| minion.retained_ends.has_reported_to(link));
        let has_runs =
            |link: LinkId| !self.runs.orders_of(link).is_empty() || has_reported_ends(link);
        let mut done = Vec::new();
        for (id, link) in &mut self.links {
            if !link.is_retiring || has_runs(*id) || !link.reports.is_empty() {
                link.last_used_ms = now_ms;
            } else if now_ms >= link.last_used_ms + RETIRING_LINGER_MS {
                done.push(*id);
            }
        }
        for link in done {
            self.links.remove(&link);
            self.witness.link_closed(now_ms, link);
            self.actions.push(AgentAction::Close(link));
        }
    }

    pub(crate) fn expire_link(&mut self, now_ms: u64, link: LinkId) {
        if let Some(state) = self.links.remove(&link) {
            let overdue_ms = now_ms.saturating_sub(state.grant_until_ms);
            self.event(
                "grant-expired",
                None,
                format!("entry={} late_ms={overdue_ms}", state.addr),
            );
            self.actions.push(AgentAction::Close(link));
            self.abandon_runs(now_ms, link, "grant-expired");
            self.report_witnessed(now_ms, link);
        }
    }

    /// Closes all links, because the minion that they were greeted for is gone.
    pub(crate) fn close_links(&mut self, now_ms: u64) {
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.links.remove(&link);
            self.actions.push(AgentAction::Close(link));
            self.abandon_runs(now_ms, link, "minion-gone");
            self.witness.link_closed(now_ms, link);
        }
    }

    /// Greets the entries that are not greeted yet, once no run of a closed link is
    /// left: to an entry, a greeting means that none of the runs that it ordered earlier
    /// is left on the minion.
    pub(crate) fn greet_links(&mut self, now_ms: u64) {
        let Some(minion) = self
            .minion
            .as_ref()
            .filter(|minion| minion.has_no_leftovers())
        else {
            return;
        };
        let crashes = self.crashes.since(now_ms, 0);
        let mut hello = minion.hello(&self.identity, now_ms, crashes);
        hello.delayed_starts = self.known_delayed_starts(now_ms);
        hello.max_start_delay_ms = self.max_start_delay_ms();
        hello.witnessed_starts = self.witness.starts_of_lost_entries(now_ms);
        let leftover_runs = self
            .runs
            .iter()
            .filter(|run| !self.links.contains_key(&run.link));
        let has_leftovers = leftover_runs.count() > 0;
        if has_leftovers {
            return;
        }
        for (id, link) in &mut self.links {
            if !link.is_greeted {
                link.is_greeted = true;
                link.grant_until_ms = now_ms + crate::GRANT_MS;
                self.actions.push(AgentAction::Greet(*id, hello.clone()));
            }
        }
    }

    pub(crate) fn send_frames(&mut self, now_ms: u64) {
        if self.minion.is_none() {
            return;
        }
        let all_free = self.free_resources();
        let is_accepting_starts = self.admits(now_ms);
        let trial = self.trial_link(now_ms);
        let entries = self.links.len() as u64;
        let update_interval_ms =
            FREE_UPDATE_INTERVAL_MS * entries.div_ceil(ENTRIES_AT_FULL_RATE).max(1);
        let speed_permille = self.speed.permille(now_ms);
        let may_delay_starts = self.max_start_delay_ms() > 0;
        let demands = self.links.values().map(|link| link.demand);
        let demand = demands.fold(Demand::default(), Demand::plus);
        for (id, link) in &mut self.links {
            let free = all_free.minus(&self.offers.reserved_for_others(*id));
            let pause_ms = now_ms.saturating_sub(link.last_sent_ms);
            let first_unsettled = self.runs.first_unsettled(*id);
            let starts_settled = first_unsettled.map_or(link.starts_received, |first| first - 1);
            let is_keepalive = pause_ms >= KEEPALIVE_MS;
            let has_settled_start = may_delay_starts && starts_settled > link.last_settled;
            let has_change = free != link.last_free || has_settled_start;
            let has_due_change = has_change && pause_ms >= update_interval_ms;
            let is_accepting_starts =
                is_accepting_starts && !link.is_retiring && trial.is_none_or(|trial| trial == *id);
            let is_due = !link.reports.is_empty()
                || !link.delayed_starts.is_empty()
                || has_due_change
                || is_keepalive
                || link.has_offer
                || link.was_accepting_starts != is_accepting_starts;
            if !link.is_greeted || !is_due {
                continue;
            }
            let mut reports = std::mem::take(&mut link.reports);
            if is_keepalive {
                reports.extend(self.runs.progress(*id));
            }
            link.last_sent_ms = now_ms;
            link.last_free = free;
            link.last_settled = starts_settled;
            link.was_accepting_starts = is_accepting_starts;
            let frame = AgentFrame {
                clock_ms: now_ms,
                starts_received: link.starts_received,
                starts_settled,
                free,
                speed_permille,
                is_accepting_starts,
                has_offer: std::mem::take(&mut link.has_offer),
                demand,
                delayed_starts: std::mem::take(&mut link.delayed_starts),
                reports,
            };
            self.actions.push(AgentAction::Send(*id, frame));
        }
    }

    /// Reports the end of a run to the entry, if its link is still open.
    pub(crate) fn report_end(&mut self, link: LinkId, order: OrderId, end: RunEnd, ran_ms: u64) {
        if let Some(state) = self.links.get_mut(&link) {
            state.reports.push(Report::Ended {
                order,
                end,
                ran_ms: u32::try_from(ran_ms).unwrap_or(u32::MAX),
                retained_number: None,
            });
        }
    }

    /// Reports the end of a stored run, which the minion retains, to the entry.
    pub(crate) fn report_retained_end(
        &mut self,
        link: LinkId,
        order: OrderId,
        end: &RetainedEnd,
        ran_ms: u64,
    ) {
        if let Some(state) = self.links.get_mut(&link) {
            state.reports.push(Report::Ended {
                order,
                end: if end.is_done {
                    RunEnd::Done
                } else {
                    RunEnd::Failed
                },
                ran_ms: u32::try_from(ran_ms).unwrap_or(u32::MAX),
                retained_number: Some(end.number),
            });
        }
    }

    /// Tells all greeted entries of a delayed start. An entry that is greeted later learns
    /// of it from the greeting.
    pub(crate) fn tell_delayed_start(&mut self, start: &DelayedStart) {
        for link in self.links.values_mut().filter(|link| link.is_greeted) {
            link.delayed_starts.push(start.clone());
        }
    }

    /// Sends a report to all greeted entries.
    pub(crate) fn report_to_all(&mut self, report: &Report) {
        for link in self.links.values_mut().filter(|link| link.is_greeted) {
            link.reports.push(report.clone());
        }
    }
}
