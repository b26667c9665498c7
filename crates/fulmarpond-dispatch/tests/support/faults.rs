//! Injection and end of faults of processes, links and endpoints.

use fulmarpond_dispatch::agent::{Agent, CallFailure, EndHow};
use fulmarpond_dispatch::{JobId, LinkNo, TaskKey};

use super::endpoint::{Endpoint, Trouble};
use super::world::{Event, Fault, LOCAL_US, World};

/// Time after a fault until all processes are connected again, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Duration of the graceful stop of an entry, in milliseconds.
const STOPPING_MS: u64 = 3_000;

/// Time that the runs of a stopping agent may continue, in milliseconds.
const LAST_RUNS_MS: u64 = 4_500;

impl Fault {
    /// Returns the duration of the fault, in milliseconds.
    const fn length_ms(self) -> u64 {
        match self {
            Self::PauseEntry(_, millis)
            | Self::PauseAgent(_, millis)
            | Self::Cut(_, _, millis)
            | Self::Endpoint(_, _, millis)
            | Self::Store(_, millis)
            | Self::StoreCut(_, millis, _)
            | Self::HostReplies(_, millis)
            | Self::HostService(millis) => millis,
            Self::RollEntry(_) => STOPPING_MS,
            Self::RollAgent(_) => LAST_RUNS_MS,
            _ => 0,
        }
    }
}

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        let over = self.elapsed_ms() + fault.length_ms() + CONTACT_MS;
        self.history.disturbed_until = self.history.disturbed_until.max(over);
        match fault {
            Fault::KillEntry(entry) => self.kill_entry(entry, true),
            Fault::PowerOffEntry(entry) => self.kill_entry(entry, false),
            Fault::RollEntry(entry) => {
                self.with_entry(entry, |core, _, _| core.stop());
                self.after_ms(STOPPING_MS, Event::Fault(Fault::KillEntry(entry)));
            }
            Fault::PauseEntry(entry, millis) => {
                self.entries[entry].paused = self.now.after_millis(millis);
            }
            Fault::KillAgent(agent) => self.kill_agent(agent),
            Fault::RollAgent(agent) => {
                self.with_agent(agent, Agent::stop);
                self.after_ms(LAST_RUNS_MS, Event::Fault(Fault::StopRuns(agent)));
                self.after_ms(LAST_RUNS_MS + 500, Event::Fault(Fault::KillAgent(agent)));
            }
            Fault::StopRuns(agent) => {
                self.with_agent(agent, Agent::stop_runs);
            }
            Fault::PauseAgent(agent, millis) => {
                self.agents[agent].paused = self.now.after_millis(millis);
            }
            Fault::Cut(agent, entry, millis) => {
                self.cuts.insert((agent, entry));
                self.silence(agent, entry);
                self.after_ms(millis, Event::Heal(fault));
            }
            Fault::Silence(agent, entry) => self.silence(agent, entry),
            Fault::Endpoint(agent, trouble, millis) => {
                self.endpoints[agent].trouble = trouble;
                if trouble == Trouble::Gone {
                    self.crash(agent);
                }
                self.after_ms(millis, Event::Heal(fault));
            }
            Fault::Drain(agent) => self.endpoints[agent].draining = true,
            Fault::FailRuns(agent) => {
                let tasks: Vec<TaskKey> = self.endpoints[agent].runs.keys().cloned().collect();
                for task in tasks {
                    self.end_run(agent, &task, EndHow::Failed);
                }
            }
            Fault::Store(..) | Fault::StoreCut(..) | Fault::Compact => self.store_fault(fault),
            Fault::HostReplies(percent, millis) => {
                self.hosts.lost = percent;
                self.after_ms(millis, Event::Heal(fault));
            }
            Fault::HostService(millis) => {
                self.hosts.away = true;
                self.after_ms(millis, Event::Heal(fault));
            }
        }
    }

    pub(super) fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(agent, entry, _) => {
                self.cuts.remove(&(agent, entry));
            }
            Fault::Endpoint(agent, trouble, _) => {
                if trouble == Trouble::Gone {
                    self.restart_endpoint(agent);
                } else {
                    self.endpoints[agent].trouble = Trouble::None;
                    // Runs that hung during the fault end now.
                    let now = self.now;
                    let needs = &self.needs;
                    let runs = self.endpoints[agent].runs.iter_mut();
                    // Members of a gang wait for the other members, not for the end of the fault.
                    let ends = |task: &TaskKey| {
                        let demand = needs[&task.job.occurrence(0)];
                        !demand.gang && !demand.long_running
                    };
                    for (_, run) in runs.filter(|(task, _)| ends(task)) {
                        run.ends = run.ends.min(now.after_millis(50));
                    }
                    self.after_ms(51, Event::Check(agent));
                }
            }
            Fault::Store(..) | Fault::StoreCut(..) => self.heal_store(fault),
            Fault::HostReplies(..) => self.hosts.lost = 0,
            Fault::HostService(_) => self.hosts.away = false,
            _ => {}
        }
    }

    pub(super) fn silence(&mut self, agent: usize, entry: usize) {
        for link in &mut self.links {
            if link.agent == agent && link.entry == entry {
                link.silent = true;
            }
        }
    }

    pub(super) fn kill_entry(&mut self, entry: usize, told: bool) {
        let life = self.entries[entry].life;
        if self.entries[entry].core.take().is_none() {
            return;
        }
        self.directories[entry] = None;
        self.maintenance[entry] = None;
        self.entries[entry].life += 1;
        for number in 0..self.links.len() {
            if self.links[number].entry != entry || !self.links[number].open {
                continue;
            }
            if told {
                self.close(LinkNo(number as u64), false);
            } else {
                self.links[number].silent = true;
            }
        }
        let lost: Vec<(JobId, u32)> = self
            .requests
            .iter()
            .filter(|((at, of, _), _)| *at == entry && *of == life)
            .map(|(_, lost)| lost.clone())
            .collect();
        self.requests
            .retain(|(at, of, _), _| *at != entry || *of != life);
        if told {
            let resend = self.options.resend_ms;
            for (id, attempt) in lost {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.at = None;
                }
                self.after_ms(resend, Event::Submit(id, attempt + 1));
            }
        }
        self.after_ms(800, Event::StartEntry(entry));
    }

    pub(super) fn kill_agent(&mut self, agent: usize) {
        if self.agents[agent].core.take().is_none() {
            return;
        }
        self.agents[agent].life += 1;
        for number in 0..self.links.len() {
            if self.links[number].agent == agent && self.links[number].open {
                self.close(LinkNo(number as u64), true);
            }
        }
        self.after_ms(300, Event::StartAgent(agent));
    }

    pub(super) fn crash(&mut self, agent: usize) {
        let tasks: Vec<TaskKey> = self.endpoints[agent].runs.keys().cloned().collect();
        for task in tasks {
            let gang = self.gang_of(agent, &task);
            self.endpoints[agent].runs.remove(&task);
            if let Some(gang) = gang {
                self.end_gang(&gang, EndHow::Cut);
            }
            let at = self.elapsed_ms();
            self.history.ended(&task, agent, EndHow::Cut, at);
        }
        for hold in std::mem::take(&mut self.endpoints[agent].waiting) {
            if let Some((owner, life, number)) = self.holds.remove(&hold.call) {
                let lost = Err(CallFailure::NoReply);
                self.after_us(LOCAL_US, Event::Answer(owner, life, number, lost));
            }
        }
    }

    pub(super) fn restart_endpoint(&mut self, agent: usize) {
        // The end of another fault may have let the endpoint accept runs since it crashed.
        self.crash(agent);
        let old = &self.endpoints[agent];
        let new = Endpoint::new(agent, old.incarnation + 1, self.options.cpu, old.rate);
        let incarnation = new.incarnation;
        self.endpoints[agent] = new;
        self.drained.remove(&agent);
        self.after_ms(10, Event::Beat(agent, incarnation));
    }
}
