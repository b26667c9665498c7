//! Tasks that entries order, from the queue to their end.

use fulmarpond_core::Time;
use tracing::info;

use super::agent::{Agent, LOST_OUTCOME_MS, ORDER_TIMEOUT_MS, Purpose};
use super::run::{Phase, Progress, Run, Then};
use super::{Action, EndpointCall};
use crate::epoch::before_first;
use crate::{AgentFrame, Checkpoint, JobId, LinkNo, Order, Outcome, TaskEnd, TaskKey, Working};

impl Agent {
    pub(super) fn order(&mut self, link: LinkNo, order: &Order, now: Time, out: &mut Vec<Action>) {
        let refusal = self.refusal(order, now);
        for &index in &order.indexes {
            let task = TaskKey {
                job: order.job.clone(),
                step: order.step,
                index,
            };
            // A run of the same task for another entry has to be over before this one starts.
            let outcome = refusal.or_else(|| {
                let known = self.runs.contains_key(&task);
                known.then_some(Outcome::Unavailable)
            });
            if let Some(outcome) = outcome {
                info!(job = %task.job, %task, ?outcome, ready = self.is_ready(now), "task refused");
                if self.runs.get(&task).is_some_and(|run| run.link != link) {
                    self.end_run(&task, Then::Forget, now, out);
                }
                self.report(link, task, outcome, 0, 0);
                continue;
            }
            let start_by = now.after_millis(u64::from(order.slack));
            let run = Run {
                link,
                number: self.last_number(&task, order.epoch),
                spec: order.spec.clone(),
                needs: order.needs,
                expected: order.expected,
                start_by,
                deadline: match order.remaining {
                    u32::MAX => Time::MAX,
                    remaining => now.after_millis(u64::from(remaining)),
                },
                progress: Progress::new(now),
                checkpoint: checkpoint(order, index),
                resumed: false,
                limit: order.limit,
                kept: order.kept,
                gang: order.gang,
                long_running: order.long_running,
                unowned: None,
                ticket: order.ticket.clone(),
                fresh: order.slack > 0 && !order.kept && !order.long_running,
                phase: Phase::Queued,
            };
            self.queue.push(start_by, task.clone());
            self.runs.insert(task, run);
        }
        self.changed = true;
        self.fill(now, out);
        if order.gang || order.long_running {
            self.return_waiting(order, now, out);
        }
        self.return_blocked(now, out);
        self.send_news(out);
    }

    /// Returns the tasks of an order that have found no room and may not wait for it: the other
    /// members of a gang would wait for them, and a long-running task may never find room here.
    fn return_waiting(&mut self, order: &Order, now: Time, out: &mut Vec<Action>) {
        for &index in &order.indexes {
            let task = TaskKey {
                job: order.job.clone(),
                step: order.step,
                index,
            };
            let waits = |run: &Run| run.phase == Phase::Queued;
            if self.runs.get(&task).is_some_and(waits) {
                self.end_run(&task, Then::Report(Outcome::Unavailable), now, out);
            }
        }
    }

    /// Returns the run number after which the runs of a task are counted.
    fn last_number(&self, task: &TaskKey, epoch: u16) -> u32 {
        let known = self.numbers.get(task).map_or(0, |(last, _)| *last);
        known.max(before_first(epoch))
    }

    pub(super) fn refusal(&self, order: &Order, now: Time) -> Option<Outcome> {
        let Some(endpoint) = &self.endpoint else {
            return Some(Outcome::Unavailable);
        };
        if self.leaving || !endpoint.takes_tasks(now) || endpoint.about.service != order.service {
            return Some(Outcome::Unavailable);
        }
        let fits = order.needs.fits(endpoint.about.capacity);
        (!fits).then_some(Outcome::NoRoom)
    }

    pub(super) fn is_ready(&self, now: Time) -> bool {
        let endpoint = self.endpoint.as_ref();
        !self.leaving && endpoint.is_some_and(|endpoint| endpoint.takes_tasks(now))
    }

