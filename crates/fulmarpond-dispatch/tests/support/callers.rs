//! Simulated callers: they submit jobs, give up at a time-out and resend.

use std::rc::Rc;

use fulmarpond_dispatch::entry::{Answer, RequestNo, Route, Step, Submission};
use fulmarpond_dispatch::{JobId, Needs, TaskKey};
use rand::RngExt;

use super::caller::{Demand, Reply};
use super::world::{Event, Job, World};

/// Tolerance for a start before its scheduled time, in milliseconds.
const EARLY_MS: u64 = 250;

/// Wall-clock time at the origin of virtual time, in milliseconds since 1970.
const WALL_MS: u64 = 1_700_000_000_000;

/// Memory demand of a task, in megabytes.
pub(super) const TASK_MEMORY: u32 = 64;

impl World {
    /// Schedules the first attempt of a new job and returns the id of the job.
    pub fn submit_at(&mut self, millis: u64, demand: Demand) -> JobId {
        let id = JobId(format!("{:016x}", self.jobs.len()));
        let first = self.now.after_millis(millis);
        let job = Job {
            demand,
            first,
            attempt: 0,
            at: None,
            reply: None,
            due: self.wall() + millis,
        };
        self.jobs.insert(id.clone(), job);
        self.needs.insert(id.clone(), demand);
        self.after_ms(millis, Event::Submit(id.clone(), 1));
        id
    }

    /// Returns the time until the first attempt of a scheduled job, in milliseconds.
    pub fn first_ms(&self, job: &JobId) -> u64 {
        self.jobs[job].first.millis_since(self.now)
    }

    pub fn reply(&self, job: &JobId) -> Option<Reply> {
        self.jobs.get(job).and_then(|job| job.reply)
    }

    /// Returns the fraction of the given jobs that completed within their latency objective.
    pub fn on_time(&self, jobs: &[JobId]) -> f64 {
        let good = jobs.iter().filter(|id| {
            let objective = 60.0 + 1.6 * f64::from(self.jobs[id].demand.run_ms);
            self.reply(id).is_some_and(|reply| {
                reply.answer == Answer::Completed && reply.age_ms as f64 <= objective
            })
        });
        good.count() as f64 / jobs.len().max(1) as f64
    }

    pub(super) fn answer(&mut self, entry: usize, request: RequestNo, answer: Answer) {
        let life = self.entries[entry].life;
        if let Some(job) = self.cancels.remove(&(entry, life, request)) {
            self.cancel_answered(job, answer);
            return;
        }
        let Some((id, attempt)) = self.requests.remove(&(entry, life, request)) else {
            return;
        };
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.history.answered(&id, job.demand.tasks, answer);
        if job.attempt != attempt {
            return;
        }
        job.at = None;
        job.reply = Some(Reply {
            answer,
            age_ms: now.millis_since(job.first),
        });
        if matches!(answer, Answer::MayHaveRun { .. }) {
            let resend = self.options.resend_ms;
            self.after_ms(resend, Event::Submit(id, attempt + 1));
        }
    }

    pub(super) fn submit(&mut self, id: &JobId, attempt: u32) {
        let up: Vec<usize> = (0..self.entries.len())
            .filter(|&entry| self.entries[entry].core.is_some())
            .collect();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if up.is_empty() || job.attempt >= attempt {
            return;
        }
        let entry = up[self.rng.random_range(0..up.len())];
        self.next += 1;
        let request = RequestNo(self.next);
        let life = self.entries[entry].life;
        job.attempt = attempt;
        job.at = Some((entry, life, request));
        let (demand, due) = (job.demand, job.due);
        self.requests
            .insert((entry, life, request), (id.clone(), attempt));
        self.history.sent(id);
        let patience = self.options.patience_ms;
        self.after_ms(patience, Event::Left(id.clone(), attempt));
        if self.entries[entry].paused > self.now {
            // A paused entry does not read the request; the caller gives up first.
            self.requests.remove(&(entry, life, request));
            return;
        }
        let submission = Submission {
            spec: "spec".to_owned(),
            steps: vec![Step {
                count: demand.tasks,
                needs: Needs {
                    cpu: demand.cpu,
                    memory: TASK_MEMORY,
                    accelerators: 0,
                },
                estimate: demand.run_ms,
                after: Vec::new(),
                label: None,
                affinity: None,
                spread: None,
                gang: demand.gang,
                colocated: false,
                long_running: demand.long_running,
                may_miss: demand.may_miss,
            }],
            patience,
            kept: self.options.kept,
            repeat: demand.repeat(due),
        };
        let id = id.clone();
        let path = format!("/{}/{id}", demand.route);
        self.with_entry(entry, |core, now, out| {
            let configuration = core.configuration().expect("the entry has a configuration");
            let (route, _) = configuration
                .route("host", &path)
                .expect("the path matches a route");
            let route: Rc<Route> = route;
            core.submit(request, id, &route, submission, now, out);
        });
    }

    /// Abandons an attempt whose caller timed out, and schedules the next one.
    pub(super) fn leave(&mut self, id: &JobId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.attempt != attempt {
            return;
        }
        if let Some((entry, life, request)) = job.at.take() {
            self.requests.remove(&(entry, life, request));
            if self.entries[entry].life == life && self.entries[entry].paused <= self.now {
                self.with_entry(entry, |core, now, out| core.abandoned(request, now, out));
            }
            let resend = self.options.resend_ms;
            self.after_ms(resend, Event::Submit(id.clone(), attempt + 1));
        }
    }

    /// Records a violation if an occurrence starts before its scheduled time, and updates the
    /// longest delay of a start.
    pub(super) fn check_due(&mut self, task: &TaskKey) {
        let (_, number) = task.job.parts();
        let job = &self.jobs[&task.job.occurrence(0)];
        let Some((_, after, interval)) = job.demand.times else {
            return;
        };
        let due = job.due + after + interval * u64::from(number);
        let wall = self.wall();
        if wall + EARLY_MS < due {
            self.history.broken.push(format!(
                "{task} started {} ms before its scheduled time",
                due - wall
            ));
        }
        let late = wall.saturating_sub(due);
        self.history.latest = self.history.latest.max(late);
    }

    /// Returns the properties of a job, which all of its occurrences share.
    pub(super) fn demand(&self, job: &JobId) -> Demand {
        self.needs[&job.occurrence(0)]
    }

    /// Returns the wall-clock time, in milliseconds since 1970.
    pub fn wall(&self) -> u64 {
        WALL_MS + self.now.as_millis()
    }
}
