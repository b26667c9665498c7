//! The agent's view of its endpoint.

use fulmarpond_core::Time;

use super::lasting_speed::LastingSpeed;
use super::reply_ages::ReplyAges;
use super::reply_times::ReplyTimes;
use super::speed::Speed;
use super::unacknowledged_ends::UnacknowledgedEnds;
use super::{CallFailure, CallNo};
use crate::{EndpointState, Registration, RemoteClock};

/// The number of heartbeat intervals without a heartbeat after which an idle endpoint is removed.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// The backoff after the first call without a reply, in milliseconds.
const RETRY_BACKOFF_MS: u64 = 10;

/// How often the backoff is doubled at most. It grows because each attempt opens a connection.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How long holds wait only briefly after a call without a reply, in milliseconds.
const CAUTION_MS: u64 = 3_000;

/// A call that is answered later than this has waited for the end of a run, unless the endpoint
/// usually replies later, in milliseconds.
const MIN_WAIT_MS: u64 = 4;

/// How long an endpoint that has replied that it is unhealthy gets no new task, in milliseconds.
const UNHEALTHY_PAUSE_MS: u64 = 400;

/// One incarnation of the endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) registration: Registration,
    /// Whether the registration is one of this incarnation. After a restart that a reply has shown,
    /// it is that of the previous one until the first heartbeat.
    pub(super) is_registered: bool,
    /// Whether this incarnation has replied to a hold.
    pub(super) has_replied: bool,
    /// The number of the last heartbeat before the endpoint deregistered without saying which
    /// incarnation did.
    pub(super) deregistered_at: Option<u64>,
    pub(super) clock: RemoteClock,
    /// Until when holds wait only briefly, since calls got no reply.
    pub(super) cautious_until: Time,
    /// When its lists of runs and ends were last received.
    pub(super) last_list: Time,
    /// Until when each end at the endpoint is known.
    pub(super) seen_until: Time,
    /// The number of the last listed end.
    pub(super) last_seen_end: u64,
    /// Whether the last list of ends was cut off.
    pub(super) hides_ends: bool,
    /// Ends that no entry has acknowledged as stored yet.
    pub(super) unacknowledged_ends: UnacknowledgedEnds,
    /// Whether there were unacknowledged ends when the last hold was sent.
    pub(super) had_unacknowledged: bool,
    /// The pending hold.
    pub(super) pending_hold: Option<CallNo>,
    /// The earliest time of the next hold, after one that failed or listed nothing new.
    pub(super) next_hold: Time,
    /// Whether the endpoint is known to run nothing that this process did not start.
    pub(super) has_no_unknown_runs: bool,
    pub(super) reply_times: ReplyTimes,
    pub(super) reply_ages: ReplyAges,
    pub(super) speed: Speed,
    pub(super) lasting_speed: LastingSpeed,
    /// When the last reply arrived.
    pub(super) last_reply: Time,
    /// When it was certainly alive: when the last call that was answered had been sent. A reply may be
    /// read long after it was sent.
    pub(super) alive_at: Time,
    /// When a hold was sent whose connection was lost, if that was the first call without a reply since
    /// the last reply.
    pub(super) broken_hold: Option<Time>,
    /// How often it was asked for a sign of life since the last start.
    pub(super) verifications: u32,
    /// When a call got no reply for the first time since the last reply, if one did.
    pub(super) unanswered_since: Option<Time>,
    /// Whether it has answered calls in time.
    pub(super) is_reachable: bool,
    /// When all runs there have ended for certain, unless the lease is extended again.
    pub(super) lease_expiry: Time,
    /// Set while the lease must expire once before superseded ends may be acknowledged. The lease
    /// is not extended from this time on, or earlier if nothing runs.
    pub(super) forced_expiry_at: Option<Time>,
    /// Until when it gets no new task because its host is about to be maintained.
    pub(super) drained_until: Option<Time>,
    /// Until when it gets no new task because it has replied that it is unhealthy.
    pub(super) unhealthy_until: Time,
    /// When it counts as unreachable unless it answers a call; `Time::MAX` without open calls.
    pub(super) answer_deadline: Time,
    /// When it gets no new task, and is removed if idle, unless it sends a heartbeat.
    pub(super) heartbeat_deadline: Time,
}

