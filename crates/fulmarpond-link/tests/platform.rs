//! The client of the key-value service against its stand-in.

use std::thread;
use std::time::Duration;

use fulmarpond_link::platform::{Change, Item, KeyValueClient, PlatformError};
use fulmarpond_standins::{KeyValue, KeyValueControl, Relay};

/// Time limit of calls that must succeed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time limit of calls that get no reply.
const SHORT: Duration = Duration::from_secs(1);

fn start() -> (KeyValue, KeyValueClient) {
    let store = KeyValue::start("127.0.0.1:0").expect("a free port");
    let client = KeyValueClient::new(store.addr(), PATIENCE);
    (store, client)
}

fn item(key: &str, value: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: value.to_owned(),
        revision,
    }
}

/// Guards against a write that ignores its condition, and against a wrong verdict on it.
#[test]
fn writes_hold_to_their_condition() {
    struct Case {
        name: &'static str,
        key: &'static str,
        value: Option<String>,
        revision: Option<u64>,
        result: Result<Option<u64>, PlatformError>,
    }
    let put = |name, key, value: &str, revision, result: Result<u64, PlatformError>| Case {
        name,
        key,
        value: Some(value.to_owned()),
        revision,
        result: result.map(Some),
    };
    let delete = |name, key, revision, result: Result<(), PlatformError>| Case {
        name,
        key,
        value: None,
        revision,
        result: result.map(|()| None),
    };
    let conflict = |revision| PlatformError::Conflict { revision };
    let large = "v".repeat((1 << 20) + 1);
    let cases = [
        put("create", "a", "1", Some(0), Ok(1)),
        put("create again", "a", "2", Some(0), Err(conflict(1))),
        put("swap", "a", "2", Some(1), Ok(2)),
        put(
            "swap at an old revision",
            "a",
            "3",
            Some(1),
            Err(conflict(2)),
        ),
        put(
            "swap what does not exist",
            "b",
            "3",
            Some(1),
            Err(conflict(0)),
        ),
        put("no condition", "a", "3", None, Ok(3)),
        put("too large", "a", &large, None, Err(PlatformError::TooLarge)),
        put("no text", "c", "", Some(0), Ok(4)),
        delete("delete at an old revision", "a", Some(1), Err(conflict(3))),
        delete("delete", "a", Some(3), Ok(())),
        delete("delete again", "a", None, Ok(())),
        delete("delete again at a revision", "a", Some(3), Err(conflict(0))),
        put("create after the deletion", "a", "4", Some(0), Ok(6)),
    ];
    let (_store, client) = start();
    for case in cases {
        let result = match &case.value {
            Some(value) => client.put(case.key, value, case.revision).map(Some),
            None => client.delete(case.key, case.revision).map(|()| None),
        };
        assert_eq!(result, case.result, "{}", case.name);
    }
    assert_eq!(client.get("a"), Ok(Some(item("a", "4", 6))));
    assert_eq!(client.get("b"), Ok(None));
}

/// Guards against keys that another key hides or that a path or query mangles.
#[test]
fn keys_are_kept_as_they_are() {
    let keys = [
        "roster",
        "config/1",
        "a b+c",
        "50%25",
        "q?x=1&y#z",
        "Jaboatão",
        "../up",
        "a//b",
    ];
    let (_store, client) = start();
    for (number, key) in keys.into_iter().enumerate() {
        let revision = number as u64 + 1;
        assert_eq!(client.put(key, key, Some(0)), Ok(revision), "{key}");
        let expected = item(key, key, revision);
        assert_eq!(client.get(key), Ok(Some(expected.clone())), "{key}");
        let listed = client.list(key).expect("a list");
        assert!(listed.items.contains(&expected), "{key}: {listed:?}");
    }
    assert_eq!(client.list("").expect("a list").items.len(), keys.len());
}

/// Guards against a watch that skips or repeats changes.
#[test]
fn watches_go_on_from_a_revision() {
    let (store, client) = start();
    assert_eq!(client.put("config/1", "a", None), Ok(1));
    assert_eq!(client.put("other", "b", None), Ok(2));
    let listed = client.list("config/").expect("a list");
    assert_eq!((listed.items.len(), listed.revision), (1, 2));
    let changes = client
        .watch("config/", listed.revision, 1)
        .expect("no change");
    assert_eq!((changes.items, changes.revision), (Vec::new(), 2));

    let addr = store.addr();
    let calls = store.calls().watch;
    let watch =
        thread::spawn(move || KeyValueClient::new(addr, PATIENCE).watch("config/", 2, 600_000));
    while store.calls().watch == calls {
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(client.delete("config/1", Some(1)), Ok(()));
    let changes = watch.join().expect("no panic").expect("a change");
    let deleted = Change {
        key: "config/1".to_owned(),
        value: None,
        revision: 3,
    };
    assert_eq!((changes.items, changes.revision), (vec![deleted], 3));
}

/// Guards against a fault that is reported as "nothing was written" after a write.
#[test]
fn faults_tell_whether_a_write_can_have_happened() {
    struct Case {
        name: &'static str,
        fault: fn(&KeyValue, &Relay),
        error: PlatformError,
        /// Whether the write took effect.
        written: bool,
    }
    let cases = [
        Case {
            name: "outage",
            fault: |store, _| store.control(KeyValueControl::default().outage(true)),
            error: PlatformError::Unavailable,
            written: false,
        },
        Case {
            name: "no connection",
            fault: |_, relay| {
                relay.refuse();
                relay.cut();
            },
            error: PlatformError::Unavailable,
            written: false,
        },
        Case {
            name: "silent connection",
            fault: |_, relay| relay.silence(),
            error: PlatformError::Unknown,
            written: false,
        },
        Case {
            name: "lost reply",
            fault: |store, _| store.control(KeyValueControl::default().lose_replies(1)),
            error: PlatformError::Unknown,
            written: true,
        },
        Case {
            name: "late effect",
            fault: |store, _| store.control(KeyValueControl::default().slow_ms(600_000)),
            error: PlatformError::Unknown,
            written: true,
        },
    ];
    for case in cases {
        let store = KeyValue::start("127.0.0.1:0").expect("a free port");
        let relay = Relay::start(store.addr()).expect("a free port");
        let client = KeyValueClient::new(relay.addr(), SHORT);
        let direct = KeyValueClient::new(store.addr(), PATIENCE);
        // The client keeps this connection and sends the next call over it.
        assert_eq!(client.get("a"), Ok(None), "{}", case.name);
        (case.fault)(&store, &relay);
        assert_eq!(
            client.put("a", "x", Some(0)),
            Err(case.error),
            "{}",
            case.name
        );
        store.control(KeyValueControl::default().outage(false).slow_ms(0));
        let changes = direct.watch("a", 0, if case.written { 600_000 } else { 0 });
        let written = !changes.expect("the service is back").items.is_empty();
        assert_eq!(written, case.written, "{}", case.name);
    }
}

/// Guards against a stopped service that costs every call its whole timeout.
#[test]
fn a_stopped_service_is_unavailable() {
    let (store, client) = start();
    assert_eq!(client.get("a"), Ok(None));
    store.stop();
    assert_eq!(client.get("a"), Err(PlatformError::Unavailable));
    assert_eq!(client.list(""), Err(PlatformError::Unavailable));
    assert_eq!(client.put("a", "x", None), Err(PlatformError::Unavailable));
    assert_eq!(client.delete("a", None), Err(PlatformError::Unavailable));
    assert_eq!(
        client.watch("", 0, 600_000),
        Err(PlatformError::Unavailable)
    );
}
