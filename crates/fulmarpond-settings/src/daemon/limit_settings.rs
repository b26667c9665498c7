//! Limits of a daemon.

use std::time::Duration;

/// Limits of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The maximum size of a request body in bytes, 4 MB by default.
    pub body: u64,
    /// The maximum number of tasks in a job, 670 by default.
    pub tasks: usize,
    /// The maximum deadline of a job, 300 s by default.
    pub deadline: Duration,
    /// The maximum number of callers waiting at one entry, 512 by default.
    pub callers: usize,
    /// The maximum number of headers of a request, 64 by default.
    pub headers: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: 4 * 1_024 * 1_024,
            tasks: 670,
            deadline: Duration::from_secs(300),
            callers: 512,
            headers: 64,
        }
    }
}

impl LimitSettings {
    /// Sets the maximum size of a request body in bytes.
    #[must_use]
    pub const fn body(mut self, body: u64) -> Self {
        self.body = body;
        self
    }

    /// Sets the maximum number of tasks in a job.
    #[must_use]
    pub const fn tasks(mut self, tasks: usize) -> Self {
        self.tasks = tasks;
        self
    }

    /// Sets the maximum deadline of a job.
    #[must_use]
    pub const fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the maximum number of callers waiting at one entry.
    #[must_use]
    pub const fn callers(mut self, callers: usize) -> Self {
        self.callers = callers;
        self
    }

    /// Sets the maximum number of headers of a request.
    #[must_use]
    pub const fn headers(mut self, headers: usize) -> Self {
        self.headers = headers;
        self
    }
}
