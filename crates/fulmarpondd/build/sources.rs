//! The digest of the sources that a daemon is built from.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The files of the workspace that determine the daemon, besides those of its packages.
const WORKSPACE_FILES: [&str; 2] = ["Cargo.toml", "Cargo.lock"];

/// The folder whose subfolders are packages.
const PACKAGES: &str = "crates";

/// A folder beside them that is a package.
const PLATFORM: &str = "platform";

/// The parts of a package that determine what is built from it. Its tests do not.
const PACKAGE_PARTS: [&str; 4] = ["Cargo.toml", "build.rs", "build", "src"];

/// The offset basis and the prime of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the files and folders that the daemon is built from, relative to the workspace, in order.
pub(crate) fn roots(workspace: &Path) -> io::Result<Vec<PathBuf>> {
    let mut packages = vec![PathBuf::from(PLATFORM)];
    for package in fs::read_dir(workspace.join(PACKAGES))? {
        packages.push(Path::new(PACKAGES).join(package?.file_name()));
    }
    let parts = packages
        .iter()
        .flat_map(|package| PACKAGE_PARTS.map(|part| package.join(part)));
    let mut roots: Vec<PathBuf> = WORKSPACE_FILES.map(PathBuf::from).into();
    roots.extend(parts);
    roots.retain(|root| workspace.join(root).exists());
    roots.sort();
    Ok(roots)
}

/// Returns the digest of the sources, in hexadecimal digits. It depends on the names of the files
/// within the workspace and on their contents only.
pub(crate) fn digest(workspace: &Path) -> io::Result<String> {
    let mut files = Vec::new();
    for root in roots(workspace)? {
        collect_files(workspace, root, &mut files)?;
    }
    let mut names: Vec<(String, PathBuf)> = files
        .into_iter()
        .map(|file| (name_of(&file), file))
        .collect();
    names.sort();
    let mut hash = FNV_BASIS;
    for (name, file) in names {
        let content = fs::read(workspace.join(file))?;
        hash = add(hash, &(name.len() as u64).to_le_bytes());
        hash = add(hash, name.as_bytes());
        hash = add(hash, &(content.len() as u64).to_le_bytes());
        hash = add(hash, &content);
    }
    Ok(format!("{hash:016x}"))
}

fn collect_files(workspace: &Path, path: PathBuf, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !workspace.join(&path).is_dir() {
        files.push(path);
        return Ok(());
    }
    for entry in fs::read_dir(workspace.join(&path))? {
        collect_files(workspace, path.join(entry?.file_name()), files)?;
    }
    Ok(())
}

/// Returns the name of a file, with the same separator on all machines.
fn name_of(file: &Path) -> String {
    let parts = file.iter().map(|part| part.to_string_lossy());
    parts.collect::<Vec<_>>().join("/")
}

fn add(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, &byte: &u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(hash, step)
}
