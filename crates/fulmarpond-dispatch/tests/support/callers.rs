//! Simulated callers: they submit jobs, give up at a time-out and resend.

use std::rc::Rc;

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::Route;
use fulmarpond_dispatch::entry::{Answer, Arrival, RequestNo, Step, Submission};
use fulmarpond_dispatch::{JobId, Resources, TaskKey};

use super::demand::{Demand, Reply};
use super::simulation::{Event, Job, Simulation};

/// Tolerance for a start before its scheduled time, in milliseconds.
const EARLY_TOLERANCE_MS: u64 = 250;

/// Unix time at the origin of virtual time, in milliseconds.
const UNIX_ORIGIN_MS: u64 = 1_700_000_000_000;

/// Longest time that an entry is busy with a payload, in milliseconds.
const MAX_CODEC_MS: u64 = 200;

/// Memory demand of a task, in megabytes.
pub(super) const TASK_MEMORY: u32 = 64;

impl Simulation {
    /// Schedules the first attempt of a new job and returns the id of the job.
    pub fn submit_at(&mut self, millis: u64, demand: Demand) -> JobId {
        let id = JobId(format!("{:016x}", self.jobs.len()));
        let first_sent = self.now.after_millis(millis);
        let job = Job {
            demand,
            first_sent,
            attempt: 0,
            pending: None,
            reply: None,
            first_sent_unix_ms: self.unix_ms() + millis,
        };
        self.jobs.insert(id.clone(), job);
        self.demands.insert(id.clone(), demand);
        self.schedule_in_ms(millis, Event::Submit(id.clone(), 1));
        id
    }

    /// Returns the time until the first attempt of a scheduled job, in milliseconds.
    pub fn ms_until_first_attempt(&self, job: &JobId) -> u64 {
        self.jobs[job].first_sent.millis_since(self.now)
    }

    pub fn reply(&self, job: &JobId) -> Option<Reply> {
        self.jobs.get(job).and_then(|job| job.reply)
    }

    /// Returns how long callers wait for an answer, in milliseconds.
    pub const fn timeout_ms(&self) -> u64 {
        self.options.timeout_ms
    }

    /// Returns the fraction of the given jobs that completed within their latency objective.
    pub fn on_time_share(&self, jobs: &[JobId]) -> f64 {
        let completed_on_time = jobs.iter().filter(|id| {
            let objective = 60.0 + 1.6 * f64::from(self.jobs[id].demand.run_ms);
            self.reply(id).is_some_and(|reply| {
                reply.answer == Answer::Completed && reply.age_ms as f64 <= objective
            })
        });
        completed_on_time.count() as f64 / jobs.len().max(1) as f64
    }

    pub(super) fn answer_request(&mut self, entry: usize, request: RequestNo, answer: Answer) {
        let generation = self.entries[entry].generation;
        if let Some(job) = self.pending_cancels.remove(&(entry, generation, request)) {
            self.record_cancel_answer(job, answer);
            return;
        }
        let Some((id, attempt)) = self.pending_requests.remove(&(entry, generation, request))
        else {
            return;
        };
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.history.record_answer(&id, &job.demand, answer);
        if job.attempt != attempt {
            return;
        }
        job.pending = None;
        job.reply = Some(Reply {
            answer,
            age_ms: now.millis_since(job.first_sent),
        });
        if matches!(answer, Answer::MayHaveRun { .. }) {
            let resend_ms = self.options.resend_ms;
            self.schedule_in_ms(resend_ms, Event::Submit(id, attempt + 1));
        }
    }

