//! What must hold, seen from outside.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gannetvane_platform_standins::MinionStandIn;
use gannetvane_platform_standins::Proxy;
use gannetvane_platform_standins::post_job;
use gannetvane_platform_standins::stored_state;

use crate::site::EMPTIED_PLACE;
use crate::site::EVACUATE_KEY;
use crate::site::ROOM;
use crate::site::Soak;
use crate::site::ZONES_PART;

/// Time from the request until nothing is started there any more, in calm.
const EVACUATED_WITHIN_MS: u64 = 1_000;

impl Soak {
    /// Waits until every stored job is told as complete by any entry.
    pub fn wait_stored(&self) {
        let jobs = self.jobs.lock().expect("no panic").clone();
        let end = Instant::now() + Duration::from_secs(30);
        for (id, _) in jobs.iter().filter(|(_, job)| job.is_accepted) {
            let is_completed = |front: &Proxy| stored_state(front.addr, id).1.contains("completed");
            while !self.fronts.iter().all(is_completed) {
                if Instant::now() > end {
                    self.violate(format!("stored job {id} has not ended"));
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Operators empty a zone and take it back, once all is calm.
    pub fn check_evacuation(&self) {
        let emptied: Vec<&MinionStandIn> = self
            .minions
            .iter()
            .skip(EMPTIED_PLACE)
            .step_by(ZONES_PART)
            .collect();
        let starts = || -> usize { emptied.iter().map(|minion| minion.starts().len()).sum() };
        // More tasks than the other zone has room for at once.
        let tasks = (self.minions.len() - emptied.len()) * ROOM + 4;
        let fill = |id: &str| post_job(self.fronts[0].addr, id, tasks, 50);
        self.store.put("keyed.op", EVACUATE_KEY, b"{}");
        thread::sleep(Duration::from_millis(EVACUATED_WITHIN_MS));
        let before = starts();
        fill("0000000000e0e0e0");
        self.wait_served("while a zone is emptied");
        if starts() > before {
            self.violate("a task was started in a zone that is emptied".to_owned());
        }
        self.store.put("keyed.op", EVACUATE_KEY, b"");
        let end = Instant::now() + Duration::from_secs(10);
        while starts() == before && Instant::now() < end {
            fill("0000000000e0e0e1");
        }
        if starts() == before {
            self.violate("nothing is started in a zone that was taken back".to_owned());
        }
    }

    /// What callers were told, against what the minions did.
    pub fn check_answers(&self) {
        let jobs = self.jobs.lock().expect("no panic");
        let started: BTreeSet<String> = self
            .minions
            .iter()
            .flat_map(MinionStandIn::starts)
            .collect();
        let done: BTreeSet<String> = self.minions.iter().flat_map(MinionStandIn::done).collect();
        for (id, job) in jobs.iter() {
            let is_refused = job
                .statuses
                .iter()
                .all(|status| matches!(status, 429 | 503));
            let was_started = started.iter().any(|task| task.starts_with(id.as_str()));
            if is_refused && was_started {
                self.violate(format!("job {id} was refused as not run, and ran"));
            }
            let is_whole = (0..job.tasks).all(|index| done.contains(&format!("{id}.0.0.{index}")));
            if job.is_completed && !is_whole {
                self.violate(format!("job {id} was told complete and is not"));
            }
        }
    }
}

/// Looks for tasks that run twice and minions over their room.
pub fn watch(minions: &[MinionStandIn], violations: &Mutex<Vec<String>>, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let mut seen = BTreeSet::new();
        for tasks in MinionStandIn::running_together(minions) {
            if tasks.len() > ROOM {
                violations
                    .lock()
                    .expect("no panic")
                    .push(format!("{} tasks at once", tasks.len()));
            }
            for task in tasks {
                if !seen.insert(task.clone()) {
                    violations
                        .lock()
                        .expect("no panic")
                        .push(format!("{task} runs twice"));
                }
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}
