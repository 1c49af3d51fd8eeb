//! A bound on retries as a share of recent successes.

/// Retries allowed for each success.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Most retries saved up, and the number allowed at the start.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Allows a retry only while successes pay for it.
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
    /// Takes in a success.
    pub fn succeed(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry out of the budget; false when none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.saved_retries < 1.0 {
            return false;
        }
        self.saved_retries -= 1.0;
        true
    }
}
