//! What became of the jobs of a replay.

use crate::pattern::Arrival;

/// Part of its worth that a late job has.
const LATE_WORTH: f64 = 0.2;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
    /// Answered as too late, failed, or not at all.
    Lost,
}

/// Jobs that belong together.
#[derive(Clone, Debug, Default)]
pub struct Row {
    pub submitted: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub lost: usize,
    total_worth: f64,
    earned_worth: f64,
}

impl Row {
    fn add(&mut self, arrival: &Arrival, outcome: Outcome) {
        self.submitted += 1;
        self.total_worth += arrival.worth;
        match outcome {
            Outcome::InTime => {
                self.in_time += 1;
                self.earned_worth += arrival.worth;
            }
            Outcome::Late => {
                self.late += 1;
                self.earned_worth += arrival.worth * LATE_WORTH;
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    /// Worth earned, in parts of what is owed.
    pub fn worth_fraction(&self) -> f64 {
        self.earned_worth / self.total_worth.max(f64::MIN_POSITIVE)
    }
}

/// The jobs that satisfy a condition.
pub fn row(
    arrivals: &[Arrival],
    outcomes: &[Outcome],
    is_included: impl Fn(&Arrival) -> bool,
) -> Row {
    let mut row = Row::default();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        if is_included(arrival) {
            row.add(arrival, *outcome);
        }
    }
    row
}

/// Prints a row of a table.
pub fn print(label: &str, row: &Row) {
    println!(
        "{label:24} asked {:5} in time {:5} late {:4} refused {:5} lost {:4} worth {:.3}",
        row.submitted,
        row.in_time,
        row.late,
        row.refused,
        row.lost,
        row.worth_fraction()
    );
}
