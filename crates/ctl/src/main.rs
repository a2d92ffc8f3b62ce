//! The `berylctl` binary; see the `ctl` library.

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::run()
}
