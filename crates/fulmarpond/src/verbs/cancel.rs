//! `cancel`: cancels a job.

use clap::Args;

use super::parse_job_id;
use crate::answer::{Answer, Verdict};
use crate::cli::Options;
use crate::client::{Client, Method, REPLY_MARGIN};
use crate::output;
use crate::{Failure, Result};

/// Arguments of `cancel`.
#[derive(Debug, Args)]
#[command(after_help = "Exit code 0 if the job was cancelled or had been answered before.")]
pub(crate) struct Cancel {
    /// Id of the job
    #[arg(value_parser = parse_job_id)]
    id: String,
}

impl Cancel {
    pub(super) fn run(&self, options: &Options) -> Result<()> {
        let client = Client::new(options, 1)?;
        let path = client.job_path(&self.id, "", &[]);
        // Cancellation is idempotent, so the request can be repeated at the next entry.
        let reply = client.request_any(Method::Delete, &path, None, REPLY_MARGIN)?;
        let Some(answer) = Answer::from_reply(&reply) else {
            let subject = format!("job {}", self.id);
            reply.success_json(&subject)?;
            return Err(Failure::may_have_run(format!(
                "{subject}: the reply is not an answer"
            )));
        };
        answer.print(&reply, options.json)?;
        match &answer.verdict {
            Verdict::NotRun(refusal) if refusal.reason == "cancelled" => {
                print_unless_json(options, &format!("job {} cancelled, did not run", self.id))
            }
            Verdict::MayHaveRun(refusal) if refusal.reason == "cancelled" => {
                print_unless_json(options, &format!("job {} cancelled, may have run", self.id))
            }
            Verdict::NotRun(refusal) if refusal.may_concern_request() => Err(Failure::refused(
                format!("job {} was not cancelled: {}", self.id, refusal.describe()),
            )),
            _ => answer.to_result(),
        }
    }
}

fn print_unless_json(options: &Options, text: &str) -> Result<()> {
    if options.json {
        Ok(())
    } else {
        output::print(text)
    }
}
