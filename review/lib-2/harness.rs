//! Stand-ins and a driver for the review's scripts: the platform's store, minions as
//! separate processes, clients, and the cases themselves. Only the standard library.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

#[path = "cases.rs"]
mod cases;
#[path = "json.rs"]
mod json;
#[path = "minion.rs"]
mod minion;
#[path = "soak.rs"]
mod soak;
#[path = "store.rs"]
mod store;

use json::Json;

/// Bounds of a small deployment, as in the settings on the page DEPLOY.
pub const GRACE_S: u64 = 6;
pub const HEARTBEAT_MS: u64 = 1_500;
pub const MAX_HOLD_MS: u64 = 1_000;
pub const VISIBLE_MS: u64 = 3_000;
pub const FINISH_S: u64 = 14;
pub const PARTS: u32 = 12;

const LINK_PORT: u16 = 7_720;
const METRICS_PORT: u16 = 7_721;
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
const APP_PORT: u16 = 8_080;
const STORE_PORT: u16 = 8_169;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("minion") => minion::run(&args[2..]),
        Some("case") => {
            end_in_time();
            std::process::exit(cases::run(&args[2..]))
        }
        _ => {
            eprintln!("usage: harness case NAME REPOSITORY RECORD");
            std::process::exit(2);
        }
    }
}

/// Ends the driver when a case takes too long; `run.sh` then ends the other processes.
fn end_in_time() {
    if std::env::var("REVIEW_PIDS").is_ok() {
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            std::process::exit(3);
        });
    }
}

/// An HTTP request that a stand-in received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Answers requests: status and body, or no answer at all for `None`.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, Vec<u8>)> + Send + Sync>;

/// Serves HTTP/1.1 with one thread a connection.
pub fn serve(addr: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut parts = line.split_whitespace();
        let method = parts.next().unwrap_or_default().to_owned();
        let target = parts.next().unwrap_or_default().to_owned();
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
            }
        }
        let length = headers.get("content-length").and_then(|n| n.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
            headers,
            body,
        };
        let Some((status, body)) = handler(request) else {
            // No answer: the connection stays open and silent.
            loop {
                thread::sleep(Duration::from_secs(3_600));
            }
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        writer.write_all(&bytes)?;
    }
}

/// Sends one request on a new connection; status 0 means no answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return (0, String::new());
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return (0, String::new());
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = answer
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_owned());
    (status.unwrap_or(0), body.unwrap_or_default())
}

/// The record of a run of a case, with the time since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(path: &str) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("the record"))),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7} {text}", self.ms());
    }
}

/// One thing that a minion said about a run: it started, or how it ended.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub at_ms: u64,
    pub minion: usize,
    /// `start` or the word for the end.
    pub what: String,
    pub task: String,
}

/// A process of the deployment.
pub struct Process {
    name: String,
    child: Child,
}

/// Kind, rack and size of a minion.
#[derive(Clone)]
pub struct MinionSpec {
    pub labels: String,
    pub cpu: u32,
}

/// A small deployment: the store, entries, agents and their minions.
pub struct Deployment {
    pub record: Record,
    pub store: store::Store,
    repository: String,
    work: String,
    net: (u8, u8),
    entries: usize,
    specs: Vec<MinionSpec>,
    processes: Vec<Process>,
    minions: Vec<Option<Child>>,
    lives: Vec<u32>,
    pub events: Arc<Mutex<Vec<RunEvent>>>,
}

/// Configuration with one queue.
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"slots","host":"desk.example","path_prefix":"/slots/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"desk","max_attempts":2,"stretch":1.6}],"services":[{"name":"desk","rejects_overload":false}],"limits":{"max_body_bytes":262144}}"#;

