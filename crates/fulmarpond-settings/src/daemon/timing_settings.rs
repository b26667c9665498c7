//! Intervals and windows of a daemon.

use std::time::Duration;

/// Intervals and windows of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimingSettings {
    /// The interval between announcements of an agent, 500 ms by default.
    pub announce: Duration,
    /// The time without an announcement after which an agent is removed from the roster, 30 s by
    /// default.
    pub silence: Duration,
    /// The retention period of removed members in the roster, 2 h by default.
    pub roster_window: Duration,
    /// The retention period of accepted job ids and seals, 2 h by default.
    pub memory_window: Duration,
    /// The retention period of an answer after the deadline of its job, 60 s by default.
    pub answer_margin: Duration,
    /// The duration of an endpoint's lease, 3 s by default.
    pub lease: Duration,
    /// The interval between pings on a link, 1 s by default.
    pub keepalive: Duration,
    /// The time without traffic after which a link is replaced, 3 s by default.
    pub link_timeout: Duration,
    /// The maximum duration of a graceful shutdown, 310 s by default: the maximum deadline of a job
    /// and a margin.
    pub drain: Duration,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            announce: Duration::from_millis(500),
            silence: Duration::from_secs(30),
            roster_window: Duration::from_secs(7200),
            memory_window: Duration::from_secs(7200),
            answer_margin: Duration::from_secs(60),
            lease: Duration::from_secs(3),
            keepalive: Duration::from_secs(1),
            link_timeout: Duration::from_secs(3),
            drain: Duration::from_secs(310),
        }
    }
}

impl TimingSettings {
    /// Sets the interval between announcements of an agent.
    #[must_use]
    pub const fn announce(mut self, announce: Duration) -> Self {
        self.announce = announce;
        self
    }

    /// Sets the time without an announcement after which an agent is removed from the roster.
    #[must_use]
    pub const fn silence(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// Sets the retention period of removed members in the roster.
    #[must_use]
    pub const fn roster_window(mut self, roster_window: Duration) -> Self {
        self.roster_window = roster_window;
        self
    }

    /// Sets the retention period of accepted job ids and seals.
    #[must_use]
    pub const fn memory_window(mut self, memory_window: Duration) -> Self {
        self.memory_window = memory_window;
        self
    }

    /// Sets the retention period of an answer after the deadline of its job.
    #[must_use]
    pub const fn answer_margin(mut self, answer_margin: Duration) -> Self {
        self.answer_margin = answer_margin;
        self
    }

    /// Sets the duration of an endpoint's lease.
    #[must_use]
    pub const fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the interval between pings on a link.
    #[must_use]
    pub const fn keepalive(mut self, keepalive: Duration) -> Self {
        self.keepalive = keepalive;
        self
    }

    /// Sets the time without traffic after which a link is replaced.
    #[must_use]
    pub const fn link_timeout(mut self, link_timeout: Duration) -> Self {
        self.link_timeout = link_timeout;
        self
    }

    /// Sets the maximum duration of a graceful shutdown.
    #[must_use]
    pub const fn drain(mut self, drain: Duration) -> Self {
        self.drain = drain;
        self
    }
}
