//! The ages at which runs crash their endpoints, learned from the crashes whose cause is known.

use std::collections::VecDeque;

/// The number of ages that are remembered.
const MAX_AGES: usize = 16;

/// The age at which a run is a quarter as likely to have caused a crash as one that has just started,
/// as long as nothing else is known, in milliseconds.
const QUARTER_LIKELY_MS: f64 = 50.0;

/// The likelihood of the cause for ages unlike the known ones, as a share of the one without any
/// known age: tasks may differ in when they crash an endpoint.
const UNLIKE_SHARE: f64 = 0.2;

/// A run of this multiple of a known age, or of an age of this share of it, is like that one.
const LIKE_RANGE: (f64, f64) = (0.5, 1.5);

/// The uncertainty of ages, in milliseconds.
const UNCERTAINTY_MS: f64 = 10.0;

/// The time in which a crash is noticed, in milliseconds.
const NOTICE_MS: f64 = 30.0;

/// How long a run is watched while no age is known, in milliseconds.
const DEFAULT_WATCH_MS: u32 = 100;

/// The maximum time for which a run is watched, in milliseconds.
const MAX_WATCH_MS: u32 = 400;

/// Returns whether two ages of runs at a crash may have the same cause, in milliseconds.
pub(super) fn is_like(age_ms: u32, known_ms: u32) -> bool {
    let (age_ms, known_ms) = (f64::from(age_ms), f64::from(known_ms));
    age_ms >= known_ms * LIKE_RANGE.0 - UNCERTAINTY_MS
        && age_ms <= known_ms * LIKE_RANGE.1 + UNCERTAINTY_MS
}

/// The last known ages, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct CrashAges(VecDeque<u32>);

impl CrashAges {
    /// Adds the age of a run that is known to have caused a crash.
    pub(super) fn learn(&mut self, age_ms: u32) {
        if self.0.len() == MAX_AGES {
            self.0.pop_front();
        }
        self.0.push_back(age_ms);
    }

    /// Returns how likely a run that crashes its endpoint does so at an age, compared with the most
    /// likely age.
    pub(super) fn likelihood(&self, age_ms: u32) -> f64 {
        let young = (QUARTER_LIKELY_MS / (QUARTER_LIKELY_MS + f64::from(age_ms))).powi(2);
        if self.0.is_empty() {
            return young;
        }
        let like = self
            .0
            .iter()
            .filter(|&&known| is_like(age_ms, known))
            .count();
        (like as f64 / self.0.len() as f64).max(young * UNLIKE_SHARE)
    }

    /// Returns the age from which a run is unlikely to crash its endpoint, in milliseconds.
    pub(super) fn watch_ms(&self) -> u32 {
        let Some(&oldest) = self.0.iter().max() else {
            return DEFAULT_WATCH_MS;
        };
        let watch_ms = f64::from(oldest) * LIKE_RANGE.1 + NOTICE_MS;
        (watch_ms as u32).min(MAX_WATCH_MS)
    }
}