impl Deployment {
    /// Starts all parts and waits until all entries are ready.
    pub fn start(
        repository: &str,
        record: Record,
        entries: usize,
        specs: Vec<MinionSpec>,
    ) -> Result<Self, String> {
        let pid = std::process::id();
        let work = format!("{}/review-2-{pid}", std::env::temp_dir().display());
        std::fs::create_dir_all(&work).map_err(|e| e.to_string())?;
        let net = free_net(entries, specs.len()).ok_or("no free addresses")?;
        let store = store::Store::default();
        store.put("keyed.op", 0, "config", CONFIG.as_bytes());
        let count = specs.len();
        let mut deployment = Self {
            record,
            store: store.clone(),
            repository: repository.to_owned(),
            work,
            net,
            entries,
            specs,
            processes: Vec::new(),
            minions: (0..count).map(|_| None).collect(),
            lives: vec![0; count],
            events: Arc::default(),
        };
        let addr = deployment.addr(200, STORE_PORT);
        store.serve(addr).map_err(|e| format!("store: {e}"))?;
        for index in 0..entries {
            deployment.start_entry(index)?;
        }
        for index in 0..count {
            deployment.start_agent(index)?;
            deployment.start_minion(index)?;
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        addr(self.net, host, port)
    }

    pub fn front(&self, entry: usize) -> SocketAddr {
        self.addr(entry_host(entry), FRONT_PORT)
    }

    fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        for entry in 0..self.entries {
            let ready = self.addr(entry_host(entry), READY_PORT);
            let is_ready = || call(ready, "GET", "/api/readyz", &[], "", SECOND).0 == 200;
            while !is_ready() {
                if Instant::now() > end {
                    return Err("the entries don't become ready".to_owned());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // All agents greet all entries meanwhile.
        thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    fn shared_settings(&self, name: &str, zone: usize, host: u8) -> String {
        let seeds =
            (0..self.entries.min(3)).map(|entry| self.addr(entry_host(entry), CONTROL_PORT));
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "[host]\nname = \"{name}\"\nzone = \"{}\"\nlink_address = \"{}\"\n\
             metrics_address = \"{}\"\nseeds = [{}]\nlog_level = \"info\"\n\
             [store]\naddress = \"{}\"\npartitions = {PARTS}\nwrites_per_s = 800\n\
             [times]\ngrace_s = {GRACE_S}\nremote_factor = 1.5\n",
            ZONES[zone % ZONES.len()],
            self.addr(host, LINK_PORT),
            self.addr(host, METRICS_PORT),
            seeds.join(", "),
            self.addr(200, STORE_PORT),
        )
    }

    pub fn start_entry(&mut self, index: usize) -> Result<(), String> {
        let host = entry_host(index);
        let settings = self.shared_settings(&format!("front-{index}"), index, host)
            + &format!(
                "[entry]\nfront_address = \"{}\"\nready_address = \"{}\"\nlink_mbps = 1000.0\n",
                self.addr(host, FRONT_PORT),
                self.addr(host, READY_PORT),
            );
        self.spawn(&format!("front-{index}"), "platform-entry", &settings)
    }

    pub fn start_agent(&mut self, index: usize) -> Result<(), String> {
        let host = side_host(index);
        let settings = self.shared_settings(&format!("side-{index}"), index, host)
            + &format!(
                "longest_lease_ms = {MAX_HOLD_MS}\n[agent]\nminion_address = \"{}\"\n\
                 control_address = \"{}\"\nservice = \"desk\"\n",
                self.addr(host, APP_PORT),
                self.addr(host, CONTROL_PORT),
            );
        self.spawn(&format!("side-{index}"), "platform-agent", &settings)
    }

    /// Starts a program with the command of the deploy file.
    fn spawn(&mut self, name: &str, role: &str, settings: &str) -> Result<(), String> {
        let path = format!("{}/{name}.toml", self.work);
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(format!("{}/{name}.log", self.work))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(format!("{}/target/release/gannetvaned", self.repository))
            .arg(role)
            .current_dir(&self.repository)
            .env("GANNETVANE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{name}: {e}"))?;
        note_pid(child.id());
        self.record.line(&format!("process {name} started"));
        let name = name.to_owned();
        self.processes.push(Process { name, child });
        Ok(())
    }

    /// Starts a new life of a minion.
    pub fn start_minion(&mut self, index: usize) -> Result<(), String> {
        let host = side_host(index);
        self.lives[index] += 1;
        let id = format!("i-{index:02}-{:04}", self.lives[index]);
        let spec = self.specs[index].clone();
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut child = Command::new(program)
            .arg("minion")
            .arg(self.addr(host, APP_PORT).to_string())
            .arg(self.addr(host, CONTROL_PORT).to_string())
            .arg(&id)
            .arg(ZONES[index % ZONES.len()])
            .arg(&spec.labels)
            .arg(spec.cpu.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        self.record
            .line(&format!("minion {index} up as {id} labels={}", spec.labels));
        note_pid(child.id());
        let output = child.stdout.take().ok_or("no output")?;
        let (record, events) = (self.record.clone(), Arc::clone(&self.events));
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("minion {index} {line}"));
                let mut words = line.split_whitespace();
                let what = words.next().unwrap_or_default().to_owned();
                let task = words.next().unwrap_or_default().to_owned();
                let at_ms = record.ms();
                let event = RunEvent {
                    at_ms,
                    minion: index,
                    what,
                    task,
                };
                events.lock().unwrap().push(event);
            }
        });
        self.minions[index] = Some(child);
        Ok(())
    }

    /// Ends a minion's process without notice.
    pub fn crash_minion(&mut self, index: usize) {
        if let Some(mut child) = self.minions[index].take() {
            self.record.line(&format!("minion {index} crashes"));
            let _ = child.kill();
            let _ = child.wait();
            // What ran on it has ended with it.
            pause_for_output();
            let mut events = self.events.lock().unwrap();
            let mut running = BTreeSet::new();
            for event in events.iter().filter(|event| event.minion == index) {
                match event.what.as_str() {
                    "start" => running.insert(event.task.clone()),
                    _ => running.remove(&event.task),
                };
            }
            let at_ms = self.record.ms();
            let what = "stopped".to_owned();
            let end = |task| RunEvent {
                at_ms,
                minion: index,
                what: what.clone(),
                task,
            };
            events.extend(running.into_iter().map(end));
        }
    }

    /// Gives a minion a word on its standard input: `mute` or `speak`.
    pub fn tell_minion(&mut self, index: usize, word: &str) {
        self.record.line(&format!("minion {index} is told: {word}"));
        if let Some(input) = self.minions[index].as_mut().and_then(|c| c.stdin.as_mut()) {
            let _ = writeln!(input, "{word}");
            let _ = input.flush();
        }
    }

    /// Sends a signal to a process of the deployment, by its name.
    pub fn signal(&mut self, name: &str, signal: &str) {
        let process = self.processes.iter_mut().rev().find(|p| p.name == name);
        let Some(process) = process else { return };
        self.record
            .line(&format!("process {name} gets SIG{signal}"));
        let command = format!("kill -{signal} {}", process.child.id());
        let _ = Command::new("sh").arg("-c").arg(command).status();
        if signal == "KILL" {
            let _ = process.child.wait();
        }
    }

    /// Submits a stored job and records the answer.
    pub fn submit(&self, entry: usize, id: &str, body: &str) -> u16 {
        let (status, answer) = self.request(entry, "POST", id, body);
        self.record.line(&format!(
            "client POST {id} at front-{entry}: {status} {answer}"
        ));
        status
    }

    /// Sends a client's request about a job.
    pub fn request(&self, entry: usize, method: &str, id: &str, body: &str) -> (u16, String) {
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("Gannetvane-Timeout-Ms", "4000".to_owned()),
        ];
        let path = format!("/slots/{id}");
        call(
            self.front(entry),
            method,
            &path,
            &headers,
            body,
            Duration::from_secs(5),
        )
    }

    /// Returns the state of a stored job, from the first entry that tells it.
    pub fn state(&self, id: &str) -> String {
        for entry in 0..self.entries {
            let (status, body) = self.request(entry, "GET", id, "");
            if status == 200 {
                let state = Json::parse(&body).and_then(|body| body.text("state"));
                return state.unwrap_or_default();
            }
            if status == 410 {
                return "410".to_owned();
            }
        }
        "unanswered".to_owned()
    }

    /// Waits until a stored job has ended or the time is over; returns its state.
    pub fn wait_end(&self, id: &str, for_s: u64) -> String {
        let end = Instant::now() + Duration::from_secs(for_s);
        loop {
            let state = self.state(id);
            if matches!(state.as_str(), "completed" | "failed" | "cancelled")
                || Instant::now() > end
            {
                return state;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Submits a first stored job and waits for its end, so that the entries have
    /// divided the job log among themselves.
    pub fn warm_up(&self) -> Result<(), String> {
        let id = "00000000000000aa";
        let body = stored_job(1, 500, 50, 50, None);
        let end = Instant::now() + Duration::from_secs(15);
        while self.submit(0, id, &body) != 200 {
            if Instant::now() > end {
                return Err("the first stored job is not accepted".to_owned());
            }
            thread::sleep(Duration::from_millis(500));
        }
        match self.wait_end(id, 15).as_str() {
            "completed" => Ok(()),
            state => Err(format!("the first stored job is {state}")),
        }
    }

    /// Events of the tasks of one job.
    pub fn events_of(&self, id: &str) -> Vec<RunEvent> {
        let events = self.events.lock().unwrap();
        let of_job = events.iter().filter(|event| event.task.starts_with(id));
        of_job.cloned().collect()
    }

    /// Number of running tasks of a job, as the minions have told.
    pub fn running(&self, id: &str) -> usize {
        let mut running = BTreeSet::new();
        for event in self.events_of(id) {
            match event.what.as_str() {
                "start" => running.insert((event.minion, event.task)),
                _ => running.remove(&(event.minion, event.task)),
            };
        }
        running.len()
    }

    /// Whether some run of a job of one task has ended as done.
    pub fn is_done(&self, id: &str) -> bool {
        self.events_of(id).iter().any(|event| event.what == "done")
    }

    /// Number of running tasks on each minion.
    pub fn running_by_minion(&self) -> Vec<i64> {
        let events = self.events.lock().unwrap();
        let mut running = vec![0; self.specs.len()];
        for event in events.iter() {
            match event.what.as_str() {
                "start" => running[event.minion] += 1,
                "done" | "failed" | "stopped" | "lapsed" => running[event.minion] -= 1,
                _ => {}
            }
        }
        running
    }

    /// The minion with most running tasks.
    pub fn busiest(&self) -> usize {
        let running = self.running_by_minion();
        (0..running.len())
            .max_by_key(|minion| running[*minion])
            .unwrap_or(0)
    }

    /// Copies the programs' log lines that name a job into the record.
    pub fn note_logs(&self, id: &str) {
        for process in &self.processes {
            let path = format!("{}/{}.log", self.work, process.name);
            let text = std::fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains(id)) {
                self.record.line(&format!("log {} {line}", process.name));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        for child in self.minions.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.work);
        }
    }
}

/// Adds a started process to the file of which `run.sh` ends all processes when it is ended
/// itself.
fn note_pid(pid: u32) {
    let Ok(path) = std::env::var("REVIEW_PIDS") else {
        return;
    };
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{pid}");
    }
}

