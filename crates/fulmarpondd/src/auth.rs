//! Bearer tokens of callers and operators.

use std::path::Path;

use fulmarpond_settings::TokenFile;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use crate::{Error, Result};

/// The tokens of one token file. Without a file, every request is admitted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tokens {
    file: Option<TokenFile>,
}

/// The result of checking a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Access {
    /// No token file is configured, so every request is admitted.
    Open,
    /// The token belongs to this team or operator.
    Named(String),
    /// The token is missing or unknown.
    Denied,
}

impl Tokens {
    /// Reads a token file, if one is configured.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is invalid.
    pub(crate) fn read(path: Option<&Path>) -> Result<Self> {
        let Some(path) = path else {
            return Ok(Self::default());
        };
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.to_owned(),
            source,
        })?;
        let file = TokenFile::parse(&path.display().to_string(), &text)?;
        Ok(Self { file: Some(file) })
    }

    /// Checks the value of an `Authorization` header.
    ///
    /// Every token is compared in constant time, and the search does not stop at a match, so that
    /// response times reveal nothing about the tokens.
    pub(crate) fn check(&self, header: Option<&str>) -> Access {
        let Some(file) = &self.file else {
            return Access::Open;
        };
        let presented_token = header
            .and_then(|header| header.strip_prefix("Bearer "))
            .unwrap_or_default();
        let mut matching_index = u32::MAX;
        for (index, (token, _)) in (0..).zip(file.iter()) {
            let is_equal: Choice = token.as_bytes().ct_eq(presented_token.as_bytes());
            matching_index.conditional_assign(&index, is_equal);
        }
        file.iter()
            .nth(matching_index as usize)
            .map_or(Access::Denied, |(_, name)| Access::Named(name.to_owned()))
    }
}
