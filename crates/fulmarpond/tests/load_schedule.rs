//! Schedule of the load generator.

use std::time::Duration;

use expect_test::expect;
use fulmarpond::load::{Arrivals, Burst, Distribution, PlannedJob, Profile, Shape, Span};

fn span(text: &str) -> Span {
    text.parse().expect("a range")
}

fn shape(tasks: &str, run_ms: &str, distribution: Distribution) -> Shape {
    Shape {
        tasks: span(tasks),
        run_ms: span(run_ms),
        distribution,
    }
}

/// Guards against a schedule that differs between runs or builds, which would make measurements
/// with the same seed incomparable. A change of the generator or of the order of draws causes that.
#[test]
fn schedule_is_fixed_by_the_seed() {
    let shape = shape("1..3", "50..1000", Distribution::LogUniform);
    let jobs: Vec<PlannedJob> =
        Arrivals::new(Profile::new(10.0, None), shape, Duration::from_secs(1), 7).collect();
    let text: String = jobs
        .iter()
        .map(|job| format!("{} us {:?}\n", job.at.as_micros(), job.run_ms))
        .collect();
    expect![[r#"
        210267 us [53]
        286231 us [84, 960]
        295398 us [722, 60]
        328449 us [99, 428, 749]
        401570 us [55]
        619704 us [335, 67]
        645970 us [123]
        738587 us [392, 388, 106]
        751810 us [250, 110, 60]
        834935 us [83, 274]
        876762 us [178]
        985327 us [97, 176, 102]
    "#]]
    .assert_eq(&text);
}

/// Guards against arrival times that depend on task counts or run times, which happens if both are
/// drawn from one random stream.
#[test]
fn arrival_times_do_not_depend_on_the_shape() {
    let times = |shape| -> Vec<Duration> {
        Arrivals::new(Profile::new(100.0, None), shape, Duration::from_secs(2), 3)
            .map(|job| job.at)
            .collect()
    };
    assert_eq!(
        times(shape("1", "5", Distribution::Uniform)),
        times(shape("2..50", "1..900", Distribution::LogUniform))
    );
}

/// Guards against a wrong rate within or outside of bursts. Gaps between arrivals can span a change
/// of the rate, and the first burst starts only after one period.
#[test]
fn rates_follow_the_profile() {
    struct Case {
        name: &'static str,
        burst: Option<Burst>,
        /// Expected number of jobs in each of three seconds.
        expected: [f64; 3],
    }
    let burst = |length| {
        Some(Burst {
            factor: 5.0,
            every: 1.0,
            length,
        })
    };
    let cases = [
        Case {
            name: "constant",
            burst: None,
            expected: [2000.0; 3],
        },
        Case {
            name: "burst of half the period",
            burst: burst(0.5),
            expected: [2000.0, 6000.0, 6000.0],
        },
        Case {
            name: "period that is no binary fraction",
            burst: burst(0.1),
            expected: [2000.0, 2800.0, 2800.0],
        },
    ];
    for case in cases {
        let arrivals = Arrivals::new(
            Profile::new(2000.0, case.burst),
            shape("1", "5", Distribution::Uniform),
            Duration::from_secs(3),
            11,
        );
        let mut counts = [0.0; 3];
        for job in arrivals {
            counts[job.at.as_secs() as usize] += 1.0;
        }
        for (count, expected) in counts.into_iter().zip(case.expected) {
            // Five standard deviations of a Poisson distribution. The seed is fixed.
            let tolerance = 5.0 * f64::sqrt(expected);
            assert!(
                f64::abs(count - expected) < tolerance,
                "{}: {counts:?}",
                case.name
            );
        }
    }
}

/// Guards against an infinite loop at the boundaries of burst periods: in floating point, a
/// boundary can round into the period before it, so that the time of the next change is not later.
#[test]
fn profile_advances_over_every_boundary() {
    let profile = Profile::new(
        3.0,
        Some(Burst {
            factor: 2.0,
            every: 0.7,
            length: 0.1,
        }),
    );
    let mut time = 0.0;
    for _ in 0..10_000 {
        let (_, until) = profile.rate_at(time);
        assert!(until > time, "no progress at {time}");
        time = until;
    }
}

/// Guards against means that differ from the drawn values. `--utilization` computes the rate from
/// the means, and the mean of each distribution has its own formula.
#[test]
fn means_match_the_draws() {
    let cases = [
        shape("3", "50..1000", Distribution::Uniform),
        shape("1..5", "50..1000", Distribution::LogUniform),
        shape("2..4", "80", Distribution::LogUniform),
    ];
    for shape in cases {
        let arrivals = Arrivals::new(Profile::new(5000.0, None), shape, Duration::from_secs(4), 5);
        let (mut jobs, mut tasks, mut sum) = (0.0, 0.0, 0.0);
        for job in arrivals {
            jobs += 1.0;
            tasks += job.run_ms.len() as f64;
            sum += job.run_ms.iter().sum::<u64>() as f64;
            assert!(
                job.run_ms
                    .iter()
                    .all(|run| { (shape.run_ms.min()..=shape.run_ms.max()).contains(run) })
            );
        }
        let close = |measured: f64, mean: f64| f64::abs(measured / mean - 1.0) < 0.02;
        assert!(close(tasks / jobs, shape.mean_tasks()), "{shape:?}");
        assert!(close(sum / tasks, shape.mean_run_ms()), "{shape:?}");
    }
}

/// Guards against ranges that are parsed differently from the help text `N|MIN..MAX`, such as a
/// reversed range that is accepted as empty.
#[test]
fn ranges_are_parsed() {
    let cases = [
        ("7", Ok((7, 7))),
        ("1..3", Ok((1, 3))),
        ("3..1", Err("the lower bound 3 exceeds the upper bound 1")),
        ("1-3", Err("expected a whole number or MIN..MAX, got `1-3`")),
        ("", Err("expected a whole number or MIN..MAX, got ``")),
    ];
    for (text, expected) in cases {
        let span = text
            .parse::<Span>()
            .map(|span| (span.min(), span.max()))
            .map_err(|error| error.to_string());
        assert_eq!(span, expected.map_err(str::to_owned), "{text}");
    }
}