    /// Starts waiting tasks while there is room.
    pub(super) fn fill(&mut self, now: Time, out: &mut Vec<Action>) {
        loop {
            let Some(endpoint) = &self.endpoint else {
                return;
            };
            if self.queue.is_empty() || !endpoint.takes_tasks(now) {
                return;
            }
            let free = endpoint.about.capacity.minus(self.used);
            let fits = |task: &TaskKey| {
                let run = self.runs.get(task);
                run.is_some_and(|run| run.needs.fits(free))
            };
            let Some(task) = self.queue.first(fits) else {
                return;
            };
            self.start(&task, now, out);
        }
    }

    pub(super) fn start(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        self.queue.remove(run.start_by, task);
        self.used = self.used.plus(run.needs);
        run.number += 1;
        run.phase = Phase::Starting;
        run.resumed = run.checkpoint.is_some();
        self.starts.entry(run.link).or_default().push(task.clone());
        self.counters.started += 1;
        self.send_start(task, now, out);
    }

    pub(super) fn send_start(&mut self, task: &TaskKey, now: Time, out: &mut Vec<Action>) {
        let lease = self.extend(now);
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let call = EndpointCall::Start {
            task: task.clone(),
            run: run.number,
            spec: run.spec.clone(),
            checkpoint: run.checkpoint.clone(),
            ticket: run.ticket.clone(),
            lease,
            fence: self.fence,
        };
        let purpose = Purpose::Start(task.clone(), run.number);
        self.call(purpose, call, ORDER_TIMEOUT_MS, now, out);
        self.hold(now, out);
    }

    /// Returns the end of a lease that begins now, on the endpoint's clock.
    pub(super) fn extend(&mut self, now: Time) -> i64 {
        let bounds = self.options.bounds;
        let Some(endpoint) = &mut self.endpoint else {
            return 0;
        };
        endpoint.lapse = now.after_millis(bounds.lapse_ms());
        let clock = endpoint.clock.at(now).unwrap_or_default();
        clock + i64::try_from(bounds.run_ms).unwrap_or_default()
    }

    pub(super) fn stop_tasks(
        &mut self,
        link: LinkNo,
        job: &JobId,
        tasks: &[(u16, u16)],
        then: Then,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let listed: Vec<TaskKey> = if tasks.is_empty() {
            let of_job = self.tasks_of(link).into_iter();
            of_job.filter(|task| task.job == *job).collect()
        } else {
            let key = |&(step, index): &(u16, u16)| TaskKey {
                job: job.clone(),
                step,
                index,
            };
            tasks.iter().map(key).collect()
        };
        for task in listed {
            if self.runs.get(&task).is_some_and(|run| run.link == link) {
                self.end_run(&task, then, now, out);
            }
        }
        self.fill(now, out);
        self.send_news(out);
    }

    pub(super) fn withdraw(&mut self, link: LinkNo, job: &JobId, now: Time, out: &mut Vec<Action>) {
        let of_job = self.runs.iter().filter(|(task, run)| {
            run.link == link && task.job == *job && run.phase == Phase::Queued
        });
        let waiting: Vec<TaskKey> = of_job.map(|(task, _)| task.clone()).collect();
        for task in waiting {
            self.end_run(&task, Then::Report(Outcome::Unavailable), now, out);
        }
        self.send_news(out);
    }

    pub(super) fn tasks_of(&self, link: LinkNo) -> Vec<TaskKey> {
        let owned = |run: &Run| run.link == link && run.unowned.is_none();
        let of_link = self.runs.iter().filter(|(_, run)| owned(run));
        of_link.map(|(task, _)| task.clone()).collect()
    }

