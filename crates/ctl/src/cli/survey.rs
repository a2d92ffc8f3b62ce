//! Options of `berylctl survey`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

use super::{answers, file};

/// Subcommands of `berylctl survey`.
#[derive(Clone, Debug)]
pub(crate) enum SurveyCommand {
    New {
        answers: PathBuf,
    },
    Check {
        answers: PathBuf,
    },
    Generate {
        base: u64,
        out: Option<PathBuf>,
        answers: PathBuf,
    },
    Diff {
        old: PathBuf,
        new: PathBuf,
    },
}

pub(super) fn survey() -> OptionParser<SurveyCommand> {
    let new = construct!(SurveyCommand::New { answers(answers()) })
        .to_options()
        .descr("Asks every open question and keeps the answers after each one.")
        .footer("Example: berylctl survey new arriaga.ini")
        .command("new")
        .help("Ask the questions that are still open in a file of answers");
    let check = construct!(SurveyCommand::Check { answers(answers()) })
        .to_options()
        .descr("Names every fault with file, section, key and remedy.")
        .footer("Example: berylctl survey check examples/arriaga.ini")
        .command("check")
        .help("Find contradictions over the whole call graph");
    let generate = generate()
        .to_options()
        .descr("Generates the document that follows a published revision.")
        .footer("Example: berylctl survey generate --base 41 --out document.json arriaga.ini")
        .command("generate")
        .help("Generate the document to publish");
    let old = answers();
    let new_answers = positional::<PathBuf>("NEW").help("Answers that are to replace them");
    let diff = construct!(old, new_answers)
        .map(|(old, new)| SurveyCommand::Diff { old, new })
        .to_options()
        .descr("Explains in words what a change of answers changes in force.")
        .footer("Example: berylctl survey diff arriaga.ini arriaga-may.ini")
        .command("diff")
        .help("Explain what a change of answers changes in force");
    construct!([new, check, generate, diff])
        .to_options()
        .descr("From the operators' answers to the configuration.")
}

fn generate() -> impl Parser<SurveyCommand> {
    let base = long("base")
        .help("Revision that is published now; the document gets the next one")
        .argument::<u64>("REVISION");
    let out = file(
        "out",
        "Write the document to this file instead of standard output",
    )
    .optional();
    construct!(SurveyCommand::Generate {
        base,
        out,
        answers(answers()),
    })
}
