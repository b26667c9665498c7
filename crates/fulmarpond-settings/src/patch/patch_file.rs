//! A configuration patch as a file.

use std::collections::BTreeMap;

use fulmarpond_core::policy::{InvalidPolicy, Patch, Policy, Values, Version};

use crate::document::{Document, Entry};
use crate::reader::{Reader, has_name_chars, hint, name};

/// A checked configuration patch file.
///
/// Section `[patch]` has `id`, `base` and optionally `author`. Section `[unset]` lists the keys to
/// remove, each without a value. Every other section gives values to set: `quota` in section
/// `[team.kitchen]` sets `team.kitchen.quota`.
///
/// # Examples
///
/// ```
/// use fulmarpond_core::policy::Patch;
/// use fulmarpond_settings::{Document, PatchFile};
///
/// let text = "
/// [patch]
/// id = raise-kitchen-7f3a
/// base = 12
/// [team.kitchen]
/// quota = 200
/// [unset]
/// team.old.quota =
/// ";
/// let document = Document::parse("patch.ini", text).unwrap();
/// let patch = Patch::from(PatchFile::try_from(&document).unwrap());
/// assert_eq!(patch.set["team.kitchen.quota"], "200");
/// assert_eq!(patch.unset, ["team.old.quota"]);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct PatchFile {
    /// The id by which its author finds it again after a lost reply.
    pub id: String,
    /// The version that it applies to.
    pub base: Version,
    /// Who wrote it; empty if not stated.
    pub author: String,
    /// The values to set, from `section.key` to text.
    pub set: BTreeMap<String, String>,
    /// The keys to remove.
    pub unset: Vec<String>,
}

impl From<PatchFile> for Patch {
    fn from(file: PatchFile) -> Self {
        Self {
            id: file.id,
            base: file.base,
            author: file.author,
            set: file.set,
            unset: file.unset,
        }
    }
}

impl TryFrom<&Document> for PatchFile {
    type Error = crate::SettingsErrors;

    /// Checks a patch file without asking which configuration is in force.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file. Whether a key to remove exists is only known where the
    /// patch is applied.
    fn try_from(document: &Document) -> crate::Result<Self> {
        let mut reader = Reader::new(document);
        reader.duplicates();
        let id = reader.required("patch", "id", name);
        let base = reader.required("patch", "base", version);
        let author = reader.optional("patch", "author", |text| Ok(text.to_owned()));
        let mut set: BTreeMap<String, &Entry> = BTreeMap::new();
        let mut unset: BTreeMap<String, &Entry> = BTreeMap::new();
        for entry in document.entries() {
            match entry.section.as_str() {
                "patch" => check_head(entry, &mut reader),
                "unset" if !entry.value.is_empty() => {
                    reader.at(entry, "a key to remove takes no value".to_owned());
                }
                "unset" => {
                    unset.entry(entry.key.clone()).or_insert(entry);
                }
                section => {
                    let key = format!("{section}.{}", entry.key);
                    match set.get(&key) {
                        // The same pair of section and key was reported as a duplicate.
                        Some(first) if first.section == entry.section => {}
                        Some(first) => {
                            let line = first.line;
                            let message = format!("duplicate of `{key}`, first set on line {line}");
                            reader.at(entry, message);
                        }
                        None => {
                            check_value(&key, entry, &mut reader);
                            set.insert(key, entry);
                        }
                    }
                }
            }
        }
        for (key, entry) in &unset {
            if !has_name_chars(key) {
                let message = format!("key `{key}` has other characters than A-Z a-z 0-9 . _ -");
                reader.at(entry, message);
            } else if let Some(other) = set.get(key) {
                let message = format!("the key is also set, on line {}", other.line);
                reader.at(entry, message);
            }
        }
        if set.is_empty() && unset.is_empty() && reader.is_clean() {
            reader.at_section("patch", "the patch sets and removes nothing".to_owned());
        }
        let set: Values = set
            .into_iter()
            .map(|(key, entry)| (key, entry.value.clone()))
            .collect();
        check_whole(&set, &mut reader);
        let file = id.zip(base).map(|(id, base)| Self {
            id,
            base,
            author: author.unwrap_or_default(),
            set,
            unset: unset.into_keys().collect(),
        });
        reader.finish(file)
    }
}

fn check_head(entry: &Entry, reader: &mut Reader<'_>) {
    let known = ["id", "base", "author"];
    if !known.contains(&entry.key.as_str()) {
        let message = format!("unknown key{}", hint(&entry.key, known));
        reader.at(entry, message);
    }
}

/// Checks one value by itself, so that each faulty one is reported at its line.
fn check_value(key: &str, entry: &Entry, reader: &mut Reader<'_>) {
    if !has_name_chars(key) {
        reader.at(
            entry,
            format!("key `{key}` has other characters than A-Z a-z 0-9 . _ -"),
        );
        return;
    }
    let single = Values::from([(key.to_owned(), entry.value.clone())]);
    match Policy::try_from(&single) {
        Ok(_) => {}
        Err(InvalidPolicy::UnknownKey(_)) => {
            let message = format!("unknown key `{key}`{}", hint(key, KEYS.iter().copied()));
            reader.at(entry, message);
        }
        Err(error) => reader.at(entry, error.to_string()),
    }
}

/// Checks all values together, for rules that concern several of them.
fn check_whole(set: &Values, reader: &mut Reader<'_>) {
    if reader.is_clean()
        && let Err(error) = Policy::try_from(set)
    {
        reader.at_section("patch", error.to_string());
    }
}

fn version(text: &str) -> crate::Result<Version, String> {
    text.parse()
        .map(Version)
        .map_err(|_| format!("expected a version number, got `{text}`"))
}

/// The keys of the policy, for hints only; `Policy` decides which keys are valid.
const KEYS: &[&str] = &[
    "placement.policy",
    "placement.weigh",
    "limits.waiting",
    "limits.queue",
    "retry.percent",
    "health.failures",
    "health.percent",
    "team.default.quota",
];
