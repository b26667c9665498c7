//! `load`: generates load and reports response times.

use std::time::Duration;

use clap::{ArgGroup, Args};

use crate::cli::Options;
use crate::client::Client;
use crate::load::runner::{Run, RunResult};
use crate::load::{
    Arrivals, Burst, Clients, Counters, Distribution, Ledger, LedgerCheck, Messages, Profile,
    Recorder, Report, Shape, Span, Start,
};
use crate::output;
use crate::{Failure, Result};

/// Timeout for reading a metrics page or a ledger.
const PAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments of `load`.
#[derive(Debug, Args)]
#[command(
    group = ArgGroup::new("arrival").required(true).args(["rate", "utilization"]),
    after_help = "Times are seconds, or have a unit: 500ms, 30s, 2m. Exit code 4 if the ledgers \
                  show a task that started more than once or a started task of a job whose \
                  verdict was not_run."
)]
pub(crate) struct Load {
    /// Jobs per second outside of bursts
    #[arg(long, value_name = "JOBS", value_parser = parse_positive)]
    rate: Option<f64>,
    /// Rate as a percentage of the capacity of all slots
    #[arg(long, value_name = "PERCENT", value_parser = parse_positive, requires = "slots")]
    utilization: Option<f64>,
    /// Total number of slots of all endpoints
    #[arg(long, value_name = "N", conflicts_with = "rate", value_parser = clap::value_parser!(u32).range(1..))]
    slots: Option<u32>,
    /// Tasks per job: a number, or a range of equally likely numbers
    #[arg(long, value_name = "N|MIN..MAX", default_value = "1", value_parser = parse_tasks)]
    tasks: Span,
    /// Run time of a task in milliseconds
    #[arg(long, value_name = "MIN..MAX", default_value = "50..1000")]
    run_ms: Span,
    /// Distribution of run times
    #[arg(long, value_enum, default_value = "uniform")]
    distribution: Distribution,
    /// Duration during which jobs arrive
    #[arg(long, value_name = "TIME", default_value = "10s", value_parser = parse_time)]
    duration: Duration,
    /// Seed for arrivals, task counts and run times
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// Milliseconds until the deadline of a job
    #[arg(long, value_name = "N", default_value_t = 30_000, value_parser = clap::value_parser!(u64).range(1..))]
    deadline_ms: u64,
    /// Factor by which the rate is multiplied during bursts
    #[arg(long, value_name = "FACTOR", value_parser = parse_positive, requires_all = ["burst_every", "burst_for"])]
    burst: Option<f64>,
    /// Time from the start of one burst to the next; the first burst starts after this time
    #[arg(long, value_name = "TIME", value_parser = parse_time, requires = "burst")]
    burst_every: Option<Duration>,
    /// Duration of a burst
    #[arg(long, value_name = "TIME", value_parser = parse_time, requires = "burst")]
    burst_for: Option<Duration>,
    /// Number of client threads, which limits how many jobs are open at once
    #[arg(long, value_name = "N", default_value_t = 256, value_parser = parse_clients)]
    clients: usize,
    /// Address of a metrics page, read before and after the run; repeatable
    #[arg(long, value_name = "ADDR", value_delimiter = ',')]
    metrics: Vec<String>,
    /// Address of an endpoint stand-in whose ledger is checked after the run; repeatable
    #[arg(long, value_name = "ADDR", value_delimiter = ',')]
    ledger: Vec<String>,
    /// Label of the run, copied to the report
    #[arg(long, value_name = "TEXT")]
    label: Option<String>,
}

