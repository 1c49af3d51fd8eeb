//! Minions whose capacity shrinks or grows: share, backlog and placement use
//! the present capacity, and jobs that fit nowhere any more are refused at
//! once.

use crate::Job;
use crate::LinkId;
use crate::Refusal;
use crate::Resources;
use crate::dispatcher::Dispatcher;
use crate::policy::placement;

impl Dispatcher {
    /// Takes over the capacity that an agent reported for its minion.
    pub(crate) fn agent_capacity_changed(
        &mut self,
        now_ms: u64,
        link: LinkId,
        capacity: Resources,
    ) {
        let Some(agent) = self.agents.get_mut(&link) else {
            return;
        };
        let former = agent.hello.capacity;
        agent.set_capacity(capacity);
        let detail = format!("host={} from={former:?} to={capacity:?}", agent.hello.host);
        self.event("agent-resized", None, detail);
        let has_shrunk = !capacity.can_fit(&former);
        if has_shrunk {
            let is_unplaceable = |this: &Self, job: &Job| this.capacity_refusal(job).is_some();
            self.refuse_never_run(now_ms, Refusal::Overloaded, is_unplaceable);
        }
    }

    /// Returns the reason to refuse a job that has a step which no minion can
    /// run: no minion has ever had the capacity for it, or none has it at
    /// present. Returns `None` if each step fits on some minion.
    pub(crate) fn capacity_refusal(&self, job: &Job) -> Option<Refusal> {
        let service = &job.queue.service;
        let agents = || self.agents.values();
        let fits = |step| placement::fits_somewhere(agents(), service, step);
        let has_fitted = |step| placement::has_fitted_somewhere(agents(), service, step);
        if job.steps.iter().all(fits) {
            None
        } else if job.steps.iter().all(has_fitted) {
            Some(Refusal::Overloaded)
        } else {
            Some(Refusal::NeverFits)
        }
    }
}
