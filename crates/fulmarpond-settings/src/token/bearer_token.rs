//! A bearer token.

use std::fmt;

/// A bearer token. Its `Debug` output hides the text.
///
/// The type has no `==`, because tokens must be compared in constant time, which is up to the
/// caller.
#[derive(Clone)]
pub struct Token(String);

impl Token {
    pub(super) fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the token as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(hidden)")
    }
}