/// Waits until the last output of an ended process was read.
fn pause_for_output() {
    thread::sleep(Duration::from_millis(30));
}

pub const SECOND: Duration = Duration::from_secs(1);
const ZONES: [&str; 3] = ["selfoss-hall", "hella-hall", "thorlak-hall"];

fn entry_host(index: usize) -> u8 {
    1 + index as u8
}

fn side_host(index: usize) -> u8 {
    20 + index as u8
}

fn addr(net: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, net.0, net.1, host], port))
}

/// Finds a loopback network in which all ports of the deployment are free.
fn free_net(entries: usize, minions: usize) -> Option<(u8, u8)> {
    let pid = std::process::id();
    for step in 0..50 {
        let net = (60 + (pid % 120) as u8, (pid / 120 + step) as u8);
        let entries = (0..entries).flat_map(|entry| {
            let ports = [
                LINK_PORT,
                METRICS_PORT,
                FRONT_PORT,
                READY_PORT,
                CONTROL_PORT,
            ];
            ports.map(|port| addr(net, entry_host(entry), port))
        });
        let sides = (0..minions).flat_map(|minion| {
            let ports = [LINK_PORT, METRICS_PORT, CONTROL_PORT, APP_PORT];
            ports.map(|port| addr(net, side_host(minion), port))
        });
        let mut all = entries.chain(sides).chain([addr(net, 200, STORE_PORT)]);
        if all.all(|addr| TcpListener::bind(addr).is_ok()) {
            return Some(net);
        }
    }
    None
}

/// Body of a stored job of one step. The text tells the minion how long a task works.
pub fn stored_job(
    count: u32,
    cpu: u32,
    work_ms: u64,
    declared_ms: u64,
    label: Option<&str>,
) -> String {
    let label = label.map_or(String::new(), |label| {
        format!(",\"constraints\":\"{label}\"")
    });
    format!(
        r#"{{"spec":"ms={work_ms}","steps":[{{"count":{count},"cpu":{cpu},"mem_mb":16,"est_runtime_ms":{declared_ms}{label}}}]}}"#
    )
}

/// Ids of jobs that are spread over the partitions.
pub fn job_ids(series: u64, count: u64) -> Vec<String> {
    let mix = |n: u64| {
        let mut x = n.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        x ^= x >> 31;
        x.wrapping_mul(0xBF58_476D_1CE4_E5B9)
    };
    (0..count)
        .map(|n| format!("{:016x}", mix(series * 1_000 + n + 1)))
        .collect()
}
