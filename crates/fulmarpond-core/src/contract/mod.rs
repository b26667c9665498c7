//! The contract with callers: submissions, answers, verdicts, refusal reasons and job events.

mod answer;
mod event;
mod job_id;
mod reason;
mod status;
mod submission;
mod task;
mod verdict;

pub use answer::Answer;
pub use event::{Event, EventKind};
pub use job_id::JobId;
pub use reason::Reason;
pub use status::{JobState, Status};
pub use submission::{Attempt, InvalidSubmission, RawSubmission, Submission, SubmissionLimits};
pub use task::{Resources, Task};
pub use verdict::{Refusal, Verdict};

/// The result of validating a submission.
pub type Result<T> = std::result::Result<T, InvalidSubmission>;
