//! Which agents witness the starts that an entry orders.

use std::collections::BTreeMap;
use std::mem;

use gannetvane_wire::Name;

use crate::DelayedStart;
use crate::LinkId;
use crate::Order;
use crate::OrderId;
use crate::WitnessedOrder;
use crate::WitnessedStarts;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::OrderState;
use crate::dispatcher::fleet::AgentState;

/// Number of witnesses of a start that is known to be delayed. Such starts are few, and they
/// bind for longer than an entry may take to replace a witness.
const DELAYED_WITNESSES: usize = 3;

/// Orders by witness, job and the time after which their starts are void.
type WitnessGroups = BTreeMap<(LinkId, Name, u64), Vec<WitnessedOrder>>;

/// The orders of an entry that need a witness.
#[derive(Debug, Default)]
pub(crate) struct Witnesses {
    /// Orders for which no witness is chosen yet.
    unwitnessed: Vec<OrderId>,
    /// Number of choices so far: agents take turns as witnesses.
    choices: usize,
}

impl Witnesses {
    /// Adds an order that needs a witness.
    pub(crate) fn add(&mut self, order: OrderId) {
        self.unwitnessed.push(order);
    }
}

impl Dispatcher {
    /// Makes the new start orders known to witnesses. One agent witnesses all
    /// orders of a round, if it gets none of them, so that a round costs one
    /// frame more.
    pub(crate) fn witness_starts(&mut self, now_ms: u64) {
        let orders = mem::take(&mut self.witnesses.unwitnessed);
        if orders.is_empty() {
            return;
        }
        let links = orders.iter().filter_map(|order| self.orders.get(order));
        let mut links: Vec<LinkId> = links.map(|state| state.link).collect();
        links.dedup();
        self.witnesses.choices += 1;
        let common = self.choose_witness(now_ms, &links);
        let mut groups = WitnessGroups::new();
        for order in orders {
            let Some(state) = self.orders.get(&order) else {
                continue;
            };
            let witness = common.or_else(|| self.choose_witness(now_ms, &[state.link]));
            if let Some(witness) = witness {
                self.add_to_group(order, witness, &mut groups);
            }
        }
        self.send_groups(groups);
    }

    /// Adds an order to those of its job that a witness gets.
    fn add_to_group(&mut self, order: OrderId, witness: LinkId, groups: &mut WitnessGroups) {
        let state = self.orders.get(&order);
        let witnessed = state.and_then(|state| self.witnessed_order(order, state));
        let (Some((start, void_after_ms)), Some(state)) = (witnessed, self.orders.get_mut(&order))
        else {
            return;
        };
        state.witness = Some(witness);
        let group = (witness, state.job.clone(), void_after_ms);
        groups.entry(group).or_default().push(start);
    }

    /// Sends the orders of each group to its witness.
    fn send_groups(&mut self, groups: WitnessGroups) {
        for ((witness, job, void_after_ms), orders) in groups {
            let Some(agent) = self.agents.get_mut(&witness) else {
                continue;
            };
            agent.outbox.push(Order::Witness(WitnessedStarts {
                job,
                may_be_sent: true,
                void_after_ms,
                orders,
            }));
        }
    }

    /// Returns an order as a witness gets it, and the time after which its start
    /// is void, in milliseconds.
    fn witnessed_order(&self, order: OrderId, state: &OrderState) -> Option<(WitnessedOrder, u64)> {
        let task = self.jobs.get(&state.job)?.task_id(state.position);
        let hello = &self.agents.get(&state.link)?.hello;
        let start = WitnessedOrder {
            order,
            step: task.step,
            index: task.index,
            agent: hello.node,
        };
        Some((start, hello.max_start_delay_ms))
    }

