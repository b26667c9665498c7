//! Retries of an entry while the store refuses its calls.

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::Configuration;
use fulmarpond_dispatch::directory::{
    Action, Activity, Directory, StoreCall, StoreReply, StoredConfiguration,
};

const START: Time = Time::from_millis(10_000);

/// Fails every call of a directory for a while and returns the times at which it reads or watches
/// the configuration, in milliseconds after `from`.
fn attempt_times(directory: &mut Directory, from: Time, duration_ms: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for at in 0..duration_ms {
        let now = from.after_millis(at);
        let mut out = Vec::new();
        directory.tick(now, &mut out);
        for action in out {
            let Action::Call { activity, .. } = action else {
                continue;
            };
            if activity == Activity::Configuration {
                times.push(at);
            }
            directory.handle_reply(activity, None, now, &mut Vec::new());
        }
    }
    times
}

/// Guards against requests that are still refused after a loss of all power although the store has
/// recovered: an entry without a configuration serves nothing, so it must not back off.
#[test]
fn entry_without_configuration_retries_at_short_intervals() {
    let mut directory = Directory::new(START);
    let times = attempt_times(&mut directory, START, 5_000);
    let pauses: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.iter().all(|&pause| pause <= 100), "{pauses:?}");
    assert!(times.len() <= 100, "{} attempts in 5 s", times.len());
}

/// Guards against retries that overload a recovering store: an entry with a configuration can serve
/// without the store, so it backs off.
#[test]
fn entry_with_configuration_backs_off() {
    let mut directory = Directory::new(START);
    let mut out = Vec::new();
    directory.tick(START, &mut out);
    let reads_configuration = |action: &Action| {
        let Action::Call { call, .. } = action else {
            return false;
        };
        *call == StoreCall::ReadConfiguration
    };
    assert!(out.iter().any(reads_configuration));
    let reply = StoreReply::Configuration {
        value: Some(StoredConfiguration {
            configuration: Configuration::new(1, Vec::new(), None),
            skipped_rows: 0,
            bytes: 100,
        }),
        at: 4,
    };
    directory.handle_reply(Activity::Configuration, Some(reply), START, &mut Vec::new());
    let times = attempt_times(&mut directory, START.after_millis(1), 5_000);
    assert!((5..=12).contains(&times.len()), "{times:?}");
}
