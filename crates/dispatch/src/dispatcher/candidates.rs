//! Agents that may take tasks in one round of placement, found by what a task
//! requires.
//!
//! A task that fits on none of them costs a look at the largest free resources
//! of its group, so that many tasks without a place do not keep a round from
//! the tasks behind them.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::LinkId;
use crate::Resources;
use crate::Step;
use crate::dispatcher::fleet::AgentState;

/// A look at a task costs as much as the examination of this many agents.
const CHECKS_PER_TASK: usize = 5;

/// The agents of an entry.
type Agents = BTreeMap<LinkId, AgentState>;

/// Agents with free resources, by service and label.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Sorted by link.
    agents: Vec<Candidate>,
    services: BTreeMap<Name, ServiceGroups>,
    /// Number of agents that may still be examined in vain.
    checks_left: usize,
    /// For each demand that no agent suited, the largest slack of its tasks.
    unsuited: BTreeMap<DemandKey, f64>,
}

/// Service, required label and needs of a task, and whether it is stored.
type DemandKey = (Name, Option<Name>, [u32; 3], bool);

/// What a task without requirements of its own asks of an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskDemand<'a> {
    pub(crate) service: &'a Name,
    pub(crate) step: &'a Step,
    pub(crate) is_stored: bool,
    /// Time left until the objective as a multiple of the expected run time. A
    /// task with less slack suits no more agents.
    pub(crate) slack: f64,
}

impl TaskDemand<'_> {
    fn key(&self) -> DemandKey {
        let needs = &self.step.needs;
        let needs = [needs.cpu_milli, needs.memory_mb, needs.accelerators];
        let label = self.step.required_label.clone();
        (self.service.clone(), label, needs, self.is_stored)
    }
}

/// An agent, and its free resources less what was ordered in this round.
#[derive(Debug)]
struct Candidate {
    link: LinkId,
    free: Resources,
}

/// Candidates of one service.
#[derive(Debug, Default)]
struct ServiceGroups {
    all: Group,
    /// Those with each label; `None` until a task requires one.
    by_label: Option<BTreeMap<Name, Group>>,
}

/// Indexes of the candidates of one service, or of those of them with one label.
#[derive(Debug, Default)]
struct Group {
    members: Vec<usize>,
    /// Largest amount of each resource that a member has free, if it is known.
    largest_free: Option<Resources>,
}

impl Group {
    /// Returns whether a member may have these resources free. If not, none has.
    fn may_fit(&mut self, agents: &[Candidate], needs: &Resources) -> bool {
        let largest_free = self.largest_free.get_or_insert_with(|| {
            let free = self.members.iter().map(|index| agents[*index].free);
            free.fold(Resources::default(), |largest, free| largest.max(&free))
        });
        largest_free.can_fit(needs)
    }
}

