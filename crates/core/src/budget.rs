//! A limit on retries as a fraction of recent successes.

/// Number of retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum number of retries in the budget, and their number at the start.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// A budget of retries that successes refill.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved_retries: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the share of one success to the budget.
    pub fn succeed(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.saved_retries < 1.0 {
            return false;
        }
        self.saved_retries -= 1.0;
        true
    }
}
