//! The sections and keys of a daemon's settings file.

use crate::document::Document;
use crate::reader::{Reader, hint};

/// Which roles have a key.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Owner {
    Both,
    Entry,
    Agent,
}

const SCHEMA: &[(&str, Owner, &[&str])] = &[
    ("daemon", Owner::Both, &["role", "name", "zone"]),
    ("listen", Owner::Both, &["http", "link", "advertise"]),
    ("cluster", Owner::Both, &["secret_file"]),
    ("cluster", Owner::Agent, &["entries"]),
    ("platform", Owner::Entry, &["kv", "timeout"]),
    ("log", Owner::Both, &["level", "format"]),
    (
        "limits",
        Owner::Both,
        &["body", "tasks", "deadline", "callers", "headers"],
    ),
    (
        "timing",
        Owner::Both,
        &[
            "announce",
            "silence",
            "roster_window",
            "memory_window",
            "answer_margin",
            "lease",
            "keepalive",
            "link_timeout",
            "drain",
        ],
    ),
    ("auth", Owner::Entry, &["callers_file", "operators_file"]),
];

/// Reports unknown sections and keys, duplicate keys, and keys that belong to the other role.
///
/// `role` is `None` if the file states no valid role.
pub(super) fn check(document: &Document, role: Option<&str>, reader: &mut Reader<'_>) {
    reader.duplicates();
    let known = |section: &str| SCHEMA.iter().any(|(name, ..)| *name == section);
    for header in document.sections() {
        if !known(&header.name) {
            let hint = hint(&header.name, SCHEMA.iter().map(|(name, ..)| *name));
            reader.at_header(header, format!("unknown section [{}]{hint}", header.name));
        }
    }
    for entry in document.entries() {
        if !known(&entry.section) {
            continue;
        }
        match owner(&entry.section, &entry.key) {
            None => reader.at(entry, unknown(&entry.section, &entry.key)),
            Some(Owner::Entry) if role == Some("agent") => {
                reader.at(entry, "only an entry has this key".to_owned());
            }
            Some(Owner::Agent) if role == Some("entry") => {
                reader.at(entry, "only an agent has this key".to_owned());
            }
            Some(_) => {}
        }
    }
}

fn owner(section: &str, key: &str) -> Option<Owner> {
    SCHEMA
        .iter()
        .find(|(name, _, keys)| *name == section && keys.contains(&key))
        .map(|(_, owner, _)| *owner)
}

fn unknown(section: &str, key: &str) -> String {
    if let Some((home, ..)) = SCHEMA.iter().find(|(_, _, keys)| keys.contains(&key)) {
        return format!("unknown key, `{key}` belongs to section [{home}]");
    }
    let keys = SCHEMA
        .iter()
        .filter(|(name, ..)| *name == section)
        .flat_map(|(_, _, keys)| keys.iter().copied());
    format!("unknown key{}", hint(key, keys))
}
