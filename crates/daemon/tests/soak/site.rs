//! The test site: entries and agents as processes, and stand-ins for the platform.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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
use gannetvane_platform_standins::settings;
use rustix::process::Signal;

use crate::clients::JobRecord;
use crate::evidence::Folder;
use crate::program::DueAction;
use crate::program::Program;

/// Number of tasks that fit on a minion; each needs one core.
pub const TASKS_PER_MINION: usize = 8;
/// Capacity of a minion in thousandths of a core.
pub const MINION_CPU_MILLI: u32 = 8_000;
/// One agent in this many is in the second zone, which the test evacuates.
pub const ZONES_DIVISOR: usize = 2;
/// An agent is in the second zone if its index modulo [`ZONES_DIVISOR`] is this.
pub const EVACUATED_INDEX: usize = 1;
/// Key of the operators' request to evacuate the second zone.
pub const EVACUATE_KEY: &str = "evacuate/hella";

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: usize,
    pub agents: usize,
    pub clients: usize,
}

impl Size {
    pub fn from_environment() -> Option<Self> {
        let text = std::env::var("GANNETVANE_SOAK_SIZE").ok()?;
        let mut numbers = text.split(',').map(str::parse);
        Some(Self {
            entries: numbers.next()?.ok()?,
            agents: numbers.next()?.ok()?,
            clients: numbers.next()?.ok()?,
        })
    }
}

pub struct Soak {
    pub programs: Vec<Program>,
    pub minions: Vec<MinionStandIn>,
    pub store: StoreStandIn,
    pub fronts: Vec<Proxy>,
    pub inner_proxies: Vec<Proxy>,
    pub jobs: Arc<Mutex<BTreeMap<String, JobRecord>>>,
    pub violations: Arc<Mutex<Vec<String>>>,
    pub folder: Folder,
}

/// Rates of the entries' network links, in megabits per second: one that is always wide
/// enough, and one that a few jobs fill.
const LINKS_MBPS: [f64; 2] = [1_000.0, 0.2];

impl Soak {
    pub fn start(seed: u64, size: Size) -> Self {
        let folder = Folder::create(seed);
        let store = StoreStandIn::start();
        store.configure(CONFIG);
        let mut soak = Self {
            programs: Vec::new(),
            minions: Vec::new(),
            store,
            fronts: Vec::new(),
            inner_proxies: Vec::new(),
            jobs: Arc::default(),
            violations: Arc::default(),
            folder,
        };
        // All entries use the same port and differ by IP address.
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
        self.inner_proxies.push(proxy);
        addr
    }

    fn add_entry(&mut self, entry: usize, link: SocketAddr, seed: SocketAddr) {
        let (front, store) = (free_addr(), self.store_proxy());
        let name = format!("entry-{entry}");
        let metrics = free_addr();
        let text = settings(&name, link, metrics, seed, store)
            + &format!(
                "[entry]\nfront_address = \"{front}\"\nready_address = \"{}\"\nlink_mbps = {}\n",
                free_addr(),
                LINKS_MBPS[entry % LINKS_MBPS.len()],
            );
        self.add_program("platform-entry", &name, &text, metrics);
        self.fronts.push(Proxy::start(front));
    }

    fn add_agent(&mut self, agent: usize, link: SocketAddr, seed: SocketAddr) {
        let (minion, control, store) = (free_addr(), free_addr(), self.store_proxy());
        let proxy = Proxy::start(minion);
        let name = format!("host-{agent}");
        let seed = SocketAddr::new(seed.ip(), link.port());
        let metrics = free_addr();
        let shared = settings(&name, seed, metrics, seed, store);
        let shared = match agent % ZONES_DIVISOR {
            EVACUATED_INDEX => shared.replace("zone = \"selfoss\"", "zone = \"hella\""),
            _ => shared,
        };
        let text = shared
            + &format!(
                "[agent]\nminion_address = \"{}\"\ncontrol_address = \"{control}\"\n",
                proxy.addr
            );
        self.add_program("platform-agent", &name, &text, metrics);
        self.minions.push(MinionStandIn::start(minion, control));
        self.inner_proxies.push(proxy);
    }

    fn add_program(&mut self, role: &'static str, name: &str, text: &str, metrics: SocketAddr) {
        let path = self.folder.file(&format!("{name}.toml"));
        let text = text.replace("log_level = \"critical\"", "log_level = \"info\"");
        fs::write(&path, text).expect("a settings file");
        self.programs.push(Program::new(role, path, metrics));
    }

    /// Waits until a job is served through every entry.
    pub fn wait_served(&self, what: &str) {
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

    pub fn clear_faults(&mut self) {
        self.folder.record("all faults cleared");
        self.store.set_fault(StoreFault::None);
        self.inner_proxies
            .iter()
            .for_each(|proxy| proxy.set_fault(ProxyFault::None));
        self.minions.iter().for_each(|minion| {
            minion.set_unresponsive(false);
            minion.leave_unanswered(0);
            minion.resize(MINION_CPU_MILLI);
        });
        for program in &mut self.programs {
            program.signal(Signal::CONT);
            program.schedule(0, DueAction::Start);
        }
    }

    pub fn run_due_actions(&mut self) {
        self.programs.iter_mut().for_each(Program::run_due_actions);
    }

    /// Reports a violation, and records the state of the site at the first one.
    pub fn report_violation(&self, what: String) {
        self.violations.lock().expect("no panic").push(what);
        self.record_state();
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.record_state();
            self.folder.keep();
        }
    }
}
