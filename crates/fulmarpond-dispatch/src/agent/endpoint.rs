//! The endpoint of an agent, as the agent knows it.

use fulmarpond_core::Time;

use super::CallNo;
use super::held::HeldEnds;
use crate::{EndpointState, Registration, RemoteClock};

/// After this many heartbeat intervals without a heartbeat an idle endpoint counts as gone.
const MISSED_BEATS: u64 = 4;

/// The pause after a call without a reply, in milliseconds.
const RETRY_MS: u64 = 10;

/// How often that pause is doubled at most. Each attempt opens a connection.
const MOST_RETRY_DOUBLINGS: u32 = 4;

/// How long an endpoint that called itself unhealthy gets no new task, in milliseconds.
const UNHEALTHY_MS: u64 = 400;

/// One incarnation of the endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) about: Registration,
    pub(super) clock: RemoteClock,
    /// The number of the last end that was seen.
    pub(super) seen: u64,
    /// Ends that are not taken note of yet.
    pub(super) held: HeldEnds,
    /// Whether ends were held when the last hold was sent.
    pub(super) held_before: bool,
    /// The hold that has no reply yet.
    pub(super) hold: Option<CallNo>,
    /// When the next hold may be sent after one that failed.
    pub(super) next_hold: Time,
    /// Whether nothing runs there that this process did not start.
    pub(super) settled: bool,
    /// How many calls in a row had no reply.
    unanswered: u32,
    /// Whether its last calls were answered.
    pub(super) reachable: bool,
    /// When everything there is surely over, unless the lease is extended again.
    pub(super) lapse: Time,
    /// Its lease has to lapse once before void ends are taken note of: at this time at the latest,
    /// and earlier if nothing runs.
    pub(super) lapse_by: Option<Time>,
    /// Until when it gets no new task since its host is about to be maintained.
    pub(super) drained: Option<Time>,
    /// Until when it gets no new task since it called itself unhealthy.
    pub(super) unhealthy: Time,
    /// When it counts as unreachable unless it answers a call; `Time::MAX` without open calls.
    pub(super) answer_by: Time,
    /// When it counts as gone unless it sends a heartbeat.
    pub(super) beat_by: Time,
}

impl Endpoint {
    pub(super) fn new(about: Registration, now: Time, beat_ms: u64) -> Self {
        Self {
            about,
            clock: RemoteClock::default(),
            seen: 0,
            held: HeldEnds::default(),
            held_before: false,
            hold: None,
            next_hold: now,
            settled: false,
            unanswered: 0,
            reachable: true,
            lapse: now,
            lapse_by: None,
            drained: None,
            unhealthy: now,
            answer_by: Time::MAX,
            beat_by: now.after_millis(beat_ms * MISSED_BEATS),
        }
    }

    /// Takes a heartbeat of this incarnation; returns whether it is newer than the last.
    pub(super) fn beat(&mut self, about: Registration, now: Time, beat_ms: u64) -> bool {
        if about.sequence < self.about.sequence {
            return false;
        }
        self.beat_by = now.after_millis(beat_ms * MISSED_BEATS);
        self.about = about;
        true
    }

    /// Returns whether new tasks may start.
    pub(super) fn takes_tasks(&self, now: Time) -> bool {
        self.settled
            && self.reachable
            && self.lapse_by.is_none()
            && self.drained.is_none()
            && self.about.state == EndpointState::Ready
            && now >= self.unhealthy
            && now < self.beat_by
    }

    /// Returns the number of the last end to take note of.
    pub(super) fn acked(&self) -> u64 {
        self.held.acked(self.seen)
    }

    /// Takes note of a reply to a call.
    pub(super) const fn replied(&mut self) {
        self.unanswered = 0;
        self.answer_by = Time::MAX;
    }

    /// Takes note that a call has no reply.
    pub(super) const fn missed_reply(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Returns the pause before a call is repeated, in milliseconds: it doubles with each call in a
    /// row that has no reply.
    pub(super) fn retry_ms(&self) -> u64 {
        let doublings = self.unanswered.saturating_sub(1).min(MOST_RETRY_DOUBLINGS);
        RETRY_MS << doublings
    }

    pub(super) const fn called_unhealthy(&mut self, now: Time) {
        self.unhealthy = now.after_millis(UNHEALTHY_MS);
    }
}
