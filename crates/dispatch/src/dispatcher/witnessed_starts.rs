//! Starts of lost entries that witnesses reported: when they count as delayed.

use gannetvane_wire::NodeId;

use crate::DelayedStart;
use crate::MAX_LINKED_ENTRIES;
use crate::ReportedStarts;
use crate::TaskId;
use crate::dispatcher::Dispatcher;

/// Time for which an agent must be away before its starts are known as delayed everywhere, in
/// milliseconds: an agent connects to an entry that has just started within this time.
const SHARE_DELAY_MS: u64 = 300;

impl Dispatcher {
    /// Returns the starts of lost entries that witnesses reported.
    #[must_use]
    pub fn witnessed_starts(&self) -> &ReportedStarts {
        &self.witnessed_starts
    }

    /// Records starts of a lost entry that a witness reported or another entry
    /// gossips.
    pub fn witnessed_starts_reported(&mut self, now_ms: u64, starts: Vec<DelayedStart>) {
        let mut new_starts = 0;
        for start in starts {
            let job = start.task.job.clone();
            if self.witnessed_starts.add(now_ms, start) {
                new_starts += 1;
                self.mark_as_run(&job);
            }
        }
        if new_starts > 0 {
            let detail = format!("starts={new_starts}");
            self.event("witnessed-starts", None, detail);
        }
    }

    /// Returns whether a witness reported a start of the task whose agent is
    /// lost.
    pub(crate) fn has_witnessed_start(&self, now_ms: u64, task: &TaskId) -> bool {
        let mut starts = self.witnessed_starts.of_task(task);
        starts.any(|start| now_ms < start.void_ms && self.is_lost(start.agent))
    }

    /// Returns whether an agent is lost, as far as this entry can tell. On a site
    /// where agents connect to some of the entries only, only an entry to which
    /// the agent was connected can, and it gossips the starts.
    fn is_lost(&self, agent: NodeId) -> bool {
        let mut agents = self.agents.values();
        let is_connected = agents.any(|state| state.hello.node == agent);
        let should_connect = self.sent_entries.len() <= MAX_LINKED_ENTRIES;
        !is_connected && (should_connect || self.lost_agents.has_disconnected(agent))
    }

    /// Forgets the reported starts of which nothing is left, and counts those of
    /// agents that stay away as delayed, which other entries learn by gossip.
    pub(crate) fn expire_witnessed_starts(&mut self, now_ms: u64) {
        if self.witnessed_starts.is_empty() {
            return;
        }
        let mut away = Vec::new();
        let mut reported = std::mem::take(&mut self.witnessed_starts);
        reported.retain(|task, start| {
            if !self.is_lost(start.agent) {
                start.away_since_ms = None;
                return now_ms < start.void_ms;
            }
            let since_ms = *start.away_since_ms.get_or_insert(now_ms);
            let is_away = now_ms >= since_ms + SHARE_DELAY_MS;
            if is_away && now_ms < start.void_ms {
                away.push(DelayedStart {
                    task: task.clone(),
                    agent: start.agent,
                    is_stored: false,
                    remaining_ms: start.void_ms - now_ms,
                });
            }
            !is_away
        });
        self.witnessed_starts = reported;
        for start in away {
            self.delayed_starts.add(now_ms, &start);
            self.delayed_starts.share(&start.task);
        }
    }
}
