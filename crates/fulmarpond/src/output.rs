//! Output to standard output.

use std::io::{self, Write};

use serde_json::Value;

use crate::{Failure, Result};

/// Prints text and ends it with a newline. A broken pipe is not an error, since the reader may stop
/// early.
///
/// # Errors
///
/// Returns a failure if standard output can't be written.
pub(crate) fn print(text: &str) -> Result<()> {
    let mut stdout = io::stdout().lock();
    let result = stdout
        .write_all(text.as_bytes())
        .and_then(|()| {
            if text.ends_with('\n') {
                Ok(())
            } else {
                stdout.write_all(b"\n")
            }
        })
        .and_then(|()| stdout.flush());
    match result {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::may_have_run(
            format!("standard output can't be written: {error}"),
        )),
        _ => Ok(()),
    }
}

/// Prints an indented JSON document.
///
/// # Errors
///
/// Returns a failure if standard output can't be written.
pub(crate) fn print_json(value: &Value) -> Result<()> {
    print(&format!("{value:#}"))
}

/// Formats a JSON value as a table cell: text without quotes, and `-` for null or empty text.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns the elements of a JSON array, or an empty slice for any other value.
pub(crate) fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
