//! What tests of single entries share: options, a route, a job of one short task, and agents.

#![allow(dead_code, unreachable_pub, reason = "not used by every test file")]

use fulmarpond_core::Time;
use fulmarpond_dispatch::configuration::Route;
use fulmarpond_dispatch::entry::{Entry, EntryOptions, Step, Submission};
use fulmarpond_dispatch::{AgentFrame, EndpointId, EndpointStatus, LeaseTimes, LinkNo, Resources};

pub fn options() -> EntryOptions {
    EntryOptions {
        name: "entry-1".to_owned(),
        zone: "Saga".to_owned(),
        lease_times: LeaseTimes::new(1_300, 1_000, 50).expect("valid lease times"),
        remote_factor: 1.0,
        incarnation: 1,
        writes_per_second: 400,
        retention_ms: 120_000,
        advises: false,
    }
}

pub fn route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "desk".to_owned(),
        prefix: "/jobs/".to_owned(),
        service: "service".to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_ms: 60,
        advice: None,
    }
}

/// Returns a step of one task that takes 100 ms.
pub fn step() -> Step {
    Step {
        count: 1,
        needs: Resources {
            cpu: 1_000,
            memory: 1,
            accelerators: 0,
        },
        estimate: 100,
        after: Vec::new(),
        label: None,
        affinity: None,
        spread: None,
        gang: false,
        colocated: false,
        long_running: false,
        may_miss: None,
    }
}

/// Returns a job of one step, whose caller waits for 1.5 s.
pub fn submission(step: Step) -> Submission {
    Submission {
        spec: String::new(),
        steps: vec![step],
        timeout_ms: 1_500,
        is_durable: false,
        repeat: None,
    }
}

/// Links an agent with an endpoint of the service of [`route`].
pub fn link_agent(
    entry: &mut Entry,
    link: LinkNo,
    capacity: Resources,
    load: EndpointStatus,
    now: Time,
) {
    let hello = AgentFrame::Hello {
        name: format!("agent-{}", link.0),
        zone: "Saga".to_owned(),
        version: 1,
    };
    let endpoint = AgentFrame::Endpoint {
        id: EndpointId(format!("i-{}", link.0)),
        born: 0,
        service: route().service,
        capacity,
        labels: Vec::new(),
    };
    let status = AgentFrame::Status {
        sent: 0,
        orders: 0,
        load,
    };
    for frame in [hello, endpoint, status] {
        entry.handle_frame(link, frame, now, &mut Vec::new());
    }
}