impl Candidates {
    /// Groups these agents, which are sorted by link and may get starts, by what
    /// they have free.
    pub(crate) fn by_free<'a>(agents: impl Iterator<Item = (&'a LinkId, &'a AgentState)>) -> Self {
        Self::new(agents.map(|(link, agent)| (*link, agent, agent.free())))
    }

    /// Groups these agents, which are sorted by link, as if they were idle.
    pub(crate) fn by_capacity<'a>(
        agents: impl Iterator<Item = (&'a LinkId, &'a AgentState)>,
    ) -> Self {
        Self::new(agents.map(|(link, agent)| (*link, agent, agent.hello.capacity)))
    }

    fn new<'a>(agents: impl Iterator<Item = (LinkId, &'a AgentState, Resources)>) -> Self {
        let mut candidates = Self::default();
        for (index, (link, agent, free)) in agents.enumerate() {
            let service = &agent.hello.service;
            let groups = match candidates.services.get_mut(service) {
                Some(groups) => groups,
                None => candidates.services.entry(service.clone()).or_default(),
            };
            groups.all.members.push(index);
            candidates.agents.push(Candidate { link, free });
        }
        candidates
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Returns whether some candidate may have enough free resources for a task
    /// of the step. If not, none has.
    pub(crate) fn may_fit(&mut self, agents: &Agents, service: &Name, step: &Step) -> bool {
        let (candidates, group) = self.group(agents, service, step);
        group.is_some_and(|group| group.may_fit(candidates, &step.needs))
    }

    /// Returns the candidates with enough free resources for a task of the step.
    pub(crate) fn fitting(&mut self, agents: &Agents, service: &Name, step: &Step) -> Vec<LinkId> {
        let (candidates, group) = self.group(agents, service, step);
        let Some(group) = group else {
            return Vec::new();
        };
        if !group.may_fit(candidates, &step.needs) {
            return Vec::new();
        }
        let members = group.members.iter().map(|index| &candidates[*index]);
        let fitting = members.filter(|candidate| candidate.free.can_fit(&step.needs));
        fitting.map(|candidate| candidate.link).collect()
    }

    /// Returns all candidates, and the group of those among them that offer the
    /// service and have the label that the step requires.
    fn group(
        &mut self,
        agents: &Agents,
        service: &Name,
        step: &Step,
    ) -> (&[Candidate], Option<&mut Group>) {
        let candidates = &self.agents;
        let Some(groups) = self.services.get_mut(service) else {
            return (candidates, None);
        };
        let Some(label) = &step.required_label else {
            return (candidates, Some(&mut groups.all));
        };
        let members = &groups.all.members;
        let by_label = groups
            .by_label
            .get_or_insert_with(|| group_by_label(agents, candidates, members));
        (candidates, by_label.get_mut(label))
    }

    /// Records that a candidate was ordered to start a task with these needs.
    pub(crate) fn add_order(&mut self, link: LinkId, needs: &Resources) {
        let index = self
            .agents
            .binary_search_by_key(&link, |candidate| candidate.link);
        if let Ok(index) = index {
            let candidate = &mut self.agents[index];
            candidate.free = candidate.free.minus(needs);
        }
        for groups in self.services.values_mut() {
            let by_label = groups.by_label.iter_mut().flat_map(BTreeMap::values_mut);
            for group in by_label.chain([&mut groups.all]) {
                group.largest_free = None;
            }
        }
    }

    /// Returns whether a task with the same demand, and no less slack, suited no
    /// agent in this round. Agents only get fuller in the course of it.
    pub(crate) fn is_unsuited(&self, demand: &TaskDemand<'_>) -> bool {
        let slack = self.unsuited.get(&demand.key());
        slack.is_some_and(|slack| demand.slack <= *slack)
    }

    /// Records that a task suited no agent.
    pub(crate) fn add_unsuited(&mut self, demand: &TaskDemand<'_>) {
        let slack = self.unsuited.entry(demand.key()).or_insert(demand.slack);
        *slack = slack.max(demand.slack);
    }

    /// Allows this many more agents to be examined in vain.
    pub(crate) fn allow_checks(&mut self, checks: usize) {
        self.checks_left = checks;
    }

    /// Records that these many agents were examined and none could take a task.
    pub(crate) fn checked_in_vain(&mut self, agents: usize) {
        let checks = agents + CHECKS_PER_TASK;
        self.checks_left = self.checks_left.saturating_sub(checks);
    }

    /// Returns whether as many agents were examined in vain as are allowed.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.checks_left == 0
    }
}

/// Groups the members of a service by the labels of their minions.
fn group_by_label(
    agents: &Agents,
    candidates: &[Candidate],
    members: &[usize],
) -> BTreeMap<Name, Group> {
    let mut by_label: BTreeMap<Name, Group> = BTreeMap::new();
    for index in members {
        let agent = agents.get(&candidates[*index].link);
        for label in agent.into_iter().flat_map(|agent| &agent.hello.labels) {
            let group = by_label.entry(label.clone()).or_default();
            group.members.push(*index);
        }
    }
    by_label
}
