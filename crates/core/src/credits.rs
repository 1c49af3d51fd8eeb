//! The credits that a home holds. A credit is the right to start one task on
//! one slot of an agent, once.

use std::collections::BTreeMap;

use gannetvane_wire::Credit;
use gannetvane_wire::NodeId;
use gannetvane_wire::SlotCredit;

/// Lease of an idle credit in milliseconds: a home may use the credit for this
/// long. The agent renews it earlier.
pub(crate) const CREDIT_LEASE_MS: u64 = 10_000;

/// The idle credits of one service at one home, at most one for each slot.
#[derive(Clone, Debug, Default)]
pub struct CreditPool {
    idle: BTreeMap<NodeId, Vec<IdleCredit>>,
}

#[derive(Clone, Copy, Debug)]
struct IdleCredit {
    credit: Credit,
    idle_since_ms: u64,
    usable_at_ms: u64,
}

impl CreditPool {
    /// Adds a credit, unless a newer one for the same slot is held.
    /// `idle_since_ms`, which may lie in the past, starts the lease; the credit
    /// is usable from `usable_at_ms`.
    pub fn add(&mut self, credit: Credit, idle_since_ms: u64, usable_at_ms: u64) {
        let of_agent = self.idle.entry(credit.agent).or_default();
        let added = IdleCredit {
            credit,
            idle_since_ms,
            usable_at_ms,
        };
        match of_agent
            .iter_mut()
            .find(|idle| idle.credit.slot == credit.slot)
        {
            Some(held) if held.credit.sequence >= credit.sequence => {}
            Some(held) => *held = added,
            None => of_agent.push(added),
        }
    }

    /// Returns the number of credits held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Returns whether no credit is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a usable credit of the agent that `rank` ranks highest, and among
    /// equal ranks of the agent with the most idle slots. Agents for which
    /// `rank` returns `None` are skipped.
    pub fn take(&mut self, now_ms: u64, rank: impl Fn(NodeId) -> Option<u32>) -> Option<Credit> {
        let usable = |idle: &IdleCredit| idle.is_usable(now_ms);
        let (_, _, agent) = self
            .idle
            .iter()
            .filter(|(_, of_agent)| of_agent.iter().any(usable))
            .filter_map(|(agent, of_agent)| Some((rank(*agent)?, of_agent.len(), *agent)))
            .max()?;
        let of_agent = self.idle.get_mut(&agent)?;
        let position = of_agent.iter().position(usable)?;
        Some(of_agent.swap_remove(position).credit)
    }

    /// Takes up to `count` usable credits, to pass them on to another home.
    pub fn take_spare(&mut self, now_ms: u64, count: usize) -> Vec<SlotCredit> {
        let mut spare = Vec::new();
        for of_agent in self.idle.values_mut() {
            while spare.len() < count {
                let Some(position) = of_agent.iter().position(|idle| idle.is_usable(now_ms)) else {
                    break;
                };
                let idle = of_agent.swap_remove(position);
                let idle_ms = now_ms.saturating_sub(idle.idle_since_ms);
                spare.push(SlotCredit {
                    credit: idle.credit,
                    idle_ms,
                });
            }
        }
        spare
    }

    /// Drops all credits of an agent.
    pub fn drop_agent(&mut self, agent: NodeId) {
        self.idle.remove(&agent);
    }

    /// Drops the credits whose lease has expired.
    pub fn expire(&mut self, now_ms: u64) {
        for of_agent in self.idle.values_mut() {
            of_agent.retain(|idle| idle.is_held(now_ms));
        }
        self.idle.retain(|_, of_agent| !of_agent.is_empty());
    }
}

impl IdleCredit {
    fn is_held(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.idle_since_ms) < CREDIT_LEASE_MS
    }

    /// Returns whether the credit can be used now. The lease is checked at each
    /// use, because a home that was suspended may get here before it has
    /// dropped expired credits.
    fn is_usable(&self, now_ms: u64) -> bool {
        self.usable_at_ms <= now_ms && self.is_held(now_ms)
    }
}
