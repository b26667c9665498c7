//! Crowds of clients that do not behave, against real processes with lowered limits.
//!
//! Each test checks what does not depend on the speed of the machine: the process lives, its memory and
//! its open descriptors stay within what its settings give it, and one ordinary job is completed
//! afterwards. The tests run one at a time.

mod crowd;
mod leased_system;

use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crowd::{CROWD, Crowd, LEGAL_BODY_BYTES, alone, post_head, submission};
use leased_system::{System, free_addr, get, request, wait_until};

/// What the settings of the tests give each process. Memory is that of the entry or agent as a whole;
/// the smallest machines have three times as much.
const LIMITS: &str = "[limits]\nmemory = 40MB\ndescriptors = 600\n";
const MEMORY_KB: u64 = 40 * 1024;
const DESCRIPTORS: usize = 600;

/// Checks that all processes live within their limits and that the entry still completes a job. A caller
/// sends its job again until it gets an answer, as all callers do.
fn check(system: &mut System) {
    check_limits(system);
    static NEXT_JOB: AtomicU32 = AtomicU32::new(1);
    let id = format!("f{:015x}", NEXT_JOB.fetch_add(1, Ordering::Relaxed));
    wait_until("an ordinary job is completed", || {
        let answer = system.submit(0, &id, 1, "ms=10");
        answer.is_some_and(|(status, _)| status == 200)
    });
    check_limits(system);
}

/// Checks the same after a crowd of valid jobs, which may rightly fill the queue: an ordinary job is
/// completed or refused, and its caller gets an answer.
fn check_answered(system: &mut System) {
    check_limits(system);
    wait_until("an ordinary job is answered", || {
        system.submit(0, "f100000000000000", 1, "ms=10").is_some()
    });
    check_limits(system);
}

fn check_limits(system: &mut System) {
    let entries = system.entries.iter_mut().map(|entry| ("entry", entry));
    let agents = system.agents.iter_mut().map(|agent| ("agent", agent));
    for (role, process) in entries.chain(agents) {
        assert!(process.is_alive(), "{role} has ended");
        let peak_kb = process.status_kb("VmHWM:").expect("a status");
        let files = process.open_files();
        println!("{role}: peak of {peak_kb} KB, {files} descriptors");
        assert!(peak_kb <= MEMORY_KB, "{role}: peak of {peak_kb} KB");
        assert!(files <= DESCRIPTORS, "{role}: {files} descriptors");
    }
}

/// Guards against bodies that all but end: the entry kept the input of all connections together.
#[test]
fn crowd_that_keeps_the_last_byte_back() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let body = vec![b' '; LEGAL_BODY_BYTES - 1];
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        [post_head(member, LEGAL_BODY_BYTES).as_bytes(), &body].concat()
    });
    check(&mut system);
    drop(crowd);
    check(&mut system);
}

/// Guards against a configuration that has not come yet: bodies may have 4 MiB until then.
#[test]
fn crowd_while_the_entry_starts() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    system.entries[0].kill();
    system.entries[0] = system.start_entry_with_store(0, free_addr());
    wait_until("the entry listens", || {
        get(system.readiness[0], "/v1/ready").is_some()
    });
    let len = 4 * 1024 * 1024;
    let body = vec![b' '; len - 1];
    let crowd = Crowd::send(system.callers[0], 20, |member| {
        [post_head(member, len).as_bytes(), &body].concat()
    });
    check_limits(&mut system);
    drop(crowd);
    let answer = system.submit(0, "f000000000000000", 1, "ms=10");
    assert!(answer.is_some(), "no answer");
    check_limits(&mut system);
}

/// Guards against a crowd that keeps a stopping entry from its end.
#[test]
fn crowd_while_the_entry_stops() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    system.entries[0].signal("TERM");
    let body = vec![b' '; LEGAL_BODY_BYTES - 1];
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        [post_head(member, LEGAL_BODY_BYTES).as_bytes(), &body].concat()
    });
    let peak_kb = system.entries[0].status_kb("VmHWM:").expect("a status");
    assert!(peak_kb <= MEMORY_KB, "peak of {peak_kb} KB");
    assert!(system.entries[0].wait(), "the entry failed");
    drop(crowd);
}

