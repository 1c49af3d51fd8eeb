//! Tests of the load tool (arrivals, reference disciplines, figures, settings), and
//! of the exit codes of the commands.

use gannetvane::Arrival;
use gannetvane::Discipline;
use gannetvane::LoadBuilder;
use gannetvane::Outcomes;
use gannetvane::Quantiles;
use gannetvane::Workload;
use gannetvane::model_responses;
use yare::parameterized;

fn workload() -> Workload {
    Workload {
        seed: 7,
        duration_ms: 60_000,
        slots: 88,
        load: 0.8,
        tasks_per_job: 20,
        request_share: 0.5,
        least_run_ms: 50,
        most_run_ms: 1_000,
        declared_error: 1.5,
        burst: 1.0,
    }
}

#[test]
fn arrivals_follow_the_seed_and_the_load() {
    let arrivals = workload().arrivals();
    assert_eq!(arrivals, workload().arrivals());
    assert_ne!(
        arrivals,
        Workload {
            seed: 8,
            ..workload()
        }
        .arrivals()
    );
    let work_ms: u64 = arrivals
        .iter()
        .flat_map(|a| &a.run_ms)
        .map(|ms| u64::from(*ms))
        .sum();
    let load = work_ms as f64 / (88.0 * 60_000.0);
    assert!((0.72..0.88).contains(&load), "{load}");
}

#[test]
fn burst_raises_arrivals_in_the_middle_fifth() {
    let arrivals = Workload {
        burst: 10.0,
        load: 0.1,
        ..workload()
    }
    .arrivals();
    let is_in_burst = |a: &&Arrival| (24_000_000..36_000_000).contains(&a.at_us);
    let inside = arrivals.iter().filter(is_in_burst).count();
    let outside = arrivals.len() - inside;
    // 10 times the rate in a time that is a quarter of the rest: about 2.5.
    let ratio = inside as f64 / outside as f64;
    assert!((1.8..3.4).contains(&ratio), "{ratio}");
}

#[test]
fn declared_times_are_off_by_at_most_the_factor() {
    for arrival in workload().arrivals() {
        for (run_ms, declared_ms) in arrival.run_ms.iter().zip(&arrival.declared_ms) {
            let factor = f64::from(*declared_ms) / f64::from(*run_ms);
            assert!((0.65..1.53).contains(&factor), "{factor}");
        }
    }
}

fn arrival_at(at_ms: u64, run_ms: &[u32]) -> Arrival {
    let run_ms = run_ms.to_vec();
    Arrival {
        at_us: at_ms * 1_000,
        is_request: false,
        declared_ms: run_ms.clone(),
        run_ms,
    }
}

#[test]
fn central_queue_serves_in_the_order_of_arrival() {
    let arrivals = [
        arrival_at(0, &[100, 100]),
        arrival_at(10, &[50]),
        arrival_at(20, &[50, 50]),
    ];
    let responses = model_responses(&arrivals, 2, 1, Discipline::Central);
    assert_eq!(responses, [100_000, 140_000, 180_000]);
}

#[test]
fn central_queue_beats_random_and_power_of_two() {
    let arrivals = Workload {
        tasks_per_job: 1,
        ..workload()
    }
    .arrivals();
    let p99 = |discipline| {
        let responses = model_responses(&arrivals, 11, 8, discipline);
        let pairs = arrivals.iter().zip(responses);
        Quantiles::of(pairs.map(|(a, us)| us as f64 / (f64::from(a.run_ms[0]) * 1e3))).p99
    };
    let (central, two, random) = (
        p99(Discipline::Central),
        p99(Discipline::PowerOfTwo),
        p99(Discipline::Random),
    );
    assert!(central < two && two < random, "{central} {two} {random}");
}

#[test]
fn quantiles_of_known_values() {
    let quantiles = Quantiles::of((1..=1_000).map(f64::from));
    assert_eq!(quantiles.count, 1_000);
    assert!((quantiles.p50 - 500.0).abs() < 2.0);
    assert!((quantiles.p99 - 990.0).abs() < 2.0);
}

#[test]
fn outcomes_balance_only_when_all_sent_are_counted() {
    let mut outcomes = Outcomes {
        sent: 4,
        complete: 1,
        not_run: 1,
        ran: 1,
        ..Outcomes::default()
    };
    assert!(!outcomes.is_balanced());
    outcomes.unknown = 1;
    assert!(outcomes.is_balanced());
}

#[parameterized(
    no_entry = { vec![], workload(), "entries: at least one URL" },
    load = { vec!["x".into()], Workload { load: 0.0, ..workload() }, "load: above 0, at most 20" },
    slots = { vec!["x".into()], Workload { slots: 0, ..workload() }, "slots: from 1 to 100000" },
    tasks = { vec!["x".into()], Workload { tasks_per_job: 0, ..workload() }, "tasks: from 1 to 1024" },
    run_times = {
        vec!["x".into()], Workload { least_run_ms: 2_000, ..workload() }, "run times: the shortest must not exceed the longest"
    },
)]
fn setting_out_of_range_is_named(entries: Vec<String>, workload: Workload, expected: &str) {
    let built = LoadBuilder::new(entries, workload)
        .service("bretti-desk", "desk")
        .build();
    assert_eq!(built.unwrap_err().to_string(), expected);
}

#[parameterized(
    version = { &["--version"], 0, "gannetvane 0." },
    help = { &["--help"], 0, "check-settings" },
    load_help = { &["load", "--help"], 0, "--declared-error FACTOR" },
    no_command = { &[], 2, "a command is needed" },
    no_file = { &["check-settings", "--settings", "/no/such/file"], 2, "/no/such/file" },
    no_intent = { &["plan", "--entry", "http://127.0.0.1:1", "--intent", "/no/such/file"], 2, "/no/such/file" },
    no_entry = { &["status", "--entry", "http://127.0.0.1:1"], 3, "http://127.0.0.1:1" },
)]
fn command_line_and_exit_codes(arguments: &[&str], code: i32, expected: &str) {
    let program = env!("CARGO_BIN_EXE_gannetvane");
    let output = std::process::Command::new(program)
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text);
    assert!(text.contains(expected), "{text}");
    assert_eq!(output.status.code(), Some(code));
}
