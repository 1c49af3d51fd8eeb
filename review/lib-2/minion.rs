//! A sound minion, as the page PROTOCOL describes it: it guards epochs, leases and run
//! numbers, lists runs and ends, and reports itself. It prints each start and each end.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use crate::HEARTBEAT_MS;
use crate::MAX_HOLD_MS;
use crate::Request;
use crate::SECOND;
use crate::call;
use crate::json::Json;
use crate::serve;

struct Run {
    task: String,
    run: u64,
    started: Instant,
    work_ms: u64,
    fails: bool,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// Whether the lease has been over since.
    has_lapsed: bool,
}

struct State {
    id: String,
    born: Instant,
    born_unix_ms: u128,
    epoch: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or ended here.
    closed: BTreeMap<String, u64>,
    is_mute: bool,
    /// Whether half of the starts and stops are carried out late, and not answered.
    is_late: bool,
    /// Largest number of tasks of one core that fit.
    slots: usize,
    random: u64,
}

type Shared = Arc<Mutex<State>>;

/// Runs a minion: address, control address, id, zone, labels, cpu.
pub fn run(args: &[String]) {
    let addr: SocketAddr = args[0].parse().expect("an address");
    let control: SocketAddr = args[1].parse().expect("an address");
    let state = State {
        id: args[2].clone(),
        born: Instant::now(),
        born_unix_ms: UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis()),
        epoch: 0,
        lease_until_ms: 0,
        runs: Vec::new(),
        ends: Vec::new(),
        last_end: 0,
        closed: BTreeMap::new(),
        is_mute: false,
        is_late: false,
        slots: args[5].parse::<usize>().expect("the capacity") / 1_000,
        random: u64::from(std::process::id()),
    };
    let state: Shared = Arc::new(Mutex::new(state));
    let serving = Arc::clone(&state);
    serve(addr, Arc::new(move |request| answer(&serving, &request))).expect("the minion's port");
    let ticking = Arc::clone(&state);
    thread::spawn(move || {
        loop {
            ticking.lock().unwrap().tick();
            thread::sleep(Duration::from_millis(2));
        }
    });
    let report = Report {
        addr,
        control,
        id: args[2].clone(),
        zone: args[3].clone(),
        labels: args[4].clone(),
        cpu: args[5].clone(),
    };
    let reporting = Arc::clone(&state);
    thread::spawn(move || report.send_for_ever(&reporting));
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let mut state = state.lock().unwrap();
        state.is_mute = line == "mute";
        state.is_late = line == "late";
    }
    // The driver is gone.
    std::process::exit(0);
}

struct Report {
    addr: SocketAddr,
    control: SocketAddr,
    id: String,
    zone: String,
    labels: String,
    cpu: String,
}

impl Report {
    fn send_for_ever(&self, state: &Shared) {
        let labels: Vec<String> = self.labels.split(',').map(|l| format!("\"{l}\"")).collect();
        for seq in 1_u64.. {
            let clock_ms = state.lock().unwrap().clock_ms();
            let body = format!(
                r#"{{"service":"desk","address":"{}","zone":"{}","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{},"mem_mb":65536,"gpu":0}},"labels":[{}],"born":{},"clock_ms":{clock_ms},"seq":{seq}}}"#,
                self.addr,
                self.zone,
                self.cpu,
                labels.join(","),
                state.lock().unwrap().born_unix_ms,
            );
            let path = format!("/api/instances/{}", self.id);
            let (status, _) = call(self.control, "PUT", &path, &[], &body, SECOND);
            // A report without an ack is sent again soon.
            let pause_ms = if status == 200 { HEARTBEAT_MS } else { 300 };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }
}

fn answer(state: &Shared, request: &Request) -> Option<(u16, Vec<u8>)> {
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    {
        let state = state.lock().unwrap();
        if state.is_mute {
            return None;
        }
        let expected = request.headers.get("gannetvane-expect-instance");
        if expected.is_some_and(|expected| *expected != state.id) {
            return Some((421, b"{}".to_vec()));
        }
    }
    let is_order = request.path != "/api/hold";
    if is_order && let Some(delay) = state.lock().unwrap().delay() {
        let (state, path) = (Arc::clone(state), request.path.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            let mut state = state.lock().unwrap();
            match path.as_str() {
                "/api/run-start" => state.start(&body),
                _ => state.stop(&body),
            }
        });
        return None;
    }
    match request.path.as_str() {
        "/api/run-start" => Some(state.lock().unwrap().start(&body)),
        "/api/run-stop" => Some(state.lock().unwrap().stop(&body)),
        "/api/hold" => hold(state, &body),
        _ => Some((404, b"{}".to_vec())),
    }
}

