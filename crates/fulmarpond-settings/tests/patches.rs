//! Patch files, and rendering and comparison of configuration values.

use expect_test::{Expect, expect};
use fulmarpond_core::policy::{Patch, Policy, Values, Version};
use fulmarpond_settings::{Document, PatchFile, diff, render};

struct Case {
    name: &'static str,
    text: &'static str,
    errors: Expect,
}

/// Guards against invalid patches that are sent and rejected only by an entry, and against errors
/// without the line of the value. The policy that checks the values knows no lines, so a patch file
/// has to check each value separately.
#[test]
fn faulty_patches_are_refused() {
    let cases = [
        Case {
            name: "empty file",
            text: "",
            errors: expect![[r#"
                line 1: [patch] id: the key is missing from section [patch]
                line 1: [patch] base: the key is missing from section [patch]"#]],
        },
        Case {
            name: "no patch section",
            text: "[team.kitchen]\nquota = 200\n",
            errors: expect![[r#"
                line 2: [patch] id: the key is missing from section [patch]
                line 2: [patch] base: the key is missing from section [patch]"#]],
        },
        Case {
            name: "invalid id",
            text: "[patch]\nid = raise kitchen\nbase = 1\n[team.kitchen]\nquota = 200\n",
            errors: expect![[r#"
                line 2: [patch] id: expected 1 to 64 characters of A-Z a-z 0-9 . _ -, got `raise kitchen`"#]],
        },
        Case {
            name: "base is not a number",
            text: "[patch]\nid = a\nbase = latest\n[team.kitchen]\nquota = 200\n",
            errors: expect!["line 3: [patch] base: expected a version number, got `latest`"],
        },
        Case {
            name: "unknown key in patch section",
            text: "[patch]\nid = a\nbase = 1\nauthr = ana\n[team.kitchen]\nquota = 200\n",
            errors: expect!["line 4: [patch] authr: unknown key, did you mean `author`?"],
        },
        Case {
            name: "no change",
            text: "[patch]\nid = a\nbase = 1\n",
            errors: expect!["line 1: [patch] the patch sets and removes nothing"],
        },
        Case {
            name: "unknown key",
            text: "[patch]\nid = a\nbase = 1\n[placement]\nweight = messages\n",
            errors: expect![[r#"
                line 5: [placement] weight: unknown key `placement.weight`, did you mean `placement.weigh`?"#]],
        },
        Case {
            name: "unknown section",
            text: "[patch]\nid = a\nbase = 1\n[kitchen]\nquota = 200\n",
            errors: expect!["line 5: [kitchen] quota: unknown key `kitchen.quota`"],
        },
        Case {
            name: "invalid word",
            text: "[patch]\nid = a\nbase = 1\n[placement]\nweigh = cost\n",
            errors: expect![[r#"
                line 5: [placement] weigh: key `placement.weigh` must be `response` or `messages`, got `cost`"#]],
        },
        Case {
            name: "invalid number",
            text: "[patch]\nid = a\nbase = 1\n[team.kitchen]\nquota = many\n",
            errors: expect![[r#"
                line 5: [team.kitchen] quota: key `team.kitchen.quota` must be a whole number that is not negative, got `many`"#]],
        },
        Case {
            name: "percentage above 100",
            text: "[patch]\nid = a\nbase = 1\n[retry]\npercent = 120\n",
            errors: expect![[r#"
                line 5: [retry] percent: key `retry.percent` must be a whole number from 0 to 100, got `120`"#]],
        },
        Case {
            name: "team with a blank",
            text: "[patch]\nid = a\nbase = 1\n[team.hunt desk]\nquota = 200\n",
            errors: expect![[r#"
                line 5: [team.hunt desk] quota: key `team.hunt desk.quota` contains characters other than A-Z a-z 0-9 . _ -"#]],
        },
        Case {
            name: "duplicate key",
            text: "[patch]\nid = a\nbase = 1\n[team.kitchen]\nquota = 200\nquota = 300\n",
            errors: expect!["line 6: [team.kitchen] quota: duplicate key, first set on line 5"],
        },
        Case {
            name: "duplicate key in another section",
            text: "[patch]\nid = a\nbase = 1\n[team.kitchen]\nquota = 200\n[team]\nkitchen.quota = 300\n",
            errors: expect![[r#"
                line 7: [team] kitchen.quota: duplicate of `team.kitchen.quota`, first set on line 5"#]],
        },
        Case {
            name: "duplicate key to remove",
            text: "[patch]\nid = a\nbase = 1\n[unset]\nteam.old.quota =\nteam.old.quota =\n",
            errors: expect!["line 6: [unset] team.old.quota: duplicate key, first set on line 5"],
        },
        Case {
            name: "key to remove with a value",
            text: "[patch]\nid = a\nbase = 1\n[unset]\nteam.old.quota = 1\n",
            errors: expect!["line 5: [unset] team.old.quota: a key to remove takes no value"],
        },
        Case {
            name: "key set and removed",
            text: "[patch]\nid = a\nbase = 1\n[team.old]\nquota = 1\n[unset]\nteam.old.quota =\n",
            errors: expect!["line 7: [unset] team.old.quota: the key is also set, on line 5"],
        },
        Case {
            name: "several problems",
            text: "[patch]\nbase = x\n[retry]\npercent = 120\n[team.kitchen]\nquota = many\n[unset]\nteam.old.quota = 1\n",
            errors: expect![[r#"
                line 1: [patch] id: the key is missing from section [patch]
                line 2: [patch] base: expected a version number, got `x`
                line 4: [retry] percent: key `retry.percent` must be a whole number from 0 to 100, got `120`
                line 6: [team.kitchen] quota: key `team.kitchen.quota` must be a whole number that is not negative, got `many`
                line 8: [unset] team.old.quota: a key to remove takes no value"#]],
        },
    ];
    for case in cases {
        let document = Document::parse("patch.ini", case.text).expect(case.name);
        let errors = PatchFile::try_from(&document).expect_err(case.name);
        let lines: Vec<String> = errors.errors().iter().map(ToString::to_string).collect();
        case.errors.assert_eq(&lines.join("\n"));
    }
}

/// Guards against fields and keys of a file that are missing from the patch, for example because a
/// key that contains a dot is not joined with its section.
#[test]
fn patch_has_all_fields() {
    let text = "[patch]\nid = a\nbase = 12\nauthor = ana maria\n[placement]\nweigh = messages\n\
                [team.kitchen]\nquota = 200\n[team]\nbar.quota = 5\n[unset]\nteam.old.quota =\n";
    let document = Document::parse("patch.ini", text).unwrap();
    let patch = Patch::from(PatchFile::try_from(&document).unwrap());
    let set = [
        ("placement.weigh", "messages"),
        ("team.bar.quota", "5"),
        ("team.kitchen.quota", "200"),
    ];
    let expected = Patch {
        id: "a".to_owned(),
        base: Version(12),
        author: "ana maria".to_owned(),
        set: values(&set),
        unset: vec!["team.old.quota".to_owned()],
    };
    assert_eq!(patch, expected);
}

/// Guards against rendered values that change when they are parsed as a patch file, because the
/// section and key are split elsewhere or the INI parser interprets a character of the value.
#[test]
fn rendered_values_round_trip() {
    let values = values(&[
        ("placement.policy", "two_choices"),
        ("placement.weigh", "messages"),
        ("limits.waiting", "5000"),
        ("limits.queue", "8"),
        ("retry.percent", "10"),
        ("health.failures", "3"),
        ("health.percent", "40"),
        ("team.default.quota", "100"),
        ("team.north.kitchen.quota", "+200"),
        ("team.hunt-desk_2.quota", "0"),
    ]);
    Policy::try_from(&values).unwrap();
    let text = render(&values).unwrap();
    let text = format!("[patch]\nid = a\nbase = 0\n{text}");
    let document = Document::parse("patch.ini", &text).unwrap();
    assert_eq!(PatchFile::try_from(&document).unwrap().set, values);
}

struct UnrepresentableCase {
    key: &'static str,
    value: &'static str,
    error: Expect,
}

/// Guards against rendered INI text from which a key or value can't be parsed back. A bracket in a
/// section, a line break in a value or an empty value changes the meaning of the text.
#[test]
fn unrepresentable_values_are_refused() {
    let cases = [
        UnrepresentableCase {
            key: "quota",
            value: "1",
            error: expect!["key `quota` can't be written as INI: it has no section"],
        },
        UnrepresentableCase {
            key: "team.a]b.quota",
            value: "1",
            error: expect![[r#"
                key `team.a]b.quota` can't be written as INI: it contains characters other than A-Z a-z 0-9 . _ -"#]],
        },
        UnrepresentableCase {
            key: ".quota",
            value: "1",
            error: expect![[r#"
                key `.quota` can't be written as INI: it contains characters other than A-Z a-z 0-9 . _ -"#]],
        },
        UnrepresentableCase {
            key: "team.a.quota",
            value: "1\n[unset]",
            error: expect![[r#"
                key `team.a.quota` can't be written as INI: its value is empty or contains characters other than visible ASCII without quotes"#]],
        },
        UnrepresentableCase {
            key: "team.a.quota",
            value: "",
            error: expect![[r#"
                key `team.a.quota` can't be written as INI: its value is empty or contains characters other than visible ASCII without quotes"#]],
        },
    ];
    for case in cases {
        let error = render(&values(&[(case.key, case.value)])).unwrap_err();
        case.error.assert_eq(&error.to_string());
    }
}

/// Guards against changes that are missing, have old and new values swapped, or are not ordered by
/// key, because added keys are collected after removed and changed ones.
#[test]
fn difference_lists_changes_by_key() {
    let old = values(&[
        ("limits.queue", "8"),
        ("team.a.quota", "1"),
        ("team.b.quota", "2"),
    ]);
    let new = values(&[
        ("limits.queue", "8"),
        ("placement.weigh", "messages"),
        ("team.b.quota", "3"),
    ]);
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    expect![[r#"
        + placement.weigh = messages
        - team.a.quota = 1
        ~ team.b.quota = 2 -> 3"#]]
    .assert_eq(&lines.join("\n"));
    assert_eq!(diff(&old, &old), []);
}

fn values(pairs: &[(&str, &str)]) -> Values {
    pairs
        .iter()
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
        .collect()
}
