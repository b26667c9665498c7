//! Reports about tasks to their entries.

use super::Action;
use super::agent::Agent;
use crate::{AgentFrame, Checkpoint, LinkNo, Outcome, TaskEnd, TaskKey, Working};

impl Agent {
    pub(super) fn report_end(
        &mut self,
        link: LinkNo,
        task: TaskKey,
        outcome: Outcome,
        run: u32,
        elapsed: u32,
    ) {
        let end = TaskEnd {
            task,
            outcome,
            run,
            elapsed,
        };
        self.pending_ends.entry(link).or_default().push(end);
    }

    /// Records a checkpoint of a run, and reports it if it is new.
    pub(super) fn report_checkpoint(&mut self, task: &TaskKey, value: &str) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if run.checkpoint.as_deref() == Some(value) {
            return;
        }
        run.checkpoint = Some(value.to_owned());
        let saved = Checkpoint {
            task: task.clone(),
            value: value.to_owned(),
        };
        self.pending_checkpoints
            .entry(run.link)
            .or_default()
            .push(saved);
    }

    /// Reports to the entry whether a long-running task is working.
    pub(super) fn report_working(&mut self, task: &TaskKey) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let update = Working {
            task: task.clone(),
            working: run.progress.is_complete(),
        };
        self.pending_working
            .entry(run.link)
            .or_default()
            .push(update);
    }

    /// Sends all pending reports to the entries.
    pub(super) fn send_reports(&mut self, out: &mut Vec<Action>) {
        for (link, starts) in std::mem::take(&mut self.pending_starts) {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Started(starts),
            });
        }
        for (link, saved) in std::mem::take(&mut self.pending_checkpoints) {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Saved(saved),
            });
        }
        for (link, working) in std::mem::take(&mut self.pending_working) {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Working(working),
            });
        }
        for (link, ends) in std::mem::take(&mut self.pending_ends) {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Ended(ends),
            });
        }
    }
}
