//! Handling of frames from agents, and recovery of tasks whose agent is lost.

use fulmarpond_core::Time;
use tracing::{debug, info, warn};

use super::Action;
use super::entry::Entry;
use super::held_requests::EndEvidence;
use super::job::TaskState;
use crate::{
    AgentFrame, Checkpoint, EndpointSpeed, EndpointStatus, EntryFrame, Incarnation, JobId, LinkNo,
    Refusal, Working,
};

/// How long a durable job waits for other entries to record ends that a lost agent reported to
/// them, in milliseconds.
const MERGE_WAIT_MS: u64 = 1_000;

impl Entry {
    /// Handles a link opened by an agent.
    pub fn link_up(&mut self, link: LinkNo, out: &mut Vec<Action>) {
        out.push(Action::Send {
            link,
            frame: EntryFrame::Hello {
                name: self.options.name.clone(),
                version: self.version(),
            },
        });
    }

    /// Handles the loss of a link: tasks sent over it may run until their lease has expired.
    pub fn link_down(&mut self, link: LinkNo, now: Time, out: &mut Vec<Action>) {
        if self.peer_link_down(link, now) {
            return;
        }
        let Some(view) = self.fleet.views.remove(&link) else {
            return;
        };
        self.counters.links_lost += 1;
        self.drop_configuration_request(link);
        self.offer_configuration(out);
        self.speeds.mark_outdated();
        let runs_end = view
            .last_status_at
            .after_millis(self.options.lease_times.orphan_ms());
        let runs_end = runs_end.max(now);
        self.attempts.lose_agent(link, runs_end);
        self.membership.lose_agent(link, now);
        // An entry that still reaches the agent may record the ends of its tasks in the store.
        let durable_runs_end = runs_end.after_millis(MERGE_WAIT_MS);
        let long_runs_end = view
            .last_status_at
            .after_millis(self.options.lease_times.adoption_ms());
        let mut affected = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.mark_long_runs_lost(link, &view.name, long_runs_end.max(now)) {
                self.lost_runs.insert((long_runs_end.max(now), id.clone()));
            }
            let mut any_lost = false;
            for task in &mut job.tasks {
                if task.state == TaskState::Sent(link) {
                    let is_durable = job.state.is_some();
                    task.state = TaskState::Lost(if is_durable {
                        durable_runs_end
                    } else {
                        runs_end
                    });
                    any_lost = true;
                }
            }
            if any_lost {
                job.first_sent = None;
                job.has_started |= job.state.is_none();
                affected.push(id.clone());
            }
        }
        warn!(
            agent = view.name,
            heard_ms = now.millis_since(view.last_status_at),
            jobs = affected.len(),
            "link to agent lost"
        );
        for id in affected {
            let is_durable = self.jobs.get(&id).is_some_and(|job| job.state.is_some());
            let runs_end = if is_durable {
                durable_runs_end
            } else {
                runs_end
            };
            self.break_lost_gangs(&id, out);
            self.handle_lost_runs(&id, runs_end, now, out);
        }
    }

    /// Requeues the lost tasks of a job at the given time.
    pub(super) fn requeue_at(&mut self, runs_end: Time, id: JobId) {
        self.lost_runs.insert((runs_end, id));
    }

    /// Schedules the lost tasks of a job to be requeued when their runs have ended, or gives the
    /// job up if it could not finish in time.
    pub(super) fn handle_lost_runs(
        &mut self,
        id: &JobId,
        runs_end: Time,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let critical_path = self.critical_path_ms(&job.route, &job.submission);
        let expected_end = runs_end.after_millis(critical_path);
        let misses_deadline = expected_end > job.useful_until || expected_end > job.deadline;
        if misses_deadline && job.state.is_none() {
            self.give_up(id, Refusal::RunsLost, now, out);
        } else {
            self.lost_runs.insert((runs_end, id.clone()));
        }
    }

    /// Handles a frame from an agent.
    pub fn handle_frame(
        &mut self,
        link: LinkNo,
        frame: AgentFrame,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        match frame {
            AgentFrame::Hello {
                name,
                zone,
                version,
            } => {
                info!(agent = name, zone, "link to agent established");
                let is_evacuated = self.evacuations.contains(&zone);
                self.fleet.add_agent(link, name, zone, version, now);
                self.peers.await_naming(self.settle_latest(now), now);
                if let Some(view) = self.fleet.views.get_mut(&link) {
                    view.is_evacuated = is_evacuated;
                }
                self.offer_configuration(out);
                self.request_newer_configuration(now, out);
                self.send_evacuations(link, out);
                if !self.entries.is_empty() {
                    out.push(Action::Send {
                        link,
                        frame: EntryFrame::Entries(self.entries.clone()),
                    });
                }
            }
            AgentFrame::Configuration { update, age_ms } => {
                self.apply_configuration_update(link, update, age_ms, now, out);
            }
            AgentFrame::ConfigurationVersion(version) => {
                self.handle_held_version(link, version, now, out);
            }
            AgentFrame::RequestConfiguration(held) => self.send_configuration(link, held, out),
            AgentFrame::Endpoint {
                id,
                born,
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
                    let incarnation = Incarnation { id, born };
                    if view.endpoint != incarnation {
                        view.reported_speed = EndpointSpeed::default();
                    }
                    view.endpoint = incarnation;
                    view.service = service;
                    view.capacity = capacity;
                    view.labels = labels;
                    self.speeds.mark_outdated();
                }
            }
            AgentFrame::Status { sent, orders, load } => {
                out.push(Action::Send {
                    link,
                    frame: EntryFrame::Renew { sent },
                });
                self.update_load(link, orders, load, now, out);
            }
            AgentFrame::Started(tasks) => {
                for task in tasks {
                    if let Some(job) = self.jobs.get_mut(&task.job) {
                        job.has_started = true;
                        job.last_start = now;
                    }
                }
            }
            AgentFrame::Saved(saved) => {
                for checkpoint in saved {
                    self.save_checkpoint(checkpoint);
                }
            }
            AgentFrame::Working(updates) => {
                for Working { task, working } in updates {
                    self.set_working(link, &task, working);
                }
            }
            AgentFrame::Ended(ends) => {
                for end in ends {
                    self.attempts.record_end(link, &end.task);
                    self.handle_task_end(link, &end, now, out);
                }
                self.finish_endings(now, out);
                self.release_held(EndEvidence::Reported, now, out);
                self.place_waiting_jobs(now, out);
            }
            AgentFrame::UnacknowledgedEnds(ends) => {
                self.handle_unacknowledged_ends(link, &ends, now, out);
            }
            AgentFrame::Orphaned(tasks) => self.handle_orphaned_runs(link, &tasks, now, out),
            AgentFrame::Evacuations(list) => {
                self.update_evacuations(&list, Some(link), now, out);
            }
            AgentFrame::Cold(remaining_ms) => {
                if let Some(view) = self.fleet.views.get_mut(&link) {
                    view.cold_until = now.after_millis(u64::from(remaining_ms));
                }
            }
            AgentFrame::Entries(entries) => self.membership.set(link, entries),
            AgentFrame::Peer(frame) => self.handle_peer_frame(link, frame, now, out),
            AgentFrame::Crashed(crash) => self.handle_crash(link, &crash, now, out),
            AgentFrame::Speed(speed) => {
                if let Some(view) = self.fleet.views.get_mut(&link) {
                    view.reported_speed = speed;
                    self.speeds.mark_outdated();
                }
            }
        }
    }

    /// Updates the load of an agent, and places waiting tasks if it is ready.
    pub(super) fn update_load(
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
        view.update(orders, load, now);
        if view.takes_tasks() && !self.unplaced.is_empty() {
            self.place_waiting_jobs(now, out);
        }
    }

    /// Saves the checkpoint of a task; for a durable job, also in the store.
    fn save_checkpoint(&mut self, checkpoint: Checkpoint) {
        let Checkpoint { task: key, value } = checkpoint;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        // Checkpoints of long-running tasks serve only the next run, and storing them would take a
        // write for each task every few seconds.
        if !job.is_long_running(key.step)
            && let Some(state) = &mut job.state
            && let Some(step) = state.steps.get_mut(usize::from(key.step))
        {
            step.set_checkpoint(key.index, value.clone());
            self.ledger.change(&key.job, state.clone());
        }
        if job.is_gang(key.step) {
            job.propagate_checkpoint(key.step, &value);
        } else if let Some(task) = job.task(key.step, key.index) {
            task.checkpoint = Some(value);
        }
    }

    /// Closes links over which no status has arrived within the link timeout.
    pub(super) fn close_silent_links(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.options.lease_times.link_ms;
        let views = self.fleet.views.iter();
        let silent: Vec<LinkNo> = views
            .filter(|(_, view)| now.millis_since(view.last_status_at) > limit)
            .map(|(&link, _)| link)
            .collect();
        for link in silent {
            out.push(Action::Close { link });
            self.link_down(link, now, out);
        }
    }

    /// Retries tasks whose lost runs have ended or whose restart delay is over.
    pub(super) fn retry_lost_tasks(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((runs_end, id)) = self.lost_runs.first().cloned() {
            if runs_end > now {
                return;
            }
            self.lost_runs.pop_first();
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let retried = job.requeue_lost_tasks(now);
            self.counters.retried += u64::from(retried);
            info!(job = %id, tasks = retried, kept = job.state.is_some(), "lost runs are over");
            if job.is_confirming()
                && let Some(state) = &job.state
            {
                // Another entry may have recorded an end meanwhile. Writing the new epoch reveals
                // it, and the tasks are placed once the store has accepted the epoch.
                self.ledger.change(&id, state.clone());
            }
            self.place(&id, now, out);
        }
    }
}
