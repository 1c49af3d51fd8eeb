//! Outcomes of the jobs of a replay, and the rows in which they are printed.

use crate::pattern::Arrival;

/// Fraction of its worth that a late job earns.
const LATE_WORTH: f64 = 0.2;

/// The outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
    /// The job was given up as too late, failed, or got no answer.
    Lost,
}

/// Counts and worth of a group of jobs.
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

    /// Returns the earned fraction of the total worth.
    pub fn worth_fraction(&self) -> f64 {
        self.earned_worth / self.total_worth.max(f64::MIN_POSITIVE)
    }
}

/// Returns the row of the jobs that satisfy a condition.
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
