//! What became of the jobs of a replay.

use crate::pattern::Arrival;

/// Part of its worth that a late job has.
const LATE_WORTH: f64 = 0.2;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    InTime,
    Late,
    Refused,
    /// Answered as too late, failed, or not at all.
    Lost,
}

/// Jobs that belong together.
#[derive(Clone, Debug, Default)]
pub struct Row {
    pub asked: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub lost: usize,
    owed: f64,
    earned: f64,
}

impl Row {
    fn add(&mut self, arrival: &Arrival, fate: Fate) {
        self.asked += 1;
        self.owed += arrival.worth;
        match fate {
            Fate::InTime => {
                self.in_time += 1;
                self.earned += arrival.worth;
            }
            Fate::Late => {
                self.late += 1;
                self.earned += arrival.worth * LATE_WORTH;
            }
            Fate::Refused => self.refused += 1,
            Fate::Lost => self.lost += 1,
        }
    }

    /// Worth earned, in parts of what is owed.
    pub fn worth(&self) -> f64 {
        self.earned / self.owed.max(f64::MIN_POSITIVE)
    }
}

/// The jobs that satisfy a condition.
pub fn row(arrivals: &[Arrival], fates: &[Fate], is_in: impl Fn(&Arrival) -> bool) -> Row {
    let mut row = Row::default();
    for (arrival, fate) in arrivals.iter().zip(fates) {
        if is_in(arrival) {
            row.add(arrival, *fate);
        }
    }
    row
}

/// Prints a row of a table.
pub fn print(label: &str, row: &Row) {
    println!(
        "{label:24} asked {:5} in time {:5} late {:4} refused {:5} lost {:4} worth {:.3}",
        row.asked,
        row.in_time,
        row.late,
        row.refused,
        row.lost,
        row.worth()
    );
}
