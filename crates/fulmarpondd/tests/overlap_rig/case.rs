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
}

impl Shape {
    /// A few processes, with about three times the load that their endpoints can bear.
    pub(crate) const SMALL: Self = Self {
        entries: 3,
        agents: 5,
        zones: 2,
        interval_ms: 25,
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
        let agents = env_number("FULMARPOND_AGENTS").filter(|_| self.shape == Shape::GROWN);
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
