//! Parsing of token files.

use expect_test::{Expect, expect};
use fulmarpond_settings::TokenFile;
use miette::{GraphicalReportHandler, GraphicalTheme};

struct Case {
    name: &'static str,
    text: &'static str,
    errors: Expect,
}

/// Guards against invalid lines that are skipped, which would lock a team out, and against reports
/// that leak a token. Reports print the invalid line, and any word of it may be a token.
#[test]
fn faulty_token_files_are_refused() {
    let cases = [
        Case {
            name: "one word",
            text: "# callers\nsecret-token-0001\n",
            errors: expect!["line 2: expected a token and the name of a team or an operator"],
        },
        Case {
            name: "three words",
            text: "secret-token-0001 kitchen bar\n",
            errors: expect!["line 1: expected a token and the name of a team or an operator"],
        },
        Case {
            name: "short token",
            text: "short kitchen\n",
            errors: expect!["line 1: the token has 5 characters, at least 16 are needed"],
        },
        Case {
            name: "invalid name",
            text: "secret-token-0001 kitchen/bar\n",
            errors: expect!["line 1: the name must have 1 to 64 characters of A-Z a-z 0-9 . _ -"],
        },
        Case {
            name: "swapped words",
            text: "kitchen secret-token-0001\n",
            errors: expect!["line 1: the token has 7 characters, at least 16 are needed"],
        },
        Case {
            name: "duplicate token",
            text: "secret-token-0001 kitchen\n\nsecret-token-0001 bar\n",
            errors: expect!["line 3: duplicate token, first set on line 1"],
        },
        Case {
            name: "two problems",
            text: "short kitchen\nsecret-token-0001 bar\nsecret-token-0002\n",
            errors: expect![[r#"
                line 1: the token has 5 characters, at least 16 are needed
                line 3: expected a token and the name of a team or an operator"#]],
        },
    ];
    for case in cases {
        let errors = TokenFile::parse("callers", case.text).expect_err(case.name);
        let lines: Vec<String> = errors.errors().iter().map(ToString::to_string).collect();
        case.errors.assert_eq(&lines.join("\n"));
        let mut report = String::new();
        GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
            .render_report(&mut report, &errors)
            .unwrap();
        let all = format!("{errors:?} {errors} {report}");
        assert!(!all.contains("secret-token"), "{}: {all}", case.name);
    }
}

/// Guards against tokens in logs and panic messages, which print values with their `Debug` output.
#[test]
fn debug_output_hides_tokens() {
    let file = TokenFile::parse("callers", "secret-token-0001 kitchen\n").unwrap();
    expect![[r#"TokenFile { lines: [(Token(hidden), "kitchen")] }"#]]
        .assert_eq(&format!("{file:?}"));
}

/// Guards against tokens that are lost or assigned to another team, because of Windows line
/// endings, tabs, comments, indentation or a last line without a line ending.
#[test]
fn tokens_are_assigned_to_their_owner() {
    let text = "# callers\r\n\r\nsecret-token-0001 kitchen\r\n  secret-token-0002\tbar  \r\n\
                secret-token-0003 kitchen";
    let file = TokenFile::parse("callers", text).unwrap();
    let lines: Vec<_> = file
        .iter()
        .map(|(token, owner)| (token.as_bytes(), owner))
        .collect();
    let expected: [(&[u8], &str); 3] = [
        (b"secret-token-0001", "kitchen"),
        (b"secret-token-0002", "bar"),
        (b"secret-token-0003", "kitchen"),
    ];
    assert_eq!(lines, expected);
}
