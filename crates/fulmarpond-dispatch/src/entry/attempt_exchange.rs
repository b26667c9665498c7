//! The exchange of attempts between entries, and the requests that wait for earlier attempts.

use std::net::SocketAddr;

use fulmarpond_core::Time;
use tracing::{info, warn};

use super::admission::GIVE_UP_MARGIN_MS;
use super::entry::{Entry, retry_after_s};
use super::held_requests::{EndEvidence, HeldRequest};
use super::job::Job;
use super::{Action, Answer, RequestNo};
use crate::{
    ATTEMPT_TARGET, EntryFrame, JobId, LinkNo, ListedAttempt, ListedEnd, PeerFrame, Refusal,
};

/// The number of lists in a row that may be missing before a link to an entry counts as silent.
const MAX_MISSING_LISTS: u64 = 3;

impl Entry {
    /// Makes a new process wait for the attempts of the other entries, as earlier attempts of the
    /// first jobs that it gets may be in progress there.
    pub fn await_entries(&mut self, now: Time) {
        self.peers.await_listing(self.settle_latest(now), now);
    }

    /// Records the number of the link that is being opened to another entry.
    pub fn dialed(&mut self, addr: SocketAddr, link: LinkNo) {
        self.peers.mark_dialed(addr, link);
    }

    /// Returns whether this entry has opened a link, or is opening it: its frames are those of an
    /// entry.
    pub fn has_dialed(&self, link: LinkNo) -> bool {
        self.peers.has_dialed(link)
    }

    /// Handles a link that this entry has opened to another one.
    pub fn peer_link_up(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        self.peers.add_link(link, now);
        self.send_peer_hello(link, out);
        let list = self.attempt_list(true, Vec::new(), now);
        self.send_to_peer(link, list, out);
    }

    fn send_peer_hello(&self, link: LinkNo, out: &mut Vec<Action>) {
        let hello = PeerFrame::Hello {
            name: self.options.name.clone(),
            incarnation: self.options.incarnation,
        };
        self.send_to_peer(link, hello, out);
    }

    /// Handles a frame on a link that this entry has opened.
    pub fn handle_entry_frame(
        &mut self,
        link: LinkNo,
        frame: EntryFrame,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let EntryFrame::Peer(frame) = frame {
            self.handle_peer_frame(link, frame, now, out);
        }
    }

    /// Handles a frame from another entry.
    pub(super) fn handle_peer_frame(
        &mut self,
        link: LinkNo,
        frame: PeerFrame,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let PeerFrame::Hello { name, incarnation } = &frame {
            info!(entry = name, incarnation, "link to entry established");
            if !self.peers.has_dialed(link) {
                self.peers.add_link(link, now);
                self.send_peer_hello(link, out);
            }
            self.peers.identify(link, name.clone(), *incarnation);
            if let Some(peer) = self.peers.get(link) {
                self.confirmations.meet(peer, now);
            }
        }
        if !self.peers.record_frame(link, now) {
            return;
        }
        match frame {
            PeerFrame::Hello { .. } => {}
            PeerFrame::Attempts {
                attempts,
                wants_reply,
                number,
                ended,
            } => {
                self.compare_ends(link, &ended, now);
                self.attempts.set_list(link, &attempts);
                if let Some(peer) = self.peers.get(link) {
                    self.attempts.regain_entry(&peer.name, peer.incarnation);
                }
                if !attempts.is_empty() {
                    self.send_to_peer(link, PeerFrame::Known(number), out);
                }
                for attempt in &attempts {
                    self.mark_repeated(&attempt.job);
                    self.claim_from(link, attempt, now, out);
                }
                if wants_reply {
                    let list = self.attempt_list(false, Vec::new(), now);
                    self.send_to_peer(link, list, out);
                }
                self.peers.record_list(link);
                self.release_held(EndEvidence::NotListed, now, out);
            }
            PeerFrame::Known(number) => {
                if let Some(peer) = self.peers.get(link) {
                    self.confirmations.confirm(peer, number, now);
                }
            }
            PeerFrame::Yield { job, has_started } => {
                self.yield_attempt(link, job, has_started, now, out);
            }
            PeerFrame::Yielded(job) => {
                self.attempts.remove_listed(link, &job);
                self.release_held(EndEvidence::Yielded, now, out);
            }
        }
    }