impl Load {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, self.clients)?;
        let shape = Shape {
            tasks: self.tasks,
            run_ms: self.run_ms,
            distribution: self.distribution,
        };
        let profile = self.profile(&shape)?;
        let run = Run {
            prefix: format!("load-{:016x}-", rand::random::<u64>()),
            team: options.team.clone(),
            deadline_ms: self.deadline_ms,
            clients: self.clients,
        };
        let before = self.scrape(&client);
        let arrivals = Arrivals::new(profile, shape, self.duration, self.seed);
        let finished = run.send(&client, arrivals).map_err(|error| {
            Failure::usage(format!(
                "{} clients can't be started: {error}",
                self.clients
            ))
            .with_help("lower `--clients`")
        })?;
        let after = self.scrape(&client);
        let recorder = &finished.recorder;
        let report = Report {
            label: self.label.clone(),
            seed: self.seed,
            planned_rate: profile.rate(),
            offered_rate: per_second(recorder.all_jobs(), self.duration),
            achieved_rate: per_second(recorder.jobs("answered"), finished.elapsed),
            elapsed_s: finished.elapsed.as_secs_f64(),
            jobs: recorder.all_jobs(),
            tasks: recorder.tasks(),
            answered_tasks: recorder.answered_tasks(),
            verdicts: recorder.counts(),
            response_over_ideal: recorder.response_over_ideal(),
            response_ms: recorder.response_ms(),
            clients: self.client_pool(&finished),
            messages: (!self.metrics.is_empty())
                .then(|| self.message_counts(&before, &after, recorder.answered_tasks())),
            ledger: (!self.ledger.is_empty())
                .then(|| self.check_ledgers(&client, recorder, &run.prefix)),
        };
        if options.json {
            output::print_json(&serde_json::to_value(&report).unwrap_or_default())?;
        } else {
            output::print(&report.to_string())?;
        }
        check_report(&report, recorder)
    }

    fn profile(&self, shape: &Shape) -> Result<Profile> {
        if self.distribution == Distribution::LogUniform && self.run_ms.min() == 0 {
            return Err(Failure::usage(
                "`--distribution log-uniform` needs a `--run-ms` above 0",
            ));
        }
        let rate = match (self.rate, self.utilization, self.slots) {
            (Some(rate), ..) => rate,
            (None, Some(percent), Some(slots)) => {
                let slot_ms = shape.mean_tasks() * shape.mean_run_ms();
                if slot_ms <= 0.0 {
                    return Err(Failure::usage("`--utilization` needs a `--run-ms` above 0"));
                }
                percent / 100.0 * f64::from(slots) * 1000.0 / slot_ms
            }
            _ => return Err(Failure::usage("`--utilization` needs `--slots`")),
        };
        let burst = match (self.burst, self.burst_every, self.burst_for) {
            (Some(factor), Some(every), Some(length)) => {
                if length >= every {
                    return Err(Failure::usage(
                        "`--burst-for` must be shorter than `--burst-every`",
                    ));
                }
                Some(Burst {
                    factor,
                    every: every.as_secs_f64(),
                    length: length.as_secs_f64(),
                })
            }
            _ => None,
        };
        Ok(Profile::new(rate, burst))
    }

    fn client_pool(&self, finished: &RunResult) -> Clients {
        Clients {
            threads: self.clients,
            enough: finished.late_jobs == 0,
            late_jobs: finished.late_jobs,
            peak_open: finished.peak_open,
            max_lag_ms: finished.recorder.max_lag().as_secs_f64() * 1000.0,
        }
    }

    fn scrape(&self, client: &Client) -> Vec<Result<Counters, String>> {
        self.metrics
            .iter()
            .map(|addr| read_page(client, addr, "/metrics").map(|text| Counters::parse(&text)))
            .collect()
    }

    fn message_counts(
        &self,
        before: &[Result<Counters, String>],
        after: &[Result<Counters, String>],
        tasks: u64,
    ) -> Messages {
        let (mut total, mut wasted, mut unread) = (0.0, 0.0, Vec::new());
        for pages in before.iter().zip(after) {
            match pages {
                (Ok(before), Ok(after)) => {
                    let (new_total, new_wasted) = after.since(before);
                    total += new_total;
                    wasted += new_wasted;
                }
                (Err(error), _) | (_, Err(error)) => unread.push(error.clone()),
            }
        }
        Messages::new(total, wasted, tasks, unread)
    }

    fn check_ledgers(&self, client: &Client, recorder: &Recorder, prefix: &str) -> LedgerCheck {
        let mut ledger = Ledger::default();
        let mut unread = Vec::new();
        for addr in &self.ledger {
            let rows = read_page(client, addr, "/control/ledger").and_then(|text| {
                serde_json::from_str::<Vec<Start>>(&text)
                    .map_err(|error| format!("{addr}: the ledger can't be parsed: {error}"))
            });
            match rows {
                Ok(rows) => ledger.add(&rows, prefix),
                Err(error) => unread.push(error),
            }
        }
        ledger.check(recorder.not_run(), unread)
    }
}

/// Returns a failure if the ledgers show a violation or if no job could be sent.
fn check_report(report: &Report, recorder: &Recorder) -> Result<()> {
    if let Some(ledger) = &report.ledger {
        let violations: Vec<String> = [
            ("started more than once", &ledger.repeated),
            (
                "started although the verdict of the job was not_run",
                &ledger.denied,
            ),
        ]
        .into_iter()
        .filter_map(|(violation, tasks)| {
            let first = tasks.first()?;
            Some(format!("{} tasks {violation}, first {first}", tasks.len()))
        })
        .collect();
        if !violations.is_empty() {
            return Err(Failure::may_have_run(violations.join("; ")));
        }
    }
    if report.jobs > 0 && recorder.jobs("not_sent") == report.jobs {
        return Err(Failure::Unreachable {
            message: format!("none of {} jobs was sent", report.jobs),
        });
    }
    Ok(())
}

fn read_page(client: &Client, addr: &str, path: &str) -> Result<String, String> {
    // The token is meant for entries only and is not sent to other processes.
    match client.get_page(addr, path, PAGE_TIMEOUT) {
        Ok(reply) if reply.status == 200 => Ok(reply.text),
        Ok(reply) => Err(format!("{addr}{path}: {}", reply.describe())),
        Err(error) => Err(error.message().to_owned()),
    }
}

fn per_second(jobs: u64, time: Duration) -> f64 {
    jobs as f64 / time.as_secs_f64()
}

fn parse_positive(text: &str) -> std::result::Result<f64, String> {
    match text.parse() {
        Ok(value) if value > 0.0 && f64::is_finite(value) => Ok(value),
        _ => Err("expected a number above 0".to_owned()),
    }
}

fn parse_tasks(text: &str) -> std::result::Result<Span, String> {
    let span: Span = text.parse().map_err(|error| format!("{error}"))?;
    if span.min() == 0 {
        return Err("a job has at least one task".to_owned());
    }
    Ok(span)
}

fn parse_clients(text: &str) -> std::result::Result<usize, String> {
    match text.parse() {
        Ok(number) if (1..=10_000).contains(&number) => Ok(number),
        _ => Err("expected a number from 1 to 10000".to_owned()),
    }
}

/// Parses a duration: a number with the unit `ms`, `s` or `m`, or without a unit in seconds.
fn parse_time(text: &str) -> std::result::Result<Duration, String> {
    let (number, unit) = match text.find(|letter: char| letter.is_ascii_alphabetic()) {
        Some(position) => text.split_at(position),
        None => (text, "s"),
    };
    let scale = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(format!("unknown unit `{unit}`, expected ms, s or m")),
    };
    let value = parse_positive(number)?;
    Duration::try_from_secs_f64(value * scale).map_err(|error| error.to_string())
}
