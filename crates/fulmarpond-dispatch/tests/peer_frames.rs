//! Frames between entries of two versions, which meet during each rollout.

use fulmarpond_dispatch::{AgentFrame, JobId, ListedAttempt, ListedEnd, PeerFrame, decode, encode};
use serde::{Deserialize, Serialize};

/// The first frames between entries, as they were before lists had ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum EarlierFrame {
    Hello {
        name: String,
        incarnation: u64,
    },
    Attempts {
        attempts: Vec<ListedAttempt>,
        wants_reply: bool,
        number: u32,
    },
}

fn attempts() -> Vec<ListedAttempt> {
    vec![ListedAttempt {
        job: JobId("0000000000000001".to_owned()),
        age_ms: 400,
    }]
}

fn ends() -> Vec<ListedEnd> {
    vec![ListedEnd {
        job: JobId("0000000000000002".to_owned()),
        age_ms: 900,
        started_ms: 880,
        over_ms: 20,
    }]
}

fn list(ended: Vec<ListedEnd>) -> PeerFrame {
    PeerFrame::Attempts {
        attempts: attempts(),
        wants_reply: true,
        number: 7,
        ended,
    }
}

fn earlier_list() -> EarlierFrame {
    EarlierFrame::Attempts {
        attempts: attempts(),
        wants_reply: true,
        number: 7,
    }
}

/// Guards against links that are closed because one side of them is of an earlier version.
#[test]
fn lists_are_read_by_both_versions() {
    let read: PeerFrame = decode(&encode(&earlier_list())).expect("a list without ends");
    assert_eq!(read, list(Vec::new()));
    let read: EarlierFrame = decode(&encode(&list(ends()))).expect("a list with ends");
    assert_eq!(read, earlier_list());
}

/// Guards against ends that are lost on the way, in the frame that carries them.
#[test]
fn ends_are_read_back() {
    let frame = AgentFrame::Peer(list(ends()));
    let read: AgentFrame = decode(&encode(&frame)).expect("a frame");
    assert_eq!(read, frame);
}

/// Guards against lists that grow where nothing has ended: each goes to every other entry some five
/// times a second.
#[test]
fn lists_without_ends_take_one_more_byte() {
    let (now, earlier) = (encode(&list(Vec::new())), encode(&earlier_list()));
    assert_eq!(now.len(), earlier.len() + 1);
    let with_end = encode(&list(ends()));
    assert!(with_end.len() <= now.len() + 24, "{}", with_end.len());
}
