//! The identity of a build: what it is computed from, and where it is shown.

#[path = "../build/sources.rs"]
mod sources;

use std::fs;
use std::path::PathBuf;
use std::process::Command;

/// The files of a small workspace, with their contents.
const FILES: [(&str, &str); 6] = [
    ("Cargo.toml", "[workspace]"),
    ("Cargo.lock", "version = 4"),
    ("crates/daemon/Cargo.toml", "[package]"),
    ("crates/daemon/src/lib.rs", "mod role;"),
    ("crates/daemon/src/role/entry.rs", "struct Entry;"),
    ("platform/src/lib.rs", "const PATH: &str = \"/\";"),
];

/// A small workspace without git.
struct Workspace(PathBuf);

impl Workspace {
    /// Writes the files in the given order.
    fn new(name: &str, files: impl Iterator<Item = (&'static str, &'static str)>) -> Self {
        let folder = format!("fulmarpond-{}-{name}", std::process::id());
        let workspace = Self(std::env::temp_dir().join(folder));
        for (file, content) in files {
            workspace.write(file, content);
        }
        workspace
    }

    fn write(&self, file: &str, content: &str) {
        let file = self.0.join(file);
        fs::create_dir_all(file.parent().expect("a parent")).expect("a folder");
        fs::write(&file, content).expect("a file");
    }

    fn digest(&self) -> String {
        sources::digest(&self.0).expect("a digest")
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Guards against a digest that depends on the path, on git or on the order of the files in a folder.
#[test]
fn digest_is_that_of_the_same_sources_elsewhere() {
    let here = Workspace::new("here", FILES.into_iter());
    let elsewhere = Workspace::new("elsewhere/within", FILES.into_iter().rev());
    assert_eq!(here.digest(), elsewhere.digest());
}

struct Change {
    name: &'static str,
    file: &'static str,
    content: &'static str,
    is_other_build: bool,
}

/// Guards against two builds of different sources that can't be told apart, and against tests or
/// documents that make the same daemon look like another one.
#[test]
fn digest_tells_changed_sources() {
    let changes = [
        Change {
            name: "a dependency",
            file: "Cargo.lock",
            content: "",
            is_other_build: true,
        },
        Change {
            name: "a source file",
            file: "crates/daemon/src/lib.rs",
            content: "mod roles;",
            is_other_build: true,
        },
        Change {
            name: "a new source file",
            file: "crates/daemon/src/role/new.rs",
            content: "",
            is_other_build: true,
        },
        Change {
            name: "the names of the platform",
            file: "platform/src/lib.rs",
            content: "",
            is_other_build: true,
        },
        Change {
            name: "a test",
            file: "crates/daemon/tests/new.rs",
            content: "",
            is_other_build: false,
        },
        Change {
            name: "a document",
            file: "docs/new.md",
            content: "",
            is_other_build: false,
        },
    ];
    let workspace = Workspace::new("changed", FILES.into_iter());
    for change in changes {
        let before = workspace.digest();
        workspace.write(change.file, change.content);
        let is_other_build = workspace.digest() != before;
        assert_eq!(is_other_build, change.is_other_build, "{}", change.name);
    }
}

/// Guards against a daemon that can't say which build it is, or that tells where it was built.
#[test]
fn version_names_the_build_and_no_path() {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpondd"))
        .arg("--version")
        .output()
        .expect("the daemon runs");
    let text = String::from_utf8(output.stdout).expect("text");
    let build = text.trim().rsplit(' ').next().unwrap_or_default();
    assert_eq!(build, fulmarpondd::BUILD, "{text}");
    let digest = build.split('@').next().unwrap_or_default();
    assert_eq!(digest.len(), 16, "{text}");
    assert!(
        digest.chars().all(|digit| digit.is_ascii_hexdigit()),
        "{text}"
    );
    let workspace = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let sources = sources::digest(workspace.as_ref()).expect("a digest");
    assert_eq!(digest, sources, "{text}");
    assert!(!text.contains('/'), "{text}");
}
