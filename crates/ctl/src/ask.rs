//! The questionnaire in the terminal.

use std::io::{BufRead, Write};

use survey::{Draft, Interview, Question};

use crate::output::Style;

/// How an interview ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Interviewed {
    /// Every question is answered.
    Complete,
    /// The operator stopped; the rest can be asked later.
    Stopped,
}

/// Asks all open questions, keeping the answers after each one.
pub(crate) fn interview(
    interview: &mut Interview,
    input: &mut impl BufRead,
    output: &mut impl Write,
    style: Style,
    mut keep: impl FnMut(&Draft) -> anyhow::Result<()>,
) -> anyhow::Result<Interviewed> {
    writeln!(
        output,
        "An empty line takes the answer in brackets, ? explains, and the end of input stops; \
         the same command goes on later."
    )?;
    let mut section = String::new();
    while let Some(question) = interview.next_question() {
        if section != question.section {
            section = question.section.to_string();
            writeln!(output, "\n{}", style.bold(&section))?;
        }
        write!(output, "{} ", prompt(&question))?;
        output.flush()?;
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            writeln!(output)?;
            return Ok(Interviewed::Stopped);
        }
        if line.trim() == "?" {
            writeln!(output, "  {}", question.key.help)?;
            continue;
        }
        match interview.answer(&question, &line) {
            Ok(()) => keep(interview.draft())?,
            Err(fault) => writeln!(output, "  {}", style.bad(&fault.to_string()))?,
        }
    }
    Ok(Interviewed::Complete)
}

fn prompt(question: &Question) -> String {
    match question.default.as_deref() {
        Some("") => format!("{} [none]", question.key.question),
        Some(usual) => format!("{} [{usual}]", question.key.question),
        None => question.key.question.to_owned(),
    }
}
