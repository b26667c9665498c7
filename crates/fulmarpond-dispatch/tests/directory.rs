//! The calls of an entry to a store that does not answer.

use fulmarpond_core::Time;
use fulmarpond_dispatch::directory::{Action, Directory, Duty, StoreCall, StoreReply};
use fulmarpond_dispatch::entry::Configuration;

const START: Time = Time::from_millis(10_000);

/// Returns when a directory reads or watches the configuration while all of its calls are refused,
/// in milliseconds from now.
fn attempts(directory: &mut Directory, from: Time, millis: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for at in 0..millis {
        let now = from.after_millis(at);
        let mut out = Vec::new();
        directory.tick(now, &mut out);
        for action in out {
            let Action::Call { duty, .. } = action else {
                continue;
            };
            if duty == Duty::Configuration {
                times.push(at);
            }
            directory.answered(duty, None, now, &mut Vec::new());
        }
    }
    times
}

/// Guards against requests that are refused after a loss of all power although the store is back:
/// without a configuration an entry serves nothing.
#[test]
fn entry_without_configuration_asks_often() {
    let mut directory = Directory::new(START);
    let times = attempts(&mut directory, START, 5_000);
    let pauses: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.iter().all(|&pause| pause <= 100), "{pauses:?}");
    assert!(times.len() <= 100, "{} calls in 5 s", times.len());
}

/// Guards against a store that is pressed by entries which can go on without it.
#[test]
fn entry_with_configuration_asks_less_and_less() {
    let mut directory = Directory::new(START);
    let mut out = Vec::new();
    directory.tick(START, &mut out);
    let read = |action: &Action| {
        let Action::Call { call, .. } = action else {
            return false;
        };
        *call == StoreCall::ReadConfiguration
    };
    assert!(out.iter().any(read));
    let reply = StoreReply::Configuration {
        value: Some(Configuration::new(1, Vec::new(), None)),
        at: 4,
    };
    directory.answered(Duty::Configuration, Some(reply), START, &mut Vec::new());
    let times = attempts(&mut directory, START.after_millis(1), 5_000);
    assert!((5..=12).contains(&times.len()), "{times:?}");
}
