//! Message counters read from metrics pages.

use std::collections::BTreeMap;

use serde::Serialize;

const MESSAGES_METRIC: &str = "fulmarpond_messages_total";
const WASTED_METRIC: &str = "fulmarpond_messages_wasted_total";

/// The message counters of one metrics page, by name and labels.
///
/// # Examples
///
/// ```
/// use fulmarpond::load::Counters;
///
/// let before = Counters::parse("fulmarpond_messages_total{call=\"run\"} 7\n");
/// let after = Counters::parse("fulmarpond_messages_total{call=\"run\"} 9\n");
/// assert_eq!(after.since(&before), (2.0, 0.0));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counters {
    series: BTreeMap<String, f64>,
}

impl Counters {
    /// Parses the message counters of a page in the OpenMetrics text format. Other lines are
    /// skipped.
    pub fn parse(page: &str) -> Self {
        Self {
            series: page.lines().filter_map(parse_sample).collect(),
        }
    }

    /// Returns the increase of messages and of wasted messages since an earlier scrape.
    ///
    /// A counter that decreased was reset by a restart, so its increase is its value.
    pub fn since(&self, before: &Self) -> (f64, f64) {
        let sum = |name: &str| {
            self.series
                .iter()
                .filter(|(series, _)| series.split('{').next() == Some(name))
                .map(|(series, value)| match before.series.get(series) {
                    Some(earlier) if earlier <= value => value - earlier,
                    _ => *value,
                })
                .sum()
        };
        (sum(MESSAGES_METRIC), sum(WASTED_METRIC))
    }
}

/// Messages between processes during a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Messages {
    /// All messages.
    pub total: f64,
    /// The wasted messages.
    pub wasted: f64,
    /// Messages per task of answered jobs.
    pub per_task: Option<f64>,
    /// Wasted messages as a percentage of all messages.
    pub wasted_percent: Option<f64>,
    /// The errors of pages that could not be read before or after the run. Their messages are not
    /// counted.
    pub unread: Vec<String>,
}

impl Messages {
    /// Computes the ratios from the sums over all pages.
    pub fn new(total: f64, wasted: f64, tasks: u64, unread: Vec<String>) -> Self {
        Self {
            total,
            wasted,
            per_task: (tasks > 0).then(|| total / tasks as f64),
            wasted_percent: (total > 0.0).then(|| wasted / total * 100.0),
            unread,
        }
    }
}

/// Parses a line `name{labels} value`, optionally followed by a timestamp or an exemplar.
fn parse_sample(line: &str) -> Option<(String, f64)> {
    let name = [WASTED_METRIC, MESSAGES_METRIC]
        .into_iter()
        .find(|name| line.starts_with(name))?;
    let rest = &line[name.len()..];
    let (labels, rest) = if rest.starts_with('{') {
        rest.split_at(find_labels_end(rest)?)
    } else if rest.starts_with([' ', '\t']) {
        ("", rest)
    } else {
        // Another metric whose name starts with the same text.
        return None;
    };
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some((format!("{name}{labels}"), value))
}

/// Returns the position after the closing brace. Braces within quoted values are ignored.
fn find_labels_end(text: &str) -> Option<usize> {
    let (mut quoted, mut escaped) = (false, false);
    for (position, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'}' if !quoted => return Some(position + 1),
            _ => {}
        }
    }
    None
}
