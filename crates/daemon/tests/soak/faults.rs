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
        let minion = &self.minions[rng.random_range(0..self.minions.len())];
        let inner = &self.inner_proxies[rng.random_range(0..self.inner_proxies.len())];
        let front = &self.fronts[rng.random_range(0..self.fronts.len())];
        match rng.random_range(0..27) {
            0 | 1 => {
                program.signal(Signal::STOP);
                program.schedule(rng.random_range(50..2_500), DueAction::Resume);
            }
            2 | 3 => {
                program.signal(Signal::KILL);
                program.schedule(rng.random_range(20..1_500), DueAction::Start);
                program.schedule(2_000, DueAction::Start);
            }
            4 => {
                program.signal(Signal::TERM);
                program.schedule(6_500, DueAction::Start);
            }
            5 => program.signal(Signal::HUP),
            6 => self.store.set_fault(StoreFault::Refuses(503)),
            7 => self.store.set_fault(match rng.random_range(0..3) {
                0 => StoreFault::NoAnswer,
                1 => StoreFault::LosesAnswers,
                _ => {
                    self.store.rebalance();
                    StoreFault::None
                }
            }),
            8 => self.store.set_fault(StoreFault::None),
            9 => minion.restart_with_new_id(),
            10 => minion.leave_unanswered(rng.random_range(1..6)),
            11 => minion.set_unresponsive(rng.random()),
            12 => inner.reset(),
            13 => front.reset(),
            14 | 15 => inner.blackhole_open(),
            16 => front.blackhole_open(),
            17 => minion.send_delayed_report(),
            18 => self.store.put("keyed.op", EVACUATE_KEY, b"{}"),
            19 => self.store.put("keyed.op", EVACUATE_KEY, b""),
            20 => {
                let foreign: Vec<u8> = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
                self.store.put_raw("keyed.op", &foreign);
            }
            21 => minion.restart_with_same_id(),
            22 => minion.resize(rng.random_range(1..=MINION_CPU_MILLI)),
            23 => minion.resize(MINION_CPU_MILLI),
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
            }
        }
    }

    /// Crashes several minions at once; each restarts with the same id or a new one.
    fn crash_together(&self, rng: &mut ChaCha8Rng) {
        let first = rng.random_range(0..self.minions.len());
        let crashed = rng.random_range(2..=self.minions.len().max(2));
        for minion in self.minions.iter().cycle().skip(first).take(crashed) {
            match rng.random() {
                true => minion.restart_with_new_id(),
                false => minion.restart_with_same_id(),
            }
        }
    }
}