fn hold(state: &Shared, body: &Json) -> Option<(u16, Vec<u8>)> {
    let wait_ms = body.number("wait_ms").unwrap_or(0).min(2_000);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let mut state = state.lock().unwrap();
            if state.is_mute {
                return None;
            }
            if let Some(refusal) = state.fence(body) {
                return Some(refusal);
            }
            state.extend(body);
            let acked = body.number("acked_through").unwrap_or(0);
            state.acknowledge(acked);
            state.tick();
            if !state.ends.is_empty() || Instant::now() >= until {
                return Some((200, state.listing().into_bytes()));
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        // The clock starts at some value of the minion's own.
        100_000 + self.born.elapsed().as_millis() as u64
    }

    /// How late the next order is carried out, if it is.
    fn delay(&mut self) -> Option<Duration> {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let random = self.random >> 33;
        let is_delayed = self.is_late && random % 2 == 0;
        is_delayed.then(|| Duration::from_millis(2_000 + random / 2 % 10_000))
    }

    fn refusal(&self, reason: &str) -> (u16, Vec<u8>) {
        let clock_ms = self.clock_ms();
        let body = format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}");
        (409, body.into_bytes())
    }

    fn ok(&self) -> (u16, Vec<u8>) {
        (
            200,
            format!("{{\"clock_ms\":{}}}", self.clock_ms()).into_bytes(),
        )
    }

    fn fence(&mut self, body: &Json) -> Option<(u16, Vec<u8>)> {
        let token = body.number("fencing_token").unwrap_or(0);
        if token < self.epoch {
            return Some(self.refusal("fence"));
        }
        self.epoch = token;
        None
    }

    /// Forgets the ends up to this number, and prints those that are taken note of.
    fn acknowledge(&mut self, through: u64) {
        for end in self.ends.iter().filter(|end| end.number <= through) {
            if !end.has_lapsed {
                println!("noted-{} {} run={}", end.how, end.task, end.run);
            }
        }
        self.ends.retain(|end| end.number > through);
    }

    fn extend(&mut self, body: &Json) {
        if let Some(deadline_ms) = body.number("deadline_ms") {
            let latest_ms = self.clock_ms() + MAX_HOLD_MS;
            self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(latest_ms));
        }
    }

    fn start(&mut self, body: &Json) -> (u16, Vec<u8>) {
        if let Some(refusal) = self.fence(body) {
            return refusal;
        }
        self.tick();
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, b"{}".to_vec());
        };
        if self.closed.get(&task).is_some_and(|closed| run <= *closed) {
            self.extend(body);
            return self.refusal("old");
        }
        if self.runs.iter().any(|r| r.task == task && r.run == run) {
            self.extend(body);
            return self.ok();
        }
        if body
            .number("deadline_ms")
            .is_none_or(|deadline_ms| deadline_ms <= self.clock_ms())
        {
            return self.refusal("late");
        }
        self.extend(body);
        let spec = body.text("spec").unwrap_or_default();
        let (kind, work_ms) = spec.split_once('=').unwrap_or(("ms", "20"));
        println!("start {task} run={run}");
        if self.runs.len() >= self.slots {
            println!("over {task} run={run}");
        }
        self.runs.push(Run {
            task,
            run,
            started: Instant::now(),
            work_ms: work_ms.parse().unwrap_or(20),
            fails: kind == "fail",
        });
        self.ok()
    }

    fn stop(&mut self, body: &Json) -> (u16, Vec<u8>) {
        if let Some(refusal) = self.fence(body) {
            return refusal;
        }
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, b"{}".to_vec());
        };
        let closed = self.closed.entry(task.clone()).or_insert(0);
        *closed = (*closed).max(run);
        if let Some(index) = self
            .runs
            .iter()
            .position(|r| r.task == task && r.run == run)
        {
            self.end(index, "stopped");
        }
        self.ok()
    }

    fn end(&mut self, index: usize, how: &'static str) {
        let run = self.runs.remove(index);
        self.last_end += 1;
        println!("{how} {} run={}", run.task, run.run);
        let closed = self.closed.entry(run.task.clone()).or_insert(0);
        *closed = (*closed).max(run.run);
        let (number, task, run) = (self.last_end, run.task, run.run);
        self.ends.push(End {
            number,
            task,
            run,
            how,
            has_lapsed: false,
        });
    }

    /// Ends what is done, and all runs when the lease is over.
    fn tick(&mut self) {
        let is_lapsed = self.clock_ms() > self.lease_until_ms;
        while is_lapsed && !self.runs.is_empty() {
            self.end(0, "lapsed");
        }
        for end in self.ends.iter_mut().filter(|_| is_lapsed) {
            end.has_lapsed = true;
        }
        let is_done = |run: &Run| run.started.elapsed().as_millis() as u64 >= run.work_ms;
        while let Some(index) = self.runs.iter().position(is_done) {
            let how = if self.runs[index].fails {
                "failed"
            } else {
                "done"
            };
            self.end(index, how);
        }
    }

    fn listing(&self) -> String {
        let running = self.runs.iter().map(|run| {
            let elapsed_ms = run.started.elapsed().as_millis() as u64;
            let percent = (elapsed_ms * 100 / run.work_ms.max(1)).min(99);
            format!("[\"{}\",{},\"\",{percent},0]", run.task, run.run)
        });
        let ends = self.ends.iter().take(500).map(|end| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                end.number, end.task, end.run, end.how
            )
        });
        let (running, ends): (Vec<_>, Vec<_>) = (running.collect(), ends.collect());
        format!(
            "{{\"born\":{},\"clock_ms\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.born_unix_ms,
            self.clock_ms(),
            running.join(","),
            ends.join(",")
        )
    }
}
