//! Faults at chosen moments after which an evacuated zone must get starts again.

use std::thread;
use std::time::Duration;

use gannetvane_platform_standins::JobRequest;
use gannetvane_platform_standins::MinionStandIn;
use gannetvane_platform_standins::Proxy;
use gannetvane_platform_standins::StoreFault;
use gannetvane_platform_standins::until;
use rustix::process::Signal;
use yare::parameterized;

use crate::checks::EVACUATION_TIMEOUT_MS;
use crate::site::EVACUATE_KEY;
use crate::site::EVACUATED_INDEX;
use crate::site::Size;
use crate::site::Soak;

const SIZE: Size = Size {
    entries: 2,
    agents: 3,
    clients: 0,
};
/// Key of the operators' request to evacuate the zone that the checks do not evacuate.
const EVACUATE_OTHER_KEY: &str = "evacuate/selfoss";

/// The agent is suspended while a stored task ends on its minion, and resumes when the
/// task has been started elsewhere, so the end must not count. The minion's lease must
/// lapse before the end is acknowledged, and nothing may be started until then.
#[test]
fn a_zone_gets_starts_again_after_an_end_that_must_not_count() {
    let soak = Soak::start(0, SIZE);
    soak.wait_served("start");
    soak.store.put("keyed.op", EVACUATE_OTHER_KEY, b"{}");
    thread::sleep(Duration::from_millis(EVACUATION_TIMEOUT_MS));
    let minion = &soak.minions[EVACUATED_INDEX];
    let before = minion.starts().len();
    let job = JobRequest {
        id: "00000000000d0001",
        spec: "ms=300",
        tasks: 1,
        work_ms: 300,
        is_stored: true,
    };
    until("a stored job", || job.post(soak.fronts[0].addr).0 == 200);
    until("a start", || minion.starts().len() > before);
    thread::sleep(Duration::from_millis(100));
    let agent = &soak.programs[SIZE.entries + EVACUATED_INDEX];
    agent.signal(Signal::STOP);
    soak.store.put("keyed.op", EVACUATE_OTHER_KEY, b"");
    let others = || {
        // The minions end runs only when they are observed.
        let _ = MinionStandIn::running_by_minion(&soak.minions);
        let minions = soak.minions.iter().enumerate();
        let others = minions.filter(|(host, _)| *host != EVACUATED_INDEX);
        let mut starts = others.flat_map(|(_, minion)| minion.starts());
        starts.any(|task| task.starts_with(job.id))
    };
    until("a start elsewhere", others);
    agent.signal(Signal::CONT);
    thread::sleep(Duration::from_millis(500));
    soak.check_end_of_evacuation();
    assert_no_violations(&soak);
}

/// Faults at the moment at which the evacuation ends.
#[parameterized(
    reads_of_the_store_hang = { hang_reads },
    an_entry_restarts = { |soak: &mut Soak| restart(soak, 0) },
    both_entries_restart = { |soak: &mut Soak| { restart(soak, 0); restart(soak, 1) } },
    the_agent_restarts = { |soak: &mut Soak| restart(soak, SIZE.entries + EVACUATED_INDEX) },
    the_agent_is_suspended = { suspend_agent },
    the_minion_restarts = { |soak: &mut Soak| soak.minions[EVACUATED_INDEX].restart_with_same_id() },
    the_store_refuses = { refuse_reads },
)]
fn a_zone_gets_starts_again_after_a_fault_at_the_end_of_its_evacuation(fault: fn(&mut Soak)) {
    let mut soak = Soak::start(0, SIZE);
    soak.wait_served("start");
    soak.store.put("keyed.op", EVACUATE_KEY, b"{}");
    thread::sleep(Duration::from_millis(EVACUATION_TIMEOUT_MS));
    let before = soak.starts_in_evacuated_zone();
    fault(&mut soak);
    soak.store.put("keyed.op", EVACUATE_KEY, b"");
    soak.check_starts_in_evacuated_zone(before);
    assert_no_violations(&soak);
}

/// Lets no more answers of the store pass on the open connections of the entries.
fn hang_reads(soak: &mut Soak) {
    let of_entries = soak.inner_proxies.iter().take(SIZE.entries);
    of_entries.for_each(Proxy::blackhole_open);
}

fn refuse_reads(soak: &mut Soak) {
    soak.store.set_fault(StoreFault::Refuses(503));
    let store = soak.store.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(2));
        store.set_fault(StoreFault::None);
    });
}

fn restart(soak: &mut Soak, program: usize) {
    let program = &mut soak.programs[program];
    program.kill();
    program.start();
}

fn suspend_agent(soak: &mut Soak) {
    let agent = &soak.programs[SIZE.entries + EVACUATED_INDEX];
    agent.signal(Signal::STOP);
    thread::sleep(Duration::from_millis(1_500));
    agent.signal(Signal::CONT);
}

fn assert_no_violations(soak: &Soak) {
    let violations = soak.violations.lock().expect("no panic").clone();
    assert!(violations.is_empty(), "{violations:?}");
}
