//! Interactive prompts for the questionnaire.

use std::io::{BufRead, Write};

use survey::{Draft, Interview, Question};

use crate::output::Style;

/// How the interview ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum InterviewEnd {
    /// Every question is answered.
    Complete,
    /// The input ended first; a later interview asks the remaining questions.
    Stopped,
}

/// Asks all open questions and calls `save` with the draft after each accepted answer.
pub(crate) fn run(
    interview: &mut Interview,
    input: &mut impl BufRead,
    output: &mut impl Write,
    style: Style,
    mut save: impl FnMut(&Draft) -> anyhow::Result<()>,
) -> anyhow::Result<InterviewEnd> {
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
            return Ok(InterviewEnd::Stopped);
        }
        if line.trim() == "?" {
            writeln!(output, "  {}", question.key.help)?;
            continue;
        }
        match interview.answer(&question, &line) {
            Ok(()) => save(interview.draft())?,
            Err(fault) => writeln!(output, "  {}", style.error(&fault.to_string()))?,
        }
    }
    Ok(InterviewEnd::Complete)
}

/// Formats a question with its default answer in brackets.
fn prompt(question: &Question) -> String {
    match question.default.as_deref() {
        Some("") => format!("{} [none]", question.key.question),
        Some(usual) => format!("{} [{usual}]", question.key.question),
        None => question.key.question.to_owned(),
    }
}
