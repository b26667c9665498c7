//! Validity of the example files.

use std::fs;
use std::path::{Path, PathBuf};

use fulmarpond_core::contract::{RawSubmission, Submission};
use fulmarpond_core::policy::{Patch, PlacementGoal, Policy, Values};
use fulmarpond_settings::{DaemonSettings, Document, PatchFile, Role};
use serde_json::Value;

struct Deployment {
    folder: &'static str,
    weigh: PlacementGoal,
    jobs: &'static str,
    kind: &'static str,
    zones: [&'static str; 4],
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        folder: "hunt-desk",
        weigh: PlacementGoal::Response,
        jobs: "answer-checks.json",
        kind: "answer-check",
        zones: ["Fukuoka", "Kitakyushu", "Saga", "Kurume"],
    },
    Deployment {
        folder: "food-ledger",
        weigh: PlacementGoal::Messages,
        jobs: "plate-costs.json",
        kind: "plate-cost",
        zones: ["Boa Viagem", "Casa Forte", "Olinda", "Jaboatão"],
    },
];

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn document(folder: &str, file: &str) -> Document {
    let text = fs::read_to_string(examples().join(folder).join(file)).unwrap();
    Document::parse(file, &text).unwrap_or_else(|errors| panic!("{:?}", errors.errors()))
}

fn settings(folder: &str, file: &str) -> DaemonSettings {
    DaemonSettings::try_from(&document(folder, file))
        .unwrap_or_else(|errors| panic!("{folder}/{file}: {:?}", errors.errors()))
}

/// Guards against example settings that a daemon rejects, and against an agent whose entry address
/// differs from the one that the example entry advertises. Both happen when a key, a default or an
/// address changes without the examples.
#[test]
fn daemon_examples_are_consistent() {
    for deployment in DEPLOYMENTS {
        let entry = settings(deployment.folder, "entry.ini");
        let agent = settings(deployment.folder, "agent.ini");
        assert!(matches!(entry.role, Role::Entry(_)));
        let Role::Agent(role) = &agent.role else {
            panic!("{}/agent.ini has role `entry`", deployment.folder);
        };
        assert_eq!(role.entries, [entry.advertise]);
        for zone in [&entry.zone, &agent.zone] {
            assert!(deployment.zones.contains(&zone.as_str()), "{zone}");
        }
        assert_eq!(entry.timing, agent.timing);
    }
}

/// Guards against example patches that fail on the built-in configuration, for example after a key
/// of the policy is renamed or its valid range changes.
#[test]
fn patch_examples_apply_to_built_in_configuration() {
    for deployment in DEPLOYMENTS {
        let document = document(deployment.folder, "kv-patch-quotas.ini");
        let patch = PatchFile::try_from(&document)
            .unwrap_or_else(|errors| panic!("{}: {:?}", deployment.folder, errors.errors()));
        let patch = Patch::from(patch);
        let values = patch.apply(patch.base, &Values::new()).unwrap();
        let policy = Policy::try_from(&values).unwrap();
        assert_eq!(policy.placement_goal, deployment.weigh);
    }
}

/// Guards against job files that an entry rejects. The command-line tool adds `id` and `attempt`,
/// so a file is invalid if it has either or does not match the format of a submission otherwise.
#[test]
fn job_examples_are_valid_submissions() {
    for deployment in DEPLOYMENTS {
        let path = examples().join(deployment.folder).join(deployment.jobs);
        let mut job: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
        assert!(job.get("id").is_none() && job.get("attempt").is_none());
        job["id"] = "example-1".into();
        job["attempt"] = 1.into();
        let raw: RawSubmission = serde_json::from_value(job).unwrap();
        let submission = Submission::try_from(raw).unwrap();
        assert_eq!(submission.tasks.len(), 40);
        for task in &submission.tasks {
            assert_eq!(task.kind, deployment.kind);
            let run_ms = task.payload["run_ms"].as_u64().unwrap();
            assert!((50..=400).contains(&run_ms), "run_ms is {run_ms}");
        }
    }
}
