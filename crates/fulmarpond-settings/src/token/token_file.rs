//! A token file.

use super::Token;
use crate::document::{SettingsError, SettingsErrors, line_spans};
use crate::reader::parse_name;

const MIN_TOKEN_CHARS: usize = 16;

/// A file of bearer tokens, each with the team or operator that it authenticates.
///
/// A line has a token of at least 16 characters, whitespace, and the name of a team or an operator.
/// Lines that start with `#` are comments. A name may have several tokens, so that a token can be
/// rotated without downtime.
///
/// # Examples
///
/// ```
/// use fulmarpond_settings::TokenFile;
///
/// let file = TokenFile::parse("callers", "# kitchen\nexample-token-0001 kitchen\n").unwrap();
/// let (token, team) = file.iter().next().unwrap();
/// assert_eq!((token.as_bytes(), team), (&b"example-token-0001"[..], "kitchen"));
/// ```
#[derive(Debug, Clone)]
pub struct TokenFile {
    lines: Vec<(Token, String)>,
}

impl TokenFile {
    /// Parses a token file; `name` is the file name shown in errors.
    ///
    /// # Errors
    ///
    /// Returns an error for each invalid line. In the text that the errors contain, every character
    /// except whitespace is replaced with `*`, so that reports and logs don't leak tokens.
    pub fn parse(name: &str, text: &str) -> crate::Result<Self> {
        let mut lines: Vec<(&str, usize, String)> = Vec::new();
        let mut errors = Vec::new();
        for (line, span) in line_spans(text) {
            let content = &text[span.clone()];
            if content.is_empty() || content.starts_with('#') {
                continue;
            }
            match parse_line(content, &lines) {
                Ok((token, owner)) => lines.push((token, line, owner)),
                Err(message) => errors.push(SettingsError {
                    section: String::new(),
                    key: None,
                    line,
                    span,
                    message,
                }),
            }
        }
        if !errors.is_empty() {
            return Err(SettingsErrors::new(name, &mask(text), errors));
        }
        let lines = lines
            .into_iter()
            .map(|(token, _, owner)| (Token::new(token), owner))
            .collect();
        Ok(Self { lines })
    }

    /// Returns each token with the name of its team or operator, in file order.
    pub fn iter(&self) -> impl Iterator<Item = (&Token, &str)> {
        self.lines
            .iter()
            .map(|(token, owner)| (token, owner.as_str()))
    }
}

/// Parses a line. Error messages never quote it, because any word may be a token.
fn parse_line<'a>(
    content: &'a str,
    earlier: &[(&str, usize, String)],
) -> crate::Result<(&'a str, String), String> {
    let mut words = content.split_whitespace();
    let (Some(token), Some(owner), None) = (words.next(), words.next(), words.next()) else {
        return Err("expected a token and the name of a team or an operator".to_owned());
    };
    let length = token.chars().count();
    if length < MIN_TOKEN_CHARS {
        return Err(format!(
            "the token has {length} characters, at least {MIN_TOKEN_CHARS} are needed"
        ));
    }
    if let Some((_, line, _)) = earlier.iter().find(|(other, ..)| *other == token) {
        return Err(format!("duplicate token, first set on line {line}"));
    }
    let owner = parse_name(owner)
        .map_err(|_| "the name must have 1 to 64 characters of A-Z a-z 0-9 . _ -".to_owned())?;
    Ok((token, owner))
}

/// Replaces every character except whitespace with one `*` per byte, so that byte ranges stay
/// valid.
fn mask(text: &str) -> String {
    let mut masked = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_whitespace() {
            masked.push(c);
        } else {
            masked.extend(std::iter::repeat_n('*', c.len_utf8()));
        }
    }
    masked
}
