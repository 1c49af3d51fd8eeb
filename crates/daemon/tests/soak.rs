//! A randomized soak of the real programs: entries and agents as processes,
//! stand-ins for the platform behind proxies, faults from outside in series
//! that overlap, and promises that are checked all the while.
//!
//! `GANNETVANE_SOAK_SEEDS=from..to` plays other seeds by hand.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gannetvane_platform_standins::CONFIG;
use gannetvane_platform_standins::MinionStandIn;
use gannetvane_platform_standins::Proxy;
use gannetvane_platform_standins::ProxyFault;
use gannetvane_platform_standins::StoreFault;
use gannetvane_platform_standins::StoreStandIn;
use gannetvane_platform_standins::free_addr;
use gannetvane_platform_standins::post_job;
use gannetvane_platform_standins::post_stored_job;
use gannetvane_platform_standins::settings;
use gannetvane_platform_standins::stored_state;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Entries, agents and clients of a usual run; `GANNETVANE_SOAK_SIZE=10,40,60`
/// plays larger ones by hand.
const USUAL_SIZE: Size = Size {
    entries: 2,
    agents: 3,
    clients: 6,
};
/// Tasks of one thousandth of a core times thousand that fit on a minion.
const ROOM: usize = 8;
/// Time with faults, and time for the last of them to pass, in milliseconds.
const FAULTS_MS: u64 = 7_000;
const SETTLE_MS: u64 = 5_000;
/// One client in this many sends jobs that are stored.
const STORING_PART: usize = 3;
/// Pause before a client sends a job again whose answer did not come.
const RESEND_MS: u64 = 1_300;
/// One agent in this many, with this place among them, is in another zone, which
/// operators empty.
const ZONES_PART: usize = 2;
const EMPTIED_PLACE: usize = 1;
/// Key of the operators' request to empty it.
const EVACUATE_KEY: &str = "evacuate/hella";
/// Time from the request until nothing is started there any more, in calm.
const EVACUATED_WITHIN_MS: u64 = 1_000;

/// Seeds that every run plays.
const SEEDS: std::ops::Range<u64> = 0..2;
/// Seeds that once failed, each with its cause.
const REGRESSIONS: &[u64] = &[];

#[derive(Clone, Copy, Debug)]
struct Size {
    entries: usize,
    agents: usize,
    clients: usize,
}

impl Size {
    fn named() -> Option<Self> {
        let text = std::env::var("GANNETVANE_SOAK_SIZE").ok()?;
        let mut numbers = text.split(',').map(str::parse);
        Some(Self {
            entries: numbers.next()?.ok()?,
            agents: numbers.next()?.ok()?,
            clients: numbers.next()?.ok()?,
        })
    }
}

/// A program that is started again with the same settings.
struct Program {
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
    due: Vec<(Instant, Due)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    Resume,
    Start,
}

impl Program {
    fn new(role: &'static str, settings: PathBuf) -> Self {
        let mut program = Self {
            role,
            settings,
            child: None,
            due: Vec::new(),
        };
        program.start();
        program
    }

    fn start(&mut self) {
        self.reap();
        if self.child.is_some() {
            return;
        }
        let child = Command::new(env!("CARGO_BIN_EXE_gannetvaned"))
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(pid) = pid {
            // It may have ended a moment ago.
            let _ = kill_process(pid, signal);
        }
    }

    fn reap(&mut self) {
        if let Some(child) = &mut self.child
            && child.try_wait().is_ok_and(|status| status.is_some())
        {
            self.child = None;
        }
    }

    fn plan(&mut self, after_ms: u64, due: Due) {
        self.due
            .push((Instant::now() + Duration::from_millis(after_ms), due));
    }

