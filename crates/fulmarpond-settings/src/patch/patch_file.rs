//! A configuration patch file.

use std::collections::BTreeMap;

use fulmarpond_core::policy::{InvalidPolicy, Patch, Policy, Values, Version};

use crate::document::{Document, Entry};
use crate::reader::{Reader, has_only_name_chars, parse_name, suggestion};

/// A validated configuration patch file.
///
/// Section `[patch]` has `id`, `base` and optionally `author`. Section `[unset]` lists the keys to
/// remove, each without a value. Every other section has values to set: `quota` in section
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
    /// The id with which the author looks the patch up after a lost reply.
    pub id: String,
    /// The configuration version that the patch applies to.
    pub base: Version,
    /// The author; empty if the file has none.
    pub author: String,
    /// The values to set, by `section.key`.
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

    /// Validates a patch file without reference to the current configuration.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file. Whether a key to remove exists is checked only when the
    /// patch is applied.
    fn try_from(document: &Document) -> crate::Result<Self> {
        let mut reader = Reader::new(document);
        reader.report_duplicate_keys();
        let id = reader.read_required("patch", "id", parse_name);
        let base = reader.read_required("patch", "base", parse_version);
        let author = reader.read_optional("patch", "author", |text| Ok(text.to_owned()));
        let mut set: BTreeMap<String, &Entry> = BTreeMap::new();
        let mut unset: BTreeMap<String, &Entry> = BTreeMap::new();
        for entry in document.entries() {
            match entry.section.as_str() {
                "patch" => check_patch_section_key(entry, &mut reader),
                "unset" if !entry.value.is_empty() => {
                    reader.report_at_entry(entry, "a key to remove takes no value".to_owned());
                }
                "unset" => {
                    unset.entry(entry.key.clone()).or_insert(entry);
                }
                section => {
                    let key = format!("{section}.{}", entry.key);
                    match set.get(&key) {
                        // `report_duplicate_keys` has reported a repetition within the same
                        // section.
                        Some(first) if first.section == entry.section => {}
                        Some(first) => {
                            let line = first.line;
                            let message = format!("duplicate of `{key}`, first set on line {line}");
                            reader.report_at_entry(entry, message);
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
            if !has_only_name_chars(key) {
                let message =
                    format!("key `{key}` contains characters other than A-Z a-z 0-9 . _ -");
                reader.report_at_entry(entry, message);
            } else if let Some(other) = set.get(key) {
                let message = format!("the key is also set, on line {}", other.line);
                reader.report_at_entry(entry, message);
            }
        }
        if set.is_empty() && unset.is_empty() && reader.has_no_errors() {
            reader.report_at_section("patch", "the patch sets and removes nothing".to_owned());
        }
        let set: Values = set
            .into_iter()
            .map(|(key, entry)| (key, entry.value.clone()))
            .collect();
        check_values_together(&set, &mut reader);
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

fn check_patch_section_key(entry: &Entry, reader: &mut Reader<'_>) {
    let known = ["id", "base", "author"];
    if !known.contains(&entry.key.as_str()) {
        let message = format!("unknown key{}", suggestion(&entry.key, known));
        reader.report_at_entry(entry, message);
    }
}

/// Checks one value separately, so that each invalid value is reported at its own line.
fn check_value(key: &str, entry: &Entry, reader: &mut Reader<'_>) {
    if !has_only_name_chars(key) {
        reader.report_at_entry(
            entry,
            format!("key `{key}` contains characters other than A-Z a-z 0-9 . _ -"),
        );
        return;
    }
    let single = Values::from([(key.to_owned(), entry.value.clone())]);
    match Policy::try_from(&single) {
        Ok(_) => {}
        Err(InvalidPolicy::UnknownKey(_)) => {
            let message = format!(
                "unknown key `{key}`{}",
                suggestion(key, SUGGESTED_KEYS.iter().copied())
            );
            reader.report_at_entry(entry, message);
        }
        Err(error) => reader.report_at_entry(entry, error.to_string()),
    }
}

/// Checks rules that involve several values.
fn check_values_together(set: &Values, reader: &mut Reader<'_>) {
    if reader.has_no_errors()
        && let Err(error) = Policy::try_from(set)
    {
        reader.report_at_section("patch", error.to_string());
    }
}

fn parse_version(text: &str) -> crate::Result<Version, String> {
    text.parse()
        .map(Version)
        .map_err(|_| format!("expected a version number, got `{text}`"))
}

/// The keys of the policy, only used for suggestions; `Policy` defines which keys are valid.
const SUGGESTED_KEYS: &[&str] = &[
    "placement.policy",
    "placement.weigh",
    "limits.waiting",
    "limits.queue",
    "retry.percent",
    "health.failures",
    "health.percent",
    "team.default.quota",
];
