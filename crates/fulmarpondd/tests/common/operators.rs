//! Records the configuration changes and reads of operators, and checks that they are linearizable.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use serde_json::{Value, json};
use todc_utils::{Action, History, Specification, WGLChecker};

use super::{get, post};

/// An operation with its outcome. A call has the outcome `Unknown`.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Operation {
    pub(crate) kind: Kind,
    pub(crate) outcome: Outcome,
}

/// The operation that an operator requested.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Kind {
    /// A patch with this id that applies to version `base`.
    Patch { id: String, base: usize },
    /// Reads the version in force at an entry, which may be older than the latest one.
    InForce,
    /// Reads one version, which an entry fetches from the store unless it has it in memory.
    Version(usize),
}

/// The outcome of an operation.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    /// The patch created this version.
    Applied(usize),
    /// The latest version is not the base of the patch.
    Conflict,
    /// The patch was refused and had no effect.
    Refused,
    /// The version that was read, and the id of its patch.
    Read(usize, String),
    /// The version does not exist.
    Missing,
    /// No outcome was received: the operation may take effect at any time, also later.
    Unknown,
}

/// The sequential specification: a register that holds the patch id of every version. Version n+1
/// can be written only while n is the latest.
struct Versions;

impl Specification for Versions {
    type State = Vec<String>;
    type Operation = Operation;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let unchanged = |valid| (valid, state.clone());
        let has_patch = |version: usize, id: &str| match version {
            0 => id.is_empty(),
            _ => state.get(version - 1).is_some_and(|patch| patch == id),
        };
        match (&operation.kind, &operation.outcome) {
            (Kind::Patch { id, base }, outcome) => {
                let is_current = *base == state.len();
                let mut next = state.clone();
                next.push(id.clone());
                match outcome {
                    // A retried patch gets the version that it created before.
                    Outcome::Applied(version) if *version != base + 1 => unchanged(false),
                    Outcome::Applied(version) if has_patch(*version, id) => unchanged(true),
                    Outcome::Applied(_) if is_current => (true, next),
                    Outcome::Unknown if is_current => (true, next),
                    Outcome::Unknown | Outcome::Refused => unchanged(true),
                    Outcome::Conflict => unchanged(!is_current && !has_patch(base + 1, id)),
                    _ => unchanged(false),
                }
            }
            (Kind::InForce | Kind::Version(_), Outcome::Read(version, id)) => {
                unchanged(has_patch(*version, id))
            }
            (Kind::Version(version), Outcome::Missing) => unchanged(state.len() < *version),
            (_, Outcome::Unknown | Outcome::Refused) => unchanged(true),
            _ => unchanged(false),
        }
    }
}

/// Records the calls and responses of all operators in order.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    log: Mutex<Log>,
}

#[derive(Debug, Default)]
struct Log {
    /// The number of operations. Each is a separate process of the history, since an operation with
    /// an unknown outcome stays open.
    operations: usize,
    actions: Vec<(usize, Action<Operation>)>,
}

impl Operators {
    fn record(&self, kind: &Kind, perform: impl FnOnce() -> Outcome) -> Outcome {
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
        let outcome = perform();
        if outcome != Outcome::Unknown {
            let response = Action::Response(action(&outcome));
            lock().actions.push((number, response));
        }
        outcome
    }

    /// Submits a patch through an entry.
    pub(crate) fn patch(&self, entry: SocketAddr, id: &str, base: usize) -> Outcome {
        let kind = Kind::Patch {
            id: id.to_owned(),
            base,
        };
        self.record(&kind, || {
            let patch = json!({
                "id": id, "base": base, "author": "ana",
                "set": {"team.kitchen.quota": (base + 1).to_string()},
            });
            let (status, body) = post(entry, "/v1/config", &patch);
            match status {
                201 => Outcome::Applied(version_number(&body["version"])),
                409 => Outcome::Conflict,
                503 => Outcome::Refused,
                504 | 0 => Outcome::Unknown,
                _ => panic!("unexpected status {status} for a patch: {body}"),
            }
        })
    }

    /// Reads the version in force at an entry.
    pub(crate) fn in_force(&self, entry: SocketAddr) -> Outcome {
        self.record(&Kind::InForce, || parse_read(&get(entry, "/v1/config")))
    }

    /// Reads one version through an entry.
    pub(crate) fn version(&self, entry: SocketAddr, version: usize) -> Outcome {
        self.record(&Kind::Version(version), || {
            parse_read(&get(entry, &format!("/v1/config/{version}")))
        })
    }

    /// Asserts that the operations are linearizable.
    pub(crate) fn check(&self) {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        assert!(
            is_linearizable(&log.actions),
            "the operations are not linearizable: {:#?}",
            log.actions
        );
    }
}

/// Returns whether operations are linearizable. Operations without a response end after all others.
pub(crate) fn is_linearizable(actions: &[(usize, Action<Operation>)]) -> bool {
    let mut complete = actions.to_vec();
    for (number, action) in actions {
        let is_response = |(other, action): &(usize, Action<Operation>)| {
            other == number && matches!(action, Action::Response(_))
        };
        if let Action::Call(operation) = action
            && !actions.iter().any(is_response)
        {
            complete.push((*number, Action::Response(operation.clone())));
        }
    }
    WGLChecker::<Versions>::is_linearizable(History::from_actions(complete))
}

fn version_number(value: &Value) -> usize {
    let number = value.as_u64().expect("a version is a number");
    usize::try_from(number).expect("versions are small")
}

fn parse_read((status, body): &(u16, Value)) -> Outcome {
    match status {
        200 => {
            let id = body["patch"].as_str().unwrap_or_default().to_owned();
            let version = version_number(&body["version"]);
            // The value shows whether the content belongs to this version's patch.
            let quota = body["values"]["team.kitchen.quota"].as_str();
            let expected = (version > 0).then(|| version.to_string());
            assert_eq!(quota, expected.as_deref(), "{body}");
            Outcome::Read(version, id)
        }
        400 => Outcome::Missing,
        503 | 0 => Outcome::Unknown,
        _ => panic!("unexpected status {status} for a read: {body}"),
    }
}
