/*!
The `berylctl` command-line tool: the questionnaire, daemon status, single calls, log search,
reports, load, the demo fleet and experiments.

The binary `berylctl` only calls [`run`]. The exit code is 0 if the command succeeded, 1 if it
failed and 2 if its input was rejected. Output files are written to a temporary file and renamed,
so they are never left incomplete.

```no_run
let code: std::process::ExitCode = ctl::run();
```

# Modules

* `cli`: command-line parsing
* `questionnaire`, `interview`: `berylctl survey`
* `status`, `call`, `report`: commands that send requests to daemons
* `explain`: search in the logs of daemons
* `load`, `demo`, `experiment`, with `mix` and `tally`: load generation and test fleets
* `http`, `file`, `output`, `failure`: helpers shared by the commands
*/
#![deny(missing_docs)]

mod call;
mod cli;
mod demo;
mod experiment;
mod explain;
mod failure;
mod file;
mod held;
mod http;
mod interview;
mod load;
mod mix;
mod output;
mod questionnaire;
mod report;
mod status;
mod tally;

use std::process::ExitCode;

use crate::cli::Command;
use crate::failure::Failure;

/// Runs the command given in the arguments of the process and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output::print_error(&failure);
            failure.exit_code()
        }
    }
}

fn execute(command: Command) -> Result<(), Failure> {
    match command {
        Command::Survey(command) => questionnaire::run(command),
        Command::Status(options) => http::block_on(status::run(options)),
        Command::Call(options) => http::block_on(call::run(options)),
        Command::Explain(options) => explain::run(&options),
        Command::Held(options) => http::block_on(held::run(options)),
        Command::Report(options) => http::block_on(report::run(options)),
        Command::Load(options) => http::block_on(load::run(options)),
        Command::Demo(options) => http::block_on(demo::run(options)),
        Command::Experiment(options) => http::block_on(experiment::run(options)),
    }
}
