//! Routing of submissions to the home of the job.

use std::collections::VecDeque;

use rand::Rng;

use super::action::{CallerReply, EntryAction};
use super::entry::{Entry, PAUSE_MS, Pending, Step};
use crate::Time;
use crate::agent::Count;
use crate::contract::{Answer, Attempt, Reason, Refusal, Submission, Verdict};
use crate::link::{CallId, Envelope, LinkError, Request, Response, Submit, SubmitReply};
use crate::machine::AgentId;
use crate::retry::{Backoff, RetryCause};

/// How long the answer of a home may come after the deadline of its job, in milliseconds.
const GRACE_MS: u64 = 250;
/// How often a home is asked about a job after its link was lost.
const ASKS_MAX: u32 = 4;
/// How often one request follows a job from agent to agent.
const REDIRECTS_MAX: u32 = 6;
/// The delays between questions about a job.
const ASK_BACKOFF: Backoff = Backoff::new(100, 800);
/// Milliseconds after which a lost or unreachable home is expected to be replaced.
const RETRY_HOME_MS: u64 = 1_000;

/// A submission on its way.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) submission: Submission,
    wait: bool,
    /// Why the job is to be refused unless it is known.
    over: Option<Refusal>,
    deadline: Time,
    /// The agents that are still to be tried, best first.
    candidates: VecDeque<AgentId>,
    /// The agent that the submission was sent to.
    current: Option<AgentId>,
    /// Whether a better candidate was passed over.
    skipped: bool,
    /// Whether some attempt of the id may have been accepted.
    unresolved: bool,
    /// The questions to the current agent after its link was lost.
    asks: u32,
    /// When the current agent is asked again.
    ask: Option<Time>,
    redirects: u32,
    refusal: Refusal,
}

impl Route {
    /// Returns when something is due.
    pub(super) fn wake(&self) -> Time {
        let end = self.deadline.after_millis(GRACE_MS);
        self.ask.map_or(end, |ask| ask.min(end))
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
        // A request that waited while the process was paused may come after its own resubmission.
        if step.now.millis_since(self.awake) <= PAUSE_MS && self.awake > Time::default() {
            submission.attempt = submission.attempt.doubted();
        }
        let over = self.over_quota(step.now, &submission);
        if submission.attempt == Attempt::First
            && let Some(refusal) = over
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
        self.budget.earn(1, self.policy.retry_percent);
        let route = Route {
            wait,
            deadline: step.now.after_millis(submission.remaining_ms),
            candidates,
            current: None,
            skipped: false,
            over,
            unresolved: submission.attempt != Attempt::First,
            asks: 0,
            ask: None,
            redirects: 0,
            refusal: Refusal::new(Reason::NoEndpoint, RETRY_HOME_MS).detail("the roster is empty"),
            submission,
        };
        self.routes.insert(call, route);
        self.next_candidate(step, call);
    }

    /// Answers with a refusal. It says "not run" only if no earlier attempt can have run either.
    fn answer_refusal<R: Rng>(
        &self,
        step: &mut Step<'_, R>,
        call: CallId,
        submission: &Submission,
        unresolved: bool,
        refusal: Refusal,
    ) {
        let verdict = if unresolved {
            Verdict::MayHaveRun(refusal)
        } else {
            Verdict::NotRun(refusal)
        };
        let answer = Answer::new(&submission.job, verdict);
        self.answer_job(step, call, answer);
    }

    /// Answers a submission that is refused before it is routed.
    pub(super) fn refuse_submission<R: Rng>(
        &self,
        step: &mut Step<'_, R>,
        call: CallId,
        submission: &Submission,
        refusal: Refusal,
    ) {
        let unresolved = submission.attempt != Attempt::First;
        self.answer_refusal(step, call, submission, unresolved, refusal);
    }

    fn answer_job<R: Rng>(&self, step: &mut Step<'_, R>, call: CallId, answer: Answer) {
        step.count((&answer.verdict).into());
        step.answer(call, CallerReply::Answer(answer));
    }

