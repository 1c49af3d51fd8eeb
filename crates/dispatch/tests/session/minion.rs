//! Simulated minion: it enforces leases, refuses to start runs that were stopped, and
//! can be slow, stalled or failing.

use std::collections::BTreeMap;

use gannetvane_dispatch::ActiveRun;
use gannetvane_dispatch::EndedRun;
use gannetvane_dispatch::Incarnation;
use gannetvane_dispatch::Listing;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::RunEnd;
use gannetvane_dispatch::RunKey;
use gannetvane_dispatch::StartResult;
use gannetvane_dispatch::TaskId;

/// Largest number of ends in one listing.
const MAX_LISTED_ENDS: usize = 500;
/// Smallest run number of a stored task.
const FIRST_STORED_RUN: u32 = 4_096;
/// Time for which starts may still use the former capacity after a change, in
/// milliseconds: it covers a report on its way to the agent and a start that crosses
/// the report.
const RESIZE_GRACE_MS: u64 = 5;
/// Longest lease that a minion grants if the test sets no other, in milliseconds.
pub(super) const MAX_LEASE_MS: u64 = 1_000;
/// Start time of a minion that starts with the session, in milliseconds since 1970.
const FIRST_START_UNIX_MS: u64 = 1_700_000_000_000;
/// Time between a stop and the end of the run, in milliseconds.
const STOP_MS: u64 = 40;

/// How the runs of a minion progress.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behavior {
    /// Runs progress at the minion's speed.
    #[default]
    Healthy,
    /// Runs fail at once.
    Failing,
    /// Runs make no progress.
    Stalled,
    /// Runs progress this many times slower.
    Slow(f64),
}

/// Resources, work and stop time of an active run.
#[derive(Clone, Debug)]
struct Work {
    needs: Resources,
    remaining_ms: f64,
    total_ms: f64,
    stop_at_ms: Option<u64>,
}

/// One incarnation of a minion.
#[derive(Clone, Debug)]
pub struct FakeMinion {
    pub instance: String,
    pub capacity: Resources,
    /// Factor by which its runs progress faster than on a minion of speed 1.
    pub speed: f64,
    pub behavior: Behavior,
    /// Rate of its clock relative to the clock of the session.
    pub clock_rate: f64,
    /// Number of starts that exceeded the capacity.
    pub overcommits: usize,
    /// Work done for each job, in thousandths of a core times milliseconds.
    pub work_by_job: BTreeMap<String, f64>,
    /// Runs that were done.
    pub done: Vec<RunKey>,
    /// Runs of stored tasks that were started, with their start times.
    pub stored_starts: Vec<(RunKey, u64)>,
    /// Runs whose start call was delayed.
    pub delayed_starts: Vec<RunKey>,
    /// Done runs of stored tasks whose end was acknowledged within the lease, with
    /// the times of their ends.
    pub counted_ends: Vec<(RunKey, u64)>,
    /// Number of failed runs of each task on this minion.
    pub failures: BTreeMap<TaskId, u32>,
    /// Unacknowledged ends of done stored runs by number, each with the run, the
    /// time of the end, and whether the lease has lapsed since.
    unacknowledged_ends: BTreeMap<u64, (RunKey, u64, bool)>,
    started_ms: u64,
    /// Whether the minion reports its start time.
    pub reports_start_time: bool,
    /// Start time that the minion reports instead of its own.
    pub reported_start_unix_ms: Option<u64>,
    /// Whether calls before `up_at_ms` time out; otherwise their connections are
    /// refused.
    pub is_host_down: bool,
    /// Time until which the connections of all calls to it are reset, in milliseconds. It
    /// does not carry these calls out.
    pub resets_until_ms: u64,
    /// Capacity before the last change, and the time until which starts may still
    /// use it.
    former_capacity: Option<(Resources, u64)>,
    /// Time from which it takes calls: its host may start it some time after its
    /// previous incarnation has ended.
    pub up_at_ms: u64,
    /// Longest lease that it grants, in milliseconds.
    pub max_lease_ms: u64,
    epoch: u64,
    lease_until_ms: u64,
    active_runs: BTreeMap<RunKey, Work>,
    /// Highest run number of each task that ended or was stopped; no run up to it may
    /// start.
    highest_runs: BTreeMap<TaskId, u32>,
    ended: Vec<EndedRun>,
    last_end_number: u64,
    last_tick_ms: u64,
}

