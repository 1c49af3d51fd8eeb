//! What an entry does about minions whose room shrinks or grows: share, backlog
//! and placement go by the present room, and what fits nowhere any more is refused
//! at once.

use crate::Job;
use crate::LinkId;
use crate::Refusal;
use crate::Resources;
use crate::dispatcher::Dispatcher;
use crate::policy::placement;

impl Dispatcher {
    /// An agent told that its minion has other room than before.
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
        if !capacity.can_fit(&former) {
            let is_unplaceable = |this: &Self, job: &Job| this.capacity_refusal(job).is_some();
            self.refuse_never_run(now_ms, Refusal::Overloaded, is_unplaceable);
        }
    }

    /// Why no minion can run some step of a job: none has ever had the room, or
    /// none has it at present.
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