    /// Ends a task: a waiting one at once, a running one by a stop.
    pub(super) fn end_run(&mut self, task: &TaskKey, then: Then, now: Time, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        match &mut run.phase {
            Phase::Queued => {
                self.queue.remove(run.start_by, task);
                let report = (then != Then::Forget).then_some(Outcome::Unavailable);
                self.finish(task, report, 0);
            }
            Phase::Stopping { then: planned, .. } => {
                if *planned != Then::Forget {
                    *planned = then;
                }
            }
            Phase::Starting | Phase::Running { .. } => {
                self.counters.stopped += 1;
                run.phase = Phase::Stopping {
                    then,
                    resend: now.after_millis(ORDER_TIMEOUT_MS + LOST_OUTCOME_MS),
                    over: Time::MAX,
                };
                let number = run.number;
                self.send_stop(task, number, now, out);
            }
        }
    }

    pub(super) fn send_stop(&mut self, task: &TaskKey, run: u32, now: Time, out: &mut Vec<Action>) {
        let call = EndpointCall::Stop {
            task: task.clone(),
            run,
            fence: self.fence,
        };
        let purpose = Purpose::Stop(task.clone(), run);
        self.call(purpose, call, ORDER_TIMEOUT_MS, now, out);
    }

    /// Forgets a task, and reports its end if `outcome` says so.
    pub(super) fn finish(&mut self, task: &TaskKey, outcome: Option<Outcome>, elapsed: u64) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        if run.phase.uses_room() {
            self.used = self.used.minus(run.needs);
        }
        if let Some(outcome) = outcome {
            let elapsed = u32::try_from(elapsed).unwrap_or(u32::MAX);
            self.report(run.link, task.clone(), outcome, run.number, elapsed);
        }
        self.changed = true;
    }

    pub(super) fn report(
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
        self.ends.entry(link).or_default().push(end);
    }

    /// Takes the progress that a run has saved.
    pub(super) fn save(&mut self, task: &TaskKey, value: &str) {
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
        self.saved.entry(run.link).or_default().push(saved);
    }

    /// Tells the entry of a long-running task whether it is at work.
    pub(super) fn tell_working(&mut self, task: &TaskKey) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let news = Working {
            task: task.clone(),
            working: run.progress.is_complete(),
        };
        self.working.entry(run.link).or_default().push(news);
    }

    pub(super) fn send_news(&mut self, out: &mut Vec<Action>) {
        for (link, starts) in self.starts.drain() {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Started(starts),
            });
        }
        for (link, saved) in self.saved.drain() {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Saved(saved),
            });
        }
        for (link, working) in self.working.drain() {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Working(working),
            });
        }
        for (link, ends) in self.ends.drain() {
            out.push(Action::Send {
                link,
                frame: AgentFrame::Ended(ends),
            });
        }
    }

    pub(super) fn return_queue(&mut self, now: Time) {
        let waiting: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Queued)
            .map(|(task, _)| task.clone())
            .collect();
        for task in waiting {
            self.end_run(
                &task,
                Then::Report(Outcome::Unavailable),
                now,
                &mut Vec::new(),
            );
        }
    }

    pub(super) fn requeue(&mut self, task: &TaskKey) {
        if let Some(run) = self.runs.get_mut(task) {
            run.phase = Phase::Queued;
            self.used = self.used.minus(run.needs);
            self.queue.push(run.start_by, task.clone());
        }
    }

    /// Does what follows a stopped run that is over.
    pub(super) fn stopped(&mut self, task: &TaskKey, then: Then) {
        match then {
            Then::Forget => self.finish(task, None, 0),
            Then::Report(outcome) => self.finish(task, Some(outcome), 0),
            Then::Restart if self.leaving => self.finish(task, Some(Outcome::Aborted), 0),
            Then::Restart => {
                self.counters.retried += 1;
                self.requeue(task);
            }
        }
    }
}

/// Returns the saved progress of a task of an order.
fn checkpoint(order: &Order, index: u16) -> Option<String> {
    let mut saved = order.checkpoints.iter();
    let own = saved.find(|(of, _)| *of == index);
    own.map(|(_, value)| value.clone())
}
