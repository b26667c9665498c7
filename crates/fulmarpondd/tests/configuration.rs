//! Configuration changes by racing operators while the platform's key-value service has faults.

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

/// The patches that each operator gets applied.
const PATCHES: usize = 6;

/// Starts operators who race with patches and reads through all entries, until each got `PATCHES`
/// patches applied.
fn race(system: &System, operators: &Arc<Operators>, seed: u64) -> Vec<JoinHandle<()>> {
    (0..3)
        .map(|number| {
            let entries = system.entry_addrs();
            let operators = Arc::clone(operators);
            let rng = Pcg64::seed_from_u64(seed * 1_000 + number);
            thread::spawn(move || operate(&operators, &entries, number, rng))
        })
        .collect()
}

fn operate(operators: &Operators, entries: &[SocketAddr], number: u64, mut rng: Pcg64) {
    let mut base = 0;
    for patch in 0..PATCHES {
        let id = format!("patch-{number}-{patch}");
        // The base of the first try whose outcome is not known: only its repetition tells.
        let mut open = None;
        loop {
            let entry = entries[rng.random_range(0..entries.len())];
            match operators.patch(entry, &id, open.unwrap_or(base)) {
                Outcome::Applied(version) => {
                    base = version;
                    break;
                }
                Outcome::Unknown => open = open.or(Some(base)),
                Outcome::Refused => {}
                _ => {
                    open = None;
                    base = newest(operators, entries[rng.random_range(0..entries.len())], base);
                }
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
        }
    }
}

/// Reads versions from the one in force on until none follows.
fn newest(operators: &Operators, entry: SocketAddr, known: usize) -> usize {
    let mut newest = known;
    if let Outcome::Read(version, _) = operators.in_force(entry) {
        newest = newest.max(version);
    }
    while let Outcome::Read(version, _) = operators.version(entry, newest + 1) {
        newest = version;
    }
    newest
}

fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        thread.join().expect("the operator ends");
    }
}

/// Watches the configuration versions that processes show, and asserts that none goes back.
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
                    assert!(version >= *last, "{addr} went from {last} to {version}");
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
        let thread = self.thread.take().expect("the watcher runs");
        thread.join().expect("no version went back");
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

fn wait_version(system: &System, version: usize) {
    wait_until("every process has the latest version", || {
        processes(system).all(|process| process.metric("config_version") == Some(version as u64))
    });
}

/// Reads all versions through both entries and asserts that they agree.
fn assert_same_versions(system: &System, versions: usize) {
    for version in 1..=versions {
        let path = format!("/v1/config/{version}");
        let [first, second] = [0, 1].map(|entry| common::get(system.entries[entry].http, &path));
        assert_eq!(first.0, 200, "{first:?}");
        assert_eq!(first, second);
    }
}

/// Guards against two patches under one number, lost updates and versions that go back, when
/// operators race through two entries.
#[test]
fn racing_operators_get_one_order_of_versions() {
    let system = System::start(2, 2, 1);
    let watcher = Watcher::start(&system);
    let operators = Arc::new(Operators::default());
    join(race(&system, &operators, 31));
    wait_version(&system, 3 * PATCHES);
    assert_same_versions(&system, 3 * PATCHES);
    watcher.finish();
    operators.check();
}

/// Guards against a patch that is applied twice, or reported as refused, when the reply of the
/// store is lost after the write took effect.
#[test]
fn lost_replies_of_the_store_leave_one_version_for_each_patch() {
    let system = System::start(2, 2, 1);
    let watcher = Watcher::start(&system);
    let operators = Arc::new(Operators::default());
    let threads = race(&system, &operators, 32);
    while !threads.iter().all(JoinHandle::is_finished) {
        system
            .kv
            .control(KeyValueControl::default().lose_replies(2));
        thread::sleep(Duration::from_millis(20));
    }
    join(threads);
    system
        .kv
        .control(KeyValueControl::default().lose_replies(0));
    wait_version(&system, 3 * PATCHES);
    assert_same_versions(&system, 3 * PATCHES);
    watcher.finish();
    operators.check();
}

