//! A small fleet of real processes on loopback, with stand-ins for the platform
//! inside the test process. The tests wait for conditions, not for fixed times.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::Read;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use gannetvane_standins::LogService;
use gannetvane_standins::MinionStandIn;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::api::AnswerBody;
use gannetvane_wire::api::IdsBody;
use gannetvane_wire::api::PlanBody;
use gannetvane_wire::api::Problem;
use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;

/// Longest wait for a condition, far above the usual time, for slow hosts.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ZONES: [&str; 3] = ["selfoss", "hella", "thorlak"];
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A process of gannetvane; it is killed when the value is dropped.
pub struct Process {
    pub child: Child,
    pub addr: SocketAddr,
    pub http: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process exists");
    }

    /// Requests a planned stop and waits until the process ends.
    pub fn stop(mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        let mut status = None;
        wait_until("the process ends", || {
            status = self.child.try_wait().expect("the child can be asked");
            status.is_some()
        });
        status.expect("just seen")
    }

    pub fn kill(mut self) {
        self.child.kill().expect("the process exists");
        self.child.wait().expect("the process ends");
    }
}

/// A response with its body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// The end of a submission as its caller saw it.
#[derive(Clone, Debug)]
pub enum End {
    Complete(AnswerBody),
    Problem(Problem),
    /// The connection broke or was refused, or the body was not the expected JSON.
    NoAnswer(String),
}

pub struct Fleet {
    pub log: LogService,
    pub log_addr: SocketAddr,
    pub minions: Vec<MinionStandIn>,
    pub agents: Vec<Option<Process>>,
    pub entries: Vec<Option<Process>>,
    minion_addrs: Vec<SocketAddr>,
    limits: &'static str,
}

/// Limits of the HTTP interface in the settings of all processes.
const LIMITS: &str = "max_requests = 64\nmax_body_bytes = 100000\nio_timeout_ms = 2000\n";

impl Fleet {
    /// Starts entries and agents, waits until the entries know all agents, and
    /// configures the service `bretti-desk`.
    pub fn start(entries: usize, agents: usize) -> Self {
        Self::start_with_limits(entries, agents, LIMITS)
    }

    /// Starts a fleet whose settings continue with `limits` in the section of the HTTP
    /// interface.
    pub fn start_with_limits(entries: usize, agents: usize, limits: &'static str) -> Self {
        let log = LogService::new(Duration::from_secs(3_600));
        let log_addr = free_addr();
        log.serve(log_addr).expect("the log can be served");
        let mut fleet = Self {
            log,
            log_addr,
            minions: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            minion_addrs: Vec::new(),
            limits,
        };
        for index in 0..agents {
            let minion = MinionStandIn::new(8);
            let addr = free_addr();
            minion.serve(addr).expect("the minion can be served");
            fleet.minions.push(minion);
            fleet.minion_addrs.push(addr);
            let agent = fleet.new_agent(index);
            fleet.agents.push(Some(agent));
        }
        for index in 0..entries {
            let entry = fleet.new_entry(index);
            fleet.entries.push(Some(entry));
        }
        fleet.wait_until_known(agents);
        fleet.configure();
        fleet
    }

    pub fn new_agent(&self, index: usize) -> Process {
        let minion = self.minion_addrs[index];
        self.spawn("agent", index, &format!(
            "[agent]\nservice = \"bretti-desk\"\nminion_url = \"http://{minion}\"\nmemory_mb = 1000\nleave_notice_ms = 1000\n"
        ))
    }

    pub fn new_entry(&self, index: usize) -> Process {
        self.spawn("entry", index, "[entry]\nstop_notice_ms = 500\n")
    }

    fn spawn(&self, role: &str, index: usize, section: &str) -> Process {
        let (addr, http) = (free_addr(), free_addr());
        let zone = ZONES[index % ZONES.len()];
        let log = self.log_addr;
        let limits = self.limits;
        let text = format!(
            "[node]\naddress = \"{addr}\"\nzone = \"{zone}\"\n\
             [http]\naddress = \"{http}\"\n{limits}\
             [log]\nurl = \"http://{log}\"\ntimeout_ms = 1000\n{section}"
        );
        let file = settings_file(&text);
        let child = Command::new(env!("CARGO_BIN_EXE_gannetvaned"))
            .args([role, "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file(role, addr))
            .spawn()
            .expect("the program runs");
        Process { child, addr, http }
    }

    fn configure(&self) {
        let operations = json!([
            {"operation": "put-service", "name": "bretti-desk", "service": {}},
            {"operation": "put-team", "name": "desk", "team":
                {"weight": 1, "max_queued_tasks": 1000, "max_running_tasks": 1000}},
        ]);
        let plan = self.plan(&operations);
        let confirmed = self.confirm(&plan);
        assert_eq!(confirmed.status, 200, "{}", confirmed.body);
        self.wait_until_version(1);
    }

    pub fn plan(&self, operations: &Value) -> PlanBody {
        let response = self.call(
            0,
            Method::POST,
            "/v1/plans",
            &json!({ "operations": operations }),
        );
        serde_json::from_str(&response.expect("a plan").body).expect("a plan")
    }

    pub fn confirm(&self, plan: &PlanBody) -> Response {
        let path = format!("/v1/changes/{}", plan.change.change_id);
        let body = serde_json::to_value(plan).expect("a plan is JSON");
        self.call(0, Method::PUT, &path, &body).expect("an answer")
    }

    /// Waits until each entry reports this many live agents.
    pub fn wait_until_known(&self, agents: usize) {
        for index in self.running_entries() {
            wait_until("all agents are known", || {
                let response = self.call(index, Method::GET, "/v1/members", &Value::Null);
                response.is_ok_and(|r| r.body.matches("\"state\":\"alive\"").count() == agents)
            });
        }
    }

    pub fn wait_until_version(&self, version: u64) {
        for index in self.running_entries() {
            wait_until("the configuration is in force", || {
                let response = self.call(index, Method::GET, "/v1/configuration", &Value::Null);
                response.is_ok_and(|r| r.body.contains(&format!("\"version\":{version},")))
            });
        }
    }

    pub fn running_entries(&self) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|index| self.entries[*index].is_some())
            .collect()
    }

