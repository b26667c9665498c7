//! Orders, stops and withdrawals from entries.

use std::rc::Rc;

use fulmarpond_core::Time;
use tracing::info;

use super::Action;
use super::agent::Agent;
use super::run::{AfterStop, Phase, Progress, Reach, Run};
use crate::epoch::run_before_first;
use crate::{ATTEMPT_TARGET, Class, JobId, LinkNo, Order, Outcome, Resources, TaskKey};

impl Agent {
    /// Queues the tasks of an order, or refuses them, and starts those that fit.
    pub(super) fn accept_order(
        &mut self,
        link: LinkNo,
        order: &Order,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let refusal = self.order_refusal(order, now);
        let spec: Rc<str> = order.spec.as_str().into();
        let room = self.room_for_tasks(order);
        for (position, &index) in order.indexes.iter().enumerate() {
            let task = TaskKey {
                job: order.job.clone(),
                step: order.step,
                index,
            };
            if self.runs.contains_key(&task) {
                self.refuse_known_task(link, &task, now, out);
                continue;
            }
            let outcome = refusal.or_else(|| (position >= room).then_some(Outcome::Unavailable));
            if let Some(outcome) = outcome {
                info!(job = %task.job, %task, ?outcome, ready = self.is_ready(now), "task refused");
                self.report_end(link, task, outcome, 0, 0);
                continue;
            }
            let start_by = now.after_millis(u64::from(order.slack_ms));
            let run = Run {
                link,
                number: self.last_run_number(&task, order),
                spec: Rc::clone(&spec),
                route: order.route.clone(),
                started_at: now,
                start_call: None,
                needs: order.needs,
                class: Class::of(order.priority),
                expected_ms: order.expected_ms,
                nominal_ms: order.nominal_ms,
                start_by,
                deadline: match order.remaining_ms {
                    u32::MAX => Time::MAX,
                    remaining_ms => now.after_millis(u64::from(remaining_ms)),
                },
                progress: Progress::new(now),
                is_listed: false,
                checkpoint: checkpoint(order, index),
                is_resumed: false,
                watch_ms: order.watch_ms,
                is_quarantined: order.is_quarantined,
                max_run_ms: order.max_run_ms,
                is_durable: order.is_durable,
                is_gang: order.gang,
                was_preempted: false,
                is_long_running: order.long_running,
                orphaned_until: None,
                ticket: order.ticket.clone(),
                has_start_deadline: order.slack_ms > 0 && !order.is_durable && !order.long_running,
                reach: Reach::Unknown,
                over_by: Time::MAX,
                phase: Phase::Queued,
            };
            self.shares
                .push(run.class, start_by, task.clone(), run.is_suspected());
            self.runs.insert(task, run);
        }
        self.status_changed = true;
        self.start_queued_tasks(now, out);
        if order.gang || order.long_running {
            self.return_queued_of_order(order, now, out);
        }
        if self.reserved_capacity() != Resources::default() {
            self.return_blocked_tasks(now, out);
        }
        self.send_reports(out);
    }

    /// Refuses the order of a task that is known here, for another entry or an earlier attempt. The
    /// entry places the task elsewhere once it hears of the refusal, so it does so only when the known
    /// run has ended. Its earlier entry is told nothing, so it may place the task again as after the loss
    /// of its link: the run must be over by then.
    fn refuse_known_task(
        &mut self,
        link: LinkNo,
        task: &TaskKey,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        info!(job = %task.job, %task, run = run.number, phase = run.phase.as_str(), "task refused, it is known");
        let earlier = std::mem::replace(&mut run.link, link);
        run.orphaned_until = None;
        if let Phase::Stopping { after_stop, .. } = &mut run.phase {
            *after_stop = AfterStop::Refuse;
        } else {
            self.end_run(task, AfterStop::Refuse, now, out);
        }
        if let Some(peer) = self.links.established.get(&earlier) {
            let heard = self.last_heard(peer);
            self.bound_unwanted_run(task, heard);
        }
    }

