//! What agents tell, and what becomes of tasks whose agent is lost.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::entry::Entry;
use super::job::TaskState;
use super::{Action, Answer, StepKey};
use crate::{
    AgentFrame, Checkpoint, EndpointStatus, EntryFrame, JobId, LinkNo, Outcome, Refusal, TaskEnd,
    Working,
};

/// How long an entry waits for ends at an agent that it has lost, in milliseconds.
const MERGE_MS: u64 = 1_000;

/// Run times at endpoints that are slower than this tell nothing about the work, in percent.
const TELLING_SLOWNESS: u32 = 200;

impl Entry {
    /// Gives the configuration to an agent of the own zone that has an older one.
    pub(super) fn give_configuration(&mut self, link: LinkNo, out: &mut Vec<Action>) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let Some(view) = self.fleet.views.get_mut(&link) else {
            return;
        };
        if view.zone != self.options.zone || view.version >= configuration.version {
            return;
        }
        view.version = configuration.version;
        out.push(Action::Send {
            link,
            frame: EntryFrame::Configuration(configuration.clone()),
        });
    }

    /// Notes that an agent has opened a link.
    pub fn link_up(&mut self, link: LinkNo, out: &mut Vec<Action>) {
        out.push(Action::Send {
            link,
            frame: EntryFrame::Hello {
                name: self.options.name.clone(),
                version: self.version(),
            },
        });
    }

    /// Notes that a link is closed: what was sent there may run until its lease has lapsed.
    pub fn link_down(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        let Some(view) = self.fleet.views.remove(&link) else {
            return;
        };
        self.counters.links_lost += 1;
        let over = view.heard.after_millis(self.options.bounds.orphan_ms());
        let over = over.max(now);
        // Another entry may note what has ended there.
        let over_kept = over.after_millis(MERGE_MS);
        let over_long = view.heard.after_millis(self.options.bounds.adoption_ms());
        let mut hit = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.lose_long_runs(link, &view.name, over_long.max(now)) {
                self.lost.insert((over_long.max(now), id.clone()));
            }
            let mut any = false;
            for task in &mut job.tasks {
                if task.state == TaskState::Sent(link) {
                    let kept = job.state.is_some();
                    task.state = TaskState::Lost(if kept { over_kept } else { over });
                    any = true;
                }
            }
            if any {
                job.begun |= job.state.is_none();
                hit.push(id.clone());
            }
        }
        warn!(
            agent = view.name,
            heard_ms = now.millis_since(view.heard),
            jobs = hit.len(),
            "link to agent lost"
        );
        for id in hit {
            let kept = self.jobs.get(&id).is_some_and(|job| job.state.is_some());
            let over = if kept { over_kept } else { over };
            self.break_lost_gangs(&id, out);
            self.job_lost(&id, over, now, out);
        }
    }

    /// Places the tasks of a job again when its lost runs are over.
    pub(super) fn wait_for_lost(&mut self, over: Time, id: JobId) {
        self.lost.insert((over, id));
    }

    /// Waits for the lost runs of a job to be over, or gives it up if that takes too long.
    pub(super) fn job_lost(&mut self, id: &JobId, over: Time, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let chain = self.longest_chain(&job.route, &job.submission);
        let end = over.after_millis(chain);
        let late = end > job.useful_until || end > job.deadline;
        if late && job.state.is_none() {
            self.give_up(id, Refusal::RunsLost, now, out);
        } else {
            self.lost.insert((over, id.clone()));
        }
    }

    /// Takes a frame of an agent.
    pub fn frame(&mut self, link: LinkNo, frame: AgentFrame, now: Time, out: &mut Vec<Action>) {
        match frame {
            AgentFrame::Hello {
                name,
                zone,
                version,
            } => {
                info!(agent = name, zone, "link to agent established");
                self.fleet.joined(link, name, zone, version, now);
                self.give_configuration(link, out);
                if !self.entries.is_empty() {
                    out.push(Action::Send {
                        link,
                        frame: EntryFrame::Entries(self.entries.clone()),
                    });
                }
            }
            AgentFrame::Configuration(configuration) => self.configure(configuration, out),
            AgentFrame::Endpoint {
                id,
                service,
                capacity,
                labels,
            } => {
                if let Some(view) = self.fleet.views.get_mut(&link) {
                    debug!(
                        agent = view.name,
                        service,
                        cpu = capacity.cpu,
                        "endpoint announced"
                    );
                    view.endpoint = id;
                    view.service = service;
                    view.capacity = capacity;
                    view.labels = labels;
                }
            }
            AgentFrame::Status { sent, orders, load } => {
                out.push(Action::Send {
                    link,
                    frame: EntryFrame::Renew { sent },
                });
                self.status(link, orders, load, now, out);
            }
            AgentFrame::Started(tasks) => {
                for task in tasks {
                    if let Some(job) = self.jobs.get_mut(&task.job) {
                        job.begun = true;
                        job.last_start = now;
                    }
                }
            }
            AgentFrame::Saved(saved) => {
                for checkpoint in saved {
                    self.saved(checkpoint);
                }
            }
            AgentFrame::Working(news) => {
                for Working { task, working } in news {
                    self.note_working(link, &task, working);
                }
            }
            AgentFrame::Ended(ends) => {
                for end in ends {
                    self.ended(link, &end, now, out);
                }
            }
            AgentFrame::Held(ends) => self.held(link, &ends, now, out),
            AgentFrame::Unowned(tasks) => self.unowned(link, &tasks, now, out),
        }
    }

    pub(super) fn status(
        &mut self,
        link: LinkNo,
        orders: u64,
        load: EndpointStatus,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.fleet.views.get_mut(&link) else {
            return;
        };
        if view.load.stalled != load.stalled || view.load.ready != load.ready {
            info!(
                agent = view.name,
                ready = load.ready,
                stalled = load.stalled,
                slowness = load.slowness,
                failures = load.failures,
                "agent changed"
            );
        }
        view.status(orders, load, now);
        if load.ready && !self.unplaced.is_empty() {
            self.place_waiting(now, out);
        }
    }

    /// Takes the progress that a task has saved; a kept job has it in the store as well.
    fn saved(&mut self, checkpoint: Checkpoint) {
        let Checkpoint { task: key, value } = checkpoint;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        // What a long-running task has saved is of use to its next run only, and would take a write
        // for each task every few seconds.
        if !job.is_long_running(key.step)
            && let Some(state) = &mut job.state
            && let Some(step) = state.steps.get_mut(usize::from(key.step))
        {
            step.set_checkpoint(key.index, value.clone());
            self.ledger.change(&key.job, state.clone());
        }
        if job.is_gang(key.step) {
            job.share_checkpoint(key.step, &value);
        } else if let Some(task) = job.task(key.step, key.index) {
            task.checkpoint = Some(value);
        }
    }

    /// Takes the end of a task, and goes on with its job.
    pub(super) fn ended(&mut self, link: LinkNo, end: &TaskEnd, now: Time, out: &mut Vec<Action>) {
        let id = &end.task.job;
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.is_long_running(end.task.step)) {
            self.long_run_ended(link, end, now);
            return;
        }
        if !self.note_outcome(link, end) {
            return;
        }
        if end.outcome == Outcome::NoTicket
            && let Some(view) = self.fleet.views.get(&link)
        {
            let step = StepKey {
                job: id.clone(),
                step: end.task.step,
            };
            self.advice.reject(&step, &view.endpoint);
        }
        let goes_on = match end.outcome {
            Outcome::Done => self.task_done(link, end, now, out),
            _ => self.task_again(link, end, now, out),
        };
        if end.outcome != Outcome::Done
            && self
                .jobs
                .get(id)
                .is_some_and(|job| job.is_gang(end.task.step))
        {
            self.break_gang(id, end.task.step, out);
        }
        if goes_on {
            self.place(id, now, out);
        }
    }

    /// Notes how a task ended; returns whether it was expected from this link.
    fn note_outcome(&mut self, link: LinkNo, end: &TaskEnd) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let gang = job.is_gang(end.task.step);
        let Some(task) = job.task(end.task.step, end.task.index) else {
            return false;
        };
        if task.state != TaskState::Sent(link) {
            return false;
        }
        task.state = TaskState::Waiting;
        match end.outcome {
            Outcome::Done => task.state = TaskState::Done,
            Outcome::Failed if !gang => {
                task.failures += 1;
                task.failed_run = end.run;
            }
            Outcome::Failed => {}
            Outcome::Aborted => task.aborts += 1,
            Outcome::Unavailable | Outcome::NoRoom | Outcome::NoTicket => {}
        }
        if job.is_gang(end.task.step) {
            job.share_end(end);
        }
        let final_end = matches!(end.outcome, Outcome::Done | Outcome::Failed);
        job.begun |= final_end || end.outcome == Outcome::Aborted;
        if final_end && job.state.is_some() {
            Self::note_end(&mut self.ledger, &mut self.kept, job, link, end);
        }
        true
    }

    /// Learns from a task that is done; returns whether its job goes on.
    fn task_done(&mut self, link: LinkNo, end: &TaskEnd, now: Time, out: &mut Vec<Action>) -> bool {
        let view = self.fleet.views.get(&link);
        let usual = view.is_some_and(|view| view.load.slowness < TELLING_SLOWNESS);
        let Some(job) = self.jobs.get(&end.task.job) else {
            return false;
        };
        if usual && end.elapsed > 0 {
            let step = &job.submission.steps[usize::from(end.task.step)];
            self.estimates
                .observe(&job.route.name, step.estimate, end.elapsed);
        }
        if job.is_done() {
            self.finish(&end.task.job, Answer::Completed, now, out);
            return false;
        }
        true
    }

    /// Decides what becomes of a task that is not done; returns whether it is placed again.
    fn task_again(
        &mut self,
        link: LinkNo,
        end: &TaskEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let id = &end.task.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        // Members that are stopped with their gang say nothing about their agents, and neither does
        // a ticket that is not valid any more.
        let first = end.outcome != Outcome::NoTicket && !job.broken.contains(&end.task.step)
            || end.outcome == Outcome::Failed;
        if first {
            job.avoided.push(link);
        }
        let (kept, most) = (job.state.is_some(), job.route.attempts);
        let task = job.task(end.task.step, end.task.index);
        let failures = task.map_or(0, |task| task.failures);
        self.counters.retried += 1;
        info!(
            task = %end.task,
            outcome = ?end.outcome,
            failures,
            agent = self.fleet.name(link),
            "task is placed again"
        );
        if failures >= most {
            self.finish(id, Answer::Failed, now, out);
            return false;
        }
        kept || !self.withdraw(id, now, out)
    }

    /// Calls a job back that missed its objective before any of its tasks began: its room is of
    /// more use to jobs that can still meet theirs. Returns whether the job is called back.
    pub(super) fn withdraw(&mut self, id: &JobId, now: Time, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if job.begun || now < job.start_by {
            return false;
        }
        let links = job.links();
        if links.is_empty() {
            let id = id.clone();
            self.give_up(&id, Refusal::Overloaded, now, out);
            return true;
        }
        if !job.withdrawn {
            job.withdrawn = true;
            for link in links {
                let frame = EntryFrame::Withdraw(id.clone());
                out.push(Action::Send { link, frame });
            }
        }
        true
    }

    pub(super) fn close_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.options.bounds.link_ms;
        let views = self.fleet.views.iter();
        let silent: Vec<LinkNo> = views
            .filter(|(_, view)| now.millis_since(view.heard) > limit)
            .map(|(&link, _)| link)
            .collect();
        for link in silent {
            out.push(Action::Close { link });
            self.link_down(link, now, out);
        }
    }

    /// Places tasks again whose lost runs are over.
    pub(super) fn release_lost(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((over, id)) = self.lost.first().cloned() {
            if over > now {
                return;
            }
            self.lost.pop_first();
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let retried = job.release_lost(now);
            self.counters.retried += u64::from(retried);
            info!(job = %id, tasks = retried, kept = job.state.is_some(), "lost runs are over");
            if job.is_confirming()
                && let Some(state) = &job.state
            {
                // An end may have been noted unseen; the store tells when it takes the new epoch.
                self.ledger.change(&id, state.clone());
            }
            self.place(&id, now, out);
        }
    }
}
