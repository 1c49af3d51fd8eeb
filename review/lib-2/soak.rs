//! Faults at random for stored jobs, with a check that nothing runs twice and that every
//! accepted job ends as it should. The variable `SEED` chooses the faults.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::Deployment;
use crate::Record;
use crate::cases::Verdict;
use crate::cases::pause_ms;
use crate::cases::specs;
use crate::job_ids;
use crate::store::Fault;
use crate::stored_job;

/// Plays faults at random, and looks for tasks that run twice.
pub fn run(repository: &str, record: &Record) -> Result<Verdict, String> {
    const MINIONS: usize = 7;
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1_u64);
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut small = specs(MINIONS);
    small.iter_mut().for_each(|spec| spec.cpu = 4_000);
    let mut deployment = Deployment::start(repository, record.clone(), 3, small)?;
    deployment.warm_up()?;
    let mut ids = Vec::new();
    let start_ms = record.ms();
    let mut next = 0;
    let mut pending: Vec<(u64, Box<dyn Fn(&mut Deployment)>)> = Vec::new();
    let mut fault_ms = start_ms + 1_000;
    while record.ms() < start_ms + 85_000 {
        let now_ms = record.ms();
        while let Some(at) = pending.iter().position(|(due_ms, _)| now_ms >= *due_ms) {
            let (_, action) = pending.remove(at);
            action(&mut deployment);
        }
        if now_ms < start_ms + 70_000 && ids.len() < 1_200 {
            let id = job_ids(100 + seed, 1_300)[next].clone();
            next += 1;
            let fails = random.below(10) == 0;
            let work_ms = [100, 400, 1_500, 4_000][random.below(4) as usize];
            let mut body = stored_job(1 + random.below(3) as u32, 1_000, work_ms, work_ms, None);
            if fails {
                body = body.replace("ms=", "fail=");
            }
            let front = deployment.front(random.below(3) as usize);
            let sent = id.clone();
            thread::spawn(move || {
                let headers = [
                    ("Host", "desk.example".to_owned()),
                    ("Gannetvane-Timeout-Ms", "1500".to_owned()),
                ];
                crate::call(
                    front,
                    "POST",
                    &format!("/slots/{sent}"),
                    &headers,
                    &body,
                    Duration::from_millis(1_500),
                )
            });
            ids.push((id, fails));
        }
        if now_ms >= fault_ms && now_ms < start_ms + 70_000 {
            fault_ms = now_ms + 800 + random.below(2_500);
            let (entry, side) = (
                random.below(3) as usize,
                random.below(MINIONS as u64) as usize,
            );
            let for_ms = 200 + random.below(3_800);
            match random.below(14) {
                0 | 1 => {
                    let name = format!("front-{entry}");
                    deployment.signal(&name, "STOP");
                    pending.push((now_ms + for_ms, Box::new(move |d| d.signal(&name, "CONT"))));
                }
                2 => {
                    let name = format!("front-{entry}");
                    deployment.signal(&name, "KILL");
                    pending.push((
                        now_ms + 300 + for_ms / 4,
                        Box::new(move |d| {
                            let _ = d.start_entry(entry);
                        }),
                    ));
                }
                3 => {
                    let name = format!("side-{side}");
                    deployment.signal(&name, "STOP");
                    pending.push((now_ms + for_ms, Box::new(move |d| d.signal(&name, "CONT"))));
                }
                4 => {
                    let name = format!("side-{side}");
                    deployment.signal(&name, "KILL");
                    pending.push((
                        now_ms + 300,
                        Box::new(move |d| {
                            let _ = d.start_agent(side);
                        }),
                    ));
                }
                7 => deployment.store.rebalance(),
                8 | 9 | 10 => {
                    let share = 20 + random.below(20);
                    let fault = [Fault::Busy, Fault::Lost(share), Fault::Late(share)]
                        [random.below(3) as usize];
                    record.line(&format!("store {fault:?} for {for_ms}"));
                    deployment.store.set_fault(fault);
                    pending.push((
                        now_ms + for_ms + 800,
                        Box::new(|d| d.store.set_fault(Fault::None)),
                    ));
                }
                11 | 12 => {
                    deployment.tell_minion(side, "late");
                    pending.push((
                        now_ms + 4_000,
                        Box::new(move |d| d.tell_minion(side, "speak")),
                    ));
                }
                13 => {
                    deployment.crash_minion(side);
                    pending.push((
                        now_ms + for_ms,
                        Box::new(move |d| {
                            let _ = d.start_minion(side);
                        }),
                    ));
                }
                5 => {
                    deployment.tell_minion(side, "mute");
                    pending.push((
                        now_ms + for_ms,
                        Box::new(move |d| d.tell_minion(side, "speak")),
                    ));
                }
                _ => {
                    let name = format!("front-{entry}");
                    deployment.signal(&name, "TERM");
                    pending.push((
                        now_ms + 6_500,
                        Box::new(move |d| {
                            d.signal(&name, "KILL");
                            let _ = d.start_entry(entry);
                        }),
                    ));
                }
            }
        }
        pause_ms(40);
    }
    for (_, action) in pending {
        action(&mut deployment);
    }
    pause_ms(12_000);
    let events = deployment.events.lock().unwrap().clone();
    let mut is_broken = false;
    let mut running: BTreeMap<String, Vec<(usize, u64)>> = Default::default();
    let mut noted: BTreeMap<String, (u64, u32)> = Default::default();
    for event in &events {
        let runs = running.entry(event.task.clone()).or_default();
        match event.what.as_str() {
            "start" => {
                if let Some((minion, at)) = runs.first() {
                    record.line(&format!(
                        "TWICE {} on {minion} since {at} and {} at {}",
                        event.task, event.minion, event.at_ms
                    ));
                    is_broken = true;
                }
                if let Some((at, failures)) = noted.get(&event.task) {
                    let is_over = *failures == 0 || *failures >= 2;
                    if is_over {
                        record.line(&format!(
                            "AGAIN {} noted at {at} failures={failures} started at {}",
                            event.task, event.at_ms
                        ));
                        is_broken = true;
                    }
                }
                runs.push((event.minion, event.at_ms));
            }
            "done" | "failed" | "stopped" | "lapsed" => runs.retain(|(m, _)| *m != event.minion),
            "over" => {
                record.line(&format!(
                    "OVER {} on {} at {}",
                    event.task, event.minion, event.at_ms
                ));
                is_broken = true;
            }
            "noted-done" => {
                noted.insert(event.task.clone(), (event.at_ms, 0));
            }
            "noted-failed" => {
                noted
                    .entry(event.task.clone())
                    .or_insert((event.at_ms, 0))
                    .1 += 1;
            }
            _ => {}
        }
    }
    let mut open = 0;
    for (id, fails) in &ids {
        let state = deployment.state(id);
        let expected = if *fails { "failed" } else { "completed" };
        if state != expected && state != "410" {
            record.line(&format!("STATE {id} {state} expected={expected}"));
            deployment.note_logs(id);
            open += 1;
        }
    }
    record.line(&format!("jobs={} unexpected states={open}", ids.len()));
    println!(
        "soak seed={seed} jobs={} odd={open} broken={is_broken}",
        ids.len()
    );
    Ok(if is_broken || open > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Stores many jobs, more than a page of each partition holds, and then kills entries: all
/// jobs must still be known as completed.
pub fn many(repository: &str, record: &Record) -> Result<Verdict, String> {
    const JOBS: usize = 7_200;
    const SENDERS: usize = 12;
    let mut deployment = Deployment::start(repository, record.clone(), 3, specs(8))?;
    deployment.warm_up()?;
    let ids = job_ids(900, JOBS as u64);
    let fronts: Vec<_> = (0..3).map(|entry| deployment.front(entry)).collect();
    let senders = (0..SENDERS).map(|sender| {
        let of_sender: Vec<String> = ids.iter().skip(sender).step_by(SENDERS).cloned().collect();
        let front = fronts[sender % 3];
        thread::spawn(move || {
            let body = stored_job(1, 500, 20, 20, None);
            let headers = [
                ("Host", "desk.example".to_owned()),
                ("Gannetvane-Timeout-Ms", "4000".to_owned()),
            ];
            let send = |id: &String| {
                let path = format!("/slots/{id}");
                crate::call(front, "POST", &path, &headers, &body, crate::SECOND * 4).0 == 200
            };
            of_sender.into_iter().filter(send).collect::<Vec<String>>()
        })
    });
    let senders: Vec<_> = senders.collect();
    let accepted: Vec<String> = senders
        .into_iter()
        .flat_map(|s| s.join().unwrap())
        .collect();
    record.line(&format!("accepted={}", accepted.len()));
    pause_ms(3_000);
    for entry in 0..3 {
        deployment.signal(&format!("front-{entry}"), "KILL");
        let _ = deployment.start_entry(entry);
        pause_ms(if entry == 0 { 6_000 } else { 200 });
    }
    pause_ms(7_000);
    let mut odd = 0;
    for id in accepted.iter().step_by(7) {
        let state = deployment.state(id);
        if state != "completed" {
            record.line(&format!("STATE {id} {state}"));
            odd += 1;
        }
    }
    println!("accepted={} odd={odd}", accepted.len());
    Ok(if odd > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Cancels jobs while the store fails and entries are killed together.
pub fn cancels(repository: &str, record: &Record) -> Result<Verdict, String> {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1_u64);
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut deployment = Deployment::start(repository, record.clone(), 3, specs(7))?;
    deployment.warm_up()?;
    let ids = job_ids(300 + seed, 900);
    let start_ms = record.ms();
    let mut fault_ms = start_ms + 1_000;
    let mut heal_ms = u64::MAX;
    let mut kills = vec![start_ms + 25_000, start_ms + 50_000];
    let mut clients = Vec::new();
    let mut next = 0;
    while record.ms() < start_ms + 60_000 {
        let now_ms = record.ms();
        if now_ms >= heal_ms {
            deployment.store.set_fault(Fault::None);
            heal_ms = u64::MAX;
        }
        if now_ms >= fault_ms {
            let for_ms = 500 + random.below(4_000);
            fault_ms = now_ms + for_ms + 500 + random.below(2_500);
            let share = 20 + random.below(20);
            match random.below(5) {
                0 => deployment.store.rebalance(),
                1 => {
                    deployment.store.set_fault(Fault::Busy);
                    heal_ms = now_ms + for_ms;
                }
                2 => {
                    deployment.store.set_fault(Fault::Lost(share));
                    heal_ms = now_ms + for_ms;
                }
                3 => {
                    deployment.store.set_fault(Fault::Late(share));
                    heal_ms = now_ms + for_ms;
                }
                _ => {
                    let name = format!("front-{}", random.below(3));
                    deployment.signal(&name, "STOP");
                    pause_ms(300 + random.below(1_500));
                    deployment.signal(&name, "CONT");
                }
            }
        }
        if kills.first().is_some_and(|at| now_ms >= *at) {
            kills.remove(0);
            for entry in 0..3 {
                deployment.signal(&format!("front-{entry}"), "KILL");
            }
            pause_ms(500);
            for entry in 0..3 {
                let _ = deployment.start_entry(entry);
            }
        }
        if next < ids.len() {
            let id = ids[next].clone();
            next += 1;
            let fronts: Vec<_> = (0..3).map(|entry| deployment.front(entry)).collect();
            let (first, wait_ms, is_cancelled) = (
                random.below(3) as usize,
                random.below(2_500),
                random.below(3) > 0,
            );
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let body = r#"{"spec":"ms=1500","steps":[{"count":1,"cpu":500,"est_runtime_ms":1500},{"count":1,"cpu":500,"est_runtime_ms":1500,"after":[0]}]}"#;
                let path = format!("/slots/{id}");
                let send = |front, method: &str, body: &str| {
                    let headers = [("Host", "desk.example".to_owned()), ("Gannetvane-Timeout-Ms", "1500".to_owned())];
                    crate::call(front, method, &path, &headers, body, Duration::from_millis(1_500)).0
                };
                let mut accepted = false;
                for turn in 0..3 {
                    let status = send(fronts[(first + turn) % 3], "POST", body);
                    if status == 200 { accepted = true; break; }
                    if status == 503 || status == 429 { return (id, false, None); }
                    pause_ms(1_300);
                }
                if !is_cancelled || !accepted { return (id, accepted, None); }
                pause_ms(wait_ms);
                for turn in 0..20 {
                    let status = send(fronts[(first + turn) % 3], "DELETE", "");
                    if status == 200 || status == 410 {
                        record.line(&format!("cancel {id} {status}"));
                        return (id, true, Some((record.ms(), status)));
                    }
                    pause_ms(200);
                }
                (id, true, None)
            }));
        }
        pause_ms(60);
    }
    deployment.store.set_fault(Fault::None);
    let clients: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    pause_ms(9_000);
    let (mut broken, mut acked, mut gone, mut odd) = (0, 0, 0, 0);
    for (id, accepted, cancel) in &clients {
        let events = deployment.events_of(id);
        if let Some((at_ms, status)) = cancel {
            acked += 1;
            gone += u32::from(*status == 410);
            let late: Vec<u64> = events
                .iter()
                .filter(|e| e.what == "start" && e.at_ms > at_ms + 3_000)
                .map(|e| e.at_ms - at_ms)
                .collect();
            if !late.is_empty() {
                broken += 1;
                record.line(&format!("UNASKED {id} status={status} late={late:?}"));
                deployment.note_logs(id);
            }
        } else if *accepted {
            let state = deployment.state(id);
            if state != "completed" {
                odd += 1;
                record.line(&format!("STATE {id} {state}"));
            }
        }
    }
    println!(
        "cancels seed={seed} jobs={} acked={acked} answered410={gone} unasked={broken} odd={odd}",
        clients.len()
    );
    Ok(if broken + odd > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}
