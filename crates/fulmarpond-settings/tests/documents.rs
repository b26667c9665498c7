//! Parsing of INI documents: invalid lines, and the location of keys.

use expect_test::{Expect, expect};
use fulmarpond_settings::Document;

struct Case {
    name: &'static str,
    text: &'static str,
    errors: Expect,
}

/// Guards against invalid lines that are skipped, merged with the next line or reported at the
/// wrong line. The INI parser does not report the line of a key and takes a trailing comment as
/// part of the value, so `Document` has to handle both.
#[test]
fn faulty_lines_are_refused() {
    let cases = [
        Case {
            name: "text without key",
            text: "[daemon]\nrole agent\n",
            errors: expect!["line 2: [daemon] expected `key = value`"],
        },
        Case {
            name: "header without bracket",
            text: "[daemon\nrole = agent\n",
            errors: expect![[r#"
                line 1: expected a section header `[name]` alone on its line
                line 2: role: the key is before the first section"#]],
        },
        Case {
            name: "text after header",
            text: "[daemon] role = agent\n",
            errors: expect!["line 1: expected a section header `[name]` alone on its line"],
        },
        Case {
            name: "empty section name",
            text: "[]\n",
            errors: expect!["line 1: expected a section header `[name]` alone on its line"],
        },
        Case {
            name: "missing key",
            text: "[daemon]\n= agent\n",
            errors: expect!["line 2: [daemon] the key before `=` is missing"],
        },
        Case {
            name: "quote not closed",
            text: "[daemon]\nname = \"saga-1\n",
            errors: expect!["line 2: [daemon] the quoted value has no closing quote"],
        },
        Case {
            name: "comment after value",
            text: "[daemon]\nzone = Saga # on Kyushu\n",
            errors: expect![[r#"
                line 2: [daemon] a comment must be on its own line; quote the value if `#` or `;` is part of it"#]],
        },
        Case {
            name: "comment after quoted value",
            text: "[daemon]\nzone = \"Saga\" # on Kyushu\n",
            errors: expect![[r#"
                line 2: [daemon] a comment must be on its own line; quote the value if `#` or `;` is part of it"#]],
        },
        Case {
            name: "carriage return inside a line",
            text: "[daemon]\nzone = Saga\rname = saga-1\n",
            errors: expect!["line 2: [daemon] the line contains a carriage return"],
        },
        Case {
            name: "key before first section",
            text: "role = agent\n[daemon]\n",
            errors: expect!["line 1: role: the key is before the first section"],
        },
        Case {
            name: "two faulty lines",
            text: "[daemon]\nrole\nzone = Saga\nname\n",
            errors: expect![[r#"
                line 2: [daemon] expected `key = value`
                line 4: [daemon] expected `key = value`"#]],
        },
    ];
    for case in cases {
        let errors = Document::parse("daemon.ini", case.text).expect_err(case.name);
        let lines: Vec<String> = errors.errors().iter().map(ToString::to_string).collect();
        case.errors.assert_eq(&lines.join("\n"));
    }
}

struct ValidCase {
    name: &'static str,
    text: &'static str,
    entry: (
        &'static str,
        &'static str,
        &'static str,
        usize,
        &'static str,
    ),
}

/// Guards against truncated values, and against line numbers and byte ranges that are off by the
/// length of a byte order mark, a line ending or a multi-byte character. Such an offset arises when
/// characters are counted instead of bytes, or when text is trimmed before its position is taken.
#[test]
fn entries_have_line_and_span() {
    let cases = [
        ValidCase {
            name: "plain",
            text: "[daemon]\nzone = Saga\n",
            entry: ("daemon", "zone", "Saga", 2, "zone = Saga"),
        },
        ValidCase {
            name: "indented after comments and blank lines",
            text: "# first\n; second\n\n  [ daemon ]\n\n\t zone=Saga  \n",
            entry: ("daemon", "zone", "Saga", 6, "zone=Saga"),
        },
        ValidCase {
            name: "Windows line endings and byte order mark",
            text: "\u{feff}[daemon]\r\nzone = Saga\r\n",
            entry: ("daemon", "zone", "Saga", 2, "zone = Saga"),
        },
        ValidCase {
            name: "characters of several bytes",
            text: "# Jaboatão\n[daemon]\nzone = Jaboatão\n",
            entry: ("daemon", "zone", "Jaboatão", 3, "zone = Jaboatão"),
        },
        ValidCase {
            name: "quoted value with a number sign",
            text: "[daemon]\nzone = \"Boa # Viagem\"\n",
            entry: (
                "daemon",
                "zone",
                "Boa # Viagem",
                2,
                "zone = \"Boa # Viagem\"",
            ),
        },
        ValidCase {
            name: "backslash",
            text: "[cluster]\nsecret_file = a\\b\\\nentries =\n",
            entry: (
                "cluster",
                "secret_file",
                "a\\b\\",
                2,
                "secret_file = a\\b\\",
            ),
        },
        ValidCase {
            name: "value with a separator, no line ending",
            text: "[listen]\nhttp = 127.0.0.1:7201",
            entry: (
                "listen",
                "http",
                "127.0.0.1:7201",
                2,
                "http = 127.0.0.1:7201",
            ),
        },
        ValidCase {
            name: "empty value",
            text: "[unset]\nteam.old.quota =\n",
            entry: ("unset", "team.old.quota", "", 2, "team.old.quota ="),
        },
    ];
    for case in cases {
        let document = Document::parse("daemon.ini", case.text).expect(case.name);
        let entry = &document.entries()[0];
        let span = &case.text[entry.span.clone()];
        let found = (
            entry.section.as_str(),
            entry.key.as_str(),
            entry.value.as_str(),
            entry.line,
            span,
        );
        assert_eq!(found, case.entry, "{}", case.name);
    }
}
