//! The endpoint of an agent, as the agent knows it.

use fulmarpond_core::Time;

use super::CallNo;
use super::unconfirmed_ends::UnconfirmedEnds;
use crate::{EndpointState, Registration, RemoteClock};

/// After this many heartbeat intervals without a heartbeat an idle endpoint counts as gone.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// The pause after a call without a reply, in milliseconds.
const RETRY_BACKOFF_MS: u64 = 10;

/// How often that pause is doubled at most. Each attempt opens a connection.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How long an endpoint that called itself unhealthy gets no new task, in milliseconds.
const UNHEALTHY_PAUSE_MS: u64 = 400;

/// One incarnation of the endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) registration: Registration,
    pub(super) clock: RemoteClock,
    /// The number of the last end that was seen.
    pub(super) last_seen_end: u64,
    /// Ends that are not taken note of yet.
    pub(super) unconfirmed: UnconfirmedEnds,
    /// Whether ends were held when the last hold was sent.
    pub(super) had_unconfirmed: bool,
    /// The hold that has no reply yet.
    pub(super) pending_hold: Option<CallNo>,
    /// When the next hold may be sent after one that failed.
    pub(super) next_hold: Time,
    /// Whether nothing runs there that this process did not start.
    pub(super) has_no_orphans: bool,
    /// How many calls in a row had no reply.
    unanswered_calls: u32,
    /// Whether its last calls were answered.
    pub(super) is_reachable: bool,
    /// When everything there is surely over, unless the lease is extended again.
    pub(super) lease_expiry: Time,
    /// Its lease has to lapse once before void ends are taken note of: at this time at the latest,
    /// and earlier if nothing runs.
    pub(super) forced_expiry_at: Option<Time>,
    /// Until when it gets no new task since its host is about to be maintained.
    pub(super) drained_until: Option<Time>,
    /// Until when it gets no new task since it called itself unhealthy.
    pub(super) unhealthy_until: Time,
    /// When it counts as unreachable unless it answers a call; `Time::MAX` without open calls.
    pub(super) answer_deadline: Time,
    /// When it counts as gone unless it sends a heartbeat.
    pub(super) heartbeat_deadline: Time,
}

impl Endpoint {
    pub(super) fn new(registration: Registration, now: Time, heartbeat_ms: u64) -> Self {
        Self {
            registration,
            clock: RemoteClock::default(),
            last_seen_end: 0,
            unconfirmed: UnconfirmedEnds::default(),
            had_unconfirmed: false,
            pending_hold: None,
            next_hold: now,
            has_no_orphans: false,
            unanswered_calls: 0,
            is_reachable: true,
            lease_expiry: now,
            forced_expiry_at: None,
            drained_until: None,
            unhealthy_until: now,
            answer_deadline: Time::MAX,
            heartbeat_deadline: now.after_millis(heartbeat_ms * MAX_MISSED_HEARTBEATS),
        }
    }

    /// Takes a heartbeat of this incarnation; returns whether it is newer than the last.
    pub(super) fn record_heartbeat(
        &mut self,
        registration: Registration,
        now: Time,
        heartbeat_ms: u64,
    ) -> bool {
        if registration.sequence < self.registration.sequence {
            return false;
        }
        self.heartbeat_deadline = now.after_millis(heartbeat_ms * MAX_MISSED_HEARTBEATS);
        self.registration = registration;
        true
    }

    /// Returns whether new tasks may start.
    pub(super) fn accepts_tasks(&self, now: Time) -> bool {
        self.has_no_orphans
            && self.is_reachable
            && self.forced_expiry_at.is_none()
            && self.drained_until.is_none()
            && self.registration.state == EndpointState::Ready
            && now >= self.unhealthy_until
            && now < self.heartbeat_deadline
    }

    /// Returns the number of the last end to take note of.
    pub(super) fn last_acknowledgeable_end(&self) -> u64 {
        self.unconfirmed.last_acknowledgeable(self.last_seen_end)
    }

    pub(super) const fn record_reply(&mut self) {
        self.unanswered_calls = 0;
        self.answer_deadline = Time::MAX;
    }

    pub(super) const fn record_missing_reply(&mut self) {
        self.unanswered_calls = self.unanswered_calls.saturating_add(1);
    }

    /// Returns the pause before a call is repeated, in milliseconds: it doubles with each call in a
    /// row that has no reply.
    pub(super) fn retry_backoff_ms(&self) -> u64 {
        let doublings = self
            .unanswered_calls
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        RETRY_BACKOFF_MS << doublings
    }

    pub(super) const fn record_unhealthy(&mut self, now: Time) {
        self.unhealthy_until = now.after_millis(UNHEALTHY_PAUSE_MS);
    }
}
