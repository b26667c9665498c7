//! Injection and end of faults of processes, links and endpoints.

use fulmarpond_dispatch::agent::{Agent, EndReason};
use fulmarpond_dispatch::directory::StoreCall;
use fulmarpond_dispatch::ledger::{JobState, Status};
use fulmarpond_dispatch::{JobId, LinkNo, TaskKey, decode};

use super::endpoint::{Endpoint, EndpointFault};
use super::simulation::{Event, Fault, LINK_DELAY_US, Simulation, WriterFault};

/// Time after a fault until all processes are connected again, in milliseconds.
const RECONNECT_MS: u64 = 3_000;

/// Duration of the graceful stop of an entry, in milliseconds.
const GRACEFUL_STOP_MS: u64 = 3_000;

/// The largest number of tasks of a step.
const MAX_TASKS: u16 = 16;

/// Time that the runs of a stopping agent may continue, in milliseconds.
const STOPPING_RUNS_MS: u64 = 4_500;

impl Fault {
    /// Returns the duration of the fault, in milliseconds.
    const fn duration_ms(self) -> u64 {
        match self {
            Self::RestartEndpoint(_, down_ms, late_ms) => down_ms + late_ms,
            Self::PauseEntry(_, millis)
            | Self::PauseAgent(_, millis)
            | Self::ThrottleAgent(_, _, millis)
            | Self::BlockLinks(_, _, millis)
            | Self::CloseLinks(_, _, millis)
            | Self::HideRoutes(_, millis)
            | Self::KillEntryFor(_, millis)
            | Self::Endpoint(_, _, millis)
            | Self::Store(_, millis)
            | Self::StoreUnreachable(_, millis, _)
            | Self::HostReplies(_, millis)
            | Self::HostService(millis)
            | Self::Evacuate(_, millis, _)
            | Self::StoreUnreachableFromAgent(_, millis) => millis,
            Self::Attempt(fault) => fault.duration_ms(),
            Self::Stall(stall) => stall.duration_ms(),
            Self::Peer(fault) => fault.duration_ms(),
            Self::RestartEntry(_) => GRACEFUL_STOP_MS,
            Self::DrainEntry(_, grace_ms, millis) | Self::ReplaceEntry(_, millis, grace_ms) => {
                grace_ms + millis
            }
            Self::RestartAgent(_) => STOPPING_RUNS_MS,
            _ => 0,
        }
    }
}

