//! The cases of the rig.

/// A kind of fault, which comes in series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The connection of a caller breaks on the caller's side only.
    BrokenAtCaller,
    /// Processes are paused.
    Paused,
    /// An entry is cut off and killed, and some agents are paused shortly before they would notice, so
    /// that both leases pass in full.
    Chained,
    /// Processes are killed or ended, and started again.
    Ended,
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

/// A run of the rig.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
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
        (0..count).map(move |run| Self {
            seed: first_seed + run,
            seconds,
            ..self
        })
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
