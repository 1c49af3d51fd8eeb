//! Which agent a task goes to.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::LinkId;
use crate::Resources;
use crate::Step;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::fleet::Hosts;

/// Cost of a message to another availability zone and back, in milliseconds.
const OTHER_ZONE_MS: f64 = 1.0;
/// Weight of a minion's load: among equal speeds the emptier one is chosen,
/// so that a lost minion takes fewer tasks with it.
const LOAD_WEIGHT: f64 = 0.1;
/// Extra share by which equal choices of several entries are spread.
const MAX_JITTER: f64 = 0.04;

/// Speed from which a minion counts as sound: below that of slow kinds of hosts.
const MIN_HEALTHY_SPEED: f64 = 0.55;
/// Least speed that is reckoned with.
const MIN_SPEED: f64 = 0.05;

/// What a choice depends on.
pub(crate) struct PlacementContext<'a> {
    pub(crate) step: &'a Step,
    pub(crate) service: &'a Name,
    pub(crate) zone: Name,
    pub(crate) expected_ms: f64,
    /// Time that is left for it, in milliseconds; negative when it is late.
    pub(crate) time_left_ms: f64,
    pub(crate) avoided_hosts: Vec<Name>,
    /// Tasks of the step on each host.
    pub(crate) tasks_per_host: BTreeMap<Name, u32>,
    /// Times that a task takes longer away from its data.
    pub(crate) remote_factor: f64,
    /// Whether hosts with bad ends are left out.
    pub(crate) is_ejecting: bool,
    pub(crate) now_ms: u64,
}

/// Chooses the agent with room at which the task would end soonest; `spread`
/// gives a number from 0 to 1 a call.
pub(crate) fn choose(
    agents: &[(LinkId, &AgentState)],
    hosts: &Hosts,
    context: &PlacementContext<'_>,
    jitter: &mut dyn FnMut() -> f64,
) -> Option<LinkId> {
    let with_enough_free = agents.iter().filter(|(_, agent)| {
        is_eligible(agent, hosts, context) && agent.free().can_fit(&context.step.needs)
    });
    let costs = with_enough_free.map(|(link, agent)| {
        let cost = cost_ms(agent, context) * (1.0 + MAX_JITTER * jitter());
        (cost, *link)
    });
    let cheapest = costs.min_by(|one, other| one.0.total_cmp(&other.0));
    cheapest.map(|(_, link)| link)
}

/// Chooses agents that are asked to offer room when it comes up; `spread` gives
/// a number from 0 to 1 a call.
pub(crate) fn choose_probed(
    agents: &[(LinkId, &AgentState)],
    hosts: &Hosts,
    context: &PlacementContext<'_>,
    jitter: &mut dyn FnMut() -> f64,
    count: usize,
) -> Vec<LinkId> {
    let with_jitter = agents.iter().map(|(link, agent)| (*link, *agent, jitter()));
    let suitable = with_jitter.filter(|(_, agent, _)| {
        agent.hello.capacity.can_fit(&context.step.needs) && is_eligible(agent, hosts, context)
    });
    let costs =
        suitable.map(|(link, agent, jitter)| (cost_ms(agent, context) * (1.0 + jitter), link));
    let mut costs: Vec<(f64, LinkId)> = costs.collect();
    costs.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
    costs.truncate(count);
    costs.into_iter().map(|(_, link)| link).collect()
}

/// Whether any of these agents could run the step if it were idle.
pub(crate) fn fits_somewhere<'a>(
    mut agents: impl Iterator<Item = &'a AgentState>,
    service: &Name,
    step: &Step,
) -> bool {
    agents.any(|agent| fits(agent, &agent.hello.capacity, service, step))
}

/// The same with the most room that their minions have had.
pub(crate) fn has_fitted_somewhere<'a>(
    mut agents: impl Iterator<Item = &'a AgentState>,
    service: &Name,
    step: &Step,
) -> bool {
    agents.any(|agent| fits(agent, &agent.max_capacity, service, step))
}

fn fits(agent: &AgentState, capacity: &Resources, service: &Name, step: &Step) -> bool {
    let is_of_service = agent.hello.service == *service;
    is_of_service && capacity.can_fit(&step.needs) && has_required_label(agent, step)
}

fn is_eligible(agent: &AgentState, hosts: &Hosts, context: &PlacementContext<'_>) -> bool {
    let host = &agent.hello.host;
    let is_limited = context.step.max_per_minion > 0
        && context.tasks_per_host.get(host).copied().unwrap_or(0) >= context.step.max_per_minion;
    let is_admissible = !context.is_ejecting
        || hosts.get(host).is_none_or(|record| {
            let is_trial_running = record.consecutive_failures > 0 && !agent.outstanding.is_empty();
            context.now_ms >= record.ejected_until_ms && !is_trial_running
        });
    agent.hello.service == *context.service
        && is_fast_enough(agent, context)
        && agent.accepts_starts(context.now_ms)
        && has_required_label(agent, context.step)
        && !context.avoided_hosts.contains(host)
        && !is_limited
        && is_admissible
}

/// A minion that has become slow gets only what it can still end in time, or
/// one task at a time to show that it has recovered.
fn is_fast_enough(agent: &AgentState, context: &PlacementContext<'_>) -> bool {
    agent.speed >= MIN_HEALTHY_SPEED
        || context.expected_ms / agent.speed.max(MIN_SPEED) <= context.time_left_ms
        || agent.is_idle()
}

fn has_required_label(agent: &AgentState, step: &Step) -> bool {
    let label = step.required_label.as_ref();
    label.is_none_or(|label| agent.has_label(label))
}

fn cost_ms(agent: &AgentState, context: &PlacementContext<'_>) -> f64 {
    let preferred = context.step.preferred_label.as_ref();
    let is_remote = preferred.is_some_and(|label| !agent.has_label(label));
    let remote = if is_remote {
        context.remote_factor
    } else {
        1.0
    };
    let zone_ms = if agent.hello.zone == context.zone {
        0.0
    } else {
        OTHER_ZONE_MS
    };
    context.expected_ms / agent.speed.max(MIN_SPEED) * remote * (1.0 + LOAD_WEIGHT * agent.load())
        + zone_ms
}
