//! The cases of the rig.

/// A kind of fault, which comes in series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The connection of a caller breaks on the caller's side only.
    BrokenAtCaller,
    /// Jobs are durable: their callers get an answer once they are stored.
    Kept,
    /// Processes are paused.
    Paused,
    /// An entry is cut off and killed, and some agents are paused shortly before they would notice, so
    /// that both leases pass in full.
    Chained,
    /// Processes are killed or ended, and started again.
    Ended,
    /// The links between two entries, or those of one entry to all others, are held in both directions,
    /// also new ones.
    Peers,
    /// The links between the processes of a zone and those of the others are held, also new ones.
    ZoneCut,
    /// The store refuses all calls.
    Store,
    /// A zone is evacuated, and taken back.
    Evacuated,
    /// Links between entries and agents are delayed, held in one direction or both, or closed on one
    /// side.
    Links,
    /// Starts and holds at an endpoint are late, lost, refused or not answered.
    Calls,
    /// Endpoints restart under their ids, or start runs that hang.
    Endpoints,
    /// Stops at an endpoint are late, lost or refused for a while, and all other calls pass.
    Stops,
    /// Entries are paused while requests arrive, whose callers leave before they are read.
    ReadLate,
    /// A quarter of the callers give up within some hundred milliseconds, and their entries see it.
    GivesUp,
    /// Endpoints do not list runs that they were told to stop, and end them later.
    Unlisted,
    /// Fronts hold back the connections of callers, or new ones, for some seconds.
    Fronts,
    /// Fronts hold requests back until callers that gave up have sent their jobs again elsewhere.
    HeldOver,
    /// Fronts hide for good that callers leave.
    OneSided,
    /// Entries are asked to end one after the other, and started again under their names.
    Rolled,
    /// Entries are killed and started again at once.
    Killed,
    /// Entries are asked to end while the next processes of their names start at other addresses.
    Replaced,
    /// The links of an agent to some entries are closed.
    LostBySome,
    /// Agents are killed, alone or with their endpoints.
    LostByAll,
    /// Endpoints crash alone and come back under other ids.
    Crashed,
    /// Endpoints crash and come back several times in turn.
    Flapping,
    /// Endpoints drain, deregister and end.
    Leaving,
    /// Endpoints refuse a share of starts, stops and holds.
    Refusals,
    /// Endpoints carry a part of starts and stops out late.
    LateOrders,
    /// The store is silent or unreachable for the entries of one zone.
    ZoneStore,
    /// The keys of entries are revoked.
    Revoked,
    /// Configurations take the route away and give it back in quick succession.
    Routes,
    /// Processes get the processor for a part of each 100 ms only.
    Quota,
    /// The troubles of a scripted day, in their order, beside callers that give up.
    Day,
}

/// What callers submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Jobs {
    /// One to four tasks of a random duration.
    Mixed,
    /// Four kinds of jobs, most of them short, whose callers wait for 1,500 ms or are patient.
    Deployment,
}

/// The processes and zones of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shape {
    pub(crate) entries: usize,
    /// Agents, each with an endpoint.
    pub(crate) agents: usize,
    pub(crate) zones: usize,
    /// The time between the starts of two callers, in milliseconds.
    pub(crate) interval_ms: u64,
    pub(crate) jobs: Jobs,
    /// Whether callers reach the entries through fronts and the entries of each zone the store through
    /// a relay, and agents read evacuations.
    pub(crate) has_fronts: bool,
}

impl Shape {
    /// A few processes, with about three times the load that their endpoints can bear.
    pub(crate) const SMALL: Self = Self {
        entries: 3,
        agents: 5,
        zones: 2,
        interval_ms: 25,
        jobs: Jobs::Mixed,
        has_fronts: false,
    };

    /// The same with a load that its endpoints can bear.
    pub(crate) const LIGHT: Self = Self {
        interval_ms: 80,
        ..Self::SMALL
    };

    /// A deployment of many processes; `FULMARPOND_AGENTS` sets how many agents it has.
    pub(crate) const GROWN: Self = Self {
        entries: 8,
        agents: 18,
        zones: 3,
        interval_ms: 25,
        jobs: Jobs::Mixed,
        has_fronts: false,
    };

    /// The same with fronts and the jobs of a deployment.
    pub(crate) const DEPLOYMENT: Self = Self {
        jobs: Jobs::Deployment,
        has_fronts: true,
        ..Self::GROWN
    };

    /// A few processes with fronts and the jobs of a deployment.
    pub(crate) const FRONTED: Self = Self {
        entries: 3,
        agents: 6,
        ..Self::DEPLOYMENT
    };
}

/// A run of the rig.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) shape: Shape,
    pub(crate) faults: &'static [Fault],
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
}

impl Case {
    pub(super) fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Returns the runs that the environment asks for in place of a case: `FULMARPOND_CASES` runs
    /// with consecutive seeds from `FULMARPOND_SEED` on, each of `FULMARPOND_SECONDS`. None, if
    /// `FULMARPOND_CASE` is not a part of its name.
    pub(super) fn runs(self) -> impl Iterator<Item = Self> {
        let wanted = std::env::var("FULMARPOND_CASE").unwrap_or_default();
        let count = if self.name.contains(&wanted) {
            env_number("FULMARPOND_CASES").unwrap_or(1)
        } else {
            0
        };
        let first_seed = env_number("FULMARPOND_SEED").unwrap_or(self.seed);
        let seconds = env_number("FULMARPOND_SECONDS").unwrap_or(self.seconds);
        let agents =
            env_number("FULMARPOND_AGENTS").filter(|_| self.shape.agents == Shape::GROWN.agents);
        let agents = agents.map_or(self.shape.agents, |agents| agents as usize);
        (0..count).map(move |run| Self {
            shape: Shape {
                agents,
                ..self.shape
            },
            seed: first_seed + run,
            seconds,
            ..self
        })
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
