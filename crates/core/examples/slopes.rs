//! Measures how the memory, message sizes and processing time of one core grow
//! with the numbers of submissions, members, teams and tasks, for
//! docs/CAPACITY.md. Prints `what,size,value,unit` lines.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use gannetvane_core::Action;
use gannetvane_core::Agent;
use gannetvane_core::AgentSettings;
use gannetvane_core::ConfigurationStore;
use gannetvane_core::LogPage;
use gannetvane_core::LoggedRecord;
use gannetvane_core::MembershipSettings;
use gannetvane_core::SubmissionTable;
use gannetvane_core::TableSettings;
use gannetvane_core::View;
use gannetvane_wire::Answer;
use gannetvane_wire::Change;
use gannetvane_wire::Envelope;
use gannetvane_wire::LogRecord;
use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use gannetvane_wire::Operation;
use gannetvane_wire::Outcome;
use gannetvane_wire::Ran;
use gannetvane_wire::Reason;
use gannetvane_wire::ServiceConfig;
use gannetvane_wire::Submission;
use gannetvane_wire::SubmissionId;
use gannetvane_wire::Task;
use gannetvane_wire::TaskReport;
use gannetvane_wire::TaskResult;
use gannetvane_wire::TaskStatus;
use gannetvane_wire::TeamConfig;
use gannetvane_wire::encode;

/// Size in bytes of a page of memory, the unit of `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;
const SERVICE: &str = "bretti-desk";
const HOME_NODE: NodeId = NodeId(1);
const ENTRY: NodeId = NodeId(2);
/// Number of tasks over which the processing time is averaged.
const MEASURED_TASKS: u64 = 4_000;

fn main() {
    for size in [25_000, 50_000, 100_000, 200_000] {
        print_row(
            "retained-single-bytes",
            size,
            retained_bytes(size, 1) / size as f64,
            "B",
        );
    }
    for size in [5_000, 10_000, 20_000, 40_000] {
        print_row(
            "retained-job-of-20-bytes",
            size,
            retained_bytes(size, 20) / size as f64,
            "B",
        );
    }
    for size in [100, 200, 400, 850, 1_700] {
        print_row("member-bytes", size, bytes_per_member(size), "B");
        print_row("homes-lookup", size, homes_lookup_us(size), "us");
        print_row("whole-view-message", size, whole_view_bytes(size), "B");
    }
    for size in [1, 10, 40, 84, 168] {
        print_row("snapshot-of-teams", size, snapshot_bytes(size), "B");
    }
    for size in [0, 250, 500, 1_000, 2_000, 4_000] {
        print_row(
            "home-cpu-for-a-task-by-queue",
            size,
            time_per_submission_us(size, 1, 1),
            "us",
        );
    }
    for size in [1, 10, 40, 84, 168] {
        print_row(
            "home-cpu-for-a-task-by-teams",
            size,
            time_per_submission_us(500, size, 1),
            "us",
        );
    }
    for size in [1, 5, 20, 65, 260] {
        print_row(
            "home-cpu-for-a-task-by-job",
            size,
            time_per_submission_us(0, 1, size) / size as f64,
            "us",
        );
    }
}

fn print_row(what: &str, size: usize, value: f64, unit: &str) {
    println!("{what},{size},{value:.2},{unit}");
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES as f64
}

/// Returns the bytes by which resident memory grows for a table of `count`
/// answered submissions of `tasks` tasks each.
fn retained_bytes(count: usize, tasks: usize) -> f64 {
    let settings = TableSettings {
        kept_generations: 11,
        max_answer_bytes: usize::MAX,
    };
    let before_bytes = resident_bytes();
    let mut table = SubmissionTable::new(HOME_NODE, settings, 0, 0);
    for nonce in 0..count as u64 {
        let id = SubmissionId {
            home: HOME_NODE,
            generation: 0,
            nonce: nonce.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        };
        let report = |index: usize| TaskReport {
            status: TaskStatus::Done,
            output: Name::from(format!("done {id}/{index}")),
        };
        let answer = Answer {
            outcome: Outcome::Complete,
            ran: Ran::Ran,
            reason: Reason::None,
            retry_after_ms: None,
            tasks: (0..tasks).map(report).collect(),
        };
        table.open(id, 7);
        table.answer(id, 7, Arc::new(answer));
    }
    let held_bytes = resident_bytes() - before_bytes;
    // The table is leaked, because the next measurement would otherwise reuse
    // its memory.
    std::mem::forget(table);
    held_bytes
}

fn member(number: u64) -> Member {
    let port = u16::try_from(10_000 + number % 50_000).unwrap_or(1);
    Member {
        node: NodeId(number.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        addr: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port),
        zone: Name::from(format!("zone-{}", number % 9)),
        service: Name::from(SERVICE),
        slots: 8,
        capacity: Needs::default(),
        version: 0,
        state: MemberState::Alive,
        uptime_ms: 1_000_000,
    }
}

fn view_with(count: usize) -> View {
    let mut view = View::default();
    for number in 0..count as u64 {
        view.merge(1_000_000, &member(number));
    }
    view
}

/// Returns the resident bytes per member of a view of `count` members.
fn bytes_per_member(count: usize) -> f64 {
    let view_count = 20;
    let before_bytes = resident_bytes();
    let views: Vec<View> = (0..view_count).map(|_| view_with(count)).collect();
    let held_bytes = resident_bytes() - before_bytes;
    std::mem::forget(views);
    held_bytes / (view_count * count) as f64
}