    /// Returns the tasks of an order that are still queued, where tasks must not wait: the other
    /// members of a gang would wait for them, and for a long-running task capacity may never become
    /// free here.
    fn return_queued_of_order(&mut self, order: &Order, now: Time, out: &mut Vec<Action>) {
        for &index in &order.indexes {
            let task = TaskKey {
                job: order.job.clone(),
                step: order.step,
                index,
            };
            let is_queued = |run: &Run| run.phase == Phase::Queued;
            if self.runs.get(&task).is_some_and(is_queued) {
                self.end_run(&task, AfterStop::Report(Outcome::Unavailable), now, out);
            }
        }
    }

    /// Returns the number after which the next run of a task is numbered.
    fn last_run_number(&self, task: &TaskKey, order: &Order) -> u32 {
        let here = self.last_run_numbers.get(task).map_or(0, |(last, _)| *last);
        let mut elsewhere = order.last_runs.iter();
        let elsewhere = elsewhere.find(|(index, _)| *index == task.index);
        let elsewhere = elsewhere.map_or(0, |(_, run)| *run);
        here.max(elsewhere).max(run_before_first(order.epoch))
    }

    /// Returns why an order is refused, if it is.
    pub(super) fn order_refusal(&self, order: &Order, now: Time) -> Option<Outcome> {
        let Some(endpoint) = &self.endpoint else {
            return Some(Outcome::Unavailable);
        };
        if self.is_shutting_down
            || self.is_evacuated()
            || self.is_end_window_full()
            || !endpoint.accepts_tasks(now)
            || endpoint.registration.service != order.service
        {
            return Some(Outcome::Unavailable);
        }
        let fits = order.needs.fits(endpoint.registration.capacity);
        (!fits).then_some(Outcome::NoRoom)
    }

    pub(super) fn stop_tasks(
        &mut self,
        link: LinkNo,
        job: &JobId,
        tasks: &[(u16, u16)],
        after_stop: AfterStop,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.links.established.get(&link) else {
            return;
        };
        let heard = self.last_heard(peer);
        let mut stopped = 0;
        let listed: Vec<TaskKey> = if tasks.is_empty() {
            let job_tasks = self.owned_tasks(link).into_iter();
            job_tasks.filter(|task| task.job == *job).collect()
        } else {
            let key = |&(step, index): &(u16, u16)| TaskKey {
                job: job.clone(),
                step,
                index,
            };
            tasks.iter().map(key).collect()
        };
        for task in listed {
            let Some(run) = self.runs.get(&task).filter(|run| run.link == link) else {
                continue;
            };
            // A durable task that is stopped by its owner is not placed again unless that hears of the end.
            let is_bounded = !run.is_durable;
            stopped += usize::from(is_bounded && run.phase.uses_capacity());
            self.end_run(&task, after_stop, now, out);
            if is_bounded {
                self.bound_unwanted_run(&task, heard);
            }
        }
        if stopped > 0 {
            let peer = self.links.established.get(&link);
            let entry = peer.map_or("", |peer| peer.entry.as_str());
            info!(target: ATTEMPT_TARGET, %job, entry, runs = stopped, "entry stops runs");
        }
        self.start_queued_tasks(now, out);
        self.send_reports(out);
    }

    /// Returns the queued tasks of a job to the entry.
    pub(super) fn withdraw_job(
        &mut self,
        link: LinkNo,
        job: &JobId,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let job_tasks = self.runs.iter().filter(|(task, run)| {
            run.link == link && task.job == *job && run.phase == Phase::Queued
        });
        let queued: Vec<TaskKey> = job_tasks.map(|(task, _)| task.clone()).collect();
        for task in queued {
            self.end_run(&task, AfterStop::Report(Outcome::Unavailable), now, out);
        }
        self.send_reports(out);
    }

    pub(super) fn owned_tasks(&self, link: LinkNo) -> Vec<TaskKey> {
        let owned = |run: &Run| run.link == link && run.orphaned_until.is_none();
        let link_runs = self.runs.iter().filter(|(_, run)| owned(run));
        link_runs.map(|(task, _)| task.clone()).collect()
    }
}

/// Returns the checkpoint of a task in an order.
fn checkpoint(order: &Order, index: u16) -> Option<String> {
    let mut saved = order.checkpoints.iter();
    let found = saved.find(|(task_index, _)| *task_index == index);
    found.map(|(_, value)| value.clone())
}
