//! Inclusive ranges of whole numbers.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// An inclusive range of whole numbers, written `N` or `MIN..MAX`.
///
/// # Examples
///
/// ```
/// use fulmarpond::load::Span;
///
/// let span: Span = "50..1000".parse().unwrap();
/// assert_eq!((span.min(), span.max()), (50, 1000));
/// assert_eq!("7".parse(), Span::new(7, 7));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    min: u64,
    max: u64,
}

/// Error of an invalid range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SpanError {
    /// The text is neither `N` nor `MIN..MAX`.
    #[error("expected a whole number or MIN..MAX, got `{0}`")]
    Syntax(String),
    /// The lower bound exceeds the upper one.
    #[error("the lower bound {min} exceeds the upper bound {max}")]
    Reversed {
        /// The lower bound.
        min: u64,
        /// The upper bound.
        max: u64,
    },
}

impl Span {
    /// Creates the range from `min` to `max`.
    ///
    /// # Errors
    ///
    /// Returns an error if `min` exceeds `max`.
    pub fn new(min: u64, max: u64) -> Result<Self, SpanError> {
        if min > max {
            return Err(SpanError::Reversed { min, max });
        }
        Ok(Self { min, max })
    }

    /// Returns the lower bound.
    pub fn min(&self) -> u64 {
        self.min
    }

    /// Returns the upper bound.
    pub fn max(&self) -> u64 {
        self.max
    }
}

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, SpanError> {
        let number = |part: &str| {
            part.trim()
                .parse()
                .map_err(|_| SpanError::Syntax(text.to_owned()))
        };
        match text.split_once("..") {
            Some((min, max)) => Self::new(number(min)?, number(max)?),
            None => {
                let value = number(text)?;
                Self::new(value, value)
            }
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.min == self.max {
            self.min.fmt(f)
        } else {
            write!(f, "{}..{}", self.min, self.max)
        }
    }
}
