//! Compares the transcripts of whole sessions with the files in `snapshots`.

mod session;

use gannetvane_core::Command;
use gannetvane_wire::NodeId;
use session::Session;
use session::job;
use session::request;

const ENTRY: NodeId = NodeId(1);

#[test]
fn job_and_booking() {
    let mut session = Session::new(2, 3);
    let home = session.homes(ENTRY)[0];
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &job(&[120, 80, 300]));
    session.await_answer(caller);
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &request(60, false));
    session.run_for(20);
    let resubmission = session.submit(NodeId(2), id, &request(60, false));
    session.await_answer(caller);
    session.await_answer(resubmission);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn agent_is_killed_under_a_job() {
    let mut session = Session::new(1, 4);
    let home = session.homes(ENTRY)[0];
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &job(&[2_000; 6]));
    session.run_for(100);
    let victim = session
        .agents()
        .into_iter()
        .find(|n| *n != home && session.agent(*n).busy_slots() > 0);
    session.kill(victim.unwrap());
    session.await_answer(caller);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn home_leaves_under_a_booking() {
    let mut session = Session::new(1, 4);
    let home = session.homes(ENTRY)[0];
    let id = session.take_id_with_home(ENTRY, home);
    let caller = session.submit(ENTRY, id, &request(700, false));
    session.run_for(100);
    session.leave(home);
    session.await_answer(caller);
    session.run_until(10_000, |s| !s.agents().contains(&home));
    let resubmission = session.submit(ENTRY, id, &request(700, false));
    session.await_answer(resubmission);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn operators_race() {
    let mut session = Session::new(2, 3);
    let operations = vec![gannetvane_wire::Operation::RemoveTeam {
        name: "desk".into(),
    }];
    session.command(
        ENTRY,
        Command::Plan {
            change_id: "ours".into(),
            operations,
        },
    );
    session.confirm(ENTRY, "ours", 1, 5);
    session.confirm(NodeId(2), "theirs", 1, 6);
    session.run_for(2_000);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn cancellation() {
    let mut session = Session::new(1, 3);
    let home = session.homes(ENTRY)[0];
    let id = session.take_id_with_home(ENTRY, home);
    session.submit(ENTRY, id, &job(&[1_000; 14]));
    session.run_for(50);
    session.command(ENTRY, Command::Cancel { id });
    session.run_for(200);
    insta::assert_snapshot!(session.transcript());
}