/// Guards against a crowd that is let in by a reload.
#[test]
fn crowd_while_the_entry_reloads() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let body = vec![b' '; LEGAL_BODY_BYTES - 1];
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        if member % 50 == 0 {
            system.entries[0].signal("HUP");
        }
        [post_head(member, LEGAL_BODY_BYTES).as_bytes(), &body].concat()
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against whole bodies that arrive together: each was held twice until all were handled.
#[test]
fn crowd_of_whole_bodies_at_one_moment() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let padding = "x".repeat(LEGAL_BODY_BYTES - 200);
    let body = format!(r#"{{"Pad":"{padding}","Spec":"ms=10","Steps":[],"BestEffort":true}}"#);
    system.entries[0].signal("STOP");
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        (post_head(member, body.len()) + &body).into_bytes()
    });
    std::thread::sleep(Duration::from_millis(500));
    system.entries[0].signal("CONT");
    check(&mut system);
    drop(crowd);
}

/// Guards against a short body that grows when it is decoded: all its steps were built before their
/// number was checked.
#[test]
fn crowd_of_bodies_with_many_steps() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let steps = "{},".repeat((LEGAL_BODY_BYTES - 200) / 3);
    let body = format!(r#"{{"Spec":"ms=10","Steps":[{steps}{{}}],"BestEffort":true}}"#);
    let crowd = Crowd::send(system.callers[0], 100, |member| {
        (post_head(member, body.len()) + &body).into_bytes()
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against large specifications that are passed on to agents with every task.
#[test]
fn crowd_of_large_specifications() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let spec = format!("ms=900 {}", "x".repeat(250_000));
    let body = submission(&spec, 16, true);
    let crowd = Crowd::send(system.callers[0], 100, |member| {
        (post_head(member, body.len()) + &body).into_bytes()
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against an agent that copies the specification of an order for each of its tasks.
#[test]
fn crowd_of_jobs_with_many_tasks() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let body = submission(&format!("ms=1 {}", "x".repeat(3_900)), 60_000, true);
    let crowd = Crowd::send(system.callers[0], 20, |member| {
        (post_head(member, body.len()) + &body).into_bytes()
    });
    check_answered(&mut system);
    drop(crowd);
}

/// Guards against kept jobs whose large specifications an entry holds until they have run.
#[test]
fn crowd_of_kept_jobs_with_large_specifications() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let body = submission(&format!("ms=900 {}", "x".repeat(250_000)), 1, false);
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        (post_head(member, body.len()) + &body).into_bytes()
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against kept jobs of a short body whose tasks fill the memory.
#[test]
fn crowd_of_kept_jobs_with_many_tasks() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let body = submission("ms=1", 60_000, false);
    let crowd = Crowd::send(system.callers[0], 20, |member| {
        (post_head(member, body.len()) + &body).into_bytes()
    });
    check_answered(&mut system);
    drop(crowd);
}

/// Guards against bodies in tiny pieces behind a long header section.
#[test]
fn crowd_of_bodies_in_tiny_pieces() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let padding = "a".repeat(1_000);
    let headers: String = (0..11).map(|n| format!("X-{n}: {padding}\r\n")).collect();
    let mut crowd = Crowd::send(system.callers[0], CROWD, |member| {
        let head = post_head(member, LEGAL_BODY_BYTES);
        head.replace("\r\n\r\n", &format!("\r\n{headers}\r\n"))
            .into_bytes()
    });
    for _ in 0..200 {
        crowd.send_more(&[b' '; 16]);
    }
    check(&mut system);
    drop(crowd);
}

/// Guards against chunked bodies, which are not supported, that are kept all the same.
#[test]
fn crowd_of_chunked_bodies() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(65_536)).repeat(4);
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        let head = post_head(member, 0).replace("Content-Length: 0", "Transfer-Encoding: chunked");
        (head + &chunk).into_bytes()
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against header sections without end.
#[test]
fn crowd_of_endless_headers() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let mut crowd = Crowd::send(system.callers[0], CROWD, |_| {
        b"GET /jobs/ HTTP/1.1\r\nX-Long: ".to_vec()
    });
    for _ in 0..40 {
        crowd.send_more(&[b'a'; 1_000]);
    }
    check(&mut system);
    drop(crowd);
}

