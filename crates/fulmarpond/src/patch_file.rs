//! Reading of configuration patch files.

use std::fs;
use std::path::Path;

use fulmarpond_core::policy::Patch;
use fulmarpond_settings::{Document, PatchFile};

use crate::{Failure, Result};

/// Reads and parses a patch file.
///
/// # Errors
///
/// Returns a usage failure if the file can't be read or is not a valid patch.
pub(crate) fn read(path: &Path) -> Result<Patch> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::usage(format!("patch file {name} can't be read: {error}")))?;
    let document = Document::parse(&name, &text)?;
    Ok(PatchFile::try_from(&document)?.into())
}