    fn carry_out_due(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, _)| now >= *at);
        self.due = later;
        for (_, due) in due {
            match due {
                Due::Resume => self.signal(Signal::CONT),
                Due::Start => self.start(),
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Both fail only for a process that has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What callers learned of one job.
#[derive(Clone, Debug, Default)]
struct JobLog {
    tasks: usize,
    statuses: Vec<u16>,
    /// Whether it is stored.
    is_accepted: bool,
    is_completed: bool,
}

struct Soak {
    programs: Vec<Program>,
    minions: Vec<MinionStandIn>,
    store: StoreStandIn,
    fronts: Vec<Proxy>,
    inner: Vec<Proxy>,
    jobs: Arc<Mutex<BTreeMap<String, JobLog>>>,
    violations: Arc<Mutex<Vec<String>>>,
    folder: PathBuf,
}

impl Soak {
    fn start(seed: u64, size: Size) -> Self {
        let folder =
            std::env::temp_dir().join(format!("gannetvane-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let store = StoreStandIn::start();
        store.configure(CONFIG);
        let mut soak = Self {
            programs: Vec::new(),
            minions: Vec::new(),
            store,
            fronts: Vec::new(),
            inner: Vec::new(),
            jobs: Arc::default(),
            violations: Arc::default(),
            folder,
        };
        // All entries have one port: they differ by address.
        let first = free_addr();
        let link = |entry: usize| {
            let SocketAddr::V4(addr) = first else {
                return first;
            };
            let [a, b, c, _] = addr.ip().octets();
            SocketAddr::from(([a, b, c, 10 + entry as u8], first.port()))
        };
        for entry in 0..size.entries {
            soak.add_entry(entry, link(entry), link(0));
        }
        for agent in 0..size.agents {
            soak.add_agent(agent, link(0), link(agent % size.entries));
        }
        soak
    }

    fn store_proxy(&mut self) -> SocketAddr {
        let proxy = Proxy::start(self.store.addr);
        let addr = proxy.addr;
        self.inner.push(proxy);
        addr
    }

    fn add_entry(&mut self, entry: usize, link: SocketAddr, seed: SocketAddr) {
        let (front, store) = (free_addr(), self.store_proxy());
        let name = format!("entry-{entry}");
        let text = settings(&name, link, free_addr(), seed, store)
            + &format!(
                "[entry]\nfront_address = \"{front}\"\nready_address = \"{}\"\n",
                free_addr()
            );
        self.add_program("platform-entry", &name, &text);
        self.fronts.push(Proxy::start(front));
    }

    fn add_agent(&mut self, agent: usize, link: SocketAddr, seed: SocketAddr) {
        let (minion, control, store) = (free_addr(), free_addr(), self.store_proxy());
        let proxy = Proxy::start(minion);
        let name = format!("host-{agent}");
        let seed = SocketAddr::new(seed.ip(), link.port());
        let shared = settings(&name, seed, free_addr(), seed, store);
        let shared = match agent % ZONES_PART {
            EMPTIED_PLACE => shared.replace("zone = \"selfoss\"", "zone = \"hella\""),
            _ => shared,
        };
        let text = shared
            + &format!(
                "[agent]\nminion_address = \"{}\"\ncontrol_address = \"{control}\"\n",
                proxy.addr
            );
        self.add_program("platform-agent", &name, &text);
        self.minions.push(MinionStandIn::start(minion, control));
        self.inner.push(proxy);
    }

    fn add_program(&mut self, role: &'static str, name: &str, text: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("a settings file");
        self.programs.push(Program::new(role, path));
    }

    /// Waits until a job is served through every entry.
    fn wait_served(&self, what: &str) {
        for (entry, front) in self.fronts.iter().enumerate() {
            let end = Instant::now() + Duration::from_secs(20);
            let mut number = 0;
            loop {
                number += 1;
                let id = format!("{:016x}", 0xabc0_0000 + entry * 10_000 + number);
                let (status, _) = post_job(front.addr, &id, 1, 10);
                if status == 200 {
                    break;
                }
                assert!(Instant::now() < end, "{what}: entry {entry} does not serve");
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    fn disturb(&mut self, rng: &mut ChaCha8Rng) {
        let program = rng.random_range(0..self.programs.len());
        let program = &mut self.programs[program];
        let minion = &self.minions[rng.random_range(0..self.minions.len())];
        let inner = &self.inner[rng.random_range(0..self.inner.len())];
        let front = &self.fronts[rng.random_range(0..self.fronts.len())];
        match rng.random_range(0..23) {
            0 | 1 => {
                program.signal(Signal::STOP);
                program.plan(rng.random_range(50..2_500), Due::Resume);
            }
            2 | 3 => {
                program.signal(Signal::KILL);
                program.plan(rng.random_range(20..1_500), Due::Start);
                program.plan(2_000, Due::Start);
            }
            4 => {
                program.signal(Signal::TERM);
                program.plan(6_500, Due::Start);
            }
            5 => program.signal(Signal::HUP),
            6 => self.store.set_fault(StoreFault::Refuses(503)),
            7 => self.store.set_fault(match rng.random_range(0..3) {
                0 => StoreFault::Silent,
                1 => StoreFault::LosesAnswers,
                _ => {
                    self.store.rebalance();
                    StoreFault::None
                }
            }),
            8 => self.store.set_fault(StoreFault::None),
            9 => minion.crash(),
            10 => minion.leave_unanswered(rng.random_range(1..6)),
            11 => minion.set_silent(rng.random()),
            12 => inner.reset(),
            13 => front.reset(),
            14 | 15 => inner.silence_open(),
            16 => front.silence_open(),
            17 => minion.send_late_report(),
            18 => self.store.put("keyed.op", EVACUATE_KEY, b"{}"),
            19 => self.store.put("keyed.op", EVACUATE_KEY, b""),
            20 => {
                let foreign: Vec<u8> = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
                self.store.put_raw("keyed.op", &foreign);
            }
            _ => {
                let fault = match rng.random_range(0..6) {
                    0 => ProxyFault::Delays(rng.random_range(1..150)),
                    1 => ProxyFault::HoldsRequests,
                    2 => ProxyFault::HoldsAnswers,
                    3 => ProxyFault::Silent,
                    _ => ProxyFault::None,
                };
                inner.set_fault(fault);
            }
        }
    }

    fn heal(&mut self) {
        self.store.set_fault(StoreFault::None);
        self.inner
            .iter()
            .for_each(|proxy| proxy.set_fault(ProxyFault::None));
        self.minions.iter().for_each(|minion| {
            minion.set_silent(false);
            minion.leave_unanswered(0);
        });
        for program in &mut self.programs {
            program.signal(Signal::CONT);
            program.plan(0, Due::Start);
        }
    }

    fn carry_out_due(&mut self) {
        self.programs.iter_mut().for_each(Program::carry_out_due);
    }

    /// Waits until every stored job is told as complete by any entry.
    fn wait_stored(&self) {
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
    fn check_evacuation(&self) {
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
    fn check_answers(&self) {
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

    fn violate(&self, what: String) {
        self.violations.lock().expect("no panic").push(what);
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        // The folder is in the system's place for such files in any case.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A job that a client makes up.
struct ClientJob {
    id: String,
    tasks: usize,
    work_ms: u64,
}

impl ClientJob {
    fn draw(client: usize, seed: u64, sent: u32, rng: &mut ChaCha8Rng) -> Self {
        Self {
            id: format!("{client:04x}{:04x}{sent:08x}", seed & 0xffff),
            tasks: rng.random_range(1..6),
            work_ms: rng.random_range(10..500),
        }
    }

    fn log(&self) -> JobLog {
        JobLog {
            tasks: self.tasks,
            ..JobLog::default()
        }
    }
}

/// Sends stored jobs one after the other, each again until it is accepted or
/// refused, and asks for each until it has ended.
fn run_storing_client(
    number: usize,
    seed: u64,
    fronts: &[SocketAddr],
    jobs: &Mutex<BTreeMap<String, JobLog>>,
    stop: &AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let job = ClientJob::draw(number, seed, sent, &mut rng);
        let mut log = job.log();
        while !stop.load(Ordering::Relaxed) && !log.is_accepted {
            let front = fronts[rng.random_range(0..fronts.len())];
            let (status, _) = post_stored_job(front, &job.id, job.tasks, job.work_ms);
            log.statuses.push(status);
            log.is_accepted = status == 200;
            if matches!(status, 422 | 429 | 503) && log.statuses.len() == 1 {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        while !stop.load(Ordering::Relaxed) && log.is_accepted && !log.is_completed {
            let front = fronts[rng.random_range(0..fronts.len())];
            log.is_completed = stored_state(front, &job.id).1.contains("completed");
            thread::sleep(Duration::from_millis(20));
        }
        jobs.lock().expect("no panic").insert(job.id, log);
    }
}

/// Sends jobs one after the other, each again when no answer came.
fn run_client(
    number: usize,
    seed: u64,
    fronts: &[SocketAddr],
    jobs: &Mutex<BTreeMap<String, JobLog>>,
    stop: &AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let job = ClientJob::draw(number, seed, sent, &mut rng);
        let mut log = job.log();
        for _ in 0..3 {
            let front = fronts[rng.random_range(0..fronts.len())];
            let (status, body) = post_job(front, &job.id, job.tasks, job.work_ms);
            log.statuses.push(status);
            log.is_completed = status == 200 && body.contains("completed");
            if matches!(status, 200 | 422 | 429 | 503 | 504) {
                break;
            }
            thread::sleep(Duration::from_millis(RESEND_MS));
        }
        jobs.lock().expect("no panic").insert(job.id, log);
    }
}

/// Looks for tasks that run twice and minions over their room.
fn watch(minions: &[MinionStandIn], violations: &Mutex<Vec<String>>, stop: &AtomicBool) {
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

fn play(seed: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = Size::named().unwrap_or(USUAL_SIZE);
    let mut soak = Soak::start(seed, size);
    soak.wait_served("start");
    let stop = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = soak.fronts.iter().map(|proxy| proxy.addr).collect();
    let watcher = {
        let (minions, violations, stop) = (
            soak.minions.clone(),
            Arc::clone(&soak.violations),
            Arc::clone(&stop),
        );
        thread::spawn(move || watch(&minions, &violations, &stop))
    };
    let clients_stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..size.clients)
        .map(|number| {
            let (fronts, jobs, stop) = (
                fronts.clone(),
                Arc::clone(&soak.jobs),
                Arc::clone(&clients_stop),
            );
            let run = match number % STORING_PART {
                0 => run_storing_client,
                _ => run_client,
            };
            thread::spawn(move || run(number, seed, &fronts, &jobs, &stop))
        })
        .collect();
    let faults_end = Instant::now() + Duration::from_millis(FAULTS_MS);
    while Instant::now() < faults_end {
        soak.disturb(&mut rng);
        let pause_end = Instant::now() + Duration::from_millis(rng.random_range(20..500));
        while Instant::now() < pause_end {
            soak.carry_out_due();
            thread::sleep(Duration::from_millis(5));
        }
    }
    soak.heal();
    let settle_end = Instant::now() + Duration::from_millis(SETTLE_MS);
    while Instant::now() < settle_end {
        soak.carry_out_due();
        thread::sleep(Duration::from_millis(5));
    }
    clients_stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("no panic"));
    for program in &mut soak.programs {
        program.due.clear();
        program.start();
    }
    soak.wait_served("after the faults");
    soak.wait_stored();
    soak.check_evacuation();
    stop.store(true, Ordering::Relaxed);
    watcher.join().expect("no panic");
    soak.check_answers();
    let violations = soak.violations.lock().expect("no panic").clone();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    let jobs = soak.jobs.lock().expect("no panic");
    (
        jobs.len(),
        jobs.values().filter(|job| job.is_completed).count(),
    )
}

#[test]
fn promises_hold_while_processes_and_connections_fail() {
    let named = std::env::var("GANNETVANE_SOAK_SEEDS").ok();
    let named = named.and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    let seeds = named.unwrap_or(SEEDS);
    for seed in REGRESSIONS.iter().copied().chain(seeds) {
        let (jobs, completed) = play(seed);
        println!("seed {seed}: {completed} of {jobs} jobs complete");
        assert!(completed > 0, "seed {seed}: nothing was served");
    }
}
