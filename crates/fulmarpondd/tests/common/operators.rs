//! Operators who change and read the configuration, and the check of what they saw.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use serde_json::{Value, json};
use todc_utils::{Action, History, Specification, WGLChecker};

use super::{get, post};

/// What an operator asked for, with the outcome. Calls carry outcome `Unknown`.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Operation {
    pub(crate) kind: Kind,
    pub(crate) outcome: Outcome,
}

/// What an operator asked for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Kind {
    /// A patch with this id for version `base`.
    Patch { id: String, base: usize },
    /// The version in force at an entry, which may be behind the latest one.
    InForce,
    /// One version, which an entry reads from the store unless it knows the version.
    Version(usize),
}

/// The outcome of an operation.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    /// The patch made this version.
    Applied(usize),
    /// Another version than the base was in force.
    Conflict,
    /// The patch was refused and took no effect.
    Refused,
    /// The version and the id of its patch.
    Read(usize, String),
    /// The version does not exist.
    Missing,
    /// No outcome came: the operation may have taken effect, at any later time as well.
    Unknown,
}

/// A register that holds all versions by the ids of their patches. Version n+1 can only be written
/// while n is the latest.
struct Versions;

impl Specification for Versions {
    type State = Vec<String>;
    type Operation = Operation;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let unchanged = |valid| (valid, state.clone());
        let holds = |version: usize, id: &str| match version {
            0 => id.is_empty(),
            _ => state.get(version - 1).is_some_and(|made| made == id),
        };
        match (&operation.kind, &operation.outcome) {
            (Kind::Patch { id, base }, outcome) => {
                let fits = *base == state.len();
                let mut next = state.clone();
                next.push(id.clone());
                match outcome {
                    // A repeated patch has the version that it made before.
                    Outcome::Applied(version) if *version != base + 1 => unchanged(false),
                    Outcome::Applied(version) if holds(*version, id) => unchanged(true),
                    Outcome::Applied(_) if fits => (true, next),
                    Outcome::Unknown if fits => (true, next),
                    Outcome::Unknown | Outcome::Refused => unchanged(true),
                    Outcome::Conflict => unchanged(!fits && !holds(base + 1, id)),
                    _ => unchanged(false),
                }
            }
            (Kind::InForce | Kind::Version(_), Outcome::Read(version, id)) => {
                unchanged(holds(*version, id))
            }
            (Kind::Version(version), Outcome::Missing) => unchanged(state.len() < *version),
            (_, Outcome::Unknown | Outcome::Refused) => unchanged(true),
            _ => unchanged(false),
        }
    }
}

/// The operations of all operators in the order of their calls and responses.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    log: Mutex<Log>,
}

#[derive(Debug, Default)]
struct Log {
    /// Each operation is a process of its own, since an unknown one stays open.
    operations: usize,
    actions: Vec<(usize, Action<Operation>)>,
}

impl Operators {
    fn run(&self, kind: &Kind, ask: impl FnOnce() -> Outcome) -> Outcome {
        let action = |outcome: &Outcome| Operation {
            kind: kind.clone(),
            outcome: outcome.clone(),
        };
        let lock = || self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let number = {
            let mut log = lock();
            let number = log.operations;
            log.operations += 1;
            let call = Action::Call(action(&Outcome::Unknown));
            log.actions.push((number, call));
            number
        };
        let outcome = ask();
        if outcome != Outcome::Unknown {
            let response = Action::Response(action(&outcome));
            lock().actions.push((number, response));
        }
        outcome
    }

    /// Sends a patch through an entry.
    pub(crate) fn patch(&self, entry: SocketAddr, id: &str, base: usize) -> Outcome {
        let kind = Kind::Patch {
            id: id.to_owned(),
            base,
        };
        self.run(&kind, || {
            let patch = json!({
                "id": id, "base": base, "author": "ana",
                "set": {"team.kitchen.quota": (base + 1).to_string()},
            });
            let (status, body) = post(entry, "/v1/config", &patch);
            match status {
                201 => Outcome::Applied(number(&body["version"])),
                409 => Outcome::Conflict,
                503 => Outcome::Refused,
                504 | 0 => Outcome::Unknown,
                _ => panic!("status {status} for a patch: {body}"),
            }
        })
    }

    /// Reads the version in force at an entry.
    pub(crate) fn in_force(&self, entry: SocketAddr) -> Outcome {
        self.run(&Kind::InForce, || read(&get(entry, "/v1/config")))
    }

    /// Reads one version through an entry.
    pub(crate) fn version(&self, entry: SocketAddr, version: usize) -> Outcome {
        self.run(&Kind::Version(version), || {
            read(&get(entry, &format!("/v1/config/{version}")))
        })
    }

    /// Asserts that the operations fit one order of versions that respects their times.
    pub(crate) fn check(&self) {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        assert!(
            is_linearizable(&log.actions),
            "the operations fit no order of versions: {:#?}",
            log.actions
        );
    }
}

/// Returns whether operations fit one order. Those without a response end after all others.
pub(crate) fn is_linearizable(actions: &[(usize, Action<Operation>)]) -> bool {
    let mut complete = actions.to_vec();
    for (number, action) in actions {
        let ended = |(other, action): &(usize, Action<Operation>)| {
            other == number && matches!(action, Action::Response(_))
        };
        if let Action::Call(operation) = action
            && !actions.iter().any(ended)
        {
            complete.push((*number, Action::Response(operation.clone())));
        }
    }
    WGLChecker::<Versions>::is_linearizable(History::from_actions(complete))
}

fn number(value: &Value) -> usize {
    let number = value.as_u64().expect("a version is a number");
    usize::try_from(number).expect("versions are small")
}

fn read((status, body): &(u16, Value)) -> Outcome {
    match status {
        200 => {
            let id = body["patch"].as_str().unwrap_or_default().to_owned();
            let version = number(&body["version"]);
            // The value shows whether the content belongs to the patch.
            let quota = body["values"]["team.kitchen.quota"].as_str();
            let expected = (version > 0).then(|| version.to_string());
            assert_eq!(quota, expected.as_deref(), "{body}");
            Outcome::Read(version, id)
        }
        400 => Outcome::Missing,
        503 | 0 => Outcome::Unknown,
        _ => panic!("status {status} for a read: {body}"),
    }
}
