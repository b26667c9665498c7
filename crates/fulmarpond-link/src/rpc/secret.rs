//! The secret shared by the processes of a deployment.

use std::fmt;
use std::str::FromStr;

use jsonrpsee::client_transport::ws::HeaderValue;
use subtle::ConstantTimeEq;

use super::{Error, Result};

/// The secret shared by the processes of a deployment: one or more visible ASCII characters.
///
/// `Debug` output does not contain the value.
///
/// # Examples
///
/// ```
/// use fulmarpond_link::Secret;
///
/// let secret: Secret = "correct-horse".parse()?;
/// assert_eq!(format!("{secret:?}"), "Secret(..)");
/// assert!("two words".parse::<Secret>().is_err());
/// # Ok::<(), fulmarpond_link::Error>(())
/// ```
#[derive(Clone)]
pub struct Secret(HeaderValue);

impl Secret {
    /// Returns the value of the `Authorization` header.
    pub(super) fn header(&self) -> &HeaderValue {
        &self.0
    }

    /// Compares the secret with the value of an `Authorization` header in constant time.
    pub(super) fn matches(&self, header: &HeaderValue) -> bool {
        self.0.as_bytes().ct_eq(header.as_bytes()).into()
    }
}

impl FromStr for Secret {
    type Err = Error;

    /// Parses a secret, given without the `Bearer` prefix.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Secret`] if the text is empty or contains characters other than visible
    /// ASCII.
    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::Secret);
        }
        let mut header =
            HeaderValue::try_from(format!("Bearer {text}")).map_err(|_| Error::Secret)?;
        header.set_sensitive(true);
        Ok(Self(header))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
