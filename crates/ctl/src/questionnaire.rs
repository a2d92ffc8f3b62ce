//! `berylctl survey`: asks for, checks and compares answers, and generates the document.

use std::io;
use std::path::Path;

use anyhow::anyhow;
use model::Revision;
use survey::{Answers, Draft, Interview, MAX_ANSWERS_BYTES};

use crate::cli::SurveyCommand;
use crate::failure::Failure;
use crate::file;
use crate::interview::{self, InterviewEnd};
use crate::output::{self, Style};

pub(crate) fn run(command: SurveyCommand) -> Result<(), Failure> {
    match command {
        SurveyCommand::New { answers } => new(&answers),
        SurveyCommand::Check { answers } => check(&answers),
        SurveyCommand::Generate { base, out, answers } => {
            generate(&answers, Revision::from(base), out.as_deref())
        }
        SurveyCommand::Diff { old, new } => diff(&old, &new),
    }
}

/// Asks the questions that are still open, and saves the draft after each accepted answer.
fn new(path: &Path) -> Result<(), Failure> {
    let draft = if path.exists() {
        Draft::read(&display_name(path), &file::read(path, MAX_ANSWERS_BYTES)?)
            .map_err(Failure::bad_input)?
    } else {
        Draft::default()
    };
    let mut interview = Interview::resume(draft);
    let save = |draft: &Draft| {
        let result = file::write(path, draft.to_text().as_bytes());
        result.map_err(|failure| anyhow!("{failure}"))
    };
    let mut output = io::stdout().lock();
    let mut input = io::stdin().lock();
    let style = Style::of_stdout();
    match interview::run(&mut interview, &mut input, &mut output, style, save)? {
        InterviewEnd::Complete => {
            drop(output);
            check(path)
        }
        InterviewEnd::Stopped => Err(Failure::Failed(anyhow!(
            "{}: questions are left; the same command goes on from here",
            display_name(path)
        ))),
    }
}

fn check(path: &Path) -> Result<(), Failure> {
    let answers = read(path)?;
    answers
        .check(&display_name(path))
        .map_err(Failure::bad_input)?;
    let operations: usize = answers.services.iter().map(|s| s.operations.len()).sum();
    output::print(&format!(
        "{}: sound; services: {}, operations: {operations}\n",
        display_name(path),
        answers.services.len(),
    ))
}

/// Generates the document with the revision after `base`, and writes it to `out` or prints it.
fn generate(path: &Path, base: Revision, out: Option<&Path>) -> Result<(), Failure> {
    let document = read(path)?.generate(&display_name(path), base);
    let document = document.map_err(Failure::bad_input)?;
    let mut bytes = document.to_bytes();
    let Some(out) = out else {
        bytes.push(b'\n');
        return output::print(&String::from_utf8_lossy(&bytes));
    };
    file::write(out, &bytes)?;
    output::print(&format!(
        "{}: revision {}, {} bytes, digest {:016x}\n",
        display_name(out),
        document.revision,
        bytes.len(),
        document.digest(),
    ))
}

fn diff(old: &Path, new: &Path) -> Result<(), Failure> {
    let (old, new) = (read(old)?, read(new)?);
    let mut lines = survey::diff(&old, &new);
    if lines.is_empty() {
        lines.push("nothing changes".into());
    }
    output::print(&(lines.join("\n") + "\n"))
}

/// Reads and parses the answers in a file.
pub(crate) fn read(path: &Path) -> Result<Answers, Failure> {
    let bytes = file::read(path, MAX_ANSWERS_BYTES)?;
    Answers::read(&display_name(path), &bytes).map_err(Failure::bad_input)
}

/// Returns a path as printable text.
fn display_name(path: &Path) -> String {
    output::printable(&path.display().to_string())
}
