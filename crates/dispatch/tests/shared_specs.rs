//! Placement of a job's tasks by an entry whose network link is loaded: a frame holds the
//! spec once for all tasks on its host, so fewer hosts mean fewer copies.

use std::sync::Arc;

use gannetvane_dispatch::AgentFrame;
use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::CallerId;
use gannetvane_dispatch::Demand;
use gannetvane_dispatch::Dispatcher;
use gannetvane_dispatch::DispatcherAction;
use gannetvane_dispatch::DispatcherSettings;
use gannetvane_dispatch::EntryFrame;
use gannetvane_dispatch::Job;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::Order;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::Resources;
use gannetvane_dispatch::Step;
use gannetvane_dispatch::Uplink;
use gannetvane_dispatch::encode;
use gannetvane_wire::NodeId;

const NOW_MS: u64 = 1_000;
const TASKS: u32 = 8;
const SPEC_BYTES: usize = 1_200;
/// Largest size of a start order without its spec, in bytes.
const MAX_ORDER_BYTES: usize = 64;
const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 65_536,
    accelerators: 0,
};

/// Returns an entry with four idle hosts of equal speed.
fn dispatcher() -> Dispatcher {
    let settings = DispatcherSettings {
        zone: "selfoss".into(),
        remote_factor: 1.5,
        seed: 7,
    };
    let mut dispatcher = Dispatcher::new(settings, NOW_MS);
    for link in 1..=4 {
        dispatcher.agent_up(NOW_MS, LinkId(link), hello(link));
        dispatcher.agent_frame(NOW_MS, LinkId(link), idle_frame());
    }
    dispatcher
}

fn hello(link: u64) -> AgentHello {
    AgentHello {
        node: NodeId(link),
        host: format!("host-{link}").into(),
        zone: "selfoss".into(),
        service: "desk".into(),
        labels: Vec::new(),
        capacity: CAPACITY,
        clock_ms: NOW_MS,
        retained_ends: Vec::new(),
        crashes: Vec::new(),
        delayed_starts: Vec::new(),
        max_start_delay_ms: 0,
        inherited_lease_ms: 0,
        witnessed_starts: Vec::new(),
        incarnation: "minion-1".into(),
    }
}

fn idle_frame() -> AgentFrame {
    AgentFrame {
        clock_ms: NOW_MS,
        starts_received: 0,
        starts_settled: 0,
        delayed_starts: Vec::new(),
        free: CAPACITY,
        speed_permille: 1_000,
        has_offer: false,
        is_accepting_starts: true,
        demand: Demand::default(),
        reports: Vec::new(),
    }
}

fn job() -> Job {
    let queue = Queue {
        name: "desk".into(),
        host: "desk.example".into(),
        path_prefix: "/desk/".into(),
        service: "desk".into(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        needs_advice: false,
    };
    Job {
        id: "5c0e7a21d94b36f8".into(),
        spec: "s".repeat(SPEC_BYTES).into(),
        steps: vec![Step {
            count: TASKS,
            needs: Resources {
                cpu_milli: 1_300,
                memory_mb: 64,
                accelerators: 0,
            },
            declared_ms: 51,
            ..Step::default()
        }],
        queue: Arc::new(queue),
        wait_ms: 6_000,
    }
}

/// Submits a job and returns the frames that start its tasks.
fn frames_with_starts(dispatcher: &mut Dispatcher) -> Vec<EntryFrame> {
    dispatcher.submit(NOW_MS, CallerId(1), job());
    dispatcher.tick(NOW_MS);
    let frames = dispatcher.take_actions().into_iter();
    let frames = frames.filter_map(|action| match action {
        DispatcherAction::Send(_, frame) => Some(frame),
        _ => None,
    });
    frames.filter(|frame| starts_in(frame) > 0).collect()
}

fn starts_in(frame: &EntryFrame) -> usize {
    let is_start = |order: &&Order| matches!(order, Order::Start(_));
    frame.orders.iter().filter(is_start).count()
}

/// Returns an entry whose link of 25 megabits per second is three quarters full.
fn dispatcher_with_loaded_link() -> Dispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.set_uplink(Uplink::new(25.0));
    for at_ms in NOW_MS - 500..=NOW_MS {
        dispatcher.frame_sent(at_ms, 2_300);
    }
    dispatcher
}

#[test]
fn the_tasks_of_a_job_go_to_one_host_while_the_link_is_loaded() {
    let frames = frames_with_starts(&mut dispatcher_with_loaded_link());
    assert_eq!(frames.len(), 1);
    assert_eq!(starts_in(&frames[0]), TASKS as usize);
    assert_eq!(frames[0].specs.len(), 1);
    let bytes = encode(&frames[0]).expect("the frame encodes").len();
    println!("a frame with {TASKS} starts has {bytes} bytes");
    assert!(bytes <= SPEC_BYTES + (TASKS as usize + 1) * MAX_ORDER_BYTES);
}

#[test]
fn the_tasks_of_a_job_are_spread_while_the_rate_of_the_link_is_unknown() {
    let mut dispatcher = dispatcher();
    let frames = frames_with_starts(&mut dispatcher);
    let sizes = frames
        .iter()
        .map(|frame| encode(frame).expect("the frame encodes").len());
    println!(
        "{} frames with {} bytes",
        frames.len(),
        sizes.sum::<usize>()
    );
    assert_eq!(frames.len(), 4);
}

#[test]
fn a_busy_link_is_told_once() {
    let mut dispatcher = dispatcher_with_loaded_link();
    dispatcher.tick(NOW_MS);
    dispatcher.tick(NOW_MS + 1);
    let actions = dispatcher.take_actions().into_iter();
    let events = actions.filter_map(|action| match action {
        DispatcherAction::Event(event) => Some(event.event),
        _ => None,
    });
    let busy = events.filter(|event| *event == "uplink-busy");
    assert_eq!(busy.count(), 1);
}
