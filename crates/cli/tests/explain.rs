//! Tests of `explain`: each `.log` file has a `.txt` file with the history that is
//! expected from it.

use gannetvane::explain;
use yare::parameterized;

const JOB: &str = "ce7e93fa56c79f07";

#[parameterized(
    refused = { include_str!("explain/refused.log"), include_str!("explain/refused.txt") },
    failed = { include_str!("explain/failed.log"), include_str!("explain/failed.txt") },
    stored = { include_str!("explain/stored.log"), include_str!("explain/stored.txt") },
    lost_agent = { include_str!("explain/lost-agent.log"), include_str!("explain/lost-agent.txt") },
)]
fn explain_prints_the_history_of_a_job(log: &str, expected: &str) {
    let history = explain(JOB, log.lines()).map(|history| history.to_string());
    assert_eq!(history.unwrap_or_default(), expected);
}

#[test]
fn error_for_an_unknown_job_counts_the_lines_read() {
    let log = include_str!("explain/lost-agent.log");
    let error = explain("ffffffffffffffff", log.lines()).map(|_| ());
    let error = error.map_err(|error| error.to_string());
    let expected = "no line names ffffffffffffffff: 8 lines read, 1 of them no log lines";
    assert_eq!(error, Err(expected.to_owned()));
}