    /// Handles the loss of a link to another entry, whose runs may go on until their leases have
    /// expired. Returns whether the link was one.
    pub(super) fn peer_link_down(&mut self, link: LinkNo, now: Time) -> bool {
        let was_dialed = self.peers.has_dialed(link);
        let Some(peer) = self.peers.remove_link(link, now) else {
            return was_dialed;
        };
        let lease_times = self.options.lease_times;
        warn!(
            entry = peer.name,
            heard_ms = now.millis_since(peer.heard),
            attempts = self.attempts.listed(link),
            "link to entry lost"
        );
        self.attempts.lose_entry(link, &peer, lease_times, now);
        true
    }

    /// Opens links to other entries, closes silent ones, and sends the attempts of this entry.
    pub(super) fn tick_peers(&mut self, now: Time, out: &mut Vec<Action>) {
        self.update_members(now);
        for addr in self.peers.take_due_dials(now) {
            out.push(Action::Dial { addr });
        }
        let interval_ms = self.options.lease_times.list_interval_ms();
        let silence_ms = (MAX_MISSING_LISTS + 1) * interval_ms;
        for link in self.peers.silent(silence_ms, now) {
            out.push(Action::Close { link });
            self.peer_link_down(link, now);
        }
        if now >= self.peers.next_list {
            self.peers.next_list = now.after_millis(interval_ms);
            self.send_lists(false, now, out);
        }
        self.end_unshared(now, out);
        self.finish_endings(now, out);
        self.release_held(EndEvidence::Expired, now, out);
        self.expire_held(now, out);
    }

    /// Awaits the attempts of the other entries anew after a pause of this process, during which
    /// its own may have been superseded.
    pub(super) fn request_lists(&mut self, now: Time, out: &mut Vec<Action>) {
        self.peers.unsettle(self.settle_latest(now), now);
        self.send_lists(true, now, out);
    }

    fn send_lists(&mut self, wants_reply: bool, now: Time, out: &mut Vec<Action>) {
        if self.peers.len() == 0 {
            return;
        }
        let ended = self.overlaps.take_untold(now);
        let list = self.attempt_list(wants_reply, ended, now);
        for link in self.peers.links() {
            self.send_to_peer(link, list.clone(), out);
        }
    }

    fn send_to_peer(&self, link: LinkNo, frame: PeerFrame, out: &mut Vec<Action>) {
        let is_dialed = self.peers.get(link).is_some_and(|peer| peer.is_dialed);
        out.push(if is_dialed {
            Action::SendToEntry { link, frame }
        } else {
            let frame = EntryFrame::Peer(frame);
            Action::Send { link, frame }
        });
    }

    /// Returns the list of the attempts whose callers may soon send them again. One that is held is
    /// listed too, since it may start at any time.
    fn attempt_list(&mut self, wants_reply: bool, ended: Vec<ListedEnd>, now: Time) -> PeerFrame {
        let number = self.confirmations.next_number(now);
        let list_age_ms = self.options.lease_times.list_age_ms();
        let in_progress = self
            .jobs
            .values()
            .filter(|job| job.state.is_none() && now.millis_since(job.sent_after) >= list_age_ms)
            .map(|job| (&job.id, job.sent_after));
        let held = self.held.jobs().map(|(job, held)| (job, held.sent_after));
        let listed = in_progress.chain(held).chain(self.attempts.ending());
        let attempts = listed.map(|(job, sent_after)| ListedAttempt {
            job: job.clone(),
            age_ms: u32::try_from(now.millis_since(sent_after)).unwrap_or(u32::MAX),
        });
        PeerFrame::Attempts {
            attempts: attempts.collect(),
            wants_reply,
            number,
            ended,
        }
    }

