//! The budget of retries.

/// Retries that are allowed before any first attempt was made.
const RESERVE: u64 = 10;
/// The highest number of retries that can be saved up.
const SAVED_MAX: u64 = 1_000;

/// A budget that allows retries as a share of first attempts.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::retry::Budget;
///
/// let mut budget = Budget::new();
/// for _ in 0..10 {
///     assert!(budget.take());
/// }
/// assert!(!budget.take());
/// budget.earn(10, 20);
/// assert!(budget.take());
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    /// Saved retries in hundredths.
    saved: u64,
}

impl Budget {
    /// Creates a budget that holds a small reserve.
    pub fn new() -> Self {
        Self {
            saved: RESERVE * 100,
        }
    }

    /// Adds `percent` percent of `attempts` first attempts.
    pub fn earn(&mut self, attempts: u64, percent: u32) {
        let earned = attempts.saturating_mul(u64::from(percent));
        self.saved = (self.saved + earned).min(SAVED_MAX * 100);
    }

    /// Takes one retry. Returns whether the budget allows it.
    pub fn take(&mut self) -> bool {
        if self.saved < 100 {
            return false;
        }
        self.saved -= 100;
        true
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
