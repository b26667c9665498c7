//! The state that the home and the runner of an agent share during a step.

use rand::Rng;

use super::AgentAction;
use super::action::Count;
use crate::Time;
use crate::contract::{Reason, Verdict};
use crate::link::{CallId, Response};
use crate::machine::AgentId;
use crate::policy::Policy;
use crate::zone::Roster;

/// The state that the home and the runner of an agent share during a step.
pub(crate) struct Context<'a, R: Rng> {
    /// The current time.
    pub(crate) now: Time,
    /// The incarnation of this agent.
    pub(crate) own_id: &'a AgentId,
    /// The roster that this agent last received.
    pub(crate) roster: &'a Roster,
    /// The latest roster version that all other processes have received as well. Later versions are
    /// recent.
    pub(crate) settled_version: u64,
    /// Whether the roster was confirmed recently.
    pub(crate) is_roster_fresh: bool,
    /// Whether the process was paused recently, so that requests may be old.
    pub(crate) was_paused: bool,
    /// The policy in force.
    pub(crate) policy: &'a Policy,
    /// Whether the process is stopping.
    pub(crate) is_draining: bool,
    pub(crate) rng: &'a mut R,
    /// The last id that was assigned to an outgoing call.
    pub(crate) last_call_id: &'a mut u64,
    /// The actions of this step.
    pub(crate) actions: &'a mut Vec<AgentAction>,
}

impl<R: Rng> Context<'_, R> {
    /// Assigns an id to a new outgoing call.
    pub(crate) fn next_call(&mut self) -> CallId {
        *self.last_call_id += 1;
        CallId(*self.last_call_id)
    }

    /// Replies to a request.
    pub(crate) fn reply(&mut self, call: CallId, response: Response) {
        self.actions.push(AgentAction::Reply { call, response });
    }

    pub(crate) fn count(&mut self, count: Count) {
        self.actions.push(AgentAction::Count(count));
    }

    /// Counts a request that was refused and did not run.
    pub(crate) fn count_refusal(&mut self, reason: Reason) {
        self.count(Count::NotRun(reason));
    }

    /// Counts the final verdict of a job.
    pub(crate) fn count_verdict(&mut self, verdict: &Verdict) {
        self.count(verdict.into());
    }
}
