//! The processes that crowds of clients meet, and what a crowd sends to each of their
//! HTTP listeners.

use std::net::SocketAddr;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use gannetvane_platform_standins::JobRequest;
use gannetvane_platform_standins::MinionStandIn;
use gannetvane_platform_standins::READINESS_PATH;
use gannetvane_platform_standins::REPORTS_PATH;
use gannetvane_platform_standins::StoreStandIn;
use gannetvane_platform_standins::get;
use gannetvane_platform_standins::http;
use gannetvane_platform_standins::post_job;
use gannetvane_platform_standins::settings;
use gannetvane_platform_standins::until;

use crate::crowd::JOB_ID;
use crate::crowd::Target;
use crate::fleet::End;
use crate::fleet::Fleet;
use crate::fleet::Process;
use crate::fleet::booking;
use crate::fleet::free_addr;
use crate::fleet::settings_file;
use crate::fleet::submit;

/// Largest legal body of a job.
const MAX_JOB_BYTES: usize = 262_144;
/// Largest legal body of a minion's report.
const MAX_REPORT_BYTES: usize = 1_048_576;
/// Limits on clients in the settings of the platform's processes.
const PLATFORM_LIMITS: &str = "[clients]\nhost_memory_mb = 64\nhost_descriptors = 512\n";
/// Limits on clients in the settings of the own interface's processes. The timeout ends
/// no connection while a test runs.
const OWN_LIMITS: &str = "max_requests = 64\nmax_body_bytes = 262144\nio_timeout_ms = 300000\n\
     [clients]\nhost_memory_mb = 64\nhost_descriptors = 512\n";
/// A configuration with one queue and no limit on bodies.
const CONFIG: &str = r#"{"version":3,"routes":[
  {"name":"slots","host":"desk.example","path_prefix":"/slots/","type":"non_idempotent","timeout_ms":1500,
   "target_latency_ms":60,"priority":0,"service":"desk","max_attempts":2,"stretch":1.6}],
  "services":[{"name":"desk"}]}"#;
/// A job with one task.
const JOB: JobRequest<'_> = JobRequest {
    id: JOB_ID,
    spec: "ms=300",
    tasks: 1,
    work_ms: 300,
    is_stored: false,
};

/// An HTTP listener of a process.
#[derive(Clone, Copy, Debug)]
pub enum Listener {
    /// Clients of an entry on the platform.
    Front,
    /// Balancer's checks of an entry on the platform.
    Ready,
    /// Metrics of an entry on the platform.
    Metrics,
    /// Reports of the minion beside an agent on the platform.
    Control,
    /// Metrics of an agent on the platform.
    AgentMetrics,
    /// Connections of agents and other entries to an entry on the platform.
    Link,
    /// Callers of an entry of the own interface.
    OwnEntry,
    /// Messages of other processes to an entry of the own interface.
    OwnNode,
    /// Checks and metrics of an agent of the own interface.
    OwnAgent,
}

/// Processes around a listener.
pub trait Site {
    /// Returns what a crowd sends to the listener.
    fn target(&self) -> Target;
    /// Returns the id of the process that serves the listener.
    fn pid(&self) -> u32;
    /// Returns whether an ordinary request to the listener is answered.
    fn serves(&self) -> bool;
    /// Requests a planned stop of the process and waits until it ends.
    fn stop(self: Box<Self>) -> ExitStatus;
}

/// Limits on clients in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limits {
    /// Those of a small host.
    Lowered,
    Defaults,
}

/// Starts the processes of a listener and waits until they serve.
pub fn start(listener: Listener, limits: Limits) -> Box<dyn Site> {
    match listener {
        Listener::OwnEntry | Listener::OwnNode | Listener::OwnAgent => {
            Box::new(OwnSite::start(listener, limits))
        }
        _ => Box::new(PlatformSite::start(listener, limits)),
    }
}

struct PlatformSite {
    listener: Listener,
    entry: Process,
    agent: Process,
    link: SocketAddr,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    _minion: MinionStandIn,
    _store: StoreStandIn,
}

impl PlatformSite {
    fn start(listener: Listener, limits: Limits) -> Self {
        let limits = match limits {
            Limits::Lowered => PLATFORM_LIMITS,
            Limits::Defaults => "",
        };
        let store = StoreStandIn::start();
        store.configure(CONFIG);
        let (link, front, ready) = (free_addr(), free_addr(), free_addr());
        let entry =
            format!("[entry]\nfront_address = \"{front}\"\nready_address = \"{ready}\"\n{limits}");
        let (minion, control) = (free_addr(), free_addr());
        let agent = format!(
            "[agent]\nminion_address = \"{minion}\"\ncontrol_address = \"{control}\"\n{limits}"
        );
        let site = Self {
            listener,
            entry: start_process("platform-entry", "entry-1", link, store.addr, &entry),
            agent: start_process("platform-agent", "host-1", link, store.addr, &agent),
            link,
            front,
            ready,
            control,
            _minion: MinionStandIn::start(minion, control),
            _store: store,
        };
        until("readiness", || get(ready, READINESS_PATH).0 == 200);
        until("a served job", || site.serves_jobs());
        site
    }