impl Simulation {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        let over_ms = self.elapsed_ms() + fault.duration_ms() + RECONNECT_MS;
        self.history.disturbed_until_ms = self.history.disturbed_until_ms.max(over_ms);
        match fault {
            Fault::KillEntry(entry) => self.kill_entry(entry, true),
            Fault::KillEntryFor(entry, millis) => {
                if self.end_entry(entry, true) {
                    self.schedule_in_ms(millis, Event::StartEntry(entry));
                }
            }
            Fault::PowerOffEntry(entry) => self.kill_entry(entry, false),
            Fault::DrainEntry(entry, grace_ms, down_ms) => {
                self.stop_entry(entry, grace_ms, Some(down_ms));
            }
            Fault::ReplaceEntry(entry, overlap_ms, grace_ms) => {
                self.replace_entry(entry, overlap_ms, grace_ms);
            }
            Fault::HideRoutes(entry, millis) => {
                let until = self.now.after_millis(millis);
                self.stops.hide_routes(entry, until);
            }
            Fault::CloseLinks(agent, entry, millis) => {
                self.excuse_entry(entry, millis);
                self.blocked_links.insert((agent, entry));
                self.cut_links(agent, entry);
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
            Fault::RestartEntry(entry) => {
                self.with_entry(entry, |core, _, _| core.stop());
                self.schedule_in_ms(
                    GRACEFUL_STOP_MS,
                    Event::FaultBegins(Fault::KillEntry(entry)),
                );
            }
            Fault::Writer(fault) => self.writer_faults.push(fault),
            Fault::PauseEntry(entry, millis) => {
                self.excuse_entry(entry, millis);
                self.entries[entry].paused_until = self.now.after_millis(millis);
            }
            Fault::KillAgent(agent) => self.kill_agent(agent),
            Fault::RestartAgent(agent) => {
                self.with_agent(agent, Agent::stop);
                self.schedule_in_ms(STOPPING_RUNS_MS, Event::FaultBegins(Fault::StopRuns(agent)));
                self.schedule_in_ms(
                    STOPPING_RUNS_MS + 500,
                    Event::FaultBegins(Fault::KillAgent(agent)),
                );
            }
            Fault::StopRuns(agent) => {
                self.with_agent(agent, Agent::stop_runs);
            }
            Fault::PauseAgent(agent, millis) => {
                self.agents[agent].paused_until = self.now.after_millis(millis);
            }
            Fault::ThrottleAgent(agent, throttle, millis) => {
                self.throttle_agent(agent, throttle, millis);
            }
            Fault::BlockLinks(agent, entry, millis) => {
                self.excuse_entry(entry, millis);
                self.blocked_links.insert((agent, entry));
                self.silence_links(agent, entry);
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
            Fault::SilenceLinks(agent, entry) => {
                self.excuse_entry(entry, 0);
                self.silence_links(agent, entry);
            }
            Fault::Endpoint(agent, endpoint_fault, millis) => {
                if endpoint_fault == EndpointFault::Crashed {
                    self.keep_connections(agent);
                }
                // Nothing else can happen to an endpoint that is down.
                if self.endpoints[agent].fault != EndpointFault::Crashed {
                    self.endpoints[agent].fault = endpoint_fault;
                }
                if endpoint_fault == EndpointFault::Crashed {
                    self.crash_endpoint(agent);
                }
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
            Fault::RestartEndpoint(agent, down_ms, late_ms) => {
                let late = self.endpoints[agent].next_registration(self.now);
                self.schedule_in_ms(
                    down_ms + late_ms,
                    Event::LateHeartbeat(agent, Box::new(late)),
                );
                if down_ms == 0 {
                    self.restart_endpoint_under_id(agent);
                } else {
                    self.keep_connections(agent);
                    self.endpoints[agent].fault = EndpointFault::Crashed;
                    self.crash_endpoint(agent);
                    self.schedule_in_ms(down_ms, Event::FaultEnds(fault));
                }
            }
            Fault::Drain(agent) => self.endpoints[agent].is_draining = true,
            Fault::FailRuns(agent) => {
                let tasks: Vec<TaskKey> = self.endpoints[agent].runs.keys().cloned().collect();
                for task in tasks {
                    self.end_run(agent, &task, EndReason::Failed);
                }
            }
            Fault::Store(..) | Fault::StoreUnreachable(..) | Fault::CompactStore => {
                self.set_store_fault(fault);
            }
            Fault::HostReplies(percent, millis) => {
                self.hosts.lost_reply_percent = percent;
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
            Fault::Evacuate(zone, millis, cold) => {
                self.write_evacuation(zone, true, false);
                self.schedule_in_ms(millis, Event::WriteEvacuation(zone, false, cold));
            }
            Fault::StoreUnreachableFromAgent(agent, millis) => {
                self.set_store_unreachable(agent, true);
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
            Fault::Attempt(fault) => self.begin_attempt_fault(fault),
            Fault::Peer(fault) => self.begin_peer_fault(fault),
            Fault::Stall(stall) => self.stalls.arm(stall),
            Fault::HostService(millis) => {
                self.hosts.is_down = true;
                self.schedule_in_ms(millis, Event::FaultEnds(fault));
            }
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::BlockLinks(agent, entry, _) | Fault::CloseLinks(agent, entry, _) => {
                self.blocked_links.remove(&(agent, entry));
            }
            Fault::Endpoint(agent, endpoint_fault, _) => {
                if endpoint_fault == EndpointFault::Crashed {
                    self.restart_endpoint(agent);
                } else if self.endpoints[agent].fault != EndpointFault::Crashed {
                    self.endpoints[agent].fault = EndpointFault::None;
                    // Runs that hung during the fault end now.
                    let now = self.now;
                    let demands = &self.demands;
                    let runs = self.endpoints[agent].runs.iter_mut();
                    // Members of a gang wait for the other members, not for the end of the fault.
                    let ends_after_fault = |task: &TaskKey| {
                        let demand = demands[&task.job.occurrence(0)];
                        !demand.gang && !demand.long_running
                    };
                    for (_, run) in runs.filter(|(task, _)| ends_after_fault(task)) {
                        run.ends_at = run.ends_at.min(now.after_millis(50));
                    }
                    self.schedule_in_ms(51, Event::CheckEndpoint(agent));
                }
            }
            Fault::RestartEndpoint(agent, ..) => self.restart_endpoint_under_id(agent),
            Fault::Store(..) | Fault::StoreUnreachable(..) => self.end_store_fault(fault),
            Fault::HostReplies(..) => self.hosts.lost_reply_percent = 0,
            Fault::HostService(_) => self.hosts.is_down = false,
            Fault::StoreUnreachableFromAgent(agent, _) => self.set_store_unreachable(agent, false),
            _ => {}
        }
    }

    /// Returns the number of faults of writers that have not begun.
    pub const fn unmet_writer_faults(&self) -> usize {
        self.writer_faults.len()
    }

    /// Begins the next fault of a writer, if a call was the write of a failed run.
    pub(super) fn begin_writer_fault(&mut self, entry: usize, call: &StoreCall) {
        if self.writer_faults.is_empty() || !records_failure(call) {
            return;
        }
        let fault = match self.writer_faults.remove(0) {
            WriterFault::Kill => Fault::KillEntry(entry),
            WriterFault::PowerOff => Fault::PowerOffEntry(entry),
            WriterFault::Stop => Fault::RestartEntry(entry),
            WriterFault::Cut => {
                for agent in 0..self.agents.len() {
                    self.begin_fault(Fault::SilenceLinks(agent, entry));
                }
                return;
            }
        };
        self.begin_fault(fault);
    }

    pub(super) fn silence_links(&mut self, agent: usize, entry: usize) {
        for link in &mut self.links {
            if link.agent == agent && link.entry == entry {
                link.is_silent = true;
            }
        }
    }

    /// Ends an entry process and schedules its restart. Its links are closed, and its callers
    /// resend, only if `closes_links` is set; otherwise the links go silent.
    pub(super) fn kill_entry(&mut self, entry: usize, closes_links: bool) {
        if self.end_entry(entry, closes_links) {
            self.schedule_in_ms(800, Event::StartEntry(entry));
        }
    }

    /// Ends an entry process; returns whether it was running.
    pub(super) fn end_entry(&mut self, entry: usize, closes_links: bool) -> bool {
        let generation = self.entries[entry].generation;
        if self.entries[entry].core.take().is_none() {
            return false;
        }
        self.directories[entry] = None;
        self.maintenance[entry] = None;
        self.entries[entry].generation += 1;
        for number in 0..self.links.len() {
            if self.links[number].entry != entry || !self.links[number].is_open {
                continue;
            }
            if closes_links {
                self.close_link(LinkNo(number as u64), false);
            } else {
                self.links[number].is_silent = true;
            }
        }
        self.end_peer_links(entry, closes_links);
        let lost: Vec<(JobId, u32)> = self
            .pending_requests
            .iter()
            .filter(|((holder, of, _), _)| *holder == entry && *of == generation)
            .map(|(_, lost)| lost.clone())
            .collect();
        self.pending_requests
            .retain(|(holder, of, _), _| *holder != entry || *of != generation);
        if closes_links {
            let resend_ms = self.options.resend_ms;
            for (id, attempt) in lost {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.pending = None;
                }
                self.schedule_in_ms(resend_ms, Event::Submit(id, attempt + 1));
            }
        }
        self.excuse_entry(entry, 800);
        true
    }

    /// Closes the links between an agent and an entry, which both see.
    fn cut_links(&mut self, agent: usize, entry: usize) {
        for number in 0..self.links.len() {
            let link = &self.links[number];
            if link.agent != agent || link.entry != entry || !link.is_open {
                continue;
            }
            let is_silent = link.is_silent;
            let link = LinkNo(number as u64);
            self.close_link(link, true);
            if !is_silent {
                let generation = self.agents[agent].generation;
                let lost = Event::LinkDownAtAgent(agent, generation, link);
                self.schedule_in_us(LINK_DELAY_US, lost);
            }
        }
    }

    pub(super) fn kill_agent(&mut self, agent: usize) {
        if self.agents[agent].core.take().is_none() {
            return;
        }
        self.agents[agent].generation += 1;
        self.kept_connections.close(agent);
        for number in 0..self.links.len() {
            if self.links[number].agent == agent && self.links[number].is_open {
                self.close_link(LinkNo(number as u64), true);
            }
        }
        self.schedule_in_ms(300, Event::StartAgent(agent));
    }

    /// Ends all runs of an endpoint and fails its pending holds.
    pub(super) fn crash_endpoint(&mut self, agent: usize) {
        self.record_lost_runs(agent);
        let tasks: Vec<TaskKey> = self.endpoints[agent].runs.keys().cloned().collect();
        for task in tasks {
            let gang = self.gang_of(agent, &task);
            self.endpoints[agent].runs.remove(&task);
            self.history.record_crash_under(&task);
            if let Some(gang) = gang {
                self.end_gang(&gang, EndReason::Cut);
            }
            let at = self.elapsed_ms();
            self.history.record_end(&task, agent, EndReason::Cut, at);
        }
        for hold in std::mem::take(&mut self.endpoints[agent].waiting_holds) {
            if let Some((owner, generation, number)) = self.pending_holds.remove(&hold.number) {
                self.reset_call(owner, generation, number);
            }
        }
    }

    pub(super) fn restart_endpoint(&mut self, agent: usize) {
        // The end of another fault may have let the endpoint accept runs since it crashed.
        self.crash_endpoint(agent);
        let old = &self.endpoints[agent];
        let mut new = Endpoint::new(agent, old.incarnation + 1, self.options.cpu, old.clock_rate);
        if self.options.has_born {
            new.born = self.unix_ms();
        }
        self.replace_endpoint(agent, new);
    }

    /// Restarts an endpoint under its id, if it says when it was started.
    pub(super) fn restart_endpoint_under_id(&mut self, agent: usize) {
        if !self.options.has_born {
            self.restart_endpoint(agent);
            return;
        }
        self.crash_endpoint(agent);
        let born = self.unix_ms();
        let new = self.endpoints[agent].restarted(self.options.cpu, born, self.now);
        self.replace_endpoint(agent, new);
    }

    fn replace_endpoint(&mut self, agent: usize, new: Endpoint) {
        let incarnation = new.incarnation;
        self.endpoints[agent] = new;
        let kind = self.kind(agent);
        self.endpoints[agent].set_kind(kind);
        self.drain_acked_at.remove(&agent);
        self.schedule_in_ms(10, Event::Heartbeat(agent, incarnation));
    }
}

/// Returns whether a call writes an open job of which runs have failed.
fn records_failure(call: &StoreCall) -> bool {
    let StoreCall::CommitJobs { rows } = call else {
        return false;
    };
    let states = rows.iter().filter_map(|row| row.state.as_ref());
    let mut states = states.filter_map(|state| decode::<JobState>(state).ok());
    states.any(|state| {
        let mut steps = state.steps.iter();
        state.status == Status::Open
            && steps.any(|step| (0..MAX_TASKS).any(|index| step.failures(index) > 0))
    })
}
