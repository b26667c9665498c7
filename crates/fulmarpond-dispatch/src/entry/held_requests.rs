//! Requests that wait for the end of an earlier attempt of their job.

use std::collections::HashMap;
use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_derive::value;

use super::RequestNo;
use super::job::Job;
use super::submission::Submission;
use crate::JobId;
use crate::configuration::Route;

/// What shows that no run of an earlier attempt is left.
#[value]
pub(super) enum EndEvidence {
    /// Its entry lists it no longer.
    NotListed,
    /// Its entry has said so.
    Yielded,
    /// The agents have reported the ends of its runs.
    Reported,
    /// There was none, and its caller has not left.
    CallerStays,
    /// Its leases have expired, or the lists of the other entries were awaited for long enough.
    Expired,
}

impl EndEvidence {
    /// Returns whether the entry of the earlier attempt, or the agents, have told of its end.
    pub(super) const fn is_told(self) -> bool {
        matches!(self, Self::NotListed | Self::Yielded | Self::Reported)
    }

    /// Returns the name in reports.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NotListed => "not_listed",
            Self::Yielded => "yielded",
            Self::Reported => "reported",
            Self::Expired => "expired",
            Self::CallerStays => "caller_stays",
        }
    }
}

/// A submission that waits for the end of an earlier attempt, or until the attempts of the other
/// entries are known.
#[derive(Debug)]
pub(super) struct HeldRequest {
    pub(super) requests: Vec<RequestNo>,
    pub(super) route: Rc<Route>,
    pub(super) submission: Submission,
    /// When its caller may have sent it.
    pub(super) sent_after: Time,
    /// When its caller is about to leave.
    pub(super) deadline: Time,
    /// Since when it waits.
    pub(super) since: Time,
    /// Whether an earlier attempt was known when it came.
    pub(super) is_repeated: bool,
    /// Until when its caller may turn out to have left.
    pub(super) departure_until: Time,
    /// Whether only its caller's departure is waited for.
    pub(super) is_clear: bool,
}

impl HeldRequest {
    /// Creates the wait of a job that is not known to have an earlier attempt.
    pub(super) fn new(job: &Job, departure_until: Time, now: Time) -> Self {
        Self {
            requests: job.requests.clone(),
            route: Rc::clone(&job.route),
            submission: job.submission.clone(),
            sent_after: job.sent_after,
            deadline: job.deadline,
            since: now,
            is_repeated: false,
            departure_until,
            is_clear: false,
        }
    }
}

/// The requests that wait, by job.
#[derive(Debug, Default)]
pub(super) struct HeldRequests {
    by_job: HashMap<JobId, HeldRequest>,
}

impl HeldRequests {
    pub(super) fn insert(&mut self, job: JobId, held: HeldRequest) {
        self.by_job.insert(job, held);
    }

    pub(super) fn get_mut(&mut self, job: &JobId) -> Option<&mut HeldRequest> {
        self.by_job.get_mut(job)
    }

    pub(super) fn get(&self, job: &JobId) -> Option<&HeldRequest> {
        self.by_job.get(job)
    }

    pub(super) fn remove(&mut self, job: &JobId) -> Option<HeldRequest> {
        self.by_job.remove(job)
    }

    /// Removes a request whose caller has left, and the submission with its last request. Returns the job
    /// of a submission that was removed.
    pub(super) fn drop_request(&mut self, request: RequestNo) -> Option<JobId> {
        let mut held = self.by_job.iter_mut();
        let (job, held) = held.find(|(_, held)| held.requests.contains(&request))?;
        held.requests.retain(|&waiting| waiting != request);
        let job = held.requests.is_empty().then(|| job.clone())?;
        self.by_job.remove(&job);
        Some(job)
    }

    /// Returns the jobs whose caller is about to leave.
    pub(super) fn expired(&self, now: Time) -> Vec<JobId> {
        let expired = self.by_job.iter().filter(|(_, held)| now >= held.deadline);
        expired.map(|(job, _)| job.clone()).collect()
    }

    pub(super) fn jobs(&self) -> impl Iterator<Item = (&JobId, &HeldRequest)> {
        self.by_job.iter()
    }

    /// Returns the number of waiting requests.
    pub(super) fn requests(&self) -> usize {
        self.by_job.values().map(|held| held.requests.len()).sum()
    }

    /// Removes and returns all submissions.
    pub(super) fn take_all(&mut self) -> Vec<HeldRequest> {
        self.by_job.drain().map(|(_, held)| held).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }
}
