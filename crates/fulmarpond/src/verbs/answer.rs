//! `answer`: prints the answer to a submitted job.

use std::time::Duration;

use clap::Args;

use super::parse_job_id;
use crate::answer::{self, Verdict};
use crate::cli::Options;
use crate::client::{Client, Method, REPLY_MARGIN};
use crate::output;
use crate::{Failure, Result};

/// Arguments of `answer`.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit code 4 if the job has not ended or no agent knows it, since it may have run."
)]
pub(crate) struct Answer {
    /// Id of the job
    #[arg(value_parser = parse_job_id)]
    id: String,
    /// Milliseconds to wait for the job to end
    #[arg(long, value_name = "N", default_value_t = 0)]
    wait_ms: u64,
}

impl Answer {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        let path = client.job_path(&self.id, "/answer", &[("wait_ms", self.wait_ms)]);
        let timeout = Duration::from_millis(self.wait_ms).saturating_add(REPLY_MARGIN);
        let reply = client.request_any(Method::Get, &path, None, timeout)?;
        if let Some(answer) = answer::Answer::from_reply(&reply) {
            answer.print(&reply, options.json)?;
            return match &answer.verdict {
                Verdict::NotRun(refusal) if refusal.may_concern_request() => {
                    Err(Failure::may_have_run(format!(
                        "job {} did not run, or the entry refused the request: {}",
                        self.id,
                        refusal.describe()
                    )))
                }
                _ => answer.to_result(),
            };
        }
        if reply.status == 202 {
            if options.json {
                output::print_json(&reply.json())?;
            }
            return Err(
                Failure::may_have_run(format!("job {} has not ended yet", self.id))
                    .with_help("wait longer with `--wait-ms`, or see `status`"),
            );
        }
        let subject = format!("job {}", self.id);
        reply.success_json(&subject)?;
        Err(Failure::may_have_run(format!(
            "{subject}: the reply is not an answer"
        )))
    }
}