    pub fn entry_http(&self, index: usize) -> SocketAddr {
        self.entries[index].as_ref().expect("the entry runs").http
    }

    pub fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Response, String> {
        call(self.entry_http(entry), method, path, body)
    }

    pub fn take_ids(&self, entry: usize, count: usize) -> Vec<String> {
        let path = format!("/v1/ids?service=bretti-desk&count={count}");
        let response = self
            .call(entry, Method::POST, &path, &Value::Null)
            .expect("ids");
        assert_eq!(response.status, 200, "{}", response.body);
        serde_json::from_str::<IdsBody>(&response.body)
            .expect("ids")
            .ids
    }

    /// Returns the starts of those tasks of a submission that may run only once.
    pub fn starts_of(&self, id: &str) -> Vec<String> {
        let starts = self.minions.iter().flat_map(MinionStandIn::starts);
        let own = starts.filter(|start| start.task.starts_with(id) && !start.is_repeatable);
        own.map(|start| start.task).collect()
    }

    /// Checks that no task that may run only once was started twice, that each result
    /// belongs to its task, and that nothing was started when the end says so.
    pub fn check_end(&self, id: &str, end: &End) {
        let mut starts = self.starts_of(id);
        let count = starts.len();
        starts.sort();
        starts.dedup();
        assert_eq!(starts.len(), count, "a task of {id} was started twice");
        match end {
            End::Complete(answer) => {
                for (index, result) in answer.results.iter().enumerate() {
                    assert_eq!(
                        **result,
                        *format!("done {id}/{index}"),
                        "the result belongs to another task"
                    );
                }
            }
            End::Problem(problem) if problem.ran == Ran::NotRun => {
                assert_eq!(count, 0, "{id} was reported as not run: {problem:?}");
            }
            End::Problem(_) | End::NoAnswer(_) => {}
        }
    }
}

/// Submits a job or request to the HTTP address of an entry and returns its end.
pub fn submit(entry: SocketAddr, id: &str, body: &Value) -> End {
    let kind = if body.get("tasks").is_some() {
        "jobs"
    } else {
        "requests"
    };
    let response = match call(entry, Method::PUT, &format!("/v1/{kind}/{id}"), body) {
        Ok(response) => response,
        Err(error) => return End::NoAnswer(error),
    };
    if response.status == 200 {
        return match serde_json::from_str(&response.body) {
            Ok(answer) => End::Complete(answer),
            Err(error) => End::NoAnswer(error.to_string()),
        };
    }
    match serde_json::from_str(&response.body) {
        Ok(problem) => End::Problem(problem),
        Err(error) => End::NoAnswer(error.to_string()),
    }
}

pub fn reason(end: &End) -> Option<Reason> {
    match end {
        End::Problem(problem) => Some(problem.reason),
        End::Complete(_) | End::NoAnswer(_) => None,
    }
}

pub fn booking(run_ms: u32) -> Value {
    json!({
        "service": "bretti-desk", "team": "desk", "deadline_ms": 60000, "repeatable": false,
        "kind": "booking", "payload": format!("run_ms={run_ms}"), "declared_ms": run_ms,
    })
}

pub fn job(run_ms: &[u32]) -> Value {
    let tasks: Vec<Value> = run_ms
        .iter()
        .map(|ms| json!({"kind": "label", "payload": format!("run_ms={ms}"), "declared_ms": ms}))
        .collect();
    json!({"service": "bretti-desk", "team": "desk", "deadline_ms": 60000, "tasks": tasks})
}

pub fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Response, String> {
    let bytes = if body.is_null() {
        Vec::new()
    } else {
        body.to_string().into_bytes()
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(Body::from(bytes))
        .map_err(|error| error.to_string())?;
    let client = Client::new().with_global_timeout(WAIT_TIMEOUT);
    let response = client.request(request).map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let mut text = String::new();
    response
        .into_body()
        .read_to_string(&mut text)
        .map_err(|error| error.to_string())?;
    Ok(Response { status, body: text })
}

pub fn wait_until(what: &str, mut is_reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_reached() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        sleep(POLL_INTERVAL);
    }
}

/// Returns an unused loopback address: each test process has its own IP address,
/// which outgoing connections do not use.
pub fn free_addr() -> SocketAddr {
    let [low, high, ..] = std::process::id().to_le_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 250, low, 1);
    // The port is not bound first to test it: a child process that another test
    // starts at that moment would inherit the socket and hold it for a while.
    let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::SeqCst) % PORT_COUNT;
    SocketAddr::new(ip.into(), port)
}

/// Creates the file for the log lines of a process, for use when a test fails.
fn log_file(role: &str, addr: SocketAddr) -> std::fs::File {
    let name = format!("{role}-{}-{}.log", std::process::id(), addr.port());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::File::create(path).expect("the folder can be written to")
}

/// Writes a settings file with this text to the temporary folder of the tests.
pub fn settings_file(text: &str) -> PathBuf {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("settings-{}-{number}.toml", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the folder can be written to");
    path
}
