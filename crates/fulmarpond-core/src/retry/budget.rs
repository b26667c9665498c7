//! The retry budget.

/// The number of retries allowed before any first attempt was made.
const INITIAL_RETRIES: u64 = 10;
/// The maximum number of retries that the budget accumulates.
const MAX_SAVED_RETRIES: u64 = 1_000;

/// A budget that limits retries to a percentage of first attempts.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new();
/// for _ in 0..10 {
///     assert!(budget.try_take());
/// }
/// assert!(!budget.try_take());
/// budget.deposit(10, 20);
/// assert!(budget.try_take());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// The available retries, in hundredths of a retry.
    saved_hundredths: u64,
}

impl RetryBudget {
    /// Creates a budget with a small initial reserve.
    pub fn new() -> Self {
        Self {
            saved_hundredths: INITIAL_RETRIES * 100,
        }
    }

    /// Adds retries worth `percent` percent of `attempts` first attempts.
    pub fn deposit(&mut self, attempts: u64, percent: u32) {
        let deposit = attempts.saturating_mul(u64::from(percent));
        self.saved_hundredths = (self.saved_hundredths + deposit).min(MAX_SAVED_RETRIES * 100);
    }

    /// Takes one retry if the budget allows it. Returns whether it does.
    pub fn try_take(&mut self) -> bool {
        if self.saved_hundredths < 100 {
            return false;
        }
        self.saved_hundredths -= 100;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
