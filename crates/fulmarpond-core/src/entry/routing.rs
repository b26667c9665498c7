//! Routing of submissions to the home of their job.

use std::collections::VecDeque;

use rand::Rng;

use super::action::{CallerReply, EntryAction};
use super::entry::{Entry, PAUSE_THRESHOLD_MS, PendingCall, Step};
use crate::Time;
use crate::agent::Count;
use crate::contract::{Answer, Attempt, Reason, Refusal, Submission, Verdict};
use crate::link::{CallId, Envelope, LinkError, Request, Response, Submit, SubmitReply};
use crate::machine::AgentId;
use crate::retry::{Backoff, RetryCause};

/// How long an entry waits for the answer of a home beyond the deadline of the job.
const ANSWER_GRACE_MS: u64 = 250;
/// The maximum number of times a home is asked again about a job after its link was lost.
const MAX_ASKS: u32 = 4;
/// The maximum number of redirects that one request follows.
const MAX_REDIRECTS: u32 = 6;
/// The backoff between attempts to ask a home again.
const ASK_BACKOFF: Backoff = Backoff::new(100, 800);
/// The retry delay suggested to callers when a home is lost or unreachable. By then another agent
/// is expected to have replaced it.
const HOME_RETRY_MS: u64 = 1_000;

/// A submission that is being routed or awaits the answer of its home.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) submission: Submission,
    wait: bool,
    /// The refusal for a job over quota, which the home applies unless it already has the job.
    quota_refusal: Option<Refusal>,
    deadline: Time,
    /// The candidates still to try, best first.
    candidates: VecDeque<AgentId>,
    /// The agent that the submission was last sent to.
    current_agent: Option<AgentId>,
    /// Whether a better candidate was skipped.
    has_skipped_candidate: bool,
    /// Whether an attempt with this job ID may have been accepted.
    is_unresolved: bool,
    /// How often the current agent was asked again after its link was lost.
    ask_count: u32,
    /// When to ask the current agent again.
    next_ask_at: Option<Time>,
    redirect_count: u32,
    /// The refusal to answer with when no candidate is left.
    refusal: Refusal,
}

impl Route {
    /// Returns when the route times out or its home has to be asked again.
    pub(super) fn next_due(&self) -> Time {
        let end = self.deadline.after_millis(ANSWER_GRACE_MS);
        self.next_ask_at
            .map_or(end, |next_ask_at| next_ask_at.min(end))
    }
}

