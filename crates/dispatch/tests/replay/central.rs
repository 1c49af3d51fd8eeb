//! Reference for the replays: a central queue that knows all minions and all work at no
//! cost. It shows what the entries together could reach at best with the same order of work.

use gannetvane_dispatch::Resources;

use crate::pattern::Arrival;
use crate::pattern::Pattern;
use crate::report::Outcome;
use crate::session::MinionKind;
use crate::session::zone_number;

/// Time after which a caller whose entry is down sends its job again, in milliseconds.
const RESEND_MS: u64 = 1_300;

/// A run of a task.
struct Running {
    job: usize,
    task: usize,
    minion: usize,
    /// Remaining work, in milliseconds on an ordinary minion.
    remaining_ms: f64,
}

/// A job that has not ended.
struct Waiting {
    job: usize,
    /// Tasks that neither run nor have been completed.
    tasks: Vec<usize>,
    /// Number of tasks that have not been completed.
    unfinished: usize,
    has_started: bool,
}

/// Runs the arrivals through the central queue and returns the outcome of each job.
pub fn simulate(pattern: &Pattern, arrivals: &[Arrival]) -> Vec<Outcome> {
    let mut queue = Central {
        kinds: pattern.kinds(),
        arrivals,
        running: Vec::new(),
        waiting: Vec::new(),
        outcomes: vec![Outcome::Refused; arrivals.len()],
    };
    let mut upcoming: Vec<(u64, usize)> = Vec::new();
    for (job, arrival) in arrivals.iter().enumerate() {
        upcoming.push((pattern.received_ms(arrival.at_ms), job));
    }
    upcoming.sort_unstable();
    let mut upcoming = upcoming.into_iter().peekable();
    let mut now_ms = 0;
    while upcoming.peek().is_some() || !queue.waiting.is_empty() {
        now_ms += 1;
        queue.advance(now_ms, pattern);
        while let Some((_, job)) = upcoming.next_if(|(at_ms, _)| *at_ms <= now_ms) {
            let tasks = arrivals[job].shape.work_ms.len();
            queue.waiting.push(Waiting {
                job,
                tasks: (0..tasks).collect(),
                unfinished: tasks,
                has_started: false,
            });
        }
        queue.start_tasks(now_ms, pattern);
    }
    queue.outcomes
}

impl Pattern {
    /// Returns when a job that is sent at `at_ms` reaches an entry, in milliseconds.
    fn received_ms(&self, at_ms: u64) -> u64 {
        let is_down = self.outages.iter().any(|outage| {
            outage.with_entries && (outage.at_ms..outage.at_ms + outage.for_ms).contains(&at_ms)
        });
        if is_down { at_ms + RESEND_MS } else { at_ms }
    }

    /// Whether a minion is down or grey. Unlike the entries, the central queue knows which
    /// minions are grey.
    fn is_unusable(&self, minion: usize, now_ms: u64) -> bool {
        let is_grey = self
            .grey
            .iter()
            .any(|grey| grey.is_active(now_ms) && grey.minions().contains(&minion));
        is_grey || self.is_down(minion, now_ms)
    }

    /// Whether a minion takes no starts: it is unusable, or its zone is evacuated.
    fn takes_no_starts(&self, minion: usize, now_ms: u64) -> bool {
        let zone = zone_number(minion);
        let here = self.evacuations.iter().filter(|one| one.zone == zone);
        let mut present = here.filter(|one| one.is_active(now_ms));
        self.is_unusable(minion, now_ms) || present.next().is_some()
    }

    /// Whether an outage takes a minion down at this time.
    fn is_down(&self, minion: usize, now_ms: u64) -> bool {
        self.outages.iter().any(|outage| {
            minion < outage.minions
                && (outage.at_ms..outage.at_ms + outage.for_ms).contains(&now_ms)
        })
    }
}

/// State of the central queue.
struct Central<'a> {
    kinds: Vec<MinionKind>,
    arrivals: &'a [Arrival],
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    outcomes: Vec<Outcome>,
}

impl Central<'_> {
    /// Advances all runs by a millisecond. Runs on unusable minions are lost, and their tasks
    /// wait again.
    fn advance(&mut self, now_ms: u64, pattern: &Pattern) {
        for run in std::mem::take(&mut self.running) {
            let remaining_ms = run.remaining_ms - self.kinds[run.minion].speed;
            let position = self.waiting.iter().position(|one| one.job == run.job);
            let Some(position) = position else {
                continue;
            };
            if pattern.is_unusable(run.minion, now_ms) {
                self.waiting[position].tasks.push(run.task);
            } else if remaining_ms > 0.0 {
                self.running.push(Running {
                    remaining_ms,
                    ..run
                });
            } else {
                self.waiting[position].unfinished -= 1;
                if self.waiting[position].unfinished == 0 {
                    let arrival = &self.arrivals[run.job];
                    let is_late = now_ms > arrival.at_ms + arrival.objective_ms;
                    self.outcomes[run.job] = if is_late {
                        Outcome::Late
                    } else {
                        Outcome::InTime
                    };
                    self.waiting.remove(position);
                }
            }
        }
    }

    /// Starts the tasks for which there are free resources: first those of started jobs, then
    /// those of the jobs that must start soonest. Drops jobs that have not started and would
    /// be late.
    fn start_tasks(&mut self, now_ms: u64, pattern: &Pattern) {
        let arrivals = self.arrivals;
        self.waiting
            .retain(|one| one.has_started || now_ms as f64 <= latest_start_ms(&arrivals[one.job]));
        self.waiting.sort_by(|one, other| {
            let latest = |one: &Waiting| latest_start_ms(&arrivals[one.job]);
            let started = other.has_started.cmp(&one.has_started);
            started.then(latest(one).total_cmp(&latest(other)))
        });
        let mut free: Vec<Resources> = self.kinds.iter().map(|kind| kind.capacity).collect();
        for run in &self.running {
            free[run.minion] = free[run.minion].minus(&arrivals[run.job].shape.needs);
        }
        for one in &mut self.waiting {
            let shape = &arrivals[one.job].shape;
            while let Some(task) = one.tasks.last().copied() {
                let fits = (0..self.kinds.len())
                    .filter(|minion| free[*minion].can_fit(&shape.needs))
                    .filter(|minion| !pattern.takes_no_starts(*minion, now_ms));
                let speed = |minion: &usize| self.kinds[*minion].speed;
                let Some(minion) = fits.max_by(|a, b| speed(a).total_cmp(&speed(b))) else {
                    return;
                };
                free[minion] = free[minion].minus(&shape.needs);
                one.tasks.pop();
                one.has_started = true;
                self.running.push(Running {
                    job: one.job,
                    task,
                    minion,
                    remaining_ms: shape.work_ms[task],
                });
            }
        }
    }
}

/// Returns the latest time at which a job can start on an ordinary minion and be in time,
/// in milliseconds.
fn latest_start_ms(arrival: &Arrival) -> f64 {
    let longest_ms = arrival.shape.work_ms.iter().copied().fold(0.0, f64::max);
    (arrival.at_ms + arrival.objective_ms) as f64 - longest_ms
}