impl Endpoint {
    pub(super) fn new(registration: Registration, now: Time, heartbeat_ms: u64) -> Self {
        Self {
            registration,
            is_registered: true,
            has_replied: false,
            deregistered_at: None,
            clock: RemoteClock::default(),
            cautious_until: now,
            last_list: now,
            seen_until: now,
            last_seen_end: 0,
            hides_ends: false,
            unacknowledged_ends: UnacknowledgedEnds::default(),
            had_unacknowledged: false,
            pending_hold: None,
            next_hold: now,
            has_no_unknown_runs: false,
            reply_times: ReplyTimes::default(),
            reply_ages: ReplyAges::default(),
            speed: Speed::default(),
            lasting_speed: LastingSpeed::default(),
            last_reply: now,
            alive_at: now,
            verifications: 0,
            broken_hold: None,
            unanswered_since: None,
            is_reachable: true,
            lease_expiry: now,
            forced_expiry_at: None,
            drained_until: None,
            unhealthy_until: now,
            answer_deadline: Time::MAX,
            heartbeat_deadline: now.after_millis(heartbeat_ms * MAX_MISSED_HEARTBEATS),
        }
    }

    /// Records a heartbeat of this incarnation; returns false if it is older than the last one.
    pub(super) fn record_heartbeat(
        &mut self,
        registration: Registration,
        now: Time,
        heartbeat_ms: u64,
    ) -> bool {
        if self.is_registered && registration.sequence < self.registration.sequence {
            return false;
        }
        // One heartbeat may have been on its way when the endpoint deregistered.
        if self
            .deregistered_at
            .is_some_and(|last| registration.sequence > last.saturating_add(1))
        {
            self.deregistered_at = None;
        }
        self.is_registered = true;
        self.heartbeat_deadline = now.after_millis(heartbeat_ms * MAX_MISSED_HEARTBEATS);
        self.registration = registration;
        true
    }

    /// Records that its lists were received in reply to a call, and returns the earliest time at
    /// which the ends that are new in them can have occurred.
    ///
    /// A call that waits for an end is answered when one occurs. A call that is answered at once
    /// lists the ends since the previous lists, which were long ago if calls got no reply.
    pub(super) fn record_lists(
        &mut self,
        sent: Time,
        wait_ms: u64,
        clock_ms: i64,
        now: Time,
    ) -> Time {
        let has_waited =
            wait_ms > 0 && now.millis_since(sent) > self.reply_times.usual_ms(MIN_WAIT_MS);
        let earliest_end = if has_waited { now } else { self.last_list };
        let age_ms = self.reply_ages.observe(clock_ms, now);
        let listed_at = age_ms.map_or(sent, |age_ms| now.before_millis(age_ms));
        self.seen_until = self.seen_until.max(listed_at.max(sent));
        self.last_list = now;
        earliest_end
    }

    /// Records that the connection of a hold was lost that had been sent at `sent`. Either the endpoint
    /// was gone by then, or the hold has reached it, so that no run has ended until the connection was
    /// lost.
    pub(super) const fn record_broken_hold(&mut self, sent: Time) {
        if self.unanswered_since.is_none() {
            self.broken_hold = Some(sent);
        }
    }

    /// Returns whether new tasks may start.
    pub(super) fn accepts_tasks(&self, now: Time) -> bool {
        self.has_no_unknown_runs
            && self.is_registered
            && self.deregistered_at.is_none()
            && self.is_reachable
            && self.forced_expiry_at.is_none()
            && self.drained_until.is_none()
            && self.registration.state == EndpointState::Ready
            && now >= self.unhealthy_until
            && now < self.heartbeat_deadline
    }

    /// Returns the number of the last end that may be acknowledged.
    pub(super) fn last_acknowledgeable_end(&self) -> u64 {
        self.unacknowledged_ends
            .last_acknowledgeable(self.last_seen_end)
    }

    /// Records the reply to a call that was sent at `sent`.
    pub(super) fn record_reply(&mut self, sent: Time, now: Time) {
        self.last_reply = now;
        self.alive_at = self.alive_at.max(sent);
        self.reply_times.record_reply();
        self.unanswered_since = None;
        self.broken_hold = None;
        self.answer_deadline = Time::MAX;
    }

    pub(super) fn record_missing_reply(&mut self, failure: CallFailure, now: Time) {
        self.reply_times.record_miss();
        if self.unanswered_since.is_none() && failure != CallFailure::NotSent {
            self.unanswered_since = Some(now);
        }
        self.cautious_until = now.after_millis(CAUTION_MS);
    }

    /// Returns the backoff before a call is repeated, in milliseconds. It doubles with each
    /// consecutive call without a reply.
    pub(super) fn retry_backoff_ms(&self) -> u64 {
        let doublings = self
            .reply_times
            .misses()
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        RETRY_BACKOFF_MS << doublings
    }

    pub(super) const fn record_unhealthy(&mut self, now: Time) {
        self.unhealthy_until = now.after_millis(UNHEALTHY_PAUSE_MS);
    }
}
