//! Selects the task that a home starts next, and its slot.

use std::collections::BTreeMap;

use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::Preference;
use gannetvane_wire::Reason;
use gannetvane_wire::TaskStart;

use crate::Action;
use crate::Peer;
use crate::home::Context;
use crate::home::Deadline;
use crate::home::Home;
use crate::service::Placement;
use crate::service::PlacementInputs;
use crate::submission::OpenSubmission;
use crate::submission::StartedTask;
use crate::submission::TaskState;

/// Factor on a task's straggler time, the run time that almost no task of its
/// kind exceeds. The start of a task without a result is sent again after this
/// multiple of that time.
const CHECK_INTERVAL_FACTOR: u64 = 2;
/// Minimum time in milliseconds after which the start of a task without a
/// result is sent again.
const MIN_CHECK_INTERVAL_MS: u64 = 2_000;

impl Home {
    /// Starts waiting tasks while the home has credits for them.
    pub(crate) fn dispatch(&mut self, ctx: &mut Context<'_>, name: &Name) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        if service.queue.is_empty() {
            self.lend(ctx, name);
            return;
        }
        self.lend_to_more_urgent(ctx, name);
        let mut starts: BTreeMap<Peer, Vec<TaskStart>> = BTreeMap::new();
        let mut last = None;
        while let Some(placement) = self.place_next(ctx, name, last) {
            last = Some(placement);
            if let Some((agent, start)) = self.start(ctx, placement) {
                starts.entry(agent).or_default().push(start);
            }
        }
        for (to, batch) in starts {
            ctx.actions.push(Action::Send {
                to,
                message: Message::Start(batch),
            });
        }
        self.ask_for_credits(ctx, name);
    }

    /// Returns the next task and its slot. A submission that can no longer meet
    /// its deadline is ended here, so that its tasks take no slots from others.
    pub(crate) fn place_next(
        &mut self,
        ctx: &mut Context<'_>,
        name: &Name,
        last: Option<Placement>,
    ) -> Option<Placement> {
        loop {
            let placement = self.choose_next(ctx, name, last)?;
            let open = self.open.get(&placement.id)?;
            let end_ms = ctx.now_ms + u64::from(placement.task.estimate_ms);
            if end_ms <= open.deadline_at_ms {
                return Some(placement);
            }
            let at_ms = open.deadline_at_ms;
            let service = self.services.get_mut(name)?;
            service
                .credits
                .add(placement.credit, ctx.now_ms, ctx.now_ms);
            let deadline = Deadline {
                at_ms,
                id: placement.id,
            };
            self.close_for_deadline(ctx, deadline, Reason::DeadlineUnreachable);
        }
    }

    /// Chooses the next task and takes a credit for it, without regard to its
    /// deadline.
    pub(crate) fn choose_next(
        &mut self,
        ctx: &Context<'_>,
        name: &Name,
        last: Option<Placement>,
    ) -> Option<Placement> {
        let open = &self.open;
        let service = self.services.get_mut(name)?;
        let homes = u32::try_from(service.group.len()).unwrap_or(1);
        let teams = service
            .teams
            .order(service.queue.teams(), &ctx.configuration.teams, homes);
        let config = ctx.configuration.services.get(name);
        let placing = PlacementInputs {
            now_ms: ctx.now_ms,
            view: ctx.view,
            teams: &teams,
            preference: config.map_or(Preference::ResponseTime, |config| config.preference),
            last,
        };
        service.place(&placing, |id, index| needs_of(open.get(&id), index))
    }

    /// Marks a task as started; returns its agent and the start message.
    pub(crate) fn start(
        &mut self,
        ctx: &Context<'_>,
        placement: Placement,
    ) -> Option<(Peer, TaskStart)> {
        let Placement { id, task, credit } = placement;
        let open = self.open.get_mut(&id)?;
        let agent = ctx.view.peer(credit.agent)?;
        let service = self.services.get_mut(&open.submission.service)?;
        let wire_task = open.submission.tasks.get(usize::from(task.index))?;
        let straggler_ms = service
            .estimates
            .straggler_ms(&wire_task.kind, wire_task.declared_ms);
        let check_interval_ms =
            (u64::from(straggler_ms) * CHECK_INTERVAL_FACTOR).max(MIN_CHECK_INTERVAL_MS);
        let check_at_ms = ctx.now_ms + check_interval_ms;
        let started = StartedTask {
            credit,
            agent,
            check_at_ms,
            check_interval_ms,
            is_resent: false,
            broken_connections: 0,
        };
        service.running += 1;
        service.teams.started(&open.submission.team);
        service.health.started(credit.agent);
        open.tasks[usize::from(task.index)].state = TaskState::Started(started);
        Some((agent, open.task_start(ctx.now_ms, id, task.index, credit)))
    }
}

fn needs_of(open: Option<&OpenSubmission>, index: u16) -> Needs {
    open.and_then(|open| open.submission.tasks.get(usize::from(index)))
        .map(|task| task.needs)
        .unwrap_or_default()
}
