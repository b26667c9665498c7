//! Configuration changes by concurrent operators while the platform's key-value service has faults.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use common::operators::{Kind, Operation, Operators, Outcome, is_linearizable};
use common::{Process, System, wait_until};
use fulmarpond_standins::KeyValueControl;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use todc_utils::Action;

/// Number of patches that each operator applies.
const PATCHES_PER_OPERATOR: usize = 6;

/// Starts operators that concurrently submit patches and read versions through all entries, until
/// each has applied `PATCHES_PER_OPERATOR` patches.
fn start_operators(system: &System, operators: &Arc<Operators>, seed: u64) -> Vec<JoinHandle<()>> {
    (0..3)
        .map(|number| {
            let entries = system.entry_addrs();
            let operators = Arc::clone(operators);
            let rng = Pcg64::seed_from_u64(seed * 1_000 + number);
            thread::spawn(move || run_operator(&operators, &entries, number, rng))
        })
        .collect()
}

fn run_operator(operators: &Operators, entries: &[SocketAddr], number: u64, mut rng: Pcg64) {
    let mut base = 0;
    for patch in 0..PATCHES_PER_OPERATOR {
        let id = format!("patch-{number}-{patch}");
        // The base of the first attempt with an unknown outcome: only a retry with the same base
        // reveals the outcome.
        let mut unknown_base = None;
        loop {
            let entry = entries[rng.random_range(0..entries.len())];
            match operators.patch(entry, &id, unknown_base.unwrap_or(base)) {
                Outcome::Applied(version) => {
                    base = version;
                    break;
                }
                Outcome::Unknown => unknown_base = unknown_base.or(Some(base)),
                Outcome::Refused => {}
                _ => {
                    unknown_base = None;
                    base = latest_version(
                        operators,
                        entries[rng.random_range(0..entries.len())],
                        base,
                    );
                }
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
        }
    }
}

/// Returns the latest version, found by reading from the version in force until none follows.
fn latest_version(operators: &Operators, entry: SocketAddr, known: usize) -> usize {
    let mut latest_version = known;
    if let Outcome::Read(version, _) = operators.in_force(entry) {
        latest_version = latest_version.max(version);
    }
    while let Outcome::Read(version, _) = operators.version(entry, latest_version + 1) {
        latest_version = version;
    }
    latest_version
}

fn join_all(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        thread.join().expect("the operator thread does not panic");
    }
}

