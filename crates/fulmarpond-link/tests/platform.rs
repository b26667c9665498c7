//! Tests of the key-value client against the stand-in of the key-value service.

use std::thread;
use std::time::Duration;

use fulmarpond_link::platform::{Change, Item, KeyValueClient, PlatformError};
use fulmarpond_standins::{KeyValue, KeyValueControl, Relay};

/// The timeout of calls that are expected to succeed.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout of calls that receive no reply.
const NO_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

fn start_store() -> (KeyValue, KeyValueClient) {
    let store = KeyValue::start("127.0.0.1:0").expect("a free port");
    let client = KeyValueClient::new(store.addr(), CALL_TIMEOUT);
    (store, client)
}

fn item(key: &str, value: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: value.to_owned(),
        revision,
    }
}

/// Guards against a conditional write that ignores `if_revision`, and against a wrong result of
/// such a write. The cases run in order on one store.
#[test]
fn writes_respect_their_condition() {
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
    let (_store, client) = start_store();
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

/// Guards against keys that are changed by the encoding of a URL path or query, so that they
/// cannot be read back, or collide with another key.
#[test]
fn keys_with_special_characters_are_preserved() {
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
    let (_store, client) = start_store();
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

/// Guards against a watch that skips or repeats changes. A watch continues from the revision of a
/// list, once without and once with a later change.
#[test]
fn watch_continues_from_a_revision() {
    let (store, client) = start_store();
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
        thread::spawn(move || KeyValueClient::new(addr, CALL_TIMEOUT).watch("config/", 2, 600_000));
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

/// Guards against an error that states that nothing was written although the write may have taken
/// effect. Each case injects one fault into the service or the connection before a write.
#[test]
fn errors_state_whether_a_write_may_have_taken_effect() {
    struct Case {
        name: &'static str,
        fault: fn(&KeyValue, &Relay),
        error: PlatformError,
        is_written: bool,
    }
    let cases = [
        Case {
            name: "outage",
            fault: |store, _| store.control(KeyValueControl::default().outage(true)),
            error: PlatformError::Unavailable,
            is_written: false,
        },
        Case {
            name: "no connection",
            fault: |_, relay| {
                relay.refuse();
                relay.cut();
            },
            error: PlatformError::Unavailable,
            is_written: false,
        },
        Case {
            name: "silent connection",
            fault: |_, relay| relay.silence(),
            error: PlatformError::Unknown,
            is_written: false,
        },
        Case {
            name: "lost reply",
            fault: |store, _| store.control(KeyValueControl::default().lose_replies(1)),
            error: PlatformError::Unknown,
            is_written: true,
        },
        Case {
            name: "late effect",
            fault: |store, _| store.control(KeyValueControl::default().slow_ms(600_000)),
            error: PlatformError::Unknown,
            is_written: true,
        },
    ];
    for case in cases {
        let store = KeyValue::start("127.0.0.1:0").expect("a free port");
        let relay = Relay::start(store.addr()).expect("a free port");
        let client = KeyValueClient::new(relay.addr(), NO_REPLY_TIMEOUT);
        let direct = KeyValueClient::new(store.addr(), CALL_TIMEOUT);
        // The client keeps this connection open and reuses it for the next call.
        assert_eq!(client.get("a"), Ok(None), "{}", case.name);
        (case.fault)(&store, &relay);
        assert_eq!(
            client.put("a", "x", Some(0)),
            Err(case.error),
            "{}",
            case.name
        );
        store.control(KeyValueControl::default().outage(false).slow_ms(0));
        let changes = direct.watch("a", 0, if case.is_written { 600_000 } else { 0 });
        let is_written = !changes
            .expect("the service is available again")
            .items
            .is_empty();
        assert_eq!(is_written, case.is_written, "{}", case.name);
    }
}

/// Guards against calls to a stopped service that wait for their whole timeout instead of failing
/// immediately, because the connection is refused.
#[test]
fn stopped_service_is_unavailable() {
    let (store, client) = start_store();
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
