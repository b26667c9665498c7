//! Guards the configuration versions against racing operators, outages and lost replies.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use fulmarpond_core::entry::{
    CallerReply, CallerRequest, Entry, EntryAction, EntryInput, EntryOptions, StoreError, StoreOp,
    StoreReply,
};
use fulmarpond_core::link::{CallId, VersionedConfig};
use fulmarpond_core::policy::{Patch, Version};
use fulmarpond_core::{Role, Time};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use support::cases::config;
use support::store::Store;

const ENTRIES: usize = 3;
const OPERATORS: usize = 4;

/// What becomes of one call to the key-value service.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Performed,
    ReplyLost,
    Lost,
    Out,
}

#[derive(Debug, Clone)]
enum Transition {
    /// An operator sends a patch for the version that an entry has in force, or for an older one.
    Patch {
        operator: usize,
        entry: usize,
        back: u64,
    },
    /// An operator repeats its last patch, at any entry.
    Repeat { operator: usize, entry: usize },
    /// The oldest outstanding call of an entry is performed.
    Store { entry: usize, fate: Fate },
    /// The watch of an entry returns.
    Watch { entry: usize },
    /// An entry is replaced.
    Restart { entry: usize },
    /// Time passes.
    Wait { ms: u64 },
}

/// A register with compare-and-swap for each version: only what transitions are possible.
#[derive(Debug, Clone, Default)]
struct Register {
    /// Which operators have a patch to repeat.
    patched: [bool; OPERATORS],
}

impl ReferenceStateMachine for Register {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let entry = 0..ENTRIES;
        let operator = 0..OPERATORS;
        let fate = prop_oneof![
            6 => Just(Fate::Performed),
            1 => Just(Fate::ReplyLost),
            1 => Just(Fate::Lost),
            1 => Just(Fate::Out),
        ];
        let back = prop_oneof![6 => Just(0_u64), 1 => 1..3_u64];
        prop_oneof![
            3 => (operator.clone(), entry.clone(), back)
                .prop_map(|(operator, entry, back)| Transition::Patch { operator, entry, back }),
            1 => (operator, entry.clone())
                .prop_map(|(operator, entry)| Transition::Repeat { operator, entry }),
            8 => (entry.clone(), fate).prop_map(|(entry, fate)| Transition::Store { entry, fate }),
            2 => entry.clone().prop_map(|entry| Transition::Watch { entry }),
            1 => entry.prop_map(|entry| Transition::Restart { entry }),
            1 => prop_oneof![1..500_u64, 2_000..6_000_u64].prop_map(|ms| Transition::Wait { ms }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Repeat { operator, .. } => state.patched[*operator],
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        if let Transition::Patch { operator, .. } = transition {
            state.patched[*operator] = true;
        }
        state
    }
}

struct Process {
    entry: Entry,
    calls: Vec<(CallId, StoreOp)>,
    config: Version,
    watched: u64,
}

struct System {
    now: Time,
    rng: Pcg32,
    store: Store,
    processes: Vec<Process>,
    next: u64,
    /// The patches that wait for a reply, by call.
    open: BTreeMap<u64, Patch>,
    /// The ids of patches that were sent in several requests.
    repeated: BTreeSet<String>,
    last: [Option<Patch>; OPERATORS],
    /// The versions as they were first seen. A version never changes.
    versions: BTreeMap<u64, VersionedConfig>,
}

fn process(entry: usize) -> Process {
    let options = EntryOptions {
        name: format!("entry-{entry}"),
        announce_ms: 1_000,
        silence_ms: 30_000,
        window_ms: 7_200_000,
    };
    Process {
        entry: Entry::new(options),
        calls: Vec::new(),
        config: Version::default(),
        watched: 0,
    }
}

impl System {
    fn step(&mut self, index: usize, input: EntryInput) {
        let process = &mut self.processes[index];
        let mut actions = Vec::new();
        process
            .entry
            .step(self.now, input, &mut self.rng, &mut actions);
        let config = process.entry.config();
        assert!(
            config >= process.config,
            "entry {index} went back to version {config}"
        );
        process.config = config;
        for action in actions {
            match action {
                EntryAction::Store { call, op } => self.processes[index].calls.push((call, op)),
                EntryAction::Answer { call, reply } => self.answered(call.0, &reply),
                _ => {}
            }
        }
    }

    fn version_of(&self, id: &str) -> Option<u64> {
        let made = |(version, config): (&u64, &VersionedConfig)| {
            (config.patch.id == id).then_some(*version)
        };
        self.versions.iter().find_map(made)
    }

    fn answered(&mut self, call: u64, reply: &CallerReply) {
        let Some(patch) = self.open.remove(&call) else {
            return;
        };
        let made = self.version_of(&patch.id);
        match reply {
            CallerReply::Applied(version) => assert_eq!(Some(version.0), made, "{patch:?}"),
            CallerReply::Conflict { current } => {
                assert_eq!(
                    made, None,
                    "{patch:?} conflicts with {current}, but was applied"
                );
                assert_ne!(*current, patch.base, "{patch:?} conflicts with its base");
            }
            CallerReply::Refused(refusal) => {
                // A request speaks for itself only.
                let repeated = self.repeated.contains(&patch.id);
                assert!(
                    made.is_none() || repeated,
                    "{patch:?} was applied: {refusal:?}"
                );
            }
            CallerReply::Unconfirmed(_) => {}
            other => panic!("{patch:?} got {other:?}"),
        }
    }

