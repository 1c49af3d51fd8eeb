//! The cases: each plays one disruption on a small deployment and judges one rule by what
//! clients and minions have seen.

use std::thread;
use std::time::Duration;

use crate::Deployment;
use crate::FINISH_S;
use crate::MinionSpec;
use crate::Record;
use crate::VISIBLE_MS;
use crate::job_ids;
use crate::json::Json;
use crate::stored_job;

/// Time after the ack of a cancel from which no task of the job may start.
const CANCEL_MS: u64 = 3_000;

/// The rule held, was broken, or the case couldn't run.
pub enum Verdict {
    Held,
    Broken,
}

/// Runs a case: its name, the repository, the path of the record. Returns the exit code.
pub fn run(args: &[String]) -> i32 {
    let [name, repository, record] = args else {
        eprintln!("usage: harness case NAME REPOSITORY RECORD");
        return 2;
    };
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(record);
    record.line(&format!("case {name} disrupted={is_disturbed}"));
    let outcome = match name.as_str() {
        "starved" => starved(repository, &record, is_disturbed),
        "cancelled" => cancelled(repository, &record, is_disturbed),
        "pending" => pending(repository, &record, is_disturbed),
        "crashed" => crashed(repository, &record, is_disturbed),
        "avoided" => avoided(repository, &record, is_disturbed),
        "soak" => crate::soak::run(repository, &record),
        "cancels" => crate::soak::cancels(repository, &record),
        "many" => crate::soak::many(repository, &record),
        _ => Err(format!("unknown case {name}")),
    };
    let (text, code) = match outcome {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(cause) => (format!("the case couldn't run: {cause}"), 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{name}: {text}");
    code
}

/// Minions of 16 cores, of which the last alone is of kind `b`.
pub fn specs(count: usize) -> Vec<MinionSpec> {
    let spec = |index: usize| MinionSpec {
        labels: format!(
            "{},r1-{}",
            if index + 1 == count { "b" } else { "a" },
            index / 3 + 1
        ),
        cpu: 16_000,
    };
    (0..count).map(spec).collect()
}

pub fn pause_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// LOST: stored jobs whose tasks fit only on one minion, which is lost for good, keep all
/// other jobs of their entries from starting.
fn starved(repository: &str, record: &Record, is_disturbed: bool) -> Result<Verdict, String> {
    const MINIONS: usize = 8;
    let mut deployment = Deployment::start(repository, record.clone(), 3, specs(MINIONS))?;
    deployment.warm_up()?;
    let bound = job_ids(1, 60);
    let body = stored_job(1, 200, 8_000, 8_000, Some("b"));
    let mut accepted_bound = 0;
    for (index, id) in bound.iter().enumerate() {
        accepted_bound += u32::from(deployment.submit(index % 3, id, &body) == 200);
    }
    let started = || {
        bound
            .iter()
            .filter(|id| !deployment.events_of(id).is_empty())
            .count()
    };
    let mut waits = 0;
    while started() < accepted_bound as usize && waits < 40 {
        pause_ms(100);
        waits += 1;
    }
    record.line(&format!(
        "bound jobs accepted={accepted_bound} started={}",
        started()
    ));
    if accepted_bound < 50 {
        return Err("too few jobs were accepted".to_owned());
    }
    if is_disturbed {
        deployment.crash_minion(MINIONS - 1);
    }
    pause_ms(2_000);
    let free = job_ids(2, 12);
    let body = stored_job(1, 1_000, 300, 300, None);
    let mut accepted = Vec::new();
    for (index, id) in free.iter().enumerate() {
        if deployment.submit(index % 3, id, &body) == 200 {
            accepted.push(id.clone());
        }
    }
    if accepted.len() < 6 {
        return Err("too few free jobs were accepted".to_owned());
    }
    pause_ms(FINISH_S * 1_000);
    let idle = count_idle(&deployment, &accepted);
    record.line(&format!(
        "free jobs accepted={} idle={idle}",
        accepted.len()
    ));
    deployment.note_logs(&accepted[0]);
    Ok(if idle > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// UNASKED: a client gives up on an entry that stands still and cancels its jobs at another
/// one; the entry wakes and hands the jobs in, and they run.
fn cancelled(repository: &str, record: &Record, is_disturbed: bool) -> Result<Verdict, String> {
    const STOPPED_MS: u64 = 4_000;
    const PATIENCE_MS: u64 = 400;
    let mut deployment = Deployment::start(repository, record.clone(), 3, specs(8))?;
    deployment.warm_up()?;
    let earlier = job_ids(8, 24);
    let body = stored_job(1, 500, 50, 50, None);
    for id in &earlier {
        deployment.submit(2, id, &body);
    }
    pause_ms(1_000);
    let ids = job_ids(9, 12);
    let body = r#"{"spec":"ms=600","steps":[{"count":1,"cpu":500,"mem_mb":16,"est_runtime_ms":600},{"count":1,"cpu":500,"mem_mb":16,"est_runtime_ms":600,"after":[0]}]}"#;
    if is_disturbed {
        deployment.signal("front-2", "STOP");
    }
    let stopped_ms = record.ms();
    let clients = ids.iter().map(|id| {
        let (id, record) = (id.clone(), record.clone());
        let (first, other) = (deployment.front(2), deployment.front(0));
        thread::spawn(move || {
            let send = |front, method: &str, body: &str, timeout_ms: u64| {
                let headers = [
                    ("Host", "desk.example".to_owned()),
                    ("Gannetvane-Timeout-Ms", timeout_ms.to_string()),
                ];
                let path = format!("/slots/{id}");
                let timeout = Duration::from_millis(timeout_ms);
                let (status, _) = crate::call(front, method, &path, &headers, body, timeout);
                record.line(&format!("client {method} {id}: {status}"));
                status
            };
            send(first, "POST", body, PATIENCE_MS);
            let status = send(other, "DELETE", "", 2_500);
            let is_acked = (200..300).contains(&status) || status == 410;
            (id, is_acked.then(|| record.ms()))
        })
    });
    let clients: Vec<_> = clients.collect();
    let cancels: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    pause_ms(STOPPED_MS.saturating_sub(record.ms() - stopped_ms));
    if is_disturbed {
        deployment.signal("front-2", "CONT");
    }
    pause_ms(8_000);
    let mut unasked = 0;
    for (id, acked_ms) in &cancels {
        let Some(acked_ms) = acked_ms else { continue };
        let events = deployment.events_of(id);
        let starts = events.iter().filter(|event| event.what == "start");
        let late: Vec<u64> = starts
            .filter(|event| event.at_ms > acked_ms + CANCEL_MS)
            .map(|event| event.at_ms - acked_ms)
            .collect();
        let state = deployment.state(id);
        record.line(&format!(
            "job {id} state={state} starts_ms_after_cancel={late:?}"
        ));
        if !late.is_empty() {
            unasked += 1;
            deployment.note_logs(id);
        }
    }
    let acked = cancels
        .iter()
        .filter(|(_, acked_ms)| acked_ms.is_some())
        .count();
    record.line(&format!(
        "cancels acked={acked} started afterwards={unasked}"
    ));
    if acked < 4 {
        return Err("too few cancels were answered".to_owned());
    }
    Ok(if unasked > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// MIXED: jobs of which no task has started are missing in `pending`.
fn pending(repository: &str, record: &Record, is_disturbed: bool) -> Result<Verdict, String> {
    const MINIONS: usize = 10;
    const JOBS: u64 = 10;
    let mut deployment = Deployment::start(repository, record.clone(), 3, specs(MINIONS))?;
    deployment.warm_up()?;
    if is_disturbed {
        deployment.tell_minion(MINIONS - 1, "mute");
    }
    let ids = job_ids(4, JOBS);
    // Without the disruption, the jobs have to wait too: they fit nowhere for a while.
    if !is_disturbed {
        let blocker = stored_job(1, 16_000, 9_000, 9_000, Some("b"));
        if deployment.submit(0, "00000000000000bb", &blocker) != 200 {
            return Err("the first job was not accepted".to_owned());
        }
        pause_ms(500);
    }
    let body = stored_job(1, 1_000, 1_000, 1_000, Some("b"));
    for (index, id) in ids.iter().enumerate() {
        if deployment.submit(index % 3, id, &body) != 200 {
            return Err("a job was not accepted".to_owned());
        }
    }
    pause_ms(VISIBLE_MS + 2_000 + 200);
    let mut is_broken = false;
    for entry in 0..3 {
        let (status, answer) = deployment.request(entry, "GET", "", "");
        let begun = ids
            .iter()
            .filter(|id| !deployment.events_of(id).is_empty())
            .count();
        record.line(&format!(
            "pending at front-{entry}: {status} {answer}; accepted={JOBS} begun={begun}"
        ));
        let pending = Json::parse(&answer).and_then(|answer| answer.number("pending"));
        if let Some(pending) = pending.filter(|_| status == 200) {
            is_broken |= pending * 2 < JOBS - begun as u64;
        }
    }
    if is_disturbed {
        deployment.tell_minion(MINIONS - 1, "speak");
    }
    for id in &ids {
        let state = deployment.wait_end(id, 40);
        record.line(&format!("job {id} state={state}"));
    }
    deployment.note_logs(&ids[0]);
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Waits, and then looks at each job for over 3 s: returns for how many of them nothing ran
/// all the while, although they had not ended.
fn count_idle(deployment: &Deployment, ids: &[String]) -> usize {
    const SAMPLES: usize = 9;
    let record = &deployment.record;
    let mut idle_samples = vec![0; ids.len()];
    for _ in 0..SAMPLES {
        let mut running = 0;
        for (index, id) in ids.iter().enumerate() {
            let is_running = deployment.running(id) > 0;
            running += usize::from(is_running);
            idle_samples[index] += usize::from(!is_running && !deployment.is_done(id));
        }
        record.line(&format!(
            "of {} jobs, {running} have a running task; running tasks by minion: {:?}",
            ids.len(),
            deployment.running_by_minion(),
        ));
        pause_ms(400);
    }
    let mut idle = 0;
    for (index, id) in ids.iter().enumerate() {
        if idle_samples[index] == SAMPLES {
            let state = deployment.state(id);
            record.line(&format!(
                "job {id} had nothing running for 3.2 s; state={state}"
            ));
            idle += usize::from(matches!(state.as_str(), "queued" | "running"));
        }
    }
    idle
}

/// LOST: after one crash of a minion, its jobs are started again only one at a time on each
/// minion, although there is room for all.
fn crashed(repository: &str, record: &Record, is_disturbed: bool) -> Result<Verdict, String> {
    const MINIONS: usize = 8;
    let mut deployment = Deployment::start(repository, record.clone(), 3, specs(MINIONS))?;
    deployment.warm_up()?;
    let ids = job_ids(5, 160);
    let body = stored_job(1, 200, 12_000, 12_000, None);
    let mut accepted = Vec::new();
    for (index, id) in ids.iter().enumerate() {
        if deployment.submit(index % 3, id, &body) == 200 {
            accepted.push(id.clone());
        }
    }
    pause_ms(500);
    if is_disturbed {
        let minion = deployment.busiest();
        deployment.crash_minion(minion);
        pause_ms(4_500);
        deployment.start_minion(minion)?;
        pause_ms(FINISH_S * 1_000 - 4_500);
    } else {
        pause_ms(FINISH_S * 1_000);
    }
    let idle = count_idle(&deployment, &accepted);
    record.line(&format!("accepted={} idle={idle}", accepted.len()));
    Ok(if idle > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// LOST: a job whose minion crashed isn't started there again, although that minion is back
/// and idle, while the only others that could run it are full.
fn avoided(repository: &str, record: &Record, is_disturbed: bool) -> Result<Verdict, String> {
    const MINIONS: usize = 10;
    let mut specs = specs(MINIONS);
    specs[MINIONS - 2].labels = specs[MINIONS - 1].labels.clone();
    let mut deployment = Deployment::start(repository, record.clone(), 3, specs)?;
    deployment.warm_up()?;
    let blocker = job_ids(6, 1).remove(0);
    let body = stored_job(1, 16_000, 60_000, 60_000, Some("b"));
    if deployment.submit(0, &blocker, &body) != 200 {
        return Err("the first job was not accepted".to_owned());
    }
    // The dispatcher may move a long task once, soon after its start.
    pause_ms(4_000);
    let id = job_ids(7, 1).remove(0);
    let body = stored_job(1, 1_000, 3_000, 3_000, Some("b"));
    if deployment.submit(1, &id, &body) != 200 {
        return Err("the second job was not accepted".to_owned());
    }
    pause_ms(500);
    let minion = deployment.events_of(&id).first().map(|event| event.minion);
    let minion = minion.ok_or("the second job has not begun")?;
    if is_disturbed {
        deployment.crash_minion(minion);
        pause_ms(4_500);
        deployment.start_minion(minion)?;
    }
    pause_ms(FINISH_S * 1_000);
    let idle = count_idle(&deployment, &[id.clone()]);
    deployment.note_logs(&id);
    Ok(if idle > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