    /// Returns an agent that is not in `others` and has answered recently, if
    /// there is one. One in another availability zone than the entry is
    /// preferred, since a zone may fail as a whole.
    fn choose_witness(&self, now_ms: u64, others: &[LinkId]) -> Option<LinkId> {
        let can_witness = |(link, agent): &(&LinkId, &AgentState)| {
            agent.is_fresh(now_ms) && !others.contains(link)
        };
        let candidates: Vec<(LinkId, bool)> = self
            .agents
            .iter()
            .filter(can_witness)
            .map(|(link, agent)| (*link, agent.hello.zone != self.settings.zone))
            .collect();
        let has_other_zone = candidates.iter().any(|(_, is_other_zone)| *is_other_zone);
        let candidates: Vec<LinkId> = candidates
            .into_iter()
            .filter(|(_, is_other_zone)| *is_other_zone || !has_other_zone)
            .map(|(link, _)| link)
            .collect();
        let turn = self.witnesses.choices % candidates.len().max(1);
        candidates.get(turn).copied()
    }

    /// Chooses other witnesses for the orders that a lost agent witnessed.
    pub(crate) fn replace_witness(&mut self, lost: LinkId) {
        let witnessed = self.orders.iter_mut();
        let witnessed = witnessed.filter(|(_, state)| state.witness == Some(lost));
        for (order, state) in witnessed {
            state.witness = None;
            self.witnesses.unwitnessed.push(*order);
        }
    }

    /// Releases the witnesses of the orders to an agent of which no start is
    /// pending, unless their runs may go on without the agent.
    pub(crate) fn release_settled_starts(&mut self, now_ms: u64, link: LinkId) {
        let Some(agent) = self.agents.get(&link) else {
            return;
        };
        let may_delay_starts = agent.hello.max_start_delay_ms > 0;
        if !may_delay_starts || now_ms < agent.inherited_lease_until_ms {
            return;
        }
        let settled: Vec<OrderId> = agent.settled_orders().collect();
        for order in settled {
            let Some(state) = self.orders.get_mut(&order) else {
                continue;
            };
            if let Some(witness) = state.witness.take() {
                let state = state.clone();
                self.release_witness(order, &state, witness);
            }
        }
    }

    /// Tells the witness of an order to forget the start or, if a start of the
    /// task may be carried out late, until when.
    pub(crate) fn release_witness(&mut self, order: OrderId, state: &OrderState, witness: LinkId) {
        let job = self.jobs.get(&state.job);
        let task = job.map(|job| job.task_id(state.position));
        let delayed = task.and_then(|task| self.delayed_starts.of_task(self.last_tick_ms, &task));
        match (delayed, self.agents.get_mut(&witness)) {
            (Some(start), _) => self.witness_delayed_start(order, &start, witness),
            (None, Some(agent)) => agent.forgettable_starts.push(order),
            (None, None) => {}
        }
    }

    /// Makes it known to several witnesses until when the start of an order may
    /// be carried out late.
    fn witness_delayed_start(&mut self, order: OrderId, start: &DelayedStart, witness: LinkId) {
        let mut agents = self.agents.iter();
        let sender = agents.find(|(_, agent)| agent.hello.node == start.agent);
        let mut chosen: Vec<LinkId> = sender.map(|(link, _)| *link).into_iter().collect();
        let mut next = Some(witness);
        for _ in 0..DELAYED_WITNESSES {
            let Some(witness) = next else {
                break;
            };
            if let Some(agent) = self.agents.get_mut(&witness) {
                let held = delayed_for_witness(order, start);
                agent.outbox.push(Order::Witness(held));
            }
            chosen.push(witness);
            next = self.choose_witness(self.last_tick_ms, &chosen);
        }
    }
}

/// Returns a delayed start as a witness gets it.
fn delayed_for_witness(order: OrderId, start: &DelayedStart) -> WitnessedStarts {
    WitnessedStarts {
        job: start.task.job.clone(),
        may_be_sent: false,
        void_after_ms: start.remaining_ms,
        orders: vec![WitnessedOrder {
            order,
            step: start.task.step,
            index: start.task.index,
            agent: start.agent,
        }],
    }
}