impl FakeMinion {
    pub fn new(now_ms: u64, instance: &str, capacity: Resources) -> Self {
        Self {
            instance: instance.to_owned(),
            capacity,
            speed: 1.0,
            behavior: Behavior::Healthy,
            clock_rate: 1.0,
            overcommits: 0,
            work_by_job: BTreeMap::new(),
            done: Vec::new(),
            stored_starts: Vec::new(),
            delayed_starts: Vec::new(),
            counted_ends: Vec::new(),
            failures: BTreeMap::new(),
            unacknowledged_ends: BTreeMap::new(),
            started_ms: now_ms,
            reports_start_time: false,
            reported_start_unix_ms: None,
            is_host_down: false,
            resets_until_ms: 0,
            former_capacity: None,
            up_at_ms: now_ms,
            max_lease_ms: MAX_LEASE_MS,
            epoch: 0,
            lease_until_ms: 0,
            active_runs: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            last_tick_ms: now_ms,
        }
    }

    /// Returns the minion's id, with its start time if it reports one.
    pub fn incarnation(&self) -> Incarnation {
        let own_ms = FIRST_START_UNIX_MS + self.started_ms;
        let reported_ms = self.reported_start_unix_ms.unwrap_or(own_ms);
        let started_unix_ms = self.reports_start_time.then_some(reported_ms);
        Incarnation::new(self.instance.as_str().into(), started_unix_ms)
    }

    /// Changes the capacity.
    pub fn resize(&mut self, now_ms: u64, capacity: Resources) {
        let former_capacity = std::mem::replace(&mut self.capacity, capacity);
        self.former_capacity = Some((former_capacity, now_ms + RESIZE_GRACE_MS));
    }

    /// Returns the sequence number of a report, which starts from 0 in each
    /// incarnation.
    pub fn sequence(&self, now_ms: u64) -> u64 {
        now_ms - self.started_ms
    }

