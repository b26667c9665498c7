//! What the machine gives a process in leased mode.

use crate::Result;
use crate::reader::Reader;

const BYTES_PER_MB: usize = 1024 * 1024;

/// The default of `memory` in section `[limits]`, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 120 * BYTES_PER_MB;

/// The minimum of `memory` in section `[limits]`, in bytes. One request of the largest size has to
/// fit beside the process itself.
const MIN_MEMORY_BYTES: usize = 24 * BYTES_PER_MB;

/// The default of `descriptors` in section `[limits]`.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// The minimum of `descriptors` in section `[limits]`.
const MIN_DESCRIPTORS: usize = 64;

/// What the machine gives a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedLimits {
    /// The memory, in bytes; a process that exceeds it is killed.
    pub memory: usize,
    /// The number of file descriptors.
    pub descriptors: usize,
}

impl LeasedLimits {
    pub(super) fn read(reader: &mut Reader<'_>) -> Self {
        let memory = reader.read_optional("limits", "memory", parse_memory);
        let descriptors = reader.read_optional("limits", "descriptors", parse_descriptors);
        Self {
            memory: memory.unwrap_or(DEFAULT_MEMORY_BYTES),
            descriptors: descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
        }
    }
}

/// Parses a size in `MB`, which may have a fraction.
fn parse_memory(text: &str) -> Result<usize, String> {
    let megabytes = text.strip_suffix("MB").map(str::trim);
    let megabytes = megabytes.and_then(|number| number.parse::<f64>().ok());
    let bytes = megabytes.map_or(0, |number| (number * BYTES_PER_MB as f64) as usize);
    if bytes < MIN_MEMORY_BYTES {
        let min = MIN_MEMORY_BYTES / BYTES_PER_MB;
        return Err(format!("expected a size of at least {min}MB, got `{text}`"));
    }
    Ok(bytes)
}

fn parse_descriptors(text: &str) -> Result<usize, String> {
    let count: usize = text.parse().map_err(|error| format!("`{text}`: {error}"))?;
    if count < MIN_DESCRIPTORS {
        return Err(format!("expected at least {MIN_DESCRIPTORS}, got `{text}`"));
    }
    Ok(count)
}
