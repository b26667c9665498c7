//! Tokens of callers and operators.

use std::path::Path;

use fulmarpond_settings::TokenFile;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use crate::{Error, Result};

/// The tokens of one file, or none if every request is admitted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tokens {
    file: Option<TokenFile>,
}

/// What a token allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Access {
    /// There is no token file, so everybody is admitted.
    Open,
    /// The token belongs to this team or operator.
    Named(String),
    /// The token is missing or not known.
    Denied,
}

impl Tokens {
    /// Reads a token file, if one is named.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or has errors.
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
    /// Every token is compared in constant time, and the search does not end early.
    pub(crate) fn check(&self, header: Option<&str>) -> Access {
        let Some(file) = &self.file else {
            return Access::Open;
        };
        let presented = header
            .and_then(|header| header.strip_prefix("Bearer "))
            .unwrap_or_default();
        let mut found = u32::MAX;
        for (index, (token, _)) in (0..).zip(file.iter()) {
            let equal: Choice = token.as_bytes().ct_eq(presented.as_bytes());
            found.conditional_assign(&index, equal);
        }
        file.iter()
            .nth(found as usize)
            .map_or(Access::Denied, |(_, name)| Access::Named(name.to_owned()))
    }
}