    /// Returns the highest epoch that it has seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Extends the lease until this time on the minion's clock, limited to the longest
    /// lease that it grants.
    fn lease(&mut self, now_ms: u64, deadline_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + self.max_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest_ms));
    }

    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        1_000 + ((now_ms - self.started_ms) as f64 * self.clock_rate) as u64
    }

    pub fn running(&self) -> impl Iterator<Item = &RunKey> {
        self.active_runs.keys()
    }

    /// Returns the free resources.
    pub fn free(&self) -> Resources {
        let active_runs = self.active_runs.values();
        active_runs.fold(self.capacity, |free, work| free.minus(&work.needs))
    }

    /// Starts a run; `needs` and `work_ms` replace what the task's specification would
    /// say.
    pub fn start(
        &mut self,
        now_ms: u64,
        key: &RunKey,
        needs: Resources,
        work_ms: f64,
        deadline_ms: u64,
        epoch: u64,
    ) -> StartResult {
        self.tick(now_ms);
        if epoch < self.epoch {
            return StartResult::Fenced;
        }
        self.epoch = epoch;
        if self.active_runs.contains_key(key) {
            return StartResult::Started;
        }
        if self
            .highest_runs
            .get(&key.task)
            .is_some_and(|run| key.run <= *run)
        {
            return StartResult::OldRun;
        }
        if deadline_ms <= self.clock_ms(now_ms) {
            return StartResult::Late;
        }
        self.lease(now_ms, deadline_ms);
        if self.behavior == Behavior::Failing {
            self.end(key.clone(), RunEnd::Failed);
            return StartResult::Started;
        }
        let taken = self.active_runs.values();
        let taken = taken.fold(needs, |sum, work| sum.plus(&work.needs));
        let former_capacity = self
            .former_capacity
            .filter(|(_, until_ms)| now_ms < *until_ms);
        let allowed =
            former_capacity.map_or(self.capacity, |(capacity, _)| capacity.max(&self.capacity));
        if !allowed.can_fit(&taken) {
            self.overcommits += 1;
        }
        if key.run >= FIRST_STORED_RUN {
            self.stored_starts.push((key.clone(), now_ms));
        }
        let work = Work {
            needs,
            remaining_ms: work_ms,
            total_ms: work_ms,
            stop_at_ms: None,
        };
        self.active_runs.insert(key.clone(), work);
        StartResult::Started
    }

    pub fn stop(&mut self, now_ms: u64, key: &RunKey, epoch: u64) -> bool {
        self.tick(now_ms);
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        let highest_run = self.highest_runs.entry(key.task.clone()).or_insert(0);
        if !self.active_runs.contains_key(key) {
            *highest_run = (*highest_run).max(key.run);
        }
        if let Some(work) = self.active_runs.get_mut(key) {
            work.stop_at_ms.get_or_insert(now_ms + STOP_MS);
        }
        true
    }

    /// Extends the lease and drops the ends that are acknowledged.
    pub fn extend(
        &mut self,
        now_ms: u64,
        epoch: u64,
        acknowledged_through: u64,
        deadline_ms: Option<u64>,
    ) {
        self.tick(now_ms);
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        if let Some(deadline_ms) = deadline_ms {
            self.lease(now_ms, deadline_ms);
        }
        self.ended
            .retain(|ended| ended.number > acknowledged_through);
        let unacknowledged_ends = self
            .unacknowledged_ends
            .split_off(&(acknowledged_through + 1));
        for (_, (key, ended_ms, is_lapsed)) in
            std::mem::replace(&mut self.unacknowledged_ends, unacknowledged_ends)
        {
            if !is_lapsed {
                self.counted_ends.push((key, ended_ms));
            }
        }
    }

    /// Returns the active runs and the unacknowledged ends.
    pub fn list(&self, now_ms: u64, epoch: u64) -> Listing {
        if epoch < self.epoch {
            return Listing {
                clock_ms: self.clock_ms(now_ms),
                ..Listing::default()
            };
        }
        let running = self.active_runs.iter().map(|(key, work)| ActiveRun {
            key: Some(key.clone()),
            percent: (100.0 * (1.0 - work.remaining_ms / work.total_ms)) as u8,
        });
        Listing {
            started_unix_ms: self.incarnation().started_unix_ms(),
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
        }
    }

    /// Whether there is an unacknowledged end.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    pub fn tick(&mut self, now_ms: u64) {
        let passed_ms = (now_ms - self.last_tick_ms) as f64;
        self.last_tick_ms = now_ms;
        let speed = match self.behavior {
            Behavior::Stalled => 0.0,
            Behavior::Slow(factor) => self.speed / factor,
            _ => self.speed,
        };
        let is_lapsed = self.clock_ms(now_ms) > self.lease_until_ms;
        if is_lapsed {
            for (_, _, was_lapsed) in self.unacknowledged_ends.values_mut() {
                *was_lapsed = true;
            }
        }
        let mut ended = Vec::new();
        for (key, work) in &mut self.active_runs {
            work.remaining_ms -= passed_ms * speed;
            if passed_ms > 0.0 {
                let job_work = self
                    .work_by_job
                    .entry(key.task.job.to_string())
                    .or_default();
                *job_work += passed_ms * f64::from(work.needs.cpu_milli);
            }
            if work.stop_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                ended.push((key.clone(), RunEnd::Stopped));
            } else if is_lapsed {
                ended.push((key.clone(), RunEnd::Lost));
            } else if work.remaining_ms <= 0.0 {
                ended.push((key.clone(), RunEnd::Done));
            }
        }
        for (key, end) in ended {
            self.active_runs.remove(&key);
            self.end(key, end);
        }
    }

    fn end(&mut self, key: RunKey, end: RunEnd) {
        let highest_run = self.highest_runs.entry(key.task.clone()).or_insert(0);
        *highest_run = (*highest_run).max(key.run);
        match end {
            RunEnd::Done => self.done.push(key.clone()),
            RunEnd::Failed => *self.failures.entry(key.task.clone()).or_insert(0) += 1,
            _ => {}
        }
        self.last_end_number += 1;
        if end == RunEnd::Done && key.run >= FIRST_STORED_RUN {
            let unacknowledged_end = (key.clone(), self.last_tick_ms, false);
            self.unacknowledged_ends
                .insert(self.last_end_number, unacknowledged_end);
        }
        self.ended.push(EndedRun {
            number: self.last_end_number,
            key: Some(key),
            end,
        });
    }
}
