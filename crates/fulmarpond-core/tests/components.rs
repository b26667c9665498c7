//! Property tests of single components: retry budget, endpoint health, submission checks and patches.

mod support;

use std::collections::BTreeMap;

use fulmarpond_core::Time;
use fulmarpond_core::contract::{
    Attempt, InvalidSubmission, JobId, RawSubmission, Resources, Submission, SubmissionLimits, Task,
};
use fulmarpond_core::machine::Health;
use fulmarpond_core::policy::{Patch, PatchError, Policy, Values, Version};
use fulmarpond_core::retry::RetryBudget;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use serde_json::Value;
use support::property_config::config;

proptest! {
    #![proptest_config(config(512))]

    /// Guards against a retry storm: more retries than the configured share of first attempts plus
    /// the initial reserve.
    ///
    /// Also guards against a budget that refuses retries although it has enough balance.
    #[test]
    fn retry_budget_bounds_retries(steps in vec((0..50_u64, 0..=100_u32, 0..30_u32), 1..50)) {
        let mut budget = RetryBudget::new();
        let (mut earned_percent, mut taken) = (1_000_u64, 0_u64);
        for (attempts, percent, requests) in steps {
            budget.deposit(attempts, percent);
            earned_percent += attempts * u64::from(percent);
            for _ in 0..requests {
                let is_allowed = budget.try_take();
                taken += u64::from(is_allowed);
                prop_assert!(taken * 100 <= earned_percent);
                // A retry is refused only if the balance is too low or earnings exceeded the cap.
                prop_assert!(is_allowed || earned_percent - taken * 100 < 100 || earned_percent > 100_000);
            }
        }
    }

    /// Guards against an endpoint that is ejected too early, for too long or permanently.
    ///
    /// An ejection is due after `limit` consecutive failures or after a failed probe. The maximum
    /// ejection time doubles with each ejection up to a limit, and a success resets it.
    #[test]
    fn health_ejects_failing_endpoints(
        outcomes in vec((prop::bool::weighted(0.1), prop_oneof![0..5_000_u64, 30_000..90_000_u64]), 1..80),
        limit in 0..6_u32,
        seed in any::<u64>(),
    ) {
        let mut health = Health::default();
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut now = Time::from_millis(1);
        let (mut consecutive_failures, mut ejections) = (0, 0_u32);
        for (is_success, delay_ms) in outcomes {
            now = now.after_millis(delay_ms);
            let (was_ejected, was_probing) = (health.is_ejected(now), health.is_probing(now));
            prop_assert!(!(was_ejected && was_probing));
            consecutive_failures = if is_success { 0 } else { consecutive_failures + 1 };
            let is_ejection_due = !is_success && (was_probing || (ejections == 0 && consecutive_failures >= limit.max(1)));
            prop_assert_eq!(health.record(now, is_success, limit, &mut rng), is_ejection_due);
            ejections = if is_success { 0 } else { ejections + u32::from(is_ejection_due) };
            if is_ejection_due {
                let max_ejection_ms = (500 << ejections.min(10)).min(60_000);
                prop_assert!(health.is_ejected(now.after_millis(max_ejection_ms / 2 - 1)));
                prop_assert!(health.is_probing(now.after_millis(max_ejection_ms)));
            } else if is_success {
                prop_assert!(!health.is_ejected(now) && !health.is_probing(now));
            } else {
                prop_assert_eq!(health.is_ejected(now), was_ejected);
            }
        }
    }

    /// Guards against invalid submissions that are accepted and valid ones that are refused.
    ///
    /// The submissions have names, tokens, deadlines and task counts on both sides of each limit.
    #[test]
    fn only_valid_submissions_are_accepted(
        id in "[a-z/ ]{0,3}|[A-Za-z0-9._-]{62,66}",
        stated_team in prop::option::of("a|b|b c"),
        token_team in prop::option::of("a|b"),
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
            needs: Resources::default(),
        };
        let raw = RawSubmission {
            id: id.clone(),
            team: stated_team.clone(),
            attempt,
            age_ms,
            deadline_ms,
            wait: true,
            tasks: kinds.iter().map(task).collect(),
        };
        let is_name = |name: &str| {
            (1..=64).contains(&name.len())
                && name.chars().all(|c| c.is_ascii_alphanumeric() || "._-".contains(c))
        };
        let team = token_team.clone().or_else(|| stated_team.clone());
        let is_valid = is_name(&id)
            && team.as_deref().is_some_and(is_name)
            && !(token_team.is_some() && stated_team.is_some() && token_team != stated_team)
            && attempt != Some(0)
            && (1..=10).contains(&deadline_ms)
            && (1..=3).contains(&kinds.len())
            && kinds.iter().all(|kind| is_name(kind));
        let checked = Submission::check(raw.clone(), token_team.as_deref(), &limits);
        prop_assert_eq!(checked.is_ok(), is_valid, "{:?}", &checked);
        if let Ok(submission) = checked {
            // Only a submission that states attempt 1 counts as a first attempt.
            let is_first = submission.attempt == Attempt::First;
            prop_assert_eq!(is_first, attempt == Some(1));
            prop_assert_eq!(submission.job, JobId::new(&team.unwrap_or_default(), &id));
            prop_assert_eq!(submission.tasks, raw.tasks);
            prop_assert_eq!(submission.remaining_ms, deadline_ms);
        } else if attempt == Some(0) && is_name(&id) && token_team.is_some() && stated_team.is_none() {
            prop_assert_eq!(checked, Err(InvalidSubmission::Attempt));
        }
    }

    /// Guards against lost updates and invalid configurations.
    ///
    /// An update is lost when a patch is applied to another version than its base, or when it
    /// changes keys that it does not name.
    #[test]
    fn patches_apply_only_to_their_base_version(
        id in "|a",
        base in 0..3_u64,
        current in 0..3_u64,
        values in setting_values(),
        set in setting_values(),
        unset in vec(setting_key(), 0..3),
    ) {
        let is_current_valid = Policy::try_from(&values).is_ok();
        let set: BTreeMap<String, String> = set;
        let patch = Patch { id: id.clone(), base: Version(base), author: String::new(), set: set.clone(), unset: unset.clone() };
        let before = values.clone();
        let patched = patch.apply(Version(current), &values);
        prop_assert_eq!(&values, &before);
        match patched {
            Ok(patched) => {
                prop_assert!(!id.is_empty() && base == current);
                prop_assert!(Policy::try_from(&patched).is_ok());
                for (key, value) in &patched {
                    let is_kept = !unset.contains(key) && values.get(key) == Some(value);
                    prop_assert!(set.get(key) == Some(value) || (!set.contains_key(key) && is_kept));
                }
                let removed = values.keys().filter(|key| !patched.contains_key(*key));
                prop_assert!(removed.into_iter().all(|key| unset.contains(key)));
                prop_assert!(set.keys().all(|key| patched.contains_key(key)));
            }
            Err(PatchError::NoId) => prop_assert!(id.is_empty()),
            Err(PatchError::Conflict { .. }) => prop_assert_ne!(base, current),
            Err(PatchError::UnknownKey(key)) => prop_assert!(unset.contains(&key)),
            Err(PatchError::Invalid(_)) => {
                let has_invalid_value = set.iter().any(|(key, value)| Policy::try_from(&Values::from([(key.clone(), value.clone())])).is_err());
                prop_assert!(has_invalid_value || !is_current_valid);
            }
        }
    }
}

fn setting_key() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("placement.policy"),
        Just("limits.waiting"),
        Just("retry.percent"),
        Just("team.kitchen.quota"),
        Just("team..quota"),
    ]
    .prop_map(str::to_owned)
}

fn setting_values() -> impl Strategy<Value = Values> {
    let value = prop_oneof![
        3 => Just("uniform".to_owned()),
        3 => (0..150_u32).prop_map(|number| number.to_string()),
        1 => Just("-1".to_owned()),
    ];
    btree_map(setting_key(), value, 0..3)
}
