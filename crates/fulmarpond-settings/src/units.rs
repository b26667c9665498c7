//! Parsing and formatting of durations and sizes with units.

use std::time::Duration;

/// Parses a duration such as `500ms`, `3s`, `2m` or `2h`, which must be above 0.
pub(crate) fn parse_duration(text: &str) -> crate::Result<Duration, String> {
    let units = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    let millis = parse_quantity(text, "a duration", "`ms`, `s`, `m` or `h`", &units)?;
    Ok(Duration::from_millis(millis))
}

/// Parses a size such as `64KB` or `4MB` into bytes; it must be above 0.
pub(crate) fn parse_size(text: &str) -> crate::Result<u64, String> {
    let units = [("KB", 1_024), ("MB", 1_024 * 1_024)];
    parse_quantity(text, "a size", "`KB` or `MB`", &units)
}

fn parse_quantity(
    text: &str,
    noun: &str,
    unit_names: &str,
    units: &[(&str, u64)],
) -> crate::Result<u64, String> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = (&text[..end], text[end..].trim_start());
    if digits.is_empty() || unit.starts_with(['.', ',']) {
        return Err(format!(
            "expected {noun}, a whole number with the unit {unit_names}, got `{text}`"
        ));
    }
    if unit.is_empty() {
        return Err(format!("`{text}` lacks a unit: {unit_names}"));
    }
    let Some((_, factor)) = units.iter().find(|(name, _)| *name == unit) else {
        return Err(format!("unknown unit `{unit}`, expected {unit_names}"));
    };
    match digits
        .parse::<u64>()
        .ok()
        .and_then(|n| n.checked_mul(*factor))
    {
        Some(0) => Err(format!("{noun} must be above 0")),
        Some(value) => Ok(value),
        None => Err(format!("`{text}` is too large")),
    }
}

/// Formats a duration in the largest unit of which it is a whole multiple.
pub(crate) fn format_duration(duration: Duration) -> String {
    let millis = duration.as_millis();
    for (unit, factor) in [("h", 3_600_000), ("m", 60_000), ("s", 1_000)] {
        if millis > 0 && millis.is_multiple_of(factor) {
            return format!("{}{unit}", millis / factor);
        }
    }
    format!("{millis}ms")
}