/// Guards against answers that a client never reads: the next requests that it had sent ahead were
/// answered into the memory of the process.
#[test]
fn crowd_that_reads_no_answers() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let requests = "GET /metrics HTTP/1.1\r\n\r\n".repeat(8_000);
    let crowd = Crowd::send(system.metrics[0], 30, |_| requests.clone().into_bytes());
    check(&mut system);
    drop(crowd);
}

/// Guards against requests that are sent ahead and kept until the one before is answered.
#[test]
fn crowd_of_requests_sent_ahead() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let job = submission("ms=900", 1, true);
    let padding = format!("{}{}", post_head(9, LEGAL_BODY_BYTES), " ".repeat(250_000));
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        (post_head(member, job.len()) + &job + &padding).into_bytes()
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against connections that are closed on one side only.
#[test]
fn crowd_of_half_closed_connections() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let body = vec![b' '; LEGAL_BODY_BYTES - 1];
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        [post_head(member, LEGAL_BODY_BYTES).as_bytes(), &body].concat()
    });
    crowd.shut_down(Shutdown::Write);
    check(&mut system);
    crowd.shut_down(Shutdown::Both);
    check(&mut system);
}

/// Guards against a crowd that holds all connections: an ordinary caller was turned away.
#[test]
fn crowd_that_holds_all_connections() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let crowd = Crowd::send(system.callers[0], 2 * DESCRIPTORS, |_| Vec::new());
    check(&mut system);
    drop(crowd);
}

/// Sends a crowd of idle connections and one of bodies that do not end to a listener.
fn check_listener(listener: impl Fn(&System) -> SocketAddr, body_bytes: usize, members: usize) {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let addr = listener(&system);
    let idle = Crowd::send(addr, 2 * DESCRIPTORS, |_| Vec::new());
    check(&mut system);
    drop(idle);
    let body = vec![b' '; body_bytes - 1];
    let crowd = Crowd::send(addr, members, |member| {
        [post_head(member, body_bytes).as_bytes(), &body].concat()
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against a crowd at the readiness listener, which shares the connections of callers.
#[test]
fn crowd_at_the_readiness_listener() {
    check_listener(|system| system.readiness[0], LEGAL_BODY_BYTES, CROWD);
}

/// Guards against a crowd at the metrics listener, which shares the connections of callers.
#[test]
fn crowd_at_the_metrics_listener() {
    check_listener(|system| system.metrics[0], LEGAL_BODY_BYTES, CROWD);
}

/// Guards against a crowd at the agent's listener for heartbeats, whose bodies may have 4 MiB.
#[test]
fn crowd_at_the_heartbeat_listener() {
    check_listener(|system| system.controls[0], 4 * 1024 * 1024, 20);
}

/// Guards against links without number, each with a frame of 4 MiB that never ends.
#[test]
fn crowd_at_the_link_listener() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let idle = Crowd::send(system.links[0], 2 * DESCRIPTORS, |_| Vec::new());
    check(&mut system);
    drop(idle);
    let len: u32 = 4 * 1024 * 1024;
    let crowd = Crowd::send(system.links[0], 20, |_| {
        let mut frame = len.to_be_bytes().to_vec();
        frame.resize(len as usize - 1, b' ');
        frame
    });
    check(&mut system);
    drop(crowd);
}

/// Guards against questions about unknown jobs, each of which starts a call to the store.
#[test]
fn crowd_of_requests_on_unknown_jobs() {
    let _alone = alone();
    let mut system = System::start_limited(LIMITS);
    let crowd = Crowd::send(system.callers[0], CROWD, |member| {
        let requests = (0..20).map(|number| {
            let method = if number % 2 == 0 { "GET" } else { "DELETE" };
            format!("{method} /jobs/{member:08x}{number:08x} HTTP/1.1\r\nHost: desk\r\n\r\n")
        });
        requests.collect::<String>().into_bytes()
    });
    check(&mut system);
    drop(crowd);
    let (status, _) = request(system.callers[0], "GET", "/jobs/", "").expect("an answer");
    assert_eq!(status, 200);
}