    fn serves_jobs(&self) -> bool {
        let id = format!("{:016x}", rand::random::<u64>());
        post_job(self.front, &id, 1, 10).0 == 200
    }
}

/// Starts a process of the platform, whose HTTP address is that of its metrics.
fn start_process(
    role: &str,
    name: &str,
    addr: SocketAddr,
    store: SocketAddr,
    section: &str,
) -> Process {
    let http = free_addr();
    let file = settings_file(&(settings(name, addr, http, addr, store) + section));
    let child = Command::new(env!("CARGO_BIN_EXE_gannetvaned"))
        .args([role, "--settings"])
        .arg(file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("the program runs");
    Process { child, addr, http }
}

impl Site for PlatformSite {
    fn target(&self) -> Target {
        let (addr, request) = match self.listener {
            Listener::Ready => (self.ready, format!("POST {READINESS_PATH}")),
            Listener::Metrics => (self.entry.http, "POST /metrics".to_owned()),
            Listener::AgentMetrics => (self.agent.http, "POST /metrics".to_owned()),
            Listener::Control => (self.control, format!("PUT {REPORTS_PATH}i-1")),
            Listener::Link => (self.link, String::new()),
            _ => (self.front, format!("POST /slots/{JOB_ID}")),
        };
        Target {
            addr,
            request,
            host: "desk.example",
            body_start: JOB.body().trim_end_matches('}').to_owned(),
            body_end: "}",
            max_body_bytes: match self.listener {
                Listener::Control => MAX_REPORT_BYTES,
                _ => MAX_JOB_BYTES,
            },
            frame_length: |length| length.to_be_bytes().to_vec(),
        }
    }

    fn pid(&self) -> u32 {
        let process = match self.listener {
            Listener::Control | Listener::AgentMetrics => &self.agent,
            _ => &self.entry,
        };
        process.child.id()
    }

    fn serves(&self) -> bool {
        match self.listener {
            Listener::Ready => get(self.ready, READINESS_PATH).0 == 200,
            Listener::Metrics => get(self.entry.http, "/metrics").0 == 200,
            Listener::AgentMetrics => get(self.agent.http, "/metrics").0 == 200,
            // A minion of another service is turned away by the agent itself.
            Listener::Control => {
                http(
                    self.control,
                    "PUT",
                    "agent",
                    &format!("{REPORTS_PATH}i-2"),
                    "{}",
                )
                .0 == 400
                    && self.serves_jobs()
            }
            _ => self.serves_jobs(),
        }
    }

    fn stop(self: Box<Self>) -> ExitStatus {
        self.entry.stop()
    }
}

struct OwnSite {
    listener: Listener,
    fleet: Fleet,
}

impl OwnSite {
    fn start(listener: Listener, limits: Limits) -> Self {
        let limits = match limits {
            Limits::Lowered => OWN_LIMITS,
            Limits::Defaults => "",
        };
        let fleet = Fleet::start_with_limits(1, 1, limits);
        Self { listener, fleet }
    }

    fn process(&self) -> &Process {
        let process = match self.listener {
            Listener::OwnAgent => &self.fleet.agents[0],
            _ => &self.fleet.entries[0],
        };
        process.as_ref().expect("the process was started")
    }
}

impl Site for OwnSite {
    fn target(&self) -> Target {
        let id = &self.fleet.take_ids(0, 1)[0];
        let process = self.process();
        Target {
            addr: match self.listener {
                Listener::OwnNode => process.addr,
                _ => process.http,
            },
            request: format!("PUT /v1/requests/{id}"),
            host: "entry",
            body_start: booking(300).to_string().trim_end_matches('}').to_owned(),
            body_end: "}",
            max_body_bytes: MAX_JOB_BYTES,
            frame_length: |length| length.to_le_bytes().to_vec(),
        }
    }

    fn pid(&self) -> u32 {
        self.process().child.id()
    }

    fn serves(&self) -> bool {
        let addr = self.process().http;
        match self.listener {
            Listener::OwnAgent => get(addr, "/healthz").0 == 200,
            _ => {
                let id = &self.fleet.take_ids(0, 1)[0];
                matches!(submit(addr, id, &booking(10)), End::Complete(_))
            }
        }
    }

    fn stop(mut self: Box<Self>) -> ExitStatus {
        self.fleet.entries[0].take().expect("the entry runs").stop()
    }
}
