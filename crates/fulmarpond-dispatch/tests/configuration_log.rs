//! The configuration that a process holds, and the changes that it passes on.

use fulmarpond_dispatch::configuration::{
    Configuration, ConfigurationLog, ConfigurationUpdate, Route,
};
use fulmarpond_dispatch::{decode, encode};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 20_261_205;

fn route(number: u8, service: u8) -> Route {
    Route {
        name: format!("route-{number}"),
        host: format!("Host-{}", number % 3),
        prefix: format!("/{}/", "x".repeat(usize::from(number))),
        service: format!("service-{service}"),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_ms: 60,
        advice: None,
    }
}

/// Returns versions that grow in uneven steps; each has any routes with any services.
fn any_versions() -> impl Strategy<Value = Vec<Configuration>> {
    let routes = proptest::collection::vec((0..12_u8, 0..2_u8), 0..12);
    let versions = proptest::collection::vec((1..4_u64, routes), 2..12);
    versions.prop_map(|versions| {
        let mut last = 0;
        let versions = versions.into_iter().map(|(step, routes)| {
            last += step;
            let routes = routes
                .iter()
                .map(|&(number, service)| route(number, service));
            Configuration::new(last, routes.collect(), None)
        });
        versions.collect()
    })
}

fn log_of(versions: &[Configuration]) -> ConfigurationLog {
    let mut log = ConfigurationLog::default();
    for version in versions {
        log.replace(version.clone());
    }
    log
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })]

    /// Guards against a process that holds other routes than the operator wrote, because changes
    /// were passed on wrongly: from any version that it holds, over the wire, to the newest one.
    #[test]
    fn updates_lead_from_any_version_to_the_newest(versions in any_versions(), held in 0..12_usize) {
        let sender = log_of(&versions);
        let mut receiver = log_of(&versions[..held.min(versions.len() - 1)]);
        let update = sender.update_since(receiver.version()).expect("a newer version");
        let update: ConfigurationUpdate = decode(&encode(&update)).expect("a valid update");
        prop_assert!(receiver.apply(update).expect("the base is held").is_some());
        prop_assert_eq!(receiver.current(), versions.last());
        prop_assert!(sender.update_since(receiver.version()).is_none());
        // It can pass on what it has received.
        let mut third = log_of(&versions[..1]);
        let update = receiver.update_since(third.version()).expect("a newer version");
        third.apply(update).expect("the base is held");
        prop_assert_eq!(third.current(), versions.last());
    }
}

/// Guards against changes that are applied to another version than their base, and against an older
/// version that replaces a newer one.
#[test]
fn updates_for_another_base_and_old_ones_change_nothing() {
    let version = |number: u64, routes: u8| {
        let routes = (0..routes).map(|number| route(number, 0));
        Configuration::new(number, routes.collect(), None)
    };
    let sender = log_of(&[version(1, 9), version(2, 8), version(5, 7)]);
    let changes = sender.update_since(2).expect("a newer version");
    let mut other = log_of(&[version(3, 4)]);
    assert!(other.apply(changes).is_err());
    assert_eq!(other.version(), 3);
    let whole = sender.update_since(0).expect("a newer version");
    assert!(matches!(whole, ConfigurationUpdate::Whole(_)));
    let mut newer = log_of(&[version(6, 4)]);
    assert_eq!(newer.apply(whole), Ok(None));
    assert_eq!(newer.version(), 6);
}

/// Guards against a change of one route that is sent with all others, and against changes that are
/// kept although together they are larger than the whole.
#[test]
fn changes_are_small_and_bounded() {
    let mut log = ConfigurationLog::default();
    for version in 1..400_u64 {
        let mut routes: Vec<Route> = (0..100).map(|number| route(number, 0)).collect();
        routes[(version % 100) as usize].service = format!("service-{version}");
        log.replace(Configuration::new(version, routes, None));
    }
    let one = log.update_since(398).expect("a newer version");
    let ten = log.update_since(389).expect("a newer version");
    let whole = log.update_since(1).expect("a newer version");
    assert!(matches!(whole, ConfigurationUpdate::Whole(_)));
    let sizes = [&one, &ten, &whole].map(|update| encode(update).len());
    assert!(sizes[0] * 20 < sizes[2], "{sizes:?}");
    assert!(sizes[1] < sizes[2], "{sizes:?}");
}
