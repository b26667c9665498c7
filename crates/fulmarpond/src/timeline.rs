//! Timeline of one job, reconstructed from the logs of several processes.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Messages that an entry logs when a job arrives: it accepts or refuses the job.
const ARRIVAL_MESSAGES: [&str; 4] = [
    "job accepted",
    "job refused",
    "no route",
    "submission refused",
];

/// Messages that an entry logs when a job ends.
const END_MESSAGES: [&str; 7] = [
    "job completed",
    "job failed",
    "job given up",
    "job refused",
    "no route",
    "submission refused",
    "caller left, job stopped",
];

/// Fields that have their own column or are omitted, and so are not repeated in the detail.
const COLUMN_FIELDS: [&str; 6] = ["timestamp", "level", "message", "target", "job", "task"];

/// One log line about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The timestamp as logged by the process.
    pub time: String,
    /// Name of the process, from the prefix of the line or else the name of the log.
    pub process: String,
    /// The log message.
    pub message: String,
    /// Id of the task; empty if the line concerns the whole job.
    pub task: String,
    /// The other fields, as `name=value`.
    pub detail: String,
    /// The parsed log line.
    pub raw: Value,
}

/// All log lines about one job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timeline {
    /// The log lines, ordered by timestamp after [`sort`](Self::sort).
    pub lines: Vec<Line>,
}

impl Timeline {
    /// Adds the lines about job `id` from one log. Text that is not a JSON log line is skipped.
    pub fn add_log(&mut self, id: &str, log: &str, text: &str) {
        let found = text.lines().filter(|line| line.contains(id));
        self.lines
            .extend(found.filter_map(|line| parse_line(id, log, line)));
    }

    /// Sorts the lines by timestamp.
    pub fn sort(&mut self) {
        // The sort is stable: lines of one process with equal timestamps keep their order.
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
    }

    /// Describes the expected log lines that are missing.
    pub fn gaps(&self) -> Vec<String> {
        if self.lines.is_empty() {
            return vec!["no line mentions this job: the logs of its entry are missing".to_owned()];
        }
        let mut gaps = Vec::new();
        if !self.has_any(&ARRIVAL_MESSAGES) {
            gaps.push(
                "no line about the job's arrival: the log of its entry is missing".to_owned(),
            );
        }
        if !self.has_any(&END_MESSAGES) {
            gaps.push(
                "no line about the job's end: its entry was lost, or its log ends before"
                    .to_owned(),
            );
        }
        for task in self.tasks_without_end() {
            gaps.push(format!(
                "task {task} was sent, but no line reports its end: its agent was lost, or its \
                 log is missing"
            ));
        }
        gaps
    }

    fn has_any(&self, messages: &[&str]) -> bool {
        let is_listed = |line: &Line| messages.contains(&line.message.as_str());
        self.lines.iter().any(is_listed)
    }

    /// Returns the tasks that were sent to an agent and that no line names in its `task` field.
    fn tasks_without_end(&self) -> Vec<String> {
        let sent = self
            .lines
            .iter()
            .filter(|line| line.message == "tasks sent");
        let tasks: BTreeSet<String> = sent.flat_map(|line| sent_tasks(&line.raw)).collect();
        let reported: BTreeSet<&str> = self
            .lines
            .iter()
            .filter_map(|line| line.task.split_once('.').map(|(_, task)| task))
            .collect();
        let without_end = tasks
            .into_iter()
            .filter(|task| !reported.contains(task.as_str()));
        without_end.collect()
    }
}

/// Returns the tasks listed in a "tasks sent" line, as `STEP.NUMBER`.
fn sent_tasks(raw: &Value) -> Vec<String> {
    let step = raw["step"].as_u64().unwrap_or_default();
    let indexes = raw["indexes"].as_str().unwrap_or_default();
    let numbers = indexes.trim_matches(['[', ']']).split(',').map(str::trim);
    numbers
        .filter(|number| !number.is_empty())
        .map(|number| format!("{step}.{number}"))
        .collect()
}

fn parse_line(id: &str, log: &str, line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let raw: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = raw.as_object()?;
    let text = |name: &str| {
        let value = fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let task = text("task");
    let is_of_job = text("job") == id || task.split('.').next() == Some(id);
    if !is_of_job {
        return None;
    }
    // A log collector may prefix the line with the name of the process.
    let process = line[..start].split_whitespace().last().unwrap_or(log);
    Some(Line {
        time: text("timestamp"),
        process: process.to_owned(),
        message: text("message"),
        task,
        detail: format_detail(fields),
        raw: raw.clone(),
    })
}

fn format_detail(fields: &Map<String, Value>) -> String {
    let remaining = fields
        .iter()
        .filter(|(name, _)| !COLUMN_FIELDS.contains(&name.as_str()));
    let parts: Vec<String> = remaining
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    parts.join(" ")
}
