//! Embeds which sources the daemon is built from.
//!
//! The identity of a build is the digest of its sources, followed by the git commit where there is one:
//! `0123456789abcdef@0123456789ab`, with `-modified` if the sources differ from the commit.

#[path = "build/sources.rs"]
mod sources;

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The number of digits of a commit.
const COMMIT_DIGITS: &str = "--short=12";

fn main() -> io::Result<()> {
    let package = PathBuf::from(std::env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default());
    let workspace = package.join("../..");
    let roots = sources::roots(&workspace)?;
    for root in &roots {
        println!("cargo::rerun-if-changed={}", workspace.join(root).display());
    }
    let digest = sources::digest(&workspace)?;
    let build = match commit(&workspace, &roots) {
        Some(commit) => format!("{digest}@{commit}"),
        None => digest,
    };
    println!("cargo::rustc-env=FULMARPOND_BUILD={build}");
    Ok(())
}

/// Returns the commit that is checked out, with a mark if the sources differ from it. There is none in
/// an exported tree, even inside another repository, or without git.
fn commit(workspace: &Path, roots: &[PathBuf]) -> Option<String> {
    if !workspace.join(".git").exists() {
        return None;
    }
    let commit = git(workspace, &["rev-parse", COMMIT_DIGITS, "HEAD"], &[])?;
    for file in ["HEAD", "logs/HEAD"] {
        let path = git(workspace, &["rev-parse", "--git-path", file], &[])?;
        let path = workspace.join(path);
        if path.exists() {
            println!("cargo::rerun-if-changed={}", path.display());
        }
    }
    let changes = git(workspace, &["status", "--porcelain", "--"], roots)?;
    let mark = if changes.is_empty() { "" } else { "-modified" };
    Some(format!("{commit}{mark}"))
}

/// Returns the output of a git command that takes no locks and changes nothing.
fn git(workspace: &Path, arguments: &[&str], paths: &[PathBuf]) -> Option<String> {
    let output = Command::new("git")
        .arg("--no-optional-locks")
        .args(arguments)
        .args(paths)
        .current_dir(workspace)
        .env_remove("GIT_DIR")
        .env_remove("GIT_WORK_TREE")
        .env_remove("GIT_INDEX_FILE")
        .output()
        .ok()?;
    if !output.status.success() {
        return None;
    }
    Some(String::from_utf8(output.stdout).ok()?.trim().to_owned())
}
