//! Simulated gangs: tasks that do work only while all members of their gang run.

use fulmarpond_dispatch::agent::EndReason;
use fulmarpond_dispatch::{JobId, TaskKey};

use super::simulation::{Event, Simulation};

/// Time that a member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// Identifies a run of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GangKey {
    job: JobId,
    step: u16,
    run: u32,
}

impl Simulation {
    /// Returns the active gang that the current run of a task belongs to.
    pub(super) fn gang_of(&self, agent: usize, task: &TaskKey) -> Option<GangKey> {
        let run = self.endpoints[agent].runs.get(task)?.number;
        let key = GangKey {
            job: task.job.clone(),
            step: task.step,
            run,
        };
        self.active_gangs.contains_key(&key).then_some(key)
    }

    pub(super) fn member_started(&mut self, agent: usize, task: &TaskKey) {
        let run = self.endpoints[agent].runs[task].number;
        let key = GangKey {
            job: task.job.clone(),
            step: task.step,
            run,
        };
        let demand = self.demand_of(&task.job);
        let members = self.active_gangs.entry(key.clone()).or_default();
        members.push((agent, task.clone()));
        if members.len() < usize::from(demand.tasks) {
            self.schedule_in_ms(GANG_TIMEOUT_MS, Event::GangTimesOut(key));
            return;
        }
        let ends = self.now.after_millis(u64::from(demand.run_ms));
        for (agent, task) in members.clone() {
            if let Some(run) = self.endpoints[agent].runs.get_mut(&task) {
                run.started_at = self.now;
                run.ends_at = ends;
            }
            self.schedule_at(ends, Event::CheckEndpoint(agent));
        }
    }

    /// Ends the members of a gang whose other members did not start in time.
    pub(super) fn gang_times_out(&mut self, gang: &GangKey) {
        let Some(members) = self.active_gangs.get(gang) else {
            return;
        };
        if members.len() < usize::from(self.demand_of(&gang.job).tasks) {
            self.history.incomplete_gang_runs += 1;
            self.end_gang(gang, EndReason::Cut);
        }
    }

    /// Ends the remaining members of a gang after one member has ended.
    pub(super) fn end_gang(&mut self, gang: &GangKey, reason: EndReason) {
        let others = if reason == EndReason::Done {
            EndReason::Done
        } else {
            EndReason::Cut
        };
        for (agent, task) in self.active_gangs.remove(gang).unwrap_or_default() {
            let runs = &self.endpoints[agent].runs;
            if runs.get(&task).is_some_and(|run| run.number == gang.run) {
                self.end_run(agent, &task, others);
            }
        }
    }
}
