//! Reference disciplines, simulated with the same arrivals and run times as a load
//! run: an ideal central queue, and two that choose a minion without such a queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Arrival;

/// How the simulation assigns tasks to slots. An assignment takes no time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// All slots serve one queue, first come first served.
    Central,
    /// Each minion has its own queue, and each task goes to a random minion.
    Random,
    /// Each minion has its own queue, and each task goes to the one of two random
    /// minions that has less work left. The amount of work is known exactly.
    PowerOfTwo,
}

/// Computes the response time of each arrival in microseconds, without any round
/// trip. There are `minions` minions with `slots_each` slots each.
#[must_use]
pub fn model_responses(
    arrivals: &[Arrival],
    minions: usize,
    slots_each: usize,
    discipline: Discipline,
) -> Vec<u64> {
    let (queues, slots) = match discipline {
        Discipline::Central => (1, minions * slots_each),
        Discipline::Random | Discipline::PowerOfTwo => (minions, slots_each),
    };
    let mut queues: Vec<Slots> = (0..queues).map(|_| Slots::new(slots)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut responses = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let ends = arrival.run_ms.iter().map(|run_ms| {
            let chosen = choose(&queues, arrival.at_us, discipline, &mut rng);
            queues[chosen].run(arrival.at_us, u64::from(*run_ms) * 1_000)
        });
        let end_us = ends.max().unwrap_or(arrival.at_us);
        responses.push(end_us - arrival.at_us);
    }
    responses
}

/// Slots that serve one queue.
struct Slots {
    /// The time at which each slot is next free, in microseconds.
    free_at_us: BinaryHeap<Reverse<u64>>,
}

impl Slots {
    fn new(count: usize) -> Self {
        Self {
            free_at_us: std::iter::repeat_n(Reverse(0), count).collect(),
        }
    }

    /// Queues a task and returns the time at which it ends, in microseconds.
    fn run(&mut self, at_us: u64, run_us: u64) -> u64 {
        let Reverse(free_us) = self.free_at_us.pop().unwrap_or(Reverse(at_us));
        let end_us = free_us.max(at_us) + run_us;
        self.free_at_us.push(Reverse(end_us));
        end_us
    }

    /// Sum of the run time left over all queued and running tasks, in microseconds.
    fn backlog_us(&self, at_us: u64) -> u64 {
        self.free_at_us
            .iter()
            .map(|Reverse(free_us)| free_us.saturating_sub(at_us))
            .sum()
    }
}

fn choose(queues: &[Slots], at_us: u64, discipline: Discipline, rng: &mut ChaCha8Rng) -> usize {
    match discipline {
        Discipline::Central => 0,
        Discipline::Random => rng.random_range(0..queues.len()),
        Discipline::PowerOfTwo => {
            let first = rng.random_range(0..queues.len());
            let second = rng.random_range(0..queues.len());
            if queues[first].backlog_us(at_us) <= queues[second].backlog_us(at_us) {
                first
            } else {
                second
            }
        }
    }
}
