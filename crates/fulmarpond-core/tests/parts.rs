//! Properties of small parts: budgets, health, submissions and patches.

mod support;

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use fulmarpond_core::contract::{
    Attempt, InvalidSubmission, JobId, Needs, RawSubmission, Submission, SubmissionLimits, Task,
};
use fulmarpond_core::machine::Health;
use fulmarpond_core::policy::{Patch, PatchError, Policy, Values, Version};
use fulmarpond_core::retry::Budget;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use serde_json::Value;
use support::cases::config;

proptest! {
    #![proptest_config(config(512))]

    /// Guards against more retries than the share of first attempts and the reserve.
    #[test]
    fn budgets_bound_retries(steps in vec((0..50_u64, 0..=100_u32, 0..30_u32), 1..50)) {
        let mut budget = Budget::new();
        let (mut earned, mut taken) = (1_000_u64, 0_u64);
        for (attempts, percent, takes) in steps {
            budget.earn(attempts, percent);
            earned += attempts * u64::from(percent);
            for _ in 0..takes {
                let allowed = budget.take();
                taken += u64::from(allowed);
                prop_assert!(taken * 100 <= earned);
                // Nothing is lost below the highest balance.
                prop_assert!(allowed || earned - taken * 100 < 100 || earned > 100_000);
            }
        }
    }

    /// Guards against an endpoint that is ejected too early, too long or for good.
    #[test]
    fn health_ejects_failing_endpoints(
        outcomes in vec((prop::bool::weighted(0.1), prop_oneof![0..5_000_u64, 30_000..90_000_u64]), 1..80),
        limit in 0..6_u32,
        seed in any::<u64>(),
    ) {
        let mut health = Health::default();
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut now = Time::from_millis(1);
        let (mut row, mut ejections) = (0, 0_u32);
        for (ok, delay) in outcomes {
            now = now.after_millis(delay);
            let (ejected, probing) = (health.is_ejected(now), health.is_probing(now));
            prop_assert!(!(ejected && probing));
            row = if ok { 0 } else { row + 1 };
            let due = !ok && (probing || (ejections == 0 && row >= limit.max(1)));
            prop_assert_eq!(health.record(now, ok, limit, &mut rng), due);
            ejections = if ok { 0 } else { ejections + u32::from(due) };
            if due {
                let longest = (500 << ejections.min(10)).min(60_000);
                prop_assert!(health.is_ejected(now.after_millis(longest / 2 - 1)));
                prop_assert!(health.is_probing(now.after_millis(longest)));
            } else if ok {
                prop_assert!(!health.is_ejected(now) && !health.is_probing(now));
            } else {
                prop_assert_eq!(health.is_ejected(now), ejected);
            }
        }
    }

    /// Guards against malformed submissions that are accepted and proper ones that are refused.
    #[test]
    fn checks_accept_proper_submissions_only(
        id in "[a-z/ ]{0,3}|[A-Za-z0-9._-]{62,66}",
        stated in prop::option::of("a|b|b c"),
        token in prop::option::of("a|b"),
        attempt in prop::option::of(0..3_u32),
        age_ms in prop::option::of(0..10_u64),
        deadline_ms in 0..12_u64,
        kinds in vec("[a-z]{0,2}", 0..5),
    ) {
        let limits = SubmissionLimits { max_tasks: 3, deadline_ms: 10 };
        let task = |kind: &String| Task {
            kind: kind.clone(),
            payload: Value::Null,
            expect_ms: None,
            needs: Needs::default(),
        };
        let raw = RawSubmission {
            id: id.clone(),
            team: stated.clone(),
            attempt,
            age_ms,
            deadline_ms,
            wait: true,
            tasks: kinds.iter().map(task).collect(),
        };
        let is_name = |name: &str| {
            (1..=64).contains(&name.len())
                && name.chars().all(|one| one.is_ascii_alphanumeric() || "._-".contains(one))
        };
        let team = token.clone().or_else(|| stated.clone());
        let proper = is_name(&id)
            && team.as_deref().is_some_and(is_name)
            && !(token.is_some() && stated.is_some() && token != stated)
            && attempt != Some(0)
            && (1..=10).contains(&deadline_ms)
            && (1..=3).contains(&kinds.len())
            && kinds.iter().all(|kind| is_name(kind));
        let checked = Submission::check(raw.clone(), token.as_deref(), &limits);
        prop_assert_eq!(checked.is_ok(), proper, "{:?}", &checked);
        if let Ok(submission) = checked {
            // Only a caller that states the first attempt is believed to have no other.
            let first = submission.attempt == Attempt::First;
            prop_assert_eq!(first, attempt == Some(1));
            prop_assert_eq!(submission.job, JobId::new(&team.unwrap_or_default(), &id));
            prop_assert_eq!(submission.tasks, raw.tasks);
            prop_assert_eq!(submission.remaining_ms, deadline_ms);
        } else if attempt == Some(0) && is_name(&id) && token.is_some() && stated.is_none() {
            prop_assert_eq!(checked, Err(InvalidSubmission::Attempt));
        }
    }

    /// Guards against patches that are applied to another version or make invalid values.
    #[test]
    fn patches_apply_to_their_version(
        id in "|a",
        base in 0..3_u64,
        current in 0..3_u64,
        values in values(),
        set in values(),
        unset in vec(key(), 0..3),
    ) {
        let valid = Policy::try_from(&values).is_ok();
        let set: BTreeMap<String, String> = set;
        let patch = Patch { id: id.clone(), base: Version(base), author: String::new(), set: set.clone(), unset: unset.clone() };
        let before = values.clone();
        let made = patch.apply(Version(current), &values);
        prop_assert_eq!(&values, &before);
        match made {
            Ok(made) => {
                prop_assert!(!id.is_empty() && base == current);
                prop_assert!(Policy::try_from(&made).is_ok());
                for (key, value) in &made {
                    let kept = !unset.contains(key) && values.get(key) == Some(value);
                    prop_assert!(set.get(key) == Some(value) || (!set.contains_key(key) && kept));
                }
                let lost = values.keys().filter(|key| !made.contains_key(*key));
                prop_assert!(lost.into_iter().all(|key| unset.contains(key)));
                prop_assert!(set.keys().all(|key| made.contains_key(key)));
            }
            Err(PatchError::NoId) => prop_assert!(id.is_empty()),
            Err(PatchError::Conflict { .. }) => prop_assert_ne!(base, current),
            Err(PatchError::UnknownKey(key)) => prop_assert!(unset.contains(&key)),
            Err(PatchError::Invalid(_)) => {
                let keys = set.iter().any(|(key, value)| Policy::try_from(&Values::from([(key.clone(), value.clone())])).is_err());
                prop_assert!(keys || !valid);
            }
        }
    }
}

fn key() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("placement.policy"),
        Just("limits.waiting"),
        Just("retry.percent"),
        Just("team.kitchen.quota"),
        Just("team..quota"),
    ]
    .prop_map(str::to_owned)
}

fn values() -> impl Strategy<Value = Values> {
    let value = prop_oneof![
        3 => Just("uniform".to_owned()),
        3 => (0..150_u32).prop_map(|number| number.to_string()),
        1 => Just("-1".to_owned()),
    ];
    btree_map(key(), value, 0..3)
}
