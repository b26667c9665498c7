//! What an entry concludes from the speeds that agents report.

mod entry_setup;

use fulmarpond_core::Time;
use fulmarpond_dispatch::entry::Entry;
use fulmarpond_dispatch::{
    AgentFrame, EndpointId, EndpointSpeed, EndpointStatus, LinkNo, Resources,
};

const NOW: Time = Time::from_millis(10_000);

/// The labels of an endpoint, its reported speed in thousandths, and the number of samples.
type Report = (&'static [&'static str], u32, u32);

const FAST: Report = (&["fast"], 700, 512);
const SLOW: Report = (&["slow"], 1_700, 512);

fn entry() -> Entry {
    let options = entry_setup::options();
    Entry::new(options, NOW)
}

/// Links agent `number` and announces an incarnation of its endpoint.
fn announce(entry: &mut Entry, number: usize, incarnation: &str, report: Report, now: Time) {
    let (labels, run_permille, samples) = report;
    let endpoint = AgentFrame::Endpoint {
        id: EndpointId(format!("e-{number}-{incarnation}")),
        born: 0,
        service: "service".to_owned(),
        capacity: Resources {
            cpu: 8_000,
            memory: 1_000,
            accelerators: 0,
        },
        labels: labels.iter().map(ToString::to_string).collect(),
    };
    let speed = EndpointSpeed {
        run_permille,
        samples,
    };
    for frame in [endpoint, AgentFrame::Speed(speed)] {
        entry.handle_frame(LinkNo(number as u64), frame, now, &mut Vec::new());
    }
}

fn link(entry: &mut Entry, number: usize, report: Report) {
    let hello = AgentFrame::Hello {
        name: format!("agent-{number:02}"),
        zone: "Saga".to_owned(),
        version: 0,
    };
    entry.handle_frame(LinkNo(number as u64), hello, NOW, &mut Vec::new());
    announce(entry, number, "a", report, NOW);
}

/// Sends a status of all agents, so that their links stay open, and lets the entry derive the
/// speeds; returns the factors in thousandths.
fn derive(entry: &mut Entry, agents: usize, now: Time) -> Vec<u32> {
    for number in 0..agents {
        let status = AgentFrame::Status {
            sent: 0,
            orders: 0,
            load: EndpointStatus::default(),
        };
        entry.handle_frame(LinkNo(number as u64), status, now, &mut Vec::new());
    }
    entry.tick(now, &mut Vec::new());
    let speeds = entry.endpoint_speeds();
    speeds.iter().map(|speed| speed.run_permille).collect()
}

struct Case {
    name: &'static str,
    reports: &'static [Report],
    /// The bounds of the factors, in thousandths.
    expected: &'static [(u32, u32)],
}

const NOMINAL: (u32, u32) = (1_000, 1_000);