/// Guards against patches that take effect although they were refused, or twice, and against
/// versions that go back, when the store is out and slow by turns.
#[test]
fn an_out_and_slow_store_keeps_what_is_in_force() {
    let system = System::start(2, 2, 1);
    let watcher = Watcher::start(&system);
    let operators = Arc::new(Operators::default());
    let threads = race(&system, &operators, 33);
    let mut rng = Pcg64::seed_from_u64(33);
    while !threads.iter().all(JoinHandle::is_finished) {
        // Above the timeout of 500 ms a write takes effect after its writer gave up.
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
    join(threads);
    wait_version(&system, 3 * PATCHES);
    assert_same_versions(&system, 3 * PATCHES);
    watcher.finish();
    operators.check();
}

/// Guards against a patch that is called refused although it took effect after its writer gave up,
/// and against a second version when it is repeated through another entry.
#[test]
fn a_patch_of_unknown_fate_can_be_repeated() {
    let system = System::start(2, 1, 1);
    let operators = Operators::default();
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    // The timeout of a call is 500 ms, and no read-back gets through either.
    system.kv.control(KeyValueControl::default().slow_ms(700));
    assert_eq!(operators.patch(first, "late", 0), Outcome::Unknown);
    system.kv.control(KeyValueControl::default().slow_ms(0));
    assert_eq!(operators.patch(second, "late", 0), Outcome::Applied(1));
    assert_eq!(operators.patch(first, "late", 0), Outcome::Applied(1));
    wait_version(&system, 1);
    operators.check();
}

/// Guards against processes that lose the configuration, or take an older one, while the store is
/// out, and against patches that are accepted then.
#[test]
fn an_outage_changes_nothing_that_is_in_force() {
    let mut system = System::start(2, 2, 1);
    let operators = Operators::default();
    let [first, second] = system.entry_addrs()[..] else {
        unreachable!("the system has two entries");
    };
    assert_eq!(operators.patch(first, "one", 0), Outcome::Applied(1));
    wait_version(&system, 1);
    let watcher = Watcher::start(&system);
    system.kv.control(KeyValueControl::default().outage(true));
    assert_eq!(operators.patch(second, "two", 1), Outcome::Refused);
    assert_eq!(
        operators.in_force(second),
        Outcome::Read(1, "one".to_owned())
    );
    // A new agent learns the version from the entries.
    system.add_node(2);
    wait_version(&system, 1);
    system.kv.control(KeyValueControl::default().outage(false));
    wait_until("a patch is accepted again", || {
        operators.patch(second, "two", 1) == Outcome::Applied(2)
    });
    wait_version(&system, 2);
    watcher.finish();
    operators.check();
}

/// Guards against a repeated patch that gets a second version, or is refused as a conflict because
/// the entry no longer keeps the version that the patch made.
#[test]
fn a_repeated_patch_has_the_same_version() {
    let system = System::start(2, 1, 1);
    let operators = Operators::default();
    let entries = system.entry_addrs();
    // An entry keeps 64 versions.
    let versions = 70;
    for base in 0..versions {
        let id = format!("patch-{base}");
        let outcome = operators.patch(entries[base % 2], &id, base);
        assert_eq!(outcome, Outcome::Applied(base + 1));
        let again = operators.patch(entries[(base + 1) % 2], &id, base);
        assert_eq!(again, outcome);
    }
    wait_version(&system, versions);
    for entry in &entries {
        assert_eq!(
            operators.patch(*entry, "patch-0", 0),
            Outcome::Applied(1),
            "the first patch, repeated after {versions} versions"
        );
        assert_eq!(operators.patch(*entry, "other", 0), Outcome::Conflict);
    }
    operators.check();
}

/// A history with what the checker must say about it.
struct CheckerCase {
    name: &'static str,
    operations: Vec<(Kind, Outcome)>,
    fits: bool,
}

/// Guards against a checker that accepts every history.
#[test]
fn the_checker_rejects_histories_that_no_order_explains() {
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
            fits: true,
        },
        CheckerCase {
            name: "an unknown patch that took effect",
            operations: vec![
                patch("a", 0, Outcome::Unknown),
                read(1, "a"),
                patch("a", 0, Outcome::Applied(1)),
            ],
            fits: true,
        },
        CheckerCase {
            name: "two patches under one number",
            operations: vec![
                patch("a", 0, Outcome::Applied(1)),
                patch("b", 0, Outcome::Applied(1)),
            ],
            fits: false,
        },
        CheckerCase {
            name: "a refused patch that took effect",
            operations: vec![patch("a", 0, Outcome::Refused), read(1, "a")],
            fits: false,
        },
        CheckerCase {
            name: "a version that went away",
            operations: vec![
                patch("a", 0, Outcome::Applied(1)),
                (Kind::Version(1), Outcome::Missing),
            ],
            fits: false,
        },
        CheckerCase {
            name: "a conflict for a patch that was applied",
            operations: vec![
                patch("a", 0, Outcome::Applied(1)),
                patch("a", 0, Outcome::Conflict),
            ],
            fits: false,
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
        assert_eq!(is_linearizable(&actions), case.fits, "{}", case.name);
    }
}