/// Returns the time in microseconds to choose the homes of a service from
/// `count` members.
fn homes_lookup_us(count: usize) -> f64 {
    let view = view_with(count);
    let lookups = 200;
    let started_at = Instant::now();
    for _ in 0..lookups {
        black_box(view.homes(SERVICE, 3));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(lookups)
}

/// Returns the encoded size in bytes of a message with a view of `count`
/// members.
fn whole_view_bytes(count: usize) -> f64 {
    let message = Message::ViewDelta {
        upto: 0,
        more: false,
        members: (0..count as u64).map(member).collect(),
        configuration: None,
    };
    encoded_bytes(message)
}

/// Returns the encoded size in bytes of a configuration with `teams` teams.
fn snapshot_bytes(teams: usize) -> f64 {
    let store = configured_store(teams);
    encoded_bytes(Message::ConfigurationState(store.snapshot()))
}

fn encoded_bytes(message: Message) -> f64 {
    encode(&envelope(HOME_NODE, message)).map_or(f64::NAN, |bytes| bytes.len() as f64)
}

fn envelope(to: NodeId, message: Message) -> Envelope {
    let from_addr = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 2);
    Envelope {
        from: ENTRY,
        from_addr,
        to: Some(to),
        message,
    }
}

fn team_name(index: usize) -> Name {
    Name::from(format!("team-{index}"))
}

fn configuration_change(teams: usize) -> LogRecord {
    let service = ServiceConfig {
        preference: gannetvane_wire::Preference::ResponseTime,
        max_tasks_per_job: 260,
        max_queued_tasks: 1_000_000,
        max_homes: 3,
    };
    let quota = TeamConfig {
        weight: 1,
        max_queued_tasks: 1_000_000,
        max_running_tasks: 1_000_000,
    };
    let mut operations = vec![Operation::PutService {
        name: Name::from(SERVICE),
        service,
    }];
    operations.extend((0..teams).map(|index| Operation::PutTeam {
        name: team_name(index),
        team: quota.clone(),
    }));
    LogRecord::Change(Change {
        change_id: Name::from("first"),
        base_version: 0,
        operations,
    })
}

/// Returns the first page of a log whose only record configures the service and
/// `teams` teams.
fn configuration_page(teams: usize) -> LogPage {
    let records = vec![LoggedRecord {
        offset: 0,
        record: Some(configuration_change(teams)),
    }];
    LogPage {
        oldest_offset: 0,
        next_offset: 1,
        at_end: true,
        records,
    }
}

fn configured_store(teams: usize) -> ConfigurationStore {
    let mut store = ConfigurationStore::default();
    store.read(0, configuration_page(teams));
    store
}

/// Returns the time in microseconds that a home takes for one submission of
/// `tasks` tasks while `queued` tasks of `teams` teams wait. It stands for
/// processor time, because the home runs on this thread and never blocks.
fn time_per_submission_us(queued: usize, teams: usize, tasks: usize) -> f64 {
    let mut home = Home::new(teams);
    for index in 0..queued {
        home.submit(index % teams, 1, 600_000);
    }
    let started_at = Instant::now();
    for index in 0..MEASURED_TASKS / tasks as u64 {
        home.submit(index as usize % teams, tasks, 600_000);
        // As many tasks end as arrive, so that the length of the queue stays the
        // same.
        for _ in 0..tasks {
            home.end_oldest_run();
        }
    }
    started_at.elapsed().as_secs_f64() * 1e6 / (MEASURED_TASKS / tasks as u64) as f64
}

/// An agent that is the only home and runs all tasks on its own slots.
struct Home {
    agent: Agent,
    running: std::collections::VecDeque<gannetvane_wire::Credit>,
    now_ms: u64,
    nonce: u64,
}

impl Home {
    fn new(teams: usize) -> Self {
        let now_ms = 1_000_000;
        let settings = AgentSettings {
            member: Member {
                node: HOME_NODE,
                uptime_ms: 0,
                ..member(1)
            },
            membership: MembershipSettings {
                period_ms: 500,
                ack_timeout_ms: 150,
                suspicion_ms: 1_200,
                retention_ms: 600_000,
            },
            table: TableSettings {
                kept_generations: 11,
                max_answer_bytes: 1 << 30,
            },
            log_retention_ms: 86_400_000,
            leave_notice_ms: 1_000,
        };
        let mut home = Self {
            agent: Agent::new(settings, now_ms),
            running: std::collections::VecDeque::new(),
            now_ms,
            nonce: 0,
        };
        let actions = home.agent.log_page(now_ms, configuration_page(teams));
        home.perform(actions);
        for _ in 0..30 {
            home.now_ms += 10;
            let actions = home.agent.tick(home.now_ms);
            home.perform(actions);
        }
        home
    }

    fn submit(&mut self, team_index: usize, tasks: usize, remaining_ms: u64) {
        self.nonce += 1;
        let id = SubmissionId {
            home: HOME_NODE,
            generation: 0,
            nonce: self.nonce,
        };
        let task = Task {
            kind: Name::from("label"),
            payload: Name::from("run_ms=50"),
            declared_ms: Some(10),
            needs: Needs::default(),
        };
        let submission = Submission {
            service: Name::from(SERVICE),
            team: team_name(team_index),
            repeatable: false,
            tasks: vec![task; tasks],
        };
        let message = Message::Submit {
            id,
            submission: Some(Arc::new(submission)),
            fingerprint: self.nonce,
            remaining_ms,
            configuration_version: 1,
        };
        let actions = self
            .agent
            .message(self.now_ms, envelope(HOME_NODE, message));
        self.perform(actions);
    }

    fn end_oldest_run(&mut self) {
        if let Some(credit) = self.running.pop_front() {
            let result = TaskResult::Done(Name::from("done"));
            let actions = self.agent.task_ended(self.now_ms, credit, result);
            self.perform(actions);
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Run(start) = action {
                self.running.push_back(start.credit);
            }
        }
    }
}