    /// Sends an attempt to a random entry that is up, and schedules its time-out.
    pub(super) fn submit_attempt(&mut self, id: &JobId, attempt: u32) {
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|&entry| {
                let core = self.entries[entry].core.as_ref();
                core.is_some_and(|core| core.configuration().is_some())
                    && !self.is_out_of_balance(entry)
            })
            .collect();
        let is_due = self.jobs.get(id).is_some_and(|job| {
            let most = job.demand.max_attempts;
            job.attempt < attempt && (most == 0 || attempt <= most)
        });
        if running.is_empty() || !is_due {
            return;
        }
        let entry = self.choose_entry(id, attempt, &running);
        let paused_until = self.entries[entry].paused_until;
        if self.options.entry_size.is_some()
            && paused_until.remaining_millis(self.now) < MAX_CODEC_MS
            && paused_until > self.now
        {
            // The entry is only busy with a payload.
            self.schedule_at(paused_until, Event::Submit(id.clone(), attempt));
            return;
        }
        self.last_id += 1;
        let request = RequestNo(self.last_id);
        let generation = self.entries[entry].generation;
        if let Some(job) = self.jobs.get_mut(id) {
            job.attempt = attempt;
            job.pending = Some((entry, generation, request));
        }
        self.pending_requests
            .insert((entry, generation, request), (id.clone(), attempt));
        self.history.record_attempt(id);
        let patience_ms = self.patience_ms(id);
        self.schedule_in_ms(patience_ms, Event::AttemptTimesOut(id.clone(), attempt));
        if self.queue_request((entry, generation, request), id) {
            return;
        }
        if self.entries[entry].paused_until > self.now {
            // A paused entry does not read the request; the caller gives up first.
            self.pending_requests.remove(&(entry, generation, request));
            return;
        }
        // Its connection has just carried another request.
        self.read_request(entry, request, id, self.now, 0);
    }

    /// Hands a request to an entry, with the earliest time at which it may have been sent, as far as
    /// the entry knows, and for how long the network may have held it back, in milliseconds.
    pub(super) fn read_request(
        &mut self,
        entry: usize,
        request: RequestNo,
        id: &JobId,
        earliest_sent: Time,
        held_back: u64,
    ) {
        let job = &self.jobs[id];
        let (demand, first_sent_unix_ms) = (job.demand, job.first_sent_unix_ms);
        let estimate = self.estimate_ms(id, demand.run_ms);
        let step = Step {
            count: demand.tasks,
            needs: Resources {
                cpu: demand.cpu,
                memory: TASK_MEMORY,
                accelerators: 0,
            },
            estimate,
            after: Vec::new(),
            label: demand.label.map(str::to_owned),
            affinity: None,
            spread: None,
            gang: demand.gang,
            colocated: false,
            long_running: demand.long_running,
            may_miss: demand.may_miss,
        };
        let second = demand.second_label.map(|label| Step {
            count: 1,
            label: (!label.is_empty()).then(|| label.to_owned()),
            ..step.clone()
        });
        let submission = Submission {
            spec: "spec".to_owned(),
            steps: [step].into_iter().chain(second).collect(),
            timeout_ms: self.patience_ms(id),
            is_durable: self.options.is_durable && !demand.best_effort,
            repeat: demand.repeat(first_sent_unix_ms),
        };
        let max_age = self.now.millis_since(earliest_sent);
        let arrival = Arrival {
            request,
            max_age,
            held_back,
        };
        let id = id.clone();
        let path = format!("/{}/{id}", demand.route);
        if self.stops.hides_routes(entry, self.now) {
            self.with_entry(entry, |core, now, out| {
                core.refuse_unrouted(request, "host", &id.0, now, out);
            });
            return;
        }
        self.with_entry(entry, |core, now, out| {
            let configuration = core.configuration().expect("the entry has a configuration");
            let (route, _) = configuration
                .route("host", &path)
                .expect("the path matches a route");
            let route: Rc<Route> = route;
            core.submit(arrival, id, &route, submission, now, out);
        });
    }

    /// Returns how long the caller of a job waits for an answer, in milliseconds.
    fn patience_ms(&self, id: &JobId) -> u64 {
        let patience_ms = self.jobs[id].demand.patience_ms;
        patience_ms.unwrap_or(self.options.timeout_ms)
    }

    /// Abandons an attempt whose caller timed out, and schedules the next one.
    pub(super) fn attempt_times_out(&mut self, id: &JobId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.attempt != attempt {
            return;
        }
        if let Some(request) = job.pending.take() {
            self.pending_requests.remove(&request);
            self.caller_left(request);
            let resend_ms = self.options.resend_ms;
            self.schedule_in_ms(resend_ms, Event::Submit(id.clone(), attempt + 1));
        }
    }

    /// Records a violation if an occurrence starts before its scheduled time, and updates the
    /// longest delay of a start.
    pub(super) fn check_start_time(&mut self, task: &TaskKey) {
        let (_, number) = task.job.parts();
        let job = &self.jobs[&task.job.occurrence(0)];
        let Some((_, after, interval)) = job.demand.repetition else {
            return;
        };
        let scheduled_ms = job.first_sent_unix_ms + after + interval * u64::from(number);
        let unix_ms = self.unix_ms();
        if unix_ms + EARLY_TOLERANCE_MS < scheduled_ms {
            self.history.violations.push(format!(
                "{task} started {} ms before its scheduled time",
                scheduled_ms - unix_ms
            ));
        }
        let delay_ms = unix_ms.saturating_sub(scheduled_ms);
        self.history.max_start_delay_ms = self.history.max_start_delay_ms.max(delay_ms);
    }

    /// Returns the properties of a job, which all of its occurrences share.
    pub(super) fn demand_of(&self, job: &JobId) -> Demand {
        self.demands[&job.occurrence(0)]
    }

    /// Returns the Unix time, in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        UNIX_ORIGIN_MS + self.now.as_millis()
    }
}
