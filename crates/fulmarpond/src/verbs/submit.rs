//! `submit`: submits a job and prints its answer.

use std::fs;
use std::io::{self, IsTerminal, Read};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Args;
use serde_json::{Map, Value};

use super::parse_job_id;
use crate::answer::{Answer, Verdict};
use crate::cli::Options;
use crate::client::{self, CallError, Client, Method, REPLY_MARGIN, Reply};
use crate::output;
use crate::{Failure, Result};

/// Fields that are set by options instead of the job file, so that the file can be submitted more
/// than once.
const RESERVED_FIELDS: [&str; 3] = ["id", "attempt", "age_ms"];

/// Arguments of `submit`.
#[derive(Debug, Args)]
pub(crate) struct Submit {
    /// JSON file with the job, without its id; `-` for standard input
    file: PathBuf,
    /// Id of the job; random by default
    #[arg(long, value_parser = parse_job_id)]
    id: Option<String>,
    /// Declare that this is the first attempt with this id
    #[arg(long, requires = "id", conflicts_with = "attempt")]
    first: bool,
    /// Number of this attempt, counted from 1
    #[arg(long, value_name = "N", requires = "id", value_parser = clap::value_parser!(u32).range(1..))]
    attempt: Option<u32>,
    /// Milliseconds since the first attempt
    #[arg(long, value_name = "N", requires = "id", conflicts_with = "first")]
    age_ms: Option<u64>,
    /// Milliseconds until the deadline
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(1..))]
    deadline_ms: Option<u64>,
    /// Return as soon as the job is accepted
    #[arg(long)]
    no_wait: bool,
}

impl Submit {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        let job = Job::read(self, options.team.as_deref())?;
        if io::stderr().is_terminal() {
            eprintln!("job {}", job.id);
        }
        let reply = job.send(&client)?;
        job.report(&reply, options.json)
    }
}

/// A job to be submitted.
struct Job {
    id: String,
    body: Map<String, Value>,
    attempt: Option<u32>,
    age_ms: Option<u64>,
    deadline_ms: u64,
}

impl Job {
    fn read(args: &Submit, team: Option<&str>) -> Result<Self> {
        let mut body = read_object(&args.file)?;
        if let Some(field) = RESERVED_FIELDS
            .iter()
            .find(|field| body.contains_key(**field))
        {
            return Err(Failure::usage(format!(
                "the job file has a field `{field}`, which is given as an option"
            ))
            .with_help("remove the field; see `--id`, `--attempt` and `--age-ms`"));
        }
        if let Some(team) = team {
            body.insert("team".to_owned(), team.into());
        }
        let deadline_ms = args
            .deadline_ms
            .or_else(|| body.get("deadline_ms").and_then(Value::as_u64))
            .ok_or_else(|| {
                Failure::usage("the job has no deadline")
                    .with_help("set `deadline_ms` in the job file or give `--deadline-ms`")
            })?;
        if args.no_wait {
            body.insert("wait".to_owned(), false.into());
        }
        let first = args.id.is_none() || args.first;
        Ok(Self {
            id: args.id.clone().unwrap_or_else(random_id),
            body,
            attempt: if first { Some(1) } else { args.attempt },
            age_ms: if first || args.attempt == Some(1) {
                Some(args.age_ms.unwrap_or(0))
            } else {
                args.age_ms
            },
            deadline_ms,
        })
    }

    /// Sends the job to each entry in turn until one replies. Each entry after the first receives
    /// it as a resubmission.
    fn send(&self, client: &Client) -> Result<Reply> {
        let start = Instant::now();
        let mut errors: Vec<CallError> = Vec::new();
        for (number, entry) in client.entries().iter().enumerate() {
            let elapsed_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            let remaining_ms = self.deadline_ms.saturating_sub(elapsed_ms);
            if remaining_ms == 0 && number > 0 {
                break;
            }
            let body = self.body(
                u32::try_from(number).unwrap_or(u32::MAX),
                elapsed_ms,
                remaining_ms,
            );
            let timeout = Duration::from_millis(remaining_ms).saturating_add(REPLY_MARGIN);
            match client.call(entry, Method::Post, "/v1/jobs", Some(&body), timeout) {
                Ok(reply) => {
                    return Ok(Reply {
                        has_lost_attempt: client::has_lost_request(&errors),
                        ..reply
                    });
                }
                Err(error) => errors.push(error),
            }
        }
        let failure = client::no_reply_failure(&errors, false);
        Err(failure.with_help(self.resubmission_help(errors.len())))
    }

    fn body(&self, resubmissions: u32, elapsed_ms: u64, remaining_ms: u64) -> Value {
        let mut body = self.body.clone();
        body.insert("id".to_owned(), self.id.as_str().into());
        body.insert("deadline_ms".to_owned(), remaining_ms.into());
        let attempt = if resubmissions == 0 {
            self.attempt
        } else {
            Some(self.attempt.unwrap_or(1).saturating_add(resubmissions))
        };
        if let Some(attempt) = attempt {
            body.insert("attempt".to_owned(), attempt.into());
        }
        if let Some(age) = self.age_ms {
            body.insert("age_ms".to_owned(), age.saturating_add(elapsed_ms).into());
        }
        body.into()
    }

    fn report(&self, reply: &Reply, json: bool) -> Result<()> {
        if let Some(answer) = Answer::from_reply(reply) {
            answer.print(reply, json)?;
            // An entry can refuse the resubmission while the earlier attempt runs.
            return match &answer.verdict {
                Verdict::NotRun(refusal) if reply.has_lost_attempt => Err(reply
                    .refusal_failure(format!(
                        "the resubmission of job {} was refused: {}",
                        self.id,
                        refusal.describe()
                    ))
                    .with_help(format!("see `fulmarpond answer {}`", self.id))),
                _ => answer.to_result(),
            };
        }
        let accepted = reply.success_json(&format!("job {}", self.id))?;
        if json {
            output::print_json(&accepted)
        } else {
            output::print(&format!(
                "job {} {}",
                self.id,
                output::cell(&accepted["state"])
            ))
        }
    }

    /// Returns help on how to continue after `sent` attempts without a reply.
    fn resubmission_help(&self, sent: usize) -> String {
        let id = &self.id;
        let next = u64::from(self.attempt.unwrap_or(1)) + sent as u64;
        format!(
            "see `fulmarpond answer {id}`, or submit again with `--id {id} --attempt {next}` and \
             the milliseconds since the first attempt as `--age-ms`"
        )
    }
}

fn read_object(path: &Path) -> Result<Map<String, Value>> {
    let text = if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    }
    .map_err(|error| {
        Failure::usage(format!(
            "job file {} can't be read: {error}",
            path.display()
        ))
    })?;
    serde_json::from_str(&text).map_err(|error| {
        Failure::usage(format!(
            "job file {} is not a JSON object: {error}",
            path.display()
        ))
    })
}

/// Generates a random id of 128 bits, which other callers practically never generate.
fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