/// Polls the configuration versions of all processes, and asserts that none decreases.
struct Watcher {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watcher {
    fn start(system: &System) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stop);
        let addrs: Vec<SocketAddr> = processes(system).map(|process| process.http).collect();
        let thread = thread::spawn(move || {
            let mut last = vec![0; addrs.len()];
            while !flag.load(Ordering::Relaxed) {
                for (addr, last) in addrs.iter().zip(&mut last) {
                    let Some(version) = common::metric(*addr, "config_version") else {
                        continue;
                    };
                    assert!(
                        version >= *last,
                        "configuration version at {addr} decreased from {last} to {version}"
                    );
                    *last = version;
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }

    fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let thread = self.thread.take().expect("the watcher has a thread");
        thread.join().expect("no version decreased");
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn processes(system: &System) -> impl Iterator<Item = &Process> {
    let agents = system.live_nodes().map(|node| &node.agent);
    system.entries.iter().chain(agents)
}

fn wait_for_version(system: &System, version: usize) {
    wait_until("every process has the latest version", || {
        processes(system).all(|process| process.metric("config_version") == Some(version as u64))
    });
}

/// Reads all versions through both entries and asserts that they are equal.
fn assert_same_versions(system: &System, versions: usize) {
    for version in 1..=versions {
        let path = format!("/v1/config/{version}");
        let [first, second] = [0, 1].map(|entry| common::get(system.entries[entry].http, &path));
        assert_eq!(first.0, 200, "{first:?}");
        assert_eq!(first, second);
    }
}

/// Guards against two patches with the same version number, lost updates and versions that
/// decrease, when operators submit patches concurrently through two entries.
#[test]
fn concurrent_patches_get_one_order_of_versions() {
    let system = System::start(2, 2, 1);
    let watcher = Watcher::start(&system);
    let operators = Arc::new(Operators::default());
    join_all(start_operators(&system, &operators, 31));
    wait_for_version(&system, 3 * PATCHES_PER_OPERATOR);
    assert_same_versions(&system, 3 * PATCHES_PER_OPERATOR);
    watcher.finish();
    operators.check();
}

/// Guards against a patch that is applied twice or reported as refused. This happens when the reply
/// of the store is lost after the write took effect.
#[test]
fn lost_store_replies_create_one_version_per_patch() {
    let system = System::start(2, 2, 1);
    let watcher = Watcher::start(&system);
    let operators = Arc::new(Operators::default());
    let threads = start_operators(&system, &operators, 32);
    while !threads.iter().all(JoinHandle::is_finished) {
        system
            .kv
            .control(KeyValueControl::default().lose_replies(2));
        thread::sleep(Duration::from_millis(20));
    }
    join_all(threads);
    system
        .kv
        .control(KeyValueControl::default().lose_replies(0));
    wait_for_version(&system, 3 * PATCHES_PER_OPERATOR);
    assert_same_versions(&system, 3 * PATCHES_PER_OPERATOR);
    watcher.finish();
    operators.check();
}

/// Guards against patches that take effect after they were refused, or twice, and against versions
/// that decrease. Alternating outages and delays of the store leave the outcome of writes unknown.
#[test]
fn store_outages_and_delays_preserve_the_configuration() {
    let system = System::start(2, 2, 1);
    let watcher = Watcher::start(&system);
    let operators = Arc::new(Operators::default());
    let threads = start_operators(&system, &operators, 33);
    let mut rng = Pcg64::seed_from_u64(33);
    while !threads.iter().all(JoinHandle::is_finished) {
        // With a delay above the timeout of 500 ms, a write takes effect after its writer timed
        // out.
        let slow = [0, 50, 700][rng.random_range(0..3)];
        let outage = rng.random_bool(0.3);
        let faults = KeyValueControl::default().outage(outage).slow_ms(slow);
        system.kv.control(faults);
        thread::sleep(Duration::from_millis(rng.random_range(50..400)));
        system
            .kv
            .control(KeyValueControl::default().outage(false).slow_ms(0));
        thread::sleep(Duration::from_millis(rng.random_range(50..200)));
    }
    join_all(threads);
    wait_for_version(&system, 3 * PATCHES_PER_OPERATOR);
    assert_same_versions(&system, 3 * PATCHES_PER_OPERATOR);
    watcher.finish();
    operators.check();
}

/// Guards against a patch that is reported as refused although its write took effect after the
/// entry timed out, and against a second version when it is retried through another entry.
#[test]
fn a_patch_with_unknown_outcome_can_be_retried() {
    let system = System::start(2, 1, 1);
    let operators = Operators::default();
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    // The timeout of a call is 500 ms, so the read that verifies the write times out as well.
    system.kv.control(KeyValueControl::default().slow_ms(700));
    assert_eq!(operators.patch(first, "late", 0), Outcome::Unknown);
    system.kv.control(KeyValueControl::default().slow_ms(0));
    assert_eq!(operators.patch(second, "late", 0), Outcome::Applied(1));
    assert_eq!(operators.patch(first, "late", 0), Outcome::Applied(1));
    wait_for_version(&system, 1);
    operators.check();
}

/// Guards against processes that lose the configuration or revert to an older one during an outage
/// of the store, and against patches that are accepted without being stored.
#[test]
fn a_store_outage_preserves_the_configuration_in_force() {
    let mut system = System::start(2, 2, 1);
    let operators = Operators::default();
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    assert_eq!(operators.patch(first, "one", 0), Outcome::Applied(1));
    wait_for_version(&system, 1);
    let watcher = Watcher::start(&system);
    system.kv.control(KeyValueControl::default().outage(true));
    assert_eq!(operators.patch(second, "two", 1), Outcome::Refused);
    assert_eq!(
        operators.in_force(second),
        Outcome::Read(1, "one".to_owned())
    );
    // A new agent gets the configuration from the entries.
    system.add_node(2);
    wait_for_version(&system, 1);
    system.kv.control(KeyValueControl::default().outage(false));
    wait_until("a patch is accepted again", || {
        operators.patch(second, "two", 1) == Outcome::Applied(2)
    });
    wait_for_version(&system, 2);
    watcher.finish();
    operators.check();
}

/// Guards against a retried patch that creates a second version, or is refused as a conflict
/// because the entry no longer has the version of the first attempt in memory.
#[test]
fn a_retried_patch_gets_the_same_version() {
    let system = System::start(2, 1, 1);
    let operators = Operators::default();
    let entries = system.entry_addrs();
    // More than the 64 versions that an entry keeps in memory.
    let versions = 70;
    for base in 0..versions {
        let id = format!("patch-{base}");
        let outcome = operators.patch(entries[base % 2], &id, base);
        assert_eq!(outcome, Outcome::Applied(base + 1));
        let again = operators.patch(entries[(base + 1) % 2], &id, base);
        assert_eq!(again, outcome);
    }
    wait_for_version(&system, versions);
    for entry in &entries {
        assert_eq!(
            operators.patch(*entry, "patch-0", 0),
            Outcome::Applied(1),
            "the first patch, retried after {versions} versions"
        );
        assert_eq!(operators.patch(*entry, "other", 0), Outcome::Conflict);
    }
    operators.check();
}

/// A history and the expected result of the checker.
struct CheckerCase {
    name: &'static str,
    operations: Vec<(Kind, Outcome)>,
    is_valid: bool,
}

/// Guards against a checker that accepts histories which violate the specification, which would
/// hide the failures that the other tests look for.
#[test]
fn the_checker_rejects_histories_that_are_not_linearizable() {
    let patch = |id: &str, base, outcome| {
        let id = id.to_owned();
        (Kind::Patch { id, base }, outcome)
    };
    let read = |version, id: &str| (Kind::InForce, Outcome::Read(version, id.to_owned()));
    let cases = [
        CheckerCase {
            name: "patches in order",
            operations: vec![
                patch("a", 0, Outcome::Applied(1)),
                patch("b", 0, Outcome::Conflict),
                patch("b", 1, Outcome::Applied(2)),
                read(1, "a"),
            ],
            is_valid: true,
        },
        CheckerCase {
            name: "a patch with unknown outcome that took effect",
            operations: vec![
                patch("a", 0, Outcome::Unknown),
                read(1, "a"),
                patch("a", 0, Outcome::Applied(1)),
            ],
            is_valid: true,
        },
        CheckerCase {
            name: "two patches with the same version",
            operations: vec![
                patch("a", 0, Outcome::Applied(1)),
                patch("b", 0, Outcome::Applied(1)),
            ],
            is_valid: false,
        },
        CheckerCase {
            name: "a refused patch that took effect",
            operations: vec![patch("a", 0, Outcome::Refused), read(1, "a")],
            is_valid: false,
        },
        CheckerCase {
            name: "a version that disappeared",
            operations: vec![
                patch("a", 0, Outcome::Applied(1)),
                (Kind::Version(1), Outcome::Missing),
            ],
            is_valid: false,
        },
        CheckerCase {
            name: "a conflict for a patch that was applied",
            operations: vec![
                patch("a", 0, Outcome::Applied(1)),
                patch("a", 0, Outcome::Conflict),
            ],
            is_valid: false,
        },
    ];
    for case in cases {
        let mut actions = Vec::new();
        for (number, (kind, outcome)) in case.operations.into_iter().enumerate() {
            let call = Operation {
                kind: kind.clone(),
                outcome: Outcome::Unknown,
            };
            actions.push((number, Action::Call(call)));
            if outcome != Outcome::Unknown {
                actions.push((number, Action::Response(Operation { kind, outcome })));
            }
        }
        assert_eq!(is_linearizable(&actions), case.is_valid, "{}", case.name);
    }
}
