//! End-to-end tests of leased mode, with real processes and the emulator of the platform.

mod leased_system;

use std::time::{Duration, Instant};

use leased_system::{System, configuration, get, large_configuration, request, wait_until};

/// Guards against tasks that are lost or started twice on the way from an entry over the agents to
/// the endpoints, when a job with several tasks runs without any fault.
#[test]
fn job_is_answered_and_each_task_starts_once() {
    let system = System::start(2, 3);
    for entry in 0..2 {
        let id = format!("00000000000000a{entry}");
        let (status, body) = system.submit(entry, &id, 12, "ms=60").expect("an answer");
        assert_eq!((status, body.as_str()), (200, r#"{"State":"completed"}"#));
        let mut starts = system.starts(&id);
        starts.sort_unstable();
        let count = starts.len();
        starts.dedup();
        assert_eq!((count, starts.len()), (12, 12));
    }
}

/// Guards against a job that is retried without limit, or reported as completed, when its task
/// fails on every attempt.
#[test]
fn job_whose_tasks_fail_is_answered_as_failed() {
    let system = System::start(1, 2);
    let id = "00000000000000b0";
    let (status, body) = system.submit(0, id, 1, "ms=10 fail").expect("an answer");
    assert_eq!((status, body.as_str()), (200, r#"{"State":"failed"}"#));
    assert_eq!(system.starts(id).len(), 3);
}

struct RequestCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
}

/// Guards against requests, most of them invalid, that crash an entry or get a status other than
/// the one that the protocol defines.
#[test]
fn requests_get_the_specified_status_and_the_entry_keeps_serving() {
    let valid = r#"{"Spec":"ms=10","Steps":[{"Count":1,"Cpu":1000}],"BestEffort":true}"#;
    let cases = [
        RequestCase {
            name: "malformed JSON",
            method: "POST",
            path: "/jobs/00000000000000c0",
            body: "{",
            status: 400,
        },
        RequestCase {
            name: "wrong type",
            method: "POST",
            path: "/jobs/00000000000000c1",
            body: r#"{"Spec":1,"Steps":[]}"#,
            status: 400,
        },
        RequestCase {
            name: "no steps",
            method: "POST",
            path: "/jobs/00000000000000c2",
            body: r#"{"Spec":"","Steps":[],"BestEffort":true}"#,
            status: 400,
        },
        RequestCase {
            name: "cyclic steps",
            method: "POST",
            path: "/jobs/00000000000000c3",
            body: r#"{"Spec":"","Steps":[{"Count":1,"After":[0]}],"BestEffort":true}"#,
            status: 400,
        },
        RequestCase {
            name: "unknown queue",
            method: "POST",
            path: "/other/00000000000000c4",
            body: valid,
            status: 404,
        },
        RequestCase {
            name: "needs more than any endpoint has",
            method: "POST",
            path: "/jobs/00000000000000c5",
            body: r#"{"Spec":"","Steps":[{"Count":1,"Cpu":900000}],"BestEffort":true}"#,
            status: 503,
        },
        RequestCase {
            name: "unknown job",
            method: "GET",
            path: "/jobs/00000000000000c6",
            body: "",
            status: 410,
        },
        RequestCase {
            name: "waiting jobs",
            method: "GET",
            path: "/jobs/",
            body: "",
            status: 200,
        },
        RequestCase {
            name: "waiting jobs of an unknown queue",
            method: "GET",
            path: "/other/",
            body: "",
            status: 404,
        },
    ];
    let system = System::start(1, 1);
    for case in cases {
        let (status, _) = request(system.callers[0], case.method, case.path, case.body)
            .unwrap_or_else(|| panic!("{}: no answer", case.name));
        assert_eq!(status, case.status, "{}", case.name);
    }
    let (status, _) = system
        .submit(0, "00000000000000cf", 1, "ms=10")
        .expect("an answer");
    assert_eq!(status, 200);
}

/// Guards against requests in flight that are interrupted when their entry stops gracefully.
#[test]
fn stopping_entry_answers_accepted_jobs() {
    let mut system = System::start(2, 2);
    std::thread::scope(|scope| {
        let system = &system;
        let job = scope.spawn(move || system.submit(0, "00000000000000d0", 4, "ms=700"));
        wait_until("the job runs", || {
            !system.starts("00000000000000d0").is_empty()
        });
        system.entries[0].signal("TERM");
        wait_until("the entry is not ready", || {
            get(system.readiness[0], "/v1/ready").is_some_and(|(status, _)| status == 503)
        });
        let (status, _) = job.join().expect("no panic").expect("an answer");
        assert_eq!(status, 200);
    });
    assert!(system.entries[0].wait());
}

/// Guards against running tasks that are lost or started again when their agent stops gracefully.
#[test]
fn stopping_agent_finishes_its_runs() {
    let mut system = System::start(1, 1);
    std::thread::scope(|scope| {
        let system = &system;
        let job = scope.spawn(move || system.submit(0, "00000000000000d1", 2, "ms=700"));
        wait_until("the job runs", || {
            system.starts("00000000000000d1").len() == 2
        });
        system.agents[0].signal("TERM");
        let (status, _) = job.join().expect("no panic").expect("an answer");
        assert_eq!(status, 200);
    });
    assert!(system.agents[0].wait());
    assert_eq!(system.starts("00000000000000d1").len(), 2);
}

/// Guards against tasks that are lost or started twice when an agent is killed and a new process
/// takes over its endpoint, for example because tasks are still sent to the killed process.
#[test]
fn killed_agent_is_replaced_and_its_tasks_run_elsewhere() {
    let mut system = System::start(1, 2);
    let agent = 0;
    system.agents[agent].kill();
    let replacement = system.start_agent(agent);
    system.agents[agent] = replacement;
    wait_until("the new process uses the endpoint", || {
        system.agents[agent].has_line(&["endpoint takes tasks"])
    });
    system.wait_until_ready(0, 2);
    let (status, _) = system
        .submit(0, "00000000000000e0", 6, "ms=50")
        .expect("an answer");
    assert_eq!(status, 200);
}

/// Guards against changed settings that an entry drops although it says that they are in force: the
/// address of the store was wrong, and the entry went on with it.
#[test]
fn entry_applies_changed_settings_at_a_reload() {
    let mut system = System::start(1, 1);
    system.entries[0].kill();
    let unused = leased_system::free_addr();
    system.entries[0] = system.start_entry_with_store(0, unused);
    system.wait_until_ready(0, 1);
    system.emulator.configure(&configuration(9, "/moved/"));
    let store = system.emulator.store_addr().to_string();
    system.entries[0].replace_in_settings(&unused.to_string(), &store);
    system.entries[0].replace_in_settings("grace = 6s", "grace = 7s");
    system.entries[0].signal("HUP");
    wait_until("the newest queue is known", || {
        request(system.callers[0], "GET", "/moved/", "").is_some_and(|(status, _)| status == 200)
    });
    wait_until("the log names what needs a restart", || {
        system.entries[0].has_line(&["reload", "need a restart", "timing"])
    });
}

/// Guards against a configuration that takes effect late, or not at all after a compaction of the
/// store has removed the revision from which an entry watches.
#[test]
fn new_configuration_is_in_force_within_two_seconds() {
    let system = System::start(1, 1);
    for (version, prefix) in [(2, "/second/"), (3, "/third/")] {
        if version == 3 {
            system.emulator.compact();
        }
        system.emulator.configure(&configuration(version, prefix));
        let start = Instant::now();
        wait_until("the new queue is known", || {
            request(system.callers[0], "GET", prefix, "").is_some_and(|(status, _)| status == 200)
        });
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{:?}",
            start.elapsed()
        );
    }
    let (status, _) = request(system.callers[0], "GET", "/second/", "").expect("an answer");
    assert_eq!(status, 404);
}

/// Guards against versions of thousands of routes that an entry never gets, and against an entry that
/// starts beside them while the store is away.
#[test]
fn changes_of_thousands_of_routes_are_in_force_at_all_entries() {
    let mut system = System::start(2, 3);
    let is_known = |system: &System, entry: usize, prefix: &str| {
        request(system.callers[entry], "GET", prefix, "").is_some_and(|(status, _)| status == 200)
    };
    for version in 2..8 {
        let added = format!("/added{version}/");
        let (text, last) = large_configuration(version, &added, 3_000);
        system.emulator.configure(&text);
        for entry in 0..2 {
            wait_until("the new routes are known", || {
                is_known(&system, entry, &added) && is_known(&system, entry, &last)
            });
        }
    }
    system.emulator.set_store_down(true);
    system.entries[0].kill();
    system.entries[0] = system.start_entry(0);
    wait_until("the entry has the configuration of the agents", || {
        is_known(&system, 0, "/added7/")
    });
    wait_until(
        "the log tells the source and the age of the version",
        || system.entries[0].has_line(&["configuration in force", "agent-", "age_ms"]),
    );
    wait_until("the log tells the version of a missing route", || {
        let path = "/missing/0000000000000c0f";
        let status = request(system.callers[0], "GET", path, "").map(|(status, _)| status);
        status == Some(404)
            && system.entries[0].has_line(&["no route", "0000000000000c0f", "version_age_ms"])
    });
}

/// Guards against an entry that restarts during an outage of the store and cannot serve, because
/// only the store has the configuration.
#[test]
fn entry_without_store_gets_the_configuration_from_agents() {
    let mut system = System::start(2, 2);
    system.emulator.set_store_down(true);
    system.entries[0].kill();
    let entry = system.start_entry(0);
    system.entries[0] = entry;
    wait_until("the entry is ready", || {
        get(system.readiness[0], "/v1/ready").is_some_and(|(status, _)| status == 200)
    });
    let (status, _) = system
        .submit(0, "00000000000000f0", 4, "ms=20")
        .expect("an answer");
    assert_eq!(status, 200);
}

/// Guards against an endpoint that is lost, or whose runs are waited for, after it has restarted
/// under its id: an agent that does not tell its lives apart ignores the heartbeats of the new one.
#[test]
fn endpoint_that_restarts_under_its_id_is_in_use_again() {
    let system = System::start(1, 1);
    let id = "00000000000000e8";
    std::thread::scope(|scope| {
        let system = &system;
        let job = scope.spawn(move || system.submit(0, id, 2, "ms=600"));
        wait_until("the job runs", || system.starts(id).len() == 2);
        std::thread::sleep(Duration::from_millis(100));
        system.emulator.restart(0);
        let (status, body) = job.join().expect("no panic").expect("an answer");
        assert_eq!((status, body.as_str()), (200, r#"{"State":"completed"}"#));
    });
    assert_eq!(system.starts(id).len(), 4, "each task starts again once");
    assert!(system.agents[0].has_line(&["endpoint has restarted under its id"]));
    let (status, _) = system
        .submit(0, "00000000000000e9", 2, "ms=50")
        .expect("an answer");
    assert_eq!(status, 200);
}

/// Guards against tasks that are started at an endpoint after it has announced that it is draining.
#[test]
fn leaving_endpoint_gets_no_new_task() {
    let system = System::start(1, 2);
    system.emulator.drain(0);
    wait_until(
        "the agent has noticed that the endpoint is draining",
        || system.agents[0].has_line(&["endpoint changed", "Draining"]),
    );
    let before = system.emulator.ledger().len();
    let (status, _) = system
        .submit(0, "0000000000000aa0", 4, "ms=20")
        .expect("an answer");
    assert_eq!(status, 200);
    let ledger = system.emulator.ledger();
    assert!(
        ledger[before..].iter().all(|row| row.executor != 0),
        "{ledger:?}"
    );
}

/// Guards against a refused or failed job without a log line that states its id and the reason.
#[test]
fn log_explains_each_refusal_with_its_job() {
    let system = System::start(1, 1);
    let large = r#"{"Spec":"","Steps":[{"Count":1,"Cpu":900000}],"BestEffort":true}"#;
    let long_running =
        r#"{"Spec":"","Steps":[{"Count":1,"Cpu":100,"LongRunning":true}],"BestEffort":true}"#;
    assert_eq!(
        system
            .post(0, "/jobs/0000000000000ab0", large)
            .map(|(status, _)| status),
        Some(503)
    );
    assert_eq!(
        system
            .post(0, "/jobs/0000000000000ab1", long_running)
            .map(|(status, _)| status),
        Some(503)
    );
    assert_eq!(
        system
            .submit(0, "0000000000000ab2", 1, "ms=5 fail")
            .map(|(status, _)| status),
        Some(200)
    );
    assert_eq!(
        system
            .submit(0, "0000000000000ab3", 1, "ms=5")
            .map(|(status, _)| status),
        Some(200)
    );
    for parts in [
        ["0000000000000ab0", "never_fits"],
        ["0000000000000ab1", "LongRunning"],
        ["0000000000000ab2", "job failed"],
        ["0000000000000ab2", "Failed"],
        ["0000000000000ab3", "job completed"],
    ] {
        wait_until(&format!("a line with {parts:?}"), || {
            system.entries[0].has_line(&parts)
        });
    }
}

/// Guards against requests that are delayed because nothing reads the log: more lines are written
/// than the pipe and all log batches can hold.
#[test]
fn blocked_log_reader_delays_no_request() {
    let system = System::start_with(1, 1, false);
    let start = Instant::now();
    for number in 0..1_500 {
        let path = format!("/jobs/{number:016x}");
        let (status, _) = system.post(0, &path, "{").expect("an answer");
        assert_eq!(status, 400);
    }
    assert!(
        start.elapsed() < Duration::from_secs(15),
        "{:?}",
        start.elapsed()
    );
    let (status, _) = system
        .submit(0, "0000000000000ac0", 2, "ms=20")
        .expect("an answer");
    assert_eq!(status, 200);
}

fn job_state(system: &System, entry: usize, id: &str) -> Option<(u16, String)> {
    request(system.callers[entry], "GET", &format!("/jobs/{id}"), "")
}

fn durable_job_body(count: u32, spec: &str) -> String {
    format!(
        r#"{{"Spec":"{spec}","Steps":[{{"Count":{count},"Cpu":1000,"MemMb":64,"EstimatedMs":300}}]}}"#
    )
}

/// Guards against a durable job that only the entry that accepted it knows: other entries could not
/// report its state, and a repeated submission through them would start it again.
#[test]
fn durable_job_is_shown_by_each_entry_and_runs_once() {
    let system = System::start(2, 2);
    let id = "00000000000000ba";
    for entry in [0, 1] {
        wait_until("the job is accepted", || {
            system
                .post(
                    entry,
                    &format!("/jobs/{id}"),
                    &durable_job_body(4, "ms=100"),
                )
                .is_some_and(|(status, _)| status == 200)
        });
    }
    for entry in [0, 1] {
        wait_until("the job is shown as completed", || {
            job_state(&system, entry, id).is_some_and(|(_, body)| body.contains("completed"))
        });
    }
    assert_eq!(system.starts(id).len(), 4);
    let unknown = job_state(&system, 1, "00000000000000bb").map(|(status, _)| status);
    assert_eq!(unknown, Some(410));
}

/// Guards against an accepted job that is lost when all processes of the system are killed.
#[test]
fn durable_job_survives_the_loss_of_all_processes() {
    let mut system = System::start(2, 2);
    let id = "00000000000000bc";
    wait_until("the job is accepted", || {
        system
            .post(0, &format!("/jobs/{id}"), &durable_job_body(6, "ms=1500"))
            .is_some_and(|(status, _)| status == 200)
    });
    wait_until("the job runs", || !system.starts(id).is_empty());
    for process in system.entries.iter_mut().chain(&mut system.agents) {
        process.kill();
    }
    system.entries = vec![system.start_entry(0), system.start_entry(1)];
    system.agents = vec![system.start_agent(0), system.start_agent(1)];
    for entry in [0, 1] {
        wait_until("the job is shown as completed", || {
            job_state(&system, entry, id).is_some_and(|(_, body)| body.contains("completed"))
        });
    }
}

/// Guards against a cancelled job whose remaining tasks are still started, and against a
/// cancellation that only the entry that accepted the job can handle.
#[test]
fn durable_job_is_cancelled_through_any_entry() {
    let system = System::start(2, 1);
    let id = "00000000000000bd";
    wait_until("the job is accepted", || {
        system
            .post(0, &format!("/jobs/{id}"), &durable_job_body(20, "ms=2000"))
            .is_some_and(|(status, _)| status == 200)
    });
    wait_until("the job is cancelled", || {
        let cancelled = request(system.callers[1], "DELETE", &format!("/jobs/{id}"), "");
        cancelled.is_some_and(|(status, _)| status == 200)
    });
    wait_until("the job is shown as cancelled", || {
        job_state(&system, 0, id).is_some_and(|(_, body)| body.contains("cancelled"))
    });
    assert!(system.starts(id).len() < 20);
}

/// Guards against a job that is accepted before the store has confirmed its record: it would be
/// lost with the process during an outage of the store.
#[test]
fn job_is_not_accepted_while_the_store_is_unavailable() {
    let system = System::start(1, 1);
    system.emulator.set_store_down(true);
    wait_until("the store is unavailable", || {
        get(system.emulator.store_addr(), "/v1/kv-key?Key=x")
            .is_some_and(|(status, _)| status == 503)
    });
    let id = "00000000000000be";
    let answer = system.post(0, &format!("/jobs/{id}"), &durable_job_body(1, "ms=10"));
    assert_eq!(answer.map(|(status, _)| status), Some(503));
    system.emulator.set_store_down(false);
    wait_until("a job is accepted again", || {
        system
            .post(0, "/jobs/00000000000000bf", &durable_job_body(1, "ms=10"))
            .is_some_and(|(status, _)| status == 200)
    });
    assert!(system.starts(id).is_empty());
}

/// Guards against an entry whose count of waiting jobs omits those that other entries accepted.
#[test]
fn waiting_jobs_are_counted_by_each_entry() {
    let system = System::start(2, 1);
    wait_until("the endpoint is full", || {
        system
            .post(
                0,
                "/jobs/00000000000000c8",
                &durable_job_body(30, "ms=5000"),
            )
            .is_some_and(|(status, _)| status == 200)
    });
    wait_until("tasks run in all slots of the endpoint", || {
        system.starts("00000000000000c8").len() >= 8
    });
    for id in ["00000000000000c9", "00000000000000ca"] {
        wait_until("a job is accepted", || {
            system
                .post(0, &format!("/jobs/{id}"), &durable_job_body(1, "ms=10"))
                .is_some_and(|(status, _)| status == 200)
        });
    }
    for entry in [0, 1] {
        wait_until(&format!("entry {entry} counts the waiting jobs"), || {
            request(system.callers[entry], "GET", "/jobs/", "")
                .is_some_and(|(_, body)| body == r#"{"Waiting":2}"#)
        });
    }
}

/// Guards against a log volume that grows with the load: a flood of refusals must not write more
/// lines than the settings allow, and a metric must count every refusal.
#[test]
fn log_volume_is_bounded_under_a_flood() {
    let system = System::start(1, 1);
    let start = Instant::now();
    for number in 0..3_000 {
        let path = format!("/jobs/{number:016x}");
        let (status, _) = system.post(0, &path, "{").expect("an answer");
        assert_eq!(status, 400);
    }
    // Each refusal writes two lines. The limit is 1,000 lines in each window of one second, and
    // windows may begin at any time.
    let seconds = start.elapsed().as_secs() as usize + 2;
    let lines = system.entries[0].log.lock().expect("the log").len();
    assert!(lines <= seconds * 1_000, "{lines} lines in {seconds} s");
    let (_, metrics) = get(system.metrics[0], "/metrics").expect("metrics");
    let refused = r#"fulmarpond_refusals_total{reason="invalid"} 3000"#;
    assert!(metrics.contains(refused), "{metrics}");
}

/// Guards against processes that do not read the operator's request to evacuate a zone, that keep
/// it after the key is removed, or that forget it when they restart while the store is away.
#[test]
fn evacuated_zone_starts_nothing_until_its_key_is_removed() {
    let mut system = System::start_in_zones(1, 2, true, &["Saga", "Uma"]);
    let executors_of = |system: &System, id: &str| {
        let prefix = format!("{id}.");
        let ledger = system.emulator.ledger().into_iter();
        let of_job = ledger.filter(|row| row.task.starts_with(&prefix));
        let mut executors: Vec<usize> = of_job.map(|row| row.executor).collect();
        executors.sort_unstable();
        executors.dedup();
        executors
    };
    let evacuated = |count: u32| format!(r#"fulmarpond_level{{name="evacuated_zones"}} {count}"#);
    let knows = |system: &System, count: u32| {
        get(system.metrics[0], "/metrics").is_some_and(|(_, text)| text.contains(&evacuated(count)))
    };
    system.emulator.set_evacuated("Uma", true);
    wait_until("the entry knows the evacuation", || knows(&system, 1));
    let (status, _) = system
        .submit(0, "00000000000000e0", 8, "ms=30")
        .expect("an answer");
    assert_eq!(
        (status, executors_of(&system, "00000000000000e0")),
        (200, vec![0])
    );

    system.emulator.set_store_down(true);
    system.agents[1].kill();
    system.agents[1] = system.start_agent(1);
    wait_until("the agent knows the evacuation", || {
        system.agents[1].has_line(&["zone is evacuated"])
    });
    let (status, _) = system
        .submit(0, "00000000000000e1", 8, "ms=30")
        .expect("an answer");
    assert_eq!(
        (status, executors_of(&system, "00000000000000e1")),
        (200, vec![0])
    );

    system.emulator.set_store_down(false);
    system.emulator.set_evacuated("Saga", true);
    wait_until("the entry knows both evacuations", || knows(&system, 2));
    let (status, body) = system
        .submit(0, "00000000000000e2", 1, "ms=30")
        .expect("an answer");
    assert_eq!((status, body.contains("evacuated")), (503, true), "{body}");

    system.emulator.set_evacuated("Saga", false);
    system.emulator.set_evacuated("Uma", false);
    wait_until("the zones take tasks again", || knows(&system, 0));
    system.wait_until_ready(0, 2);
    std::thread::sleep(Duration::from_secs(1));
    let (status, _) = system
        .submit(0, "00000000000000e3", 12, "ms=60")
        .expect("an answer");
    assert_eq!(
        (status, executors_of(&system, "00000000000000e3")),
        (200, vec![0, 1])
    );
}
