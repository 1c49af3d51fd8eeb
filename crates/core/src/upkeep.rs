//! The periodic work of an agent: it reads the log, writes snapshots and grants
//! the credits of its free slots.

use std::collections::BTreeMap;

use gannetvane_wire::LogRecord;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::SlotCredit;

use crate::Action;
use crate::Agent;
use crate::Counter;
use crate::home::Home;

/// Minimum interval in milliseconds between attempts to write a snapshot.
const MIN_SNAPSHOT_INTERVAL_MS: u64 = 10_000;
/// Number of snapshots written within the log's retention.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Interval in milliseconds between reads of the log by agents that are not log
/// readers.
const DEFAULT_LOG_POLL_INTERVAL_MS: u64 = 15_000;
/// Interval in milliseconds between reads of the log by the log readers.
const READER_LOG_POLL_INTERVAL_MS: u64 = 1_000;

/// Idle time in milliseconds after which an agent renews a credit.
const CREDIT_RENEWAL_MS: u64 = 6_000;

impl Agent {
    /// Performs all periodic work.
    pub(crate) fn maintain(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.submit_held(now_ms, actions);
        self.read_log(now_ms, actions);
        self.write_snapshot(now_ms, actions);
        self.grant_credits(now_ms, actions);
        self.with_home(now_ms, actions, Home::maintain);
        self.continue_leaving(now_ms, actions);
    }

    /// Requests a read of the log if one is due.
    pub(crate) fn read_log(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms < self.next_log_read_ms {
            return;
        }
        let is_reader = self.view().log_readers().contains(&self.node);
        self.next_log_read_ms = now_ms
            + if is_reader {
                READER_LOG_POLL_INTERVAL_MS
            } else {
                DEFAULT_LOG_POLL_INTERVAL_MS
            };
        actions.push(Action::ReadLog {
            from_offset: self.configuration.next_offset(),
        });
    }

    /// Writes a snapshot of the configuration before the log deletes the last
    /// one.
    pub(crate) fn write_snapshot(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let interval_ms = self.settings.log_retention_ms / SNAPSHOTS_PER_RETENTION;
        let is_recent = |at_ms: Option<u64>, within_ms: u64| {
            at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < within_ms)
        };
        if self.configuration.current().version == 0
            || self.configuration.has_gap()
            || is_recent(self.configuration.snapshot_seen_at_ms(), interval_ms)
            || is_recent(
                self.snapshot_attempted_at_ms,
                MIN_SNAPSHOT_INTERVAL_MS.min(interval_ms),
            )
            || self.view().log_readers().first() != Some(&self.node)
        {
            return;
        }
        self.snapshot_attempted_at_ms = Some(now_ms);
        actions.push(Action::Append(LogRecord::Snapshot(
            self.configuration.snapshot(),
        )));
    }

    /// Grants the credits of free slots to the homes of the service. A slot's
    /// last holder is preferred while it is still a home; the other slots are
    /// spread over the homes.
    pub(crate) fn grant_credits(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let service = &self.settings.member.service;
        let Some(config) = self.configuration.current().services.get(service) else {
            return;
        };
        if self.is_leaving() {
            return;
        }
        let homes = self.membership.view().homes(service, config.homes());
        if homes.is_empty() {
            return;
        }
        let view = self.membership.view();
        let is_lost = |node| {
            !matches!(
                view.state(node),
                Some(MemberState::Alive | MemberState::Leaving)
            )
        };
        let free = self.runner.reclaim(now_ms, CREDIT_RENEWAL_MS, is_lost);
        let mut grants: BTreeMap<NodeId, Vec<SlotCredit>> = BTreeMap::new();
        for slot in free {
            let first = usize::try_from(self.node.0 % homes.len() as u64).unwrap_or(0);
            let assigned_home = homes[(usize::from(slot.index) + first) % homes.len()];
            let home = slot
                .last_holder
                .filter(|node| homes.contains(node))
                .unwrap_or(assigned_home);
            let credit = self.runner.grant(now_ms, slot.index, home);
            grants.entry(home).or_default().extend(credit);
            if slot.last_holder.is_some_and(|node| node != home) {
                actions.push(Action::Count(Counter::CreditsReclaimed));
            }
        }
        for (home, credits) in grants {
            if let Some(to) = self.membership.view().peer(home) {
                let message = Message::CreditGrant {
                    service: service.clone(),
                    credits,
                };
                actions.push(Action::Send { to, message });
            }
        }
    }
}
