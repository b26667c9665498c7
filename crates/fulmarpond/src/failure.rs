//! Failures of a command and their exit codes.

use fulmarpond_settings::SettingsErrors;
use miette::Diagnostic;
use thiserror::Error;

/// Result of a command.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum Failure {
    /// An argument, or a file that an argument names, is not valid. Nothing was sent.
    #[error("{message}")]
    #[diagnostic(code(fulmarpond::usage))]
    Usage {
        /// The error message.
        message: String,
        /// How to resolve the failure, if known.
        #[help]
        help: Option<String>,
    },
    /// A settings or patch file has errors. Nothing was sent.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] SettingsErrors),
    /// The request was refused; it has not run and will not run.
    #[error("{message}")]
    #[diagnostic(code(fulmarpond::not_run))]
    Refused {
        /// What was refused, and why.
        message: String,
        /// How to resolve the failure, if known.
        #[help]
        help: Option<String>,
    },
    /// The request failed, or its outcome is unknown: it may have run.
    #[error("{message}")]
    #[diagnostic(code(fulmarpond::may_have_run))]
    MayHaveRun {
        /// What failed, and why.
        message: String,
        /// How to resolve the failure, if known.
        #[help]
        help: Option<String>,
    },
    /// No entry could be reached. Nothing was sent.
    #[error("no entry could be reached: {message}")]
    #[diagnostic(
        code(fulmarpond::unreachable),
        help("name reachable entries with `--entry` or in FULMARPOND_ENTRY")
    )]
    Unreachable {
        /// The error of each entry that was tried.
        message: String,
    },
}

impl Failure {
    /// Returns the exit code for this failure.
    ///
    /// | code | meaning |
    /// |---|---|
    /// | 2 | usage |
    /// | 3 | refused, did not run |
    /// | 4 | failed, may have run |
    /// | 5 | no entry reachable |
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::File(_) => 2,
            Self::Refused { .. } => 3,
            Self::MayHaveRun { .. } => 4,
            Self::Unreachable { .. } => 5,
        }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
            help: None,
        }
    }

    pub(crate) fn refused(message: impl Into<String>) -> Self {
        Self::Refused {
            message: message.into(),
            help: None,
        }
    }

    pub(crate) fn may_have_run(message: impl Into<String>) -> Self {
        Self::MayHaveRun {
            message: message.into(),
            help: None,
        }
    }

    pub(crate) fn with_help(mut self, text: impl Into<String>) -> Self {
        match &mut self {
            Self::Usage { help, .. }
            | Self::Refused { help, .. }
            | Self::MayHaveRun { help, .. } => *help = Some(text.into()),
            Self::File(_) | Self::Unreachable { .. } => {}
        }
        self
    }
}