/// Guards against an endpoint that is taken for faster or slower than it is: it has trouble of its
/// own, has just started, or carries labels of both kinds.
#[test]
fn speed_is_that_of_the_kind_and_of_what_the_endpoint_itself_has_shown() {
    let cases = [
        Case {
            name: "a slow kind",
            reports: &[FAST, FAST, FAST, SLOW, SLOW],
            expected: &[NOMINAL, NOMINAL, NOMINAL, (2_000, 2_430), (2_000, 2_430)],
        },
        Case {
            name: "the disk of one endpoint is slow, its kind is not",
            reports: &[FAST, FAST, FAST, (&["fast"], 2_100, 512), SLOW],
            expected: &[NOMINAL, NOMINAL, NOMINAL, (2_000, 3_000), (1_500, 2_430)],
        },
        Case {
            name: "an endpoint of the slow kind has no samples, its agent has been killed",
            reports: &[FAST, FAST, FAST, SLOW, SLOW, (&["slow"], 0, 0)],
            expected: &[
                NOMINAL,
                NOMINAL,
                NOMINAL,
                (2_000, 2_430),
                (2_000, 2_430),
                (2_000, 2_430),
            ],
        },
        Case {
            name: "an endpoint without samples has both labels, and most endpoints have one",
            reports: &[FAST, FAST, FAST, SLOW, SLOW, (&["fast", "slow"], 0, 0)],
            expected: &[
                NOMINAL,
                NOMINAL,
                NOMINAL,
                (2_000, 2_430),
                (2_000, 2_430),
                NOMINAL,
            ],
        },
        Case {
            name: "an endpoint with both labels has shown that it is slow",
            reports: &[
                FAST,
                FAST,
                FAST,
                SLOW,
                SLOW,
                (&["fast", "slow"], 1_700, 512),
            ],
            expected: &[
                NOMINAL,
                NOMINAL,
                NOMINAL,
                (2_000, 2_430),
                (2_000, 2_430),
                (1_800, 2_430),
            ],
        },
        Case {
            name: "all endpoints carry one more label",
            reports: &[
                (&["any", "fast"], 700, 512),
                (&["any", "fast"], 700, 512),
                (&["any", "slow"], 1_700, 512),
                (&["any", "slow"], 0, 0),
            ],
            expected: &[NOMINAL, NOMINAL, (1_700, 2_430), (1_700, 2_430)],
        },
        Case {
            name: "no labels",
            reports: &[(&[], 700, 512), (&[], 700, 512), (&[], 1_700, 512)],
            expected: &[NOMINAL, NOMINAL, (1_800, 2_430)],
        },
        Case {
            name: "speeds differ by less than a tenth",
            reports: &[
                (&["fast"], 960, 512),
                (&["fast"], 1_040, 512),
                (&["slow"], 1_040, 512),
            ],
            expected: &[NOMINAL, NOMINAL, NOMINAL],
        },
        Case {
            name: "all estimates are ten times too low",
            reports: &[(&["fast"], 5_000, 512), (&["slow"], 5_000, 512)],
            expected: &[NOMINAL, NOMINAL],
        },
        Case {
            name: "too few samples",
            reports: &[(&["fast"], 700, 20), (&["slow"], 1_700, 20)],
            expected: &[],
        },
    ];
    for case in cases {
        let mut entry = entry();
        for (number, &report) in case.reports.iter().enumerate() {
            link(&mut entry, number, report);
        }
        let factors = derive(&mut entry, case.reports.len(), NOW);
        assert_eq!(factors.len(), case.expected.len(), "{}", case.name);
        let bounds = case.expected.iter().zip(&factors);
        for (&(low, high), factor) in bounds {
            assert!(
                (low..=high).contains(factor),
                "{}: factors are {factors:?}",
                case.name
            );
        }
    }
}

/// Guards against an endpoint that is treated by the speed of the machine that had its address
/// before: it returns as another incarnation, of another kind.
#[test]
fn speed_is_forgotten_with_the_incarnation() {
    let mut entry = entry();
    for (number, report) in [FAST, FAST, FAST, SLOW, SLOW].into_iter().enumerate() {
        link(&mut entry, number, report);
    }
    assert!(derive(&mut entry, 5, NOW)[4] > 2_000);
    let later = NOW.after_millis(300);
    announce(&mut entry, 4, "b", (&["fast"], 0, 0), later);
    assert_eq!(derive(&mut entry, 5, later)[4], 1_000);
}

/// Guards against run times that are expected wrongly for seconds when the median endpoint is of
/// another kind than before: route factors are relative to it and follow gradually.
#[test]
fn nominal_speed_moves_gradually_when_an_endpoint_is_lost() {
    let mut entry = entry();
    for (number, report) in [SLOW, SLOW, FAST, FAST].into_iter().enumerate() {
        link(&mut entry, number, report);
    }
    let settled = NOW.after_millis(4_000);
    for step in 1..=20 {
        derive(&mut entry, 4, NOW.after_millis(200 * step));
    }
    entry.link_down(LinkNo(3), settled, &mut Vec::new());
    let mut previous = 2_430;
    for step in 1..=30 {
        let factor = derive(&mut entry, 3, settled.after_millis(250 * step))[0];
        assert!(factor * 100 >= previous * 90, "{previous} to {factor}");
        previous = factor;
    }
    assert!(previous < 1_500, "factor of the slow kind is {previous}");
}