impl Entry {
    /// Admits a submission and routes it to its home.
    pub(super) fn submit<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        mut submission: Submission,
        wait: bool,
    ) {
        // A request that was queued during a pause of the process may be handled after its own
        // resubmission.
        if step.now.millis_since(self.running_since) <= PAUSE_THRESHOLD_MS
            && self.running_since > Time::default()
        {
            submission.attempt = submission.attempt.into_unresolved();
        }
        let quota_refusal = self.check_quota(step.now, &submission);
        if submission.attempt == Attempt::First
            && let Some(refusal) = quota_refusal
        {
            self.refuse_submission(step, call, &submission, refusal);
            return;
        }
        let candidates: VecDeque<AgentId> = self
            .roster
            .candidates(&submission.job)
            .into_iter()
            .map(|member| member.agent.clone())
            .collect();
        self.retry_budget.deposit(1, self.policy.retry_percent);
        let route = Route {
            wait,
            deadline: step.now.after_millis(submission.remaining_ms),
            candidates,
            current_agent: None,
            has_skipped_candidate: false,
            quota_refusal,
            is_unresolved: submission.attempt != Attempt::First,
            ask_count: 0,
            next_ask_at: None,
            redirect_count: 0,
            refusal: Refusal::new(Reason::NoEndpoint, HOME_RETRY_MS).detail("the roster is empty"),
            submission,
        };
        self.routes.insert(call, route);
        self.send_to_next_candidate(step, call);
    }

    /// Answers with a refusal. The verdict is "not run" only if no earlier attempt may have run.
    fn answer_refusal<R: Rng>(
        &self,
        step: &mut Step<'_, R>,
        call: CallId,
        submission: &Submission,
        is_unresolved: bool,
        refusal: Refusal,
    ) {
        let verdict = if is_unresolved {
            Verdict::MayHaveRun(refusal)
        } else {
            Verdict::NotRun(refusal)
        };
        let answer = Answer::new(&submission.job, verdict);
        self.answer_submission(step, call, answer);
    }

    /// Answers a submission that is refused before it is routed.
    pub(super) fn refuse_submission<R: Rng>(
        &self,
        step: &mut Step<'_, R>,
        call: CallId,
        submission: &Submission,
        refusal: Refusal,
    ) {
        let is_unresolved = submission.attempt != Attempt::First;
        self.answer_refusal(step, call, submission, is_unresolved, refusal);
    }

    fn answer_submission<R: Rng>(&self, step: &mut Step<'_, R>, call: CallId, answer: Answer) {
        step.count((&answer.verdict).into());
        step.answer(call, CallerReply::Answer(answer));
    }

    /// Ends a route with a refusal.
    fn refuse<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, refusal: Refusal) {
        if let Some(route) = self.routes.remove(&call) {
            self.answer_refusal(step, call, &route.submission, route.is_unresolved, refusal);
        }
    }

    /// Ends a route with the verdict that the job may have run.
    fn refuse_as_may_have_run<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        reason: Reason,
    ) {
        if let Some(route) = self.routes.get_mut(&call) {
            route.is_unresolved = true;
        }
        self.refuse(step, call, Refusal::new(reason, HOME_RETRY_MS));
    }

    /// Sends a submission to the next candidate, or ends the route.
    fn send_to_next_candidate<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        loop {
            let Some(route) = self.routes.get_mut(&call) else {
                return;
            };
            let Some(agent) = route.candidates.pop_front() else {
                let refusal = route.refusal.clone();
                self.refuse(step, call, refusal);
                return;
            };
            if route.has_skipped_candidate {
                if !self.retry_budget.try_take() {
                    let refusal = Refusal::new(Reason::RetryBudget, HOME_RETRY_MS);
                    self.refuse(step, call, refusal);
                    return;
                }
                step.count(Count::Retry(RetryCause::NextCandidate));
            }
            if self.roster.contains(&agent) {
                route.current_agent = Some(agent);
                route.ask_count = 0;
                self.send_to_current(step, call);
                return;
            }
            route.has_skipped_candidate = true;
        }
    }

    /// Sends a submission to the current agent.
    fn send_to_current<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.next_ask_at = None;
        let Some(member) = route
            .current_agent
            .as_ref()
            .and_then(|agent| self.roster.get(agent))
        else {
            self.refuse_as_may_have_run(step, call, Reason::HomeLost);
            return;
        };
        let mut submission = route.submission.clone();
        submission.remaining_ms = route.deadline.remaining_millis(step.now);
        if route.is_unresolved {
            submission.attempt = submission.attempt.into_unresolved();
        }
        let submit = Submit {
            submission,
            entry: self.options.name.clone(),
            roster: self.roster.version(),
            skipped: route.has_skipped_candidate,
            wait: route.wait,
            refusal: route.quota_refusal.clone(),
        };
        let envelope = Envelope {
            to: Some(member.agent.clone()),
            request: Request::Submit(Box::new(submit)),
        };
        let deadline = route.deadline.after_millis(ANSWER_GRACE_MS);
        let addr = member.addr;
        self.call_agent(step, addr, envelope, deadline, PendingCall::Submit(call));
    }

    /// Handles the response of an agent to a submission.
    pub(super) fn handle_submit_response<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<Response, LinkError>,
    ) {
        match result {
            Ok(Response::Submit(SubmitReply::Answer(answer))) => {
                if self.routes.remove(&call).is_some() {
                    self.answer_submission(step, call, answer);
                }
            }
            Ok(Response::Submit(SubmitReply::Accepted)) => {
                if let Some(route) = self.routes.remove(&call) {
                    step.answer(call, CallerReply::Accepted(route.submission.job));
                }
            }
            Ok(Response::Submit(SubmitReply::Redirect { agent })) => {
                self.follow_redirect(step, call, &agent);
            }
            Ok(Response::Submit(SubmitReply::Refused(refusal)) | Response::Refused(refusal)) => {
                self.handle_refused(step, call, refusal);
            }
            Err(LinkError::Lost) => self.ask_home_again(step, call),
            Err(LinkError::NotSent | LinkError::Rejected) | Ok(_) => self.retry_unsent(step, call),
        }
    }

    /// Follows a redirect to the agent that holds the job or its seal.
    fn follow_redirect<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, agent: &AgentId) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.redirect_count += 1;
        // The other agent may have accepted an attempt with this job ID.
        route.is_unresolved = true;
        route.ask_count = 0;
        let holder = self
            .roster
            .tombstone_holder(agent)
            .map(|member| member.agent.clone());
        if holder.is_none() || route.redirect_count > MAX_REDIRECTS {
            self.refuse_as_may_have_run(step, call, Reason::HomeLost);
            return;
        }
        route.current_agent = holder;
        step.count(Count::Retry(RetryCause::Redirected));
        self.send_to_current(step, call);
    }

    /// Handles the refusal of an agent. If the reason concerns only that agent, the next candidate
    /// is tried.
    fn handle_refused<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, refusal: Refusal) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        if route.ask_count > 0 && refusal.reason == Reason::WrongAgent {
            self.refuse_as_may_have_run(step, call, Reason::HomeLost);
            return;
        }
        let is_agent_specific = matches!(
            refusal.reason,
            Reason::WrongHome
                | Reason::WrongAgent
                | Reason::Draining
                | Reason::StaleRoster
                | Reason::Overloaded
        );
        if !is_agent_specific {
            self.refuse(step, call, refusal);
            return;
        }
        route.refusal = refusal;
        route.has_skipped_candidate = true;
        self.send_to_next_candidate(step, call);
    }

    /// Handles a submission that was not sent because the agent could not be reached.
    fn retry_unsent<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        step.count(Count::Retry(RetryCause::NotSent));
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        if route.ask_count > 0 {
            self.ask_home_again(step, call);
            return;
        }
        if route.redirect_count > 0 {
            self.refuse_as_may_have_run(step, call, Reason::HomeLost);
            return;
        }
        route.refusal = Refusal::new(Reason::Unreachable, HOME_RETRY_MS)
            .detail("no candidate of the job could be reached");
        route.has_skipped_candidate = true;
        self.send_to_next_candidate(step, call);
    }

    /// Asks the home again after its link was lost, or gives up after [`MAX_ASKS`] attempts.
    ///
    /// The submission is sent again as unresolved, so a home that has the job attaches the request
    /// to it.
    fn ask_home_again<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.is_unresolved = true;
        if self.reroute(step, call) {
            return;
        }
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.ask_count += 1;
        if route.ask_count > MAX_ASKS || step.now >= route.deadline {
            self.refuse_as_may_have_run(step, call, Reason::HomeLost);
            return;
        }
        step.actions
            .push(EntryAction::Count(Count::Retry(RetryCause::Asked)));
        if route.ask_count == 1 {
            self.send_to_current(step, call);
            return;
        }
        let delay = ASK_BACKOFF.delay_ms(route.ask_count - 2, step.rng);
        route.next_ask_at = Some(step.now.after_millis(delay));
    }

    /// Restarts a route if the current agent has left and handed its tombstones over to an heir.
    ///
    /// The seals then show whether that agent accepted the job. Returns whether the route was
    /// restarted.
    fn reroute<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) -> bool {
        let Some(route) = self.routes.get_mut(&call) else {
            return false;
        };
        let has_handed_over = route.current_agent.as_ref().is_some_and(|agent| {
            !self.roster.contains(agent) && self.roster.tombstone_holder(agent).is_some()
        });
        if !has_handed_over || route.redirect_count >= MAX_REDIRECTS || step.now >= route.deadline {
            return false;
        }
        route.redirect_count += 1;
        route.ask_count = 0;
        route.has_skipped_candidate = false;
        route.candidates = self
            .roster
            .candidates(&route.submission.job)
            .into_iter()
            .map(|member| member.agent.clone())
            .collect();
        step.count(Count::Retry(RetryCause::Redirected));
        self.send_to_next_candidate(step, call);
        true
    }

    /// Times out routes and asks homes again where that is due.
    pub(super) fn tick_routes<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let mut due: Vec<CallId> = self
            .routes
            .iter()
            .filter(|(_, route)| step.now >= route.next_due())
            .map(|(call, _)| *call)
            .collect();
        due.sort_unstable();
        for call in due {
            let Some(route) = self.routes.get(&call) else {
                continue;
            };
            if step.now >= route.deadline.after_millis(ANSWER_GRACE_MS) {
                self.refuse_as_may_have_run(step, call, Reason::DeadlinePassed);
            } else {
                self.send_to_current(step, call);
            }
        }
    }
}
