//! Execution of the actions that an entry, its directory and its host maintenance decide on.

use fulmarpond_core::Time;
use fulmarpond_dispatch::directory::{self, Activity};
use fulmarpond_dispatch::entry::{Action, Answer, RequestNo};
use fulmarpond_dispatch::{AgentFrame, EndpointId, LinkNo, encode, maintenance};
use fulmarpond_platform::caller;
use fulmarpond_reactor::{LinkId, RequestId};
use tracing::debug;

use super::entry_process::EntryProcess;

impl EntryProcess {
    pub(super) fn execute_actions(&mut self, now: Time) {
        for action in std::mem::take(&mut self.directory_actions) {
            self.execute_directory_action(action, now);
        }
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Store {
                    activity,
                    call,
                    timeout,
                } => self.call_store(activity, call, timeout),
                Action::Advise {
                    step,
                    endpoints,
                    timeout,
                } => self.request_advice(&step, &endpoints, timeout),
                Action::Dial { addr } => {
                    let link = self.reactor.dial(addr);
                    self.entry.dialed(addr, LinkNo(link.0));
                }
                Action::SendToEntry { link, frame } => {
                    let frame = AgentFrame::Peer(frame);
                    self.reactor.send(LinkId(link.0), &encode(&frame));
                }
                Action::Close { link } => self.reactor.close_link(LinkId(link.0)),
                Action::Send { link, frame } => {
                    self.reactor.send(LinkId(link.0), &encode(&frame));
                }
                Action::Answer {
                    request,
                    answer,
                    age,
                    wait,
                } => self.send_answer(request, answer, age, wait, now),
            }
        }
    }

    fn send_answer(&mut self, request: RequestNo, answer: Answer, age: u64, wait: u64, now: Time) {
        if matches!(answer, Answer::Completed | Answer::Failed) {
            self.runtime
                .metrics
                .job_seconds
                .observe(age as f64 / 1_000.0);
            self.runtime
                .metrics
                .wait_seconds
                .observe(wait as f64 / 1_000.0);
        }
        let response = caller::answer_response(answer);
        let is_connected = self.reactor.respond(RequestId(request.0), &response);
        if !is_connected {
            debug!(
                request = request.0,
                age_ms = now.as_millis(),
                "caller is gone"
            );
        }
    }

    fn execute_directory_action(&mut self, action: directory::Action, now: Time) {
        match action {
            directory::Action::Call {
                activity,
                call,
                timeout,
            } => self.call_store(activity, call, timeout),
            directory::Action::Configured(configuration) => {
                self.entry.configure(configuration, now, &mut self.actions);
            }
            directory::Action::Evacuated(list) => {
                self.entry.set_evacuations(&list, now, &mut self.actions);
            }
            directory::Action::OperatorWrote => {
                if let Some(maintenance) = &mut self.maintenance {
                    maintenance.state.schedule_reload();
                }
            }
            directory::Action::Listed(entries) => {
                self.entry.set_entries(&entries, now, &mut self.actions);
            }
        }
    }

    /// Takes and carries out the decisions of host maintenance, if this entry is to maintain hosts.
    pub(super) fn maintain_hosts(&mut self, now: Time) {
        let Some(maintenance) = &mut self.maintenance else {
            return;
        };
        if !maintenance.state.is_active() {
            return;
        }
        let (entry, lease) = (&self.entry, self.directory.lease());
        let mut actions = Vec::new();
        let work = |endpoint: &EndpointId| entry.work_at(endpoint);
        maintenance.state.tick(lease, work, now, &mut actions);
        for action in actions {
            match action {
                maintenance::Action::Store { call, timeout } => {
                    self.call_store(Activity::Maintenance, call, timeout);
                }
                maintenance::Action::Hosts { call, timeout } => {
                    if let Some(maintenance) = &mut self.maintenance {
                        maintenance.send_call(&mut self.reactor, call, timeout);
                    }
                }
                maintenance::Action::Drain(endpoint) => {
                    self.entry.drain(&endpoint, &mut self.actions);
                }
            }
        }
        self.execute_actions(now);
    }
}
