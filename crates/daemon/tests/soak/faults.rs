//! Random faults of processes, minions, the store and connections.

use gannetvane_platform_standins::ProxyFault;
use gannetvane_platform_standins::StoreFault;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::program::DueAction;
use crate::site::EVACUATE_KEY;
use crate::site::MINION_CPU_MILLI;
use crate::site::Soak;

impl Soak {
    pub fn inject_fault(&mut self, rng: &mut ChaCha8Rng) {
        let program = rng.random_range(0..self.programs.len());
        let program = &mut self.programs[program];
        let host = rng.random_range(0..self.minions.len());
        let minion = &self.minions[host];
        let proxy = rng.random_range(0..self.inner_proxies.len());
        let inner = &self.inner_proxies[proxy];
        let entry = rng.random_range(0..self.fronts.len());
        let front = &self.fronts[entry];
        let name = program.name();
        let fault = match rng.random_range(0..27) {
            0 | 1 => {
                let for_ms = rng.random_range(50..2_500);
                program.signal(Signal::STOP);
                program.schedule(for_ms, DueAction::Resume);
                format!("{name}: stopped for {for_ms} ms")
            }
            2 | 3 => {
                let for_ms = rng.random_range(20..1_500);
                program.signal(Signal::KILL);
                program.schedule(for_ms, DueAction::Start);
                program.schedule(2_000, DueAction::Start);
                format!("{name}: killed for {for_ms} ms")
            }
            4 => {
                program.signal(Signal::TERM);
                program.schedule(6_500, DueAction::Start);
                format!("{name}: terminated for 6500 ms")
            }
            5 => {
                program.signal(Signal::HUP);
                format!("{name}: reload")
            }
            6 => self.set_store_fault(StoreFault::Refuses(503)),
            7 => match rng.random_range(0..3) {
                0 => self.set_store_fault(StoreFault::NoAnswer),
                1 => self.set_store_fault(StoreFault::LosesAnswers),
                _ => {
                    self.store.rebalance();
                    self.set_store_fault(StoreFault::None) + ", rebalanced"
                }
            },
            8 => self.set_store_fault(StoreFault::None),
            9 => {
                minion.restart_with_new_id();
                format!("minion of host {host}: restart with a new id")
            }
            10 => {
                let starts = rng.random_range(1..6);
                minion.leave_unanswered(starts);
                format!("minion of host {host}: {starts} unanswered starts")
            }
            11 => {
                let is_unresponsive = rng.random();
                minion.set_unresponsive(is_unresponsive);
                format!("minion of host {host}: unresponsive: {is_unresponsive}")
            }
            12 => {
                inner.reset();
                format!("proxy {proxy}: reset")
            }
            13 => {
                front.reset();
                format!("front {entry}: reset")
            }
            14 | 15 => {
                inner.blackhole_open();
                format!("proxy {proxy}: open connections blackholed")
            }
            16 => {
                front.blackhole_open();
                format!("front {entry}: open connections blackholed")
            }
            17 => {
                minion.send_delayed_report();
                format!("minion of host {host}: delayed report")
            }
            18 => {
                self.store.put("keyed.op", EVACUATE_KEY, b"{}");
                "evacuation".to_owned()
            }
            19 => {
                self.store.put("keyed.op", EVACUATE_KEY, b"");
                "end of the evacuation".to_owned()
            }
            20 => {
                let foreign: Vec<u8> = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
                self.store.put_raw("keyed.op", &foreign);
                format!("foreign record {foreign:?}")
            }
            21 => {
                minion.restart_with_same_id();
                format!("minion of host {host}: restart with the same id")
            }
            22 => {
                let cpu_milli = rng.random_range(1..=MINION_CPU_MILLI);
                minion.resize(cpu_milli);
                format!("minion of host {host}: resized to {cpu_milli}")
            }
            23 => {
                minion.resize(MINION_CPU_MILLI);
                format!("minion of host {host}: resized to {MINION_CPU_MILLI}")
            }
            24 => self.crash_together(rng),
            _ => {
                let fault = match rng.random_range(0..6) {
                    0 => ProxyFault::Delays(rng.random_range(1..150)),
                    1 => ProxyFault::HoldsRequests,
                    2 => ProxyFault::HoldsAnswers,
                    3 => ProxyFault::HoldsAll,
                    _ => ProxyFault::None,
                };
                inner.set_fault(fault);
                format!("proxy {proxy}: {fault:?}")
            }
        };
        self.folder.record(&fault);
    }

    fn set_store_fault(&self, fault: StoreFault) -> String {
        self.store.set_fault(fault);
        format!("store: {fault:?}")
    }

    /// Crashes several minions at once; each restarts with the same id or a new one.
    /// Returns what happened.
    fn crash_together(&self, rng: &mut ChaCha8Rng) -> String {
        let first = rng.random_range(0..self.minions.len());
        let crashed = rng.random_range(2..=self.minions.len().max(2));
        let mut what = "minions crash together:".to_owned();
        let hosts = self.minions.iter().enumerate().cycle();
        for (host, minion) in hosts.skip(first).take(crashed) {
            let has_new_id = rng.random();
            match has_new_id {
                true => minion.restart_with_new_id(),
                false => minion.restart_with_same_id(),
            }
            what += &format!(" host {host}, new id: {has_new_id};");
        }
        what
    }
}