    fn patch(&mut self, entry: usize, patch: Patch) {
        self.next += 1;
        self.open.insert(self.next, patch.clone());
        let call = CallId(self.next);
        let request = CallerRequest::Patch(patch);
        self.step(entry, EntryInput::Caller { call, request });
    }

    fn perform(&mut self, entry: usize, fate: Fate) {
        if self.processes[entry].calls.is_empty() {
            return;
        }
        let (call, op) = self.processes[entry].calls.remove(0);
        let result = match fate {
            Fate::Performed => self.store.perform(op),
            Fate::ReplyLost => {
                let _ = self.store.perform(op);
                Err(StoreError::Unknown)
            }
            Fate::Lost => Err(StoreError::Unknown),
            Fate::Out => Err(StoreError::Unavailable),
        };
        self.remember();
        if let Ok(StoreReply::Value(Some(item))) = &result {
            assert!(item.revision > 0);
        }
        self.step(entry, EntryInput::Stored { call, result });
    }

    fn remember(&mut self) {
        for item in self.store.changed(0) {
            if item.key.starts_with("config/") {
                let config: VersionedConfig =
                    serde_json::from_str(&item.value).expect("entries write valid versions");
                let first = self
                    .versions
                    .entry(config.version.0)
                    .or_insert(config.clone());
                assert_eq!(*first, config, "a version changed");
            }
        }
    }

    fn watch(&mut self, entry: usize) {
        let items = self.store.changed(self.processes[entry].watched);
        self.processes[entry].watched = self.store.revision();
        self.step(
            entry,
            EntryInput::Watched {
                items,
                began: self.now,
            },
        );
    }
}

struct Configurations;

impl StateMachineTest for Configurations {
    type SystemUnderTest = System;
    type Reference = Register;

    fn init_test(_: &Register) -> System {
        System {
            now: Time::from_millis(1_000),
            rng: Pcg32::seed_from_u64(1),
            store: Store::default(),
            processes: (0..ENTRIES).map(process).collect(),
            next: 0,
            open: BTreeMap::new(),
            repeated: BTreeSet::new(),
            last: [const { None }; OPERATORS],
            versions: BTreeMap::new(),
        }
    }

    fn apply(mut system: System, _: &Register, transition: Transition) -> System {
        match transition {
            Transition::Patch {
                operator,
                entry,
                back,
            } => {
                let base = Version(system.processes[entry].config.0.saturating_sub(back));
                let id = format!("patch-{}", system.next);
                let value = (1_000 + system.next).to_string();
                let patch = Patch {
                    id,
                    base,
                    set: [(format!("team.t{operator}.quota"), value)].into(),
                    ..Patch::default()
                };
                system.last[operator] = Some(patch.clone());
                system.patch(entry, patch);
            }
            Transition::Repeat { operator, entry } => {
                if let Some(patch) = system.last[operator].clone() {
                    system.repeated.insert(patch.id.clone());
                    system.patch(entry, patch);
                }
            }
            Transition::Store { entry, fate } => system.perform(entry, fate),
            Transition::Watch { entry } => system.watch(entry),
            Transition::Restart { entry } => {
                // Its callers lose their connection.
                system.processes[entry] = process(entry);
            }
            Transition::Wait { ms } => system.now = system.now.after_millis(ms),
        }
        system
    }

    /// Each version is the one before it with one patch applied, and each patch made one version.
    fn check_invariants(system: &System, _: &Register) {
        let mut values = BTreeMap::new();
        let mut ids = BTreeSet::new();
        for (index, (version, config)) in system.versions.iter().enumerate() {
            assert_eq!(*version, index as u64 + 1, "a version is missing");
            let made = config.patch.apply(Version(index as u64), &values);
            assert_eq!(made.as_ref(), Ok(&config.values), "version {version}");
            assert!(
                ids.insert(&config.patch.id),
                "{} made two versions",
                config.patch.id
            );
            values.clone_from(&config.values);
        }
    }

    /// With the service back every patch is answered and every entry has the latest version.
    fn teardown(mut system: System, _: Register) {
        for _ in 0..64 {
            for entry in 0..ENTRIES {
                system.perform(entry, Fate::Performed);
            }
        }
        let latest = system.versions.keys().last().copied().unwrap_or(0);
        for entry in 0..ENTRIES {
            system.watch(entry);
            let process = &system.processes[entry];
            assert_eq!(process.config, Version(latest));
            assert_eq!(process.entry.open(), 0, "a patch has no answer");
        }
    }
}

prop_state_machine! {
    #![proptest_config(config(256))]

    /// Guards against two authors of one version, lost patches and false replies to operators.
    #[test]
    fn versions_have_one_author(sequential 1..60 => Configurations);
}
