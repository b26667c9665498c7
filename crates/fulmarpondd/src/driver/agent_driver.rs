//! Performs the actions of an agent.

use std::sync::mpsc::SyncSender;
use std::sync::{Arc, RwLock};
use std::time::Instant;

use fulmarpond_core::Time;
use fulmarpond_core::agent::{Agent, AgentAction, AgentInput, RunOutcome};
use fulmarpond_core::contract::{Reason, Refusal};
use fulmarpond_core::link::{CallId, LinkError, Response};
use tracing::info;

use super::{Driver, Flow, Links};
use crate::metrics::set_gauge;
use crate::slots::{Run, Slots};

/// A snapshot of the state of an agent for other threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct AgentStatus {
    /// Whether the agent accepts new work.
    pub(crate) ready: bool,
    /// Whether the agent is stopping.
    pub(crate) draining: bool,
}

/// Performs the actions of an agent.
pub(crate) struct AgentDriver {
    pub(crate) links: Links<AgentInput>,
    pub(crate) slots: Slots,
    pub(crate) core: SyncSender<AgentInput>,
    pub(crate) status: Arc<RwLock<AgentStatus>>,
}

fn response_input(call: CallId, result: Result<Response, LinkError>) -> AgentInput {
    AgentInput::Response { call, result }
}

impl AgentDriver {
    fn start(&mut self, run: Run) {
        if let Err(run) = self.slots.start(run) {
            let refusal = Refusal::new(Reason::Overloaded, 0);
            let outcome = RunOutcome::NotStarted(refusal);
            // This thread empties the ring, so a blocking send to a full ring would deadlock.
            let _ = self.core.try_send(AgentInput::Ended { run, outcome });
        }
    }
}

impl Driver for AgentDriver {
    type Role = Agent;

    fn tick_input() -> AgentInput {
        AgentInput::Tick
    }

    fn perform(&mut self, action: AgentAction) -> Flow {
        match action {
            AgentAction::Reply { call, response } => self.links.reply(call, response),
            AgentAction::Call {
                call,
                addr,
                envelope,
                deadline,
            } => {
                self.links
                    .call(call, addr, envelope, deadline, response_input);
            }
            AgentAction::Start {
                run,
                endpoint,
                job,
                task,
                kind,
                payload,
                deadline,
            } => {
                let deadline = Instant::now() + self.links.clock.until(deadline);
                self.start(Run {
                    run,
                    endpoint,
                    job,
                    task,
                    kind,
                    payload,
                    deadline,
                });
            }
            AgentAction::Count(count) => self.links.metrics.count(count),
            AgentAction::Stopped => {
                info!("all work is finished and handed over");
                return Flow::Stop;
            }
        }
        Flow::Continue
    }

    fn publish(&self, role: &Agent, now: Time) {
        self.links.publish();
        let metrics = &self.links.metrics;
        let load = role.runner().load(now);
        set_gauge(&metrics.slots, u64::from(load.slots));
        set_gauge(&metrics.free, u64::from(load.free));
        set_gauge(&metrics.queued, u64::from(load.queued));
        set_gauge(&metrics.waiting, role.home().waiting_task_count());
        set_gauge(&metrics.open, role.home().open_job_count() as u64);
        set_gauge(&metrics.remembered, role.home().tombstone_count() as u64);
        metrics.set_versions(role.config_version(), role.roster());
        if let Ok(mut status) = self.status.write() {
            status.ready = role.is_ready(now);
            status.draining = role.is_draining();
        }
    }
}