    /// Marks an attempt of this entry as one of a job that may have run elsewhere.
    fn mark_repeated(&mut self, id: &JobId) {
        if let Some(held) = self.held.get_mut(id) {
            held.is_repeated = true;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_started |= job.state.is_none();
        }
    }

    /// Requests the end of the attempt of another entry if this entry has a later one.
    ///
    /// While a list is under way its attempts grow older, so of two that began within the time of a message
    /// each looks like the earlier one to its own entry. Of such attempts that of the entry whose name comes
    /// first goes on.
    fn claim_from(&self, link: LinkNo, listed: &ListedAttempt, now: Time, out: &mut Vec<Action>) {
        let job = self.jobs.get(&listed.job);
        let running = job.filter(|job| job.state.is_none());
        let held = self.held.get(&listed.job);
        let own = running
            .map(|job| job.sent_after)
            .or_else(|| held.map(|held| held.sent_after));
        let is_first = *self.options.name < *self.peers.name(link);
        let tie_ms = if is_first {
            self.options.lease_times.tie_ms()
        } else {
            0
        };
        let is_later = |sent_after: Time| {
            let age_ms = now.millis_since(sent_after);
            let listed_ms = u64::from(listed.age_ms);
            age_ms < listed_ms + tie_ms
        };
        if own.is_some_and(is_later) {
            let request = PeerFrame::Yield {
                job: listed.job.clone(),
                has_started: running.is_some(),
            };
            self.send_to_peer(link, request, out);
        }
    }

    /// Ends the attempt of a job that its caller has sent again to another entry.
    fn yield_attempt(
        &mut self,
        link: LinkNo,
        id: JobId,
        has_started: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(held) = self.held.remove(&id) {
            self.answer_held(&held.requests, Refusal::Superseded, out);
        }
        if let Some(job) = self.jobs.get(&id).filter(|job| job.state.is_none()) {
            let age_ms = now.millis_since(job.sent_after);
            let entry = self.peers.name(link).to_owned();
            if has_started {
                self.counters.overlapping += 1;
                warn!(target: ATTEMPT_TARGET, job = %id, age_ms, entry, "attempts ran at two entries, the earlier one ends");
            } else {
                info!(target: ATTEMPT_TARGET, job = %id, age_ms, entry, "attempt ends, another entry has a later one");
            }
            let reason = Refusal::Superseded;
            self.finish(&id, Answer::MayHaveRun { reason }, now, out);
            let cause = reason.as_str();
            self.recent.record_meeting(&id, cause, age_ms, entry);
        }
        if self.attempts.is_ending(&id) {
            self.attempts.add_yield_request(id, link);
        } else {
            self.send_to_peer(link, PeerFrame::Yielded(id), out);
        }
    }

    /// Removes the stopped attempts whose runs are over, and tells the entries that wait for that.
    pub(super) fn finish_endings(&mut self, now: Time, out: &mut Vec<Action>) {
        for (job, ended) in self.attempts.remove_ended(now) {
            self.record_run_time(&job, &ended);
            info!(
                target: ATTEMPT_TARGET,
                %job,
                evidence = ended.evidence.as_str(),
                stopped_ms = now.millis_since(ended.since),
                "stopped attempt is over"
            );
            let stopped_ms = now.millis_since(ended.since);
            self.recent
                .record_over(&job, ended.evidence.as_str(), stopped_ms);
            for link in self.attempts.take_yield_requests(&job) {
                self.send_to_peer(link, PeerFrame::Yielded(job.clone()), out);
            }
        }
    }

    /// Returns whether tasks of a job that is not durable may start: no earlier attempt may have
    /// runs left, and the attempts of the other entries are known.
    pub(super) fn is_only_attempt(&self, id: &JobId, now: Time) -> bool {
        self.peers.is_settled(now) && !self.attempts.has_earlier(id, now)
    }

