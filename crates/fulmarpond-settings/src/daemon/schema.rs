//! The sections and keys of a daemon's settings file.

use crate::document::Document;
use crate::reader::{Reader, suggestion};

/// The roles for which a key is valid.
#[derive(Clone, Copy, PartialEq, Eq)]
enum KeyScope {
    Both,
    Entry,
    Agent,
}

const SCHEMA: &[(&str, KeyScope, &[&str])] = &[
    ("daemon", KeyScope::Both, &["role", "name", "zone"]),
    ("listen", KeyScope::Both, &["http", "link", "advertise"]),
    ("cluster", KeyScope::Both, &["secret_file"]),
    ("cluster", KeyScope::Agent, &["entries"]),
    ("platform", KeyScope::Entry, &["kv", "timeout"]),
    ("log", KeyScope::Both, &["level", "format"]),
    (
        "limits",
        KeyScope::Both,
        &["body", "tasks", "deadline", "callers", "headers"],
    ),
    (
        "timing",
        KeyScope::Both,
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
    ("auth", KeyScope::Entry, &["callers_file", "operators_file"]),
];

/// Reports unknown sections and keys, duplicate keys, and keys of the other role.
///
/// `role` is `None` if the file has no valid role.
pub(super) fn check_keys(document: &Document, role: Option<&str>, reader: &mut Reader<'_>) {
    reader.report_duplicate_keys();
    let is_known = |section: &str| SCHEMA.iter().any(|(name, ..)| *name == section);
    for header in document.sections() {
        if !is_known(&header.name) {
            let suggestion = suggestion(&header.name, SCHEMA.iter().map(|(name, ..)| *name));
            reader.report_at_header(
                header,
                format!("unknown section [{}]{suggestion}", header.name),
            );
        }
    }
    for entry in document.entries() {
        if !is_known(&entry.section) {
            continue;
        }
        match key_scope(&entry.section, &entry.key) {
            None => reader.report_at_entry(entry, unknown_key_message(&entry.section, &entry.key)),
            Some(KeyScope::Entry) if role == Some("agent") => {
                reader.report_at_entry(entry, "this key is valid only for an entry".to_owned());
            }
            Some(KeyScope::Agent) if role == Some("entry") => {
                reader.report_at_entry(entry, "this key is valid only for an agent".to_owned());
            }
            Some(_) => {}
        }
    }
}

fn key_scope(section: &str, key: &str) -> Option<KeyScope> {
    SCHEMA
        .iter()
        .find(|(name, _, keys)| *name == section && keys.contains(&key))
        .map(|(_, scope, _)| *scope)
}

fn unknown_key_message(section: &str, key: &str) -> String {
    if let Some((other_section, ..)) = SCHEMA.iter().find(|(_, _, keys)| keys.contains(&key)) {
        return format!("unknown key, `{key}` belongs to section [{other_section}]");
    }
    let keys = SCHEMA
        .iter()
        .filter(|(name, ..)| *name == section)
        .flat_map(|(_, _, keys)| keys.iter().copied());
    format!("unknown key{}", suggestion(key, keys))
}
