//! Handover of tombstones and answers from a stopping agent to its heir.

use rand::Rng;

use super::home::Home;
use super::job::{Job, Phase};
use crate::Time;
use crate::agent::Context;
use crate::link::Handover;
use crate::machine::AgentId;

impl Home {
    /// Returns the tombstones and answers to hand over to an heir.
    pub(crate) fn create_handover(&self, own_id: &AgentId, now: Time) -> Handover {
        Handover {
            from: own_id.clone(),
            memory: self.tombstones.export(now),
            answers: self
                .ended_jobs
                .values()
                .filter_map(|job| job.answer().cloned())
                .collect(),
        }
    }

    /// Adds the tombstones and answers of a stopping agent.
    pub(crate) fn merge_handover<R: Rng>(&mut self, ctx: &mut Context<'_, R>, handover: Handover) {
        for record in handover.memory {
            self.tombstones.merge(record, ctx.now);
        }
        for answer in handover.answers {
            let id = answer.job.clone();
            if self.has_job(&id) {
                continue;
            }
            let mut job = Job::new(id.clone(), String::new(), Vec::new(), ctx.now, ctx.now);
            job.expires_at = ctx.now.after_millis(self.options.answer_retention_ms);
            job.phase = Phase::Ended(answer);
            self.ended_jobs.insert(id, job);
        }
    }
}