    /// Ends a route with a refusal.
    fn refuse<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, refusal: Refusal) {
        if let Some(route) = self.routes.remove(&call) {
            self.answer_refusal(step, call, &route.submission, route.unresolved, refusal);
        }
    }

    /// Ends a route whose job may have run.
    fn lose<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, reason: Reason) {
        if let Some(route) = self.routes.get_mut(&call) {
            route.unresolved = true;
        }
        self.refuse(step, call, Refusal::new(reason, RETRY_HOME_MS));
    }

    /// Sends a submission to the next candidate, or ends the route.
    fn next_candidate<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        loop {
            let Some(route) = self.routes.get_mut(&call) else {
                return;
            };
            let Some(agent) = route.candidates.pop_front() else {
                let refusal = route.refusal.clone();
                self.refuse(step, call, refusal);
                return;
            };
            if route.skipped {
                if !self.budget.take() {
                    let refusal = Refusal::new(Reason::RetryBudget, RETRY_HOME_MS);
                    self.refuse(step, call, refusal);
                    return;
                }
                step.count(Count::Retry(RetryCause::NextCandidate));
            }
            if self.roster.contains(&agent) {
                route.current = Some(agent);
                route.asks = 0;
                self.send(step, call);
                return;
            }
            route.skipped = true;
        }
    }

    /// Sends a submission to the current agent.
    fn send<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.ask = None;
        let Some(member) = route
            .current
            .as_ref()
            .and_then(|agent| self.roster.get(agent))
        else {
            self.lose(step, call, Reason::HomeLost);
            return;
        };
        let mut submission = route.submission.clone();
        submission.remaining_ms = route.deadline.remaining_millis(step.now);
        if route.unresolved {
            submission.attempt = submission.attempt.doubted();
        }
        let submit = Submit {
            submission,
            entry: self.options.name.clone(),
            roster: self.roster.version(),
            skipped: route.skipped,
            wait: route.wait,
            refusal: route.over.clone(),
        };
        let envelope = Envelope {
            to: Some(member.agent.clone()),
            request: Request::Submit(Box::new(submit)),
        };
        let deadline = route.deadline.after_millis(GRACE_MS);
        let addr = member.addr;
        self.call(step, addr, envelope, deadline, Pending::Submit(call));
    }

    /// Handles the reply of an agent to a submission.
    pub(super) fn submit_response<R: Rng>(
        &mut self,
        step: &mut Step<'_, R>,
        call: CallId,
        result: Result<Response, LinkError>,
    ) {
        match result {
            Ok(Response::Submit(SubmitReply::Answer(answer))) => {
                if self.routes.remove(&call).is_some() {
                    self.answer_job(step, call, answer);
                }
            }
            Ok(Response::Submit(SubmitReply::Accepted)) => {
                if let Some(route) = self.routes.remove(&call) {
                    step.answer(call, CallerReply::Accepted(route.submission.job));
                }
            }
            Ok(Response::Submit(SubmitReply::Redirect { agent })) => {
                self.redirect(step, call, &agent);
            }
            Ok(Response::Submit(SubmitReply::Refused(refusal)) | Response::Refused(refusal)) => {
                self.refused(step, call, refusal);
            }
            Err(LinkError::Lost) => self.ask_home(step, call),
            Err(LinkError::NotSent | LinkError::Rejected) | Ok(_) => self.not_sent(step, call),
        }
    }

    /// Follows a job to the agent that has it.
    fn redirect<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, agent: &AgentId) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.redirects += 1;
        // The other agent may have accepted an attempt of this id.
        route.unresolved = true;
        route.asks = 0;
        let keeper = self.roster.keeper(agent).map(|member| member.agent.clone());
        if keeper.is_none() || route.redirects > REDIRECTS_MAX {
            self.lose(step, call, Reason::HomeLost);
            return;
        }
        route.current = keeper;
        step.count(Count::Retry(RetryCause::Redirected));
        self.send(step, call);
    }

    /// Handles an agent's refusal: some reasons concern only that agent.
    fn refused<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId, refusal: Refusal) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        if route.asks > 0 && refusal.reason == Reason::WrongAgent {
            self.lose(step, call, Reason::HomeLost);
            return;
        }
        let elsewhere = matches!(
            refusal.reason,
            Reason::WrongHome
                | Reason::WrongAgent
                | Reason::Draining
                | Reason::StaleRoster
                | Reason::Overloaded
        );
        if !elsewhere {
            self.refuse(step, call, refusal);
            return;
        }
        route.refusal = refusal;
        route.skipped = true;
        self.next_candidate(step, call);
    }

    /// Handles an agent that no connection reached.
    fn not_sent<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        step.count(Count::Retry(RetryCause::NotSent));
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        if route.asks > 0 {
            self.ask_home(step, call);
            return;
        }
        if route.redirects > 0 {
            self.lose(step, call, Reason::HomeLost);
            return;
        }
        route.refusal = Refusal::new(Reason::Unreachable, RETRY_HOME_MS)
            .detail("no candidate of the job could be reached");
        route.skipped = true;
        self.next_candidate(step, call);
    }

    /// Asks the home again after a lost link, or gives it up.
    ///
    /// The submission is repeated as unresolved: the home attaches it to the job that it has.
    fn ask_home<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) {
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.unresolved = true;
        if self.reroute(step, call) {
            return;
        }
        let Some(route) = self.routes.get_mut(&call) else {
            return;
        };
        route.asks += 1;
        if route.asks > ASKS_MAX || step.now >= route.deadline {
            self.lose(step, call, Reason::HomeLost);
            return;
        }
        step.actions
            .push(EntryAction::Count(Count::Retry(RetryCause::Asked)));
        if route.asks == 1 {
            self.send(step, call);
            return;
        }
        let delay = ASK_BACKOFF.delay_ms(route.asks - 2, step.rng);
        route.ask = Some(step.now.after_millis(delay));
    }

    /// Starts a route again if the agent that was asked has handed its memory over and left.
    ///
    /// The seals then tell whether that agent accepted the job. Returns whether the route goes on.
    fn reroute<R: Rng>(&mut self, step: &mut Step<'_, R>, call: CallId) -> bool {
        let Some(route) = self.routes.get_mut(&call) else {
            return false;
        };
        let handed_over = route.current.as_ref().is_some_and(|agent| {
            !self.roster.contains(agent) && self.roster.keeper(agent).is_some()
        });
        if !handed_over || route.redirects >= REDIRECTS_MAX || step.now >= route.deadline {
            return false;
        }
        route.redirects += 1;
        route.asks = 0;
        route.skipped = false;
        route.candidates = self
            .roster
            .candidates(&route.submission.job)
            .into_iter()
            .map(|member| member.agent.clone())
            .collect();
        step.count(Count::Retry(RetryCause::Redirected));
        self.next_candidate(step, call);
        true
    }

    /// Handles routes for which something is due.
    pub(super) fn tick_routes<R: Rng>(&mut self, step: &mut Step<'_, R>) {
        let mut due: Vec<CallId> = self
            .routes
            .iter()
            .filter(|(_, route)| step.now >= route.wake())
            .map(|(call, _)| *call)
            .collect();
        due.sort_unstable();
        for call in due {
            let Some(route) = self.routes.get(&call) else {
                continue;
            };
            if step.now >= route.deadline.after_millis(GRACE_MS) {
                self.lose(step, call, Reason::DeadlinePassed);
            } else {
                self.send(step, call);
            }
        }
    }
}
