//! The story of one job, told by the logs of several processes.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Messages with which an entry tells what became of a job on its arrival.
const ARRIVAL_MESSAGES: [&str; 3] = ["job accepted", "job refused", "submission refused"];

/// Messages with which an entry tells the end of a job.
const END_MESSAGES: [&str; 6] = [
    "job completed",
    "job failed",
    "job given up",
    "job refused",
    "submission refused",
    "caller left, job stopped",
];

/// Fields that are shown in columns of their own, or not at all.
const COLUMN_FIELDS: [&str; 6] = ["timestamp", "level", "message", "target", "job", "task"];

/// One line about a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The time, as the process wrote it.
    pub time: String,
    /// The process, by the name of its log or the prefix of the line.
    pub process: String,
    /// What happened.
    pub message: String,
    /// The task; empty for the job as a whole.
    pub task: String,
    /// The inputs and the outcome.
    pub detail: String,
    /// The line as it was read.
    pub raw: Value,
}

/// What the logs tell about a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timeline {
    /// The lines in the order of their times.
    pub lines: Vec<Line>,
}

impl Timeline {
    /// Adds the lines about a job from one log. Lines that are no log lines are passed over.
    pub fn add_log(&mut self, id: &str, log: &str, text: &str) {
        let found = text.lines().filter(|line| line.contains(id));
        self.lines
            .extend(found.filter_map(|line| parse_line(id, log, line)));
    }

    /// Puts the lines into the order of their times.
    pub fn sort(&mut self) {
        // The sort is stable: lines of one process with the same time stay in their order.
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
    }

    /// Returns what the logs do not tell.
    pub fn gaps(&self) -> Vec<String> {
        if self.lines.is_empty() {
            return vec!["no line names this job: the logs of its entry are missing".to_owned()];
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
                "task {task} was sent, and no line tells its end: its agent was lost, or its log \
                 is missing"
            ));
        }
        gaps
    }

    fn has_any(&self, messages: &[&str]) -> bool {
        let is_listed = |line: &Line| messages.contains(&line.message.as_str());
        self.lines.iter().any(is_listed)
    }

    /// Returns the tasks that were sent to an agent and have no line of their own.
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

/// Returns the tasks that a line "tasks sent" names, as step and number.
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
    // A collector may put the name of the process before the line.
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
