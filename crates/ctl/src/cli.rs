//! The command line: subcommands and their options.

mod daemons;
mod survey;
mod trial;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};

pub(crate) use self::daemons::{
    CallOptions, ExplainOptions, HeldOptions, ReportOptions, StatusOptions,
};
pub(crate) use self::survey::SurveyCommand;
pub(crate) use self::trial::{DemoOptions, Experiment, ExperimentOptions, LoadOptions, Workload};
use crate::failure::BAD_INPUT;

/// Line width of help texts, in columns.
const HELP_WIDTH: usize = 100;

/// A parsed subcommand with its options.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Survey(SurveyCommand),
    Status(StatusOptions),
    Call(CallOptions),
    Explain(ExplainOptions),
    Held(HeldOptions),
    Report(ReportOptions),
    Load(LoadOptions),
    Demo(DemoOptions),
    Experiment(ExperimentOptions),
}

/// Parses the command line of this process.
///
/// Prints help, completions or a parse error itself and then returns the exit code as the error.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    parser().run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(HELP_WIDTH);
        match failure {
            ParseFailure::Stderr(_) => ExitCode::from(BAD_INPUT),
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
        }
    })
}

fn parser() -> OptionParser<Command> {
    let survey = survey::survey()
        .command("survey")
        .help("Answer the questionnaire and generate the configuration from it")
        .map(Command::Survey);
    let status = daemons::status()
        .command("status")
        .help("Show the state of daemons in a table")
        .map(Command::Status);
    let call = daemons::call()
        .command("call")
        .help("Send one call as a caller would, with a ticket where it needs one")
        .map(Command::Call);
    let explain = daemons::explain()
        .command("explain")
        .help("Tell what was decided about one request, from the daemons' logs")
        .map(Command::Explain);
    let held = daemons::held()
        .command("held")
        .help("Show or release requests that are held back because they crashed targets")
        .map(Command::Held);
    let report = daemons::report()
        .command("report")
        .help("Report goodput, error budgets, burn and recovery after overloads")
        .map(Command::Report);
    let load = trial::load()
        .command("load")
        .help("Send open-loop arrivals with the mix of the questionnaire")
        .map(Command::Load);
    let demo = trial::demo()
        .command("demo")
        .help("Run a whole fleet in this process through an overload")
        .map(Command::Demo);
    let experiment = trial::experiment()
        .command("experiment")
        .help("Compare berylhead with a plain pass-through under a named trouble")
        .map(Command::Experiment);
    construct!([
        survey, status, call, explain, held, report, load, demo, experiment
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Drives a berylhead fleet by answers and outcomes.")
    .footer(
        "Exit codes: 0 it ended well, 1 it failed, 2 its input was refused. \
             Shell completion: berylctl --bpaf-complete-style-bash (or -zsh, -fish, -elvish).",
    )
}

/// The positional argument with the file of answers.
fn answers() -> impl Parser<PathBuf> {
    positional::<PathBuf>("ANSWERS")
        .help("File of answers")
        .complete_shell(bpaf::ShellComp::File {
            mask: Some("*.ini"),
        })
}

/// An option whose value is a file, with shell completion.
fn file(name: &'static str, help: &'static str) -> impl Parser<PathBuf> {
    let argument = long(name).help(help).argument::<PathBuf>("FILE");
    argument.complete_shell(bpaf::ShellComp::File { mask: None })
}
