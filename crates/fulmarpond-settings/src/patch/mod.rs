//! Configuration patch files, and configuration values as INI text.

mod change;
mod ini_text;
mod patch_file;

pub use change::{Change, diff};
pub use ini_text::{Unrepresentable, render};
pub use patch_file::PatchFile;
