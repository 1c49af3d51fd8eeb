//! Choice of the agent for a task.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::LinkId;
use crate::Resources;
use crate::Step;
use crate::Suspicion;
use crate::dispatcher::fleet::AgentState;
use crate::dispatcher::fleet::Hosts;

/// Cost of a message to another availability zone and back, in milliseconds.
const OTHER_ZONE_MS: f64 = 1.0;
/// Weight of a minion's load in its cost: among minions of equal speed the less
/// loaded one is chosen, so that the loss of a minion affects fewer tasks.
const LOAD_WEIGHT: f64 = 0.1;
/// Largest fraction that is added to a cost at random, so that several entries
/// choose different ones of equal agents.
const MAX_JITTER: f64 = 0.04;

/// Speed from which a minion counts as healthy. It is below the speed of the
/// slow kinds of hosts, which are healthy too.
const MIN_HEALTHY_SPEED: f64 = 0.55;
/// Smallest speed used to calculate costs.
const MIN_SPEED: f64 = 0.05;

/// What the choice of an agent for a task depends on.
pub(crate) struct PlacementContext<'a> {
    pub(crate) step: &'a Step,
    pub(crate) job: &'a Name,
    /// How strongly the task is suspected to crash its minions.
    pub(crate) suspicion: Suspicion,
    pub(crate) service: &'a Name,
    pub(crate) zone: Name,
    pub(crate) expected_ms: f64,
    /// Time that is left until the objective, in milliseconds; negative when
    /// the job is late.
    pub(crate) time_left_ms: f64,
    /// Whether the job has to be done, however late it is.
    pub(crate) is_stored: bool,
    /// Hosts that the task avoids.
    pub(crate) avoided_hosts: Vec<Name>,
    /// Number of ordered tasks of the step on each host.
    pub(crate) tasks_per_host: BTreeMap<Name, u32>,
    /// Factor by which a task takes longer away from its data.
    pub(crate) remote_factor: f64,
    /// Spec of the job, which goes to each host that gets a task of it.
    pub(crate) spec: &'a Name,
    /// Delay that another copy of the spec causes on the entry's link, in milliseconds.
    pub(crate) spec_copy_ms: f64,
    /// Number of tasks of the job that can start, this one included.
    pub(crate) startable_tasks: u32,
    /// Whether ejected hosts are left out.
    pub(crate) is_ejecting: bool,
    pub(crate) now_ms: u64,
}

/// Returns the agent with enough free resources at which the task would end
/// soonest; `jitter` returns a random number from 0 to 1 at each call.
pub(crate) fn choose(
    agents: &[(LinkId, &AgentState)],
    hosts: &Hosts,
    context: &PlacementContext<'_>,
    jitter: &mut dyn FnMut() -> f64,
) -> Option<LinkId> {
    let with_enough_free = agents.iter().filter(|(_, agent)| {
        is_eligible(agent, hosts, context) && agent.free().can_fit(&context.step.needs)
    });
    let with_enough_free: Vec<_> = with_enough_free.collect();
    let has_copy = |agent: &AgentState| agent.outbox.has_spec(context.spec);
    let is_first_copy = !with_enough_free.iter().any(|(_, agent)| has_copy(agent));
    let costs = with_enough_free.into_iter().map(|(link, agent)| {
        let cost = cost_ms(agent, context) * (1.0 + MAX_JITTER * jitter());
        let copy_cost_ms = match is_first_copy {
            true => context.spec_copy_ms / sharing_tasks(agent, context),
            false if has_copy(agent) => 0.0,
            false => context.spec_copy_ms,
        };
        (cost + copy_cost_ms, *link)
    });
    let cheapest = costs.min_by(|one, other| one.0.total_cmp(&other.0));
    cheapest.map(|(_, link)| link)
}

/// Returns up to `count` agents to probe, which offer resources as soon as some
/// are free; `jitter` returns a random number from 0 to 1 at each call.
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

/// Returns whether any of these agents could run the step if it were idle.
pub(crate) fn fits_somewhere<'a>(
    mut agents: impl Iterator<Item = &'a AgentState>,
    service: &Name,
    step: &Step,
) -> bool {
    agents.any(|agent| fits(agent, &agent.hello.capacity, service, step))
}

/// Returns whether any of these agents could run the step with the largest
/// capacity that its minion has had.
pub(crate) fn has_fitted_somewhere<'a>(
    mut agents: impl Iterator<Item = &'a AgentState>,
    service: &Name,
    step: &Step,
) -> bool {
    agents.any(|agent| fits(agent, &agent.max_capacity, service, step))
}

/// Returns whether an agent of the service could run the step with this
/// capacity.
pub(crate) fn fits(agent: &AgentState, capacity: &Resources, service: &Name, step: &Step) -> bool {
    let is_of_service = agent.hello.service == *service;
    is_of_service && capacity.can_fit(&step.needs) && has_required_label(agent, step)
}

/// Returns whether the agent may get the task, apart from its free resources.
pub(crate) fn is_eligible(
    agent: &AgentState,
    hosts: &Hosts,
    context: &PlacementContext<'_>,
) -> bool {
    let host = &agent.hello.host;
    let is_limited = context.step.max_per_minion > 0
        && context.tasks_per_host.get(host).copied().unwrap_or(0) >= context.step.max_per_minion;
    let is_admissible = !context.is_ejecting
        || hosts.get(host).is_none_or(|record| {
            let is_trial_recent =
                record.consecutive_failures > 0 && agent.is_last_start_recent(context.now_ms);
            context.now_ms >= record.ejected_until_ms && !is_trial_recent
        });
    agent.hello.service == *context.service
        && is_fast_enough(agent, context)
        && agent.accepts_starts(context.now_ms)
        && has_required_label(agent, context.step)
        && !context.avoided_hosts.contains(host)
        && agent
            .probations
            .admit(context.now_ms, context.job, context.suspicion)
        && !is_limited
        && is_admissible
}

/// Returns whether the minion is fast enough for the task. A minion that has
/// become slow gets only what it can still end in time, or one task at a time
/// to show that it has recovered. A stored task waits for no faster minion
/// longer than such a trial takes to show it.
fn is_fast_enough(agent: &AgentState, context: &PlacementContext<'_>) -> bool {
    agent.speed >= MIN_HEALTHY_SPEED
        || context.expected_ms / agent.speed.max(MIN_SPEED) <= context.time_left_ms
        || agent.is_idle()
        || context.is_stored && !agent.is_last_start_recent(context.now_ms)
}

fn has_required_label(agent: &AgentState, step: &Step) -> bool {
    let label = step.required_label.as_ref();
    label.is_none_or(|label| agent.has_label(label))
}

/// Returns how many tasks of the job can share a copy of the spec at the agent.
fn sharing_tasks(agent: &AgentState, context: &PlacementContext<'_>) -> f64 {
    let cpu_milli = context.step.needs.cpu_milli.max(1);
    let fitting_tasks = agent.free().cpu_milli / cpu_milli;
    f64::from(fitting_tasks.min(context.startable_tasks).max(1))
}

/// Returns the expected time until the task would end at the agent, in
/// milliseconds, with a surcharge for the load of its minion.
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