    /// Holds a submission until no earlier attempt may have runs left.
    pub(super) fn hold(
        &mut self,
        job: &Job,
        departure_until: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let is_repeated = self.attempts.has_earlier(&job.id, now);
        info!(target: ATTEMPT_TARGET, job = %job.id, is_repeated, "request waits for the end of an earlier attempt");
        self.counters.held += 1;
        let owners = self.attempts.owners(&job.id);
        if is_repeated {
            let names: Vec<&str> = owners.iter().map(|&link| self.peers.name(link)).collect();
            let age_ms = now.millis_since(job.sent_after);
            self.recent
                .record_meeting(&job.id, "held", age_ms, names.join(","));
        }
        for link in owners {
            let request = PeerFrame::Yield {
                job: job.id.clone(),
                has_started: false,
            };
            self.send_to_peer(link, request, out);
        }
        let held = HeldRequest {
            is_repeated,
            ..HeldRequest::new(job, departure_until, now)
        };
        self.held.insert(job.id.clone(), held);
    }

    /// Admits the held submissions whose earlier attempts are over.
    pub(super) fn release_held(&mut self, evidence: EndEvidence, now: Time, out: &mut Vec<Action>) {
        if self.held.is_empty() || !self.peers.is_settled(now) {
            return;
        }
        let jobs = self.held.jobs();
        let free = jobs.filter(|(job, held)| {
            now >= held.departure_until && !self.attempts.has_earlier(job, now)
        });
        let free: Vec<JobId> = free.map(|(job, _)| job.clone()).collect();
        for id in free {
            let Some(mut held) = self.held.remove(&id) else {
                continue;
            };
            let is_clear = held.is_clear && !held.is_repeated;
            let arrived = if is_clear { held.since } else { now };
            if !is_clear {
                let held_ms = now.millis_since(held.since);
                info!(
                    target: ATTEMPT_TARGET,
                    job = %id,
                    ?evidence,
                    held_ms,
                    is_repeated = held.is_repeated,
                    "earlier attempt is over"
                );
                self.recent.record_over(&id, evidence.as_str(), held_ms);
            }
            held.submission.timeout_ms =
                held.deadline.remaining_millis(arrived) + GIVE_UP_MARGIN_MS;
            let mut job = self.new_job(&id, &held.route, held.submission, arrived);
            job.requests = held.requests;
            job.sent_after = held.sent_after;
            job.has_started = held.is_repeated;
            job.is_successor = held.is_repeated && evidence.is_told();
            self.admit(job, now, out);
        }
    }

    fn expire_held(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in self.held.expired(now) {
            let Some(held) = self.held.remove(&id) else {
                continue;
            };
            info!(target: ATTEMPT_TARGET, job = %id, "earlier attempt is not over in time");
            self.answer_held(&held.requests, Refusal::DeadlinePassed, out);
        }
    }

    /// Answers all held requests, since the process stops.
    pub(super) fn give_up_held(&mut self, out: &mut Vec<Action>) {
        for held in self.held.take_all() {
            self.answer_held(&held.requests, Refusal::Stopping, out);
        }
    }

    /// Answers requests whose earlier attempts may have run.
    fn answer_held(&mut self, requests: &[RequestNo], reason: Refusal, out: &mut Vec<Action>) {
        self.counters.refuse(reason);
        for &request in requests {
            out.push(Action::Answer {
                request,
                answer: Answer::MayHaveRun { reason },
                age: 0,
                wait: 0,
            });
        }
    }

    /// Refuses a request that waited unread so long that its caller may have sent the job again,
    /// which other entries can no longer be told in time.
    pub(super) fn refuse_outdated(
        &mut self,
        request: RequestNo,
        id: &JobId,
        age_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let reason = Refusal::Outdated;
        info!(target: ATTEMPT_TARGET, job = %id, age_ms, retry_s = retry_after_s(reason), "request waited too long unread");
        self.answer_held(&[request], reason, out);
    }
}
