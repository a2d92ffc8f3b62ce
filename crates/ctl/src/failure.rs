//! Command failures and their exit codes.

use std::process::ExitCode;

use derive_more::{Display, From};

/// Exit code of a command that failed.
const FAILED: u8 = 1;

/// Exit code of a command whose input was rejected.
pub(crate) const BAD_INPUT: u8 = 2;

/// Why a command did not succeed.
#[derive(Debug, Display, From)]
pub(crate) enum Failure {
    /// The input was valid, but the command failed.
    #[display("{_0:#}")]
    #[from]
    Failed(anyhow::Error),
    /// The arguments or an input file were rejected.
    #[display("{_0:#}")]
    BadInput(anyhow::Error),
}

impl Failure {
    pub(crate) fn bad_input(error: impl Into<anyhow::Error>) -> Self {
        Failure::BadInput(error.into())
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Failed(_) => FAILED,
            Failure::BadInput(_) => BAD_INPUT,
        })
    }
}
