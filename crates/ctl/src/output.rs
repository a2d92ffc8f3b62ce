//! Output to the terminal, coloured only if it is one.

use std::io::{ErrorKind, IsTerminal, Write};

use anyhow::Context;

use crate::failure::Failure;

const RED: &str = "\u{1b}[31m";
const YELLOW: &str = "\u{1b}[33m";
const BOLD: &str = "\u{1b}[1m";
const RESET: &str = "\u{1b}[0m";

/// Prints text to standard output. A closed pipe is not an error.
pub(crate) fn print(text: &str) -> Result<(), Failure> {
    print_bytes(text.as_bytes())
}

/// Prints raw bytes to standard output. A closed pipe is not an error.
pub(crate) fn print_bytes(bytes: &[u8]) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    let written = out.write_all(bytes).and_then(|()| out.flush());
    match written {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result.context("standard output")?),
    }
}

/// Prints one line to standard error; write errors are ignored.
pub(crate) fn note(text: &str) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Prints a failure to standard error, in red on a terminal.
pub(crate) fn print_error(failure: &Failure) {
    let text = failure.to_string();
    if std::io::stderr().is_terminal() {
        note(&format!("{RED}{text}{RESET}"));
    } else {
        note(&text);
    }
}

/// Colours for standard output; disabled if it is not a terminal or `NO_COLOR` is set.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Style {
    coloured: bool,
}

impl Style {
    pub(crate) fn of_stdout() -> Self {
        Style {
            coloured: std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none(),
        }
    }

    pub(crate) fn bold(self, text: &str) -> String {
        self.paint(BOLD, text)
    }

    pub(crate) fn error(self, text: &str) -> String {
        self.paint(RED, text)
    }

    pub(crate) fn warning(self, text: &str) -> String {
        self.paint(YELLOW, text)
    }

    fn paint(self, colour: &str, text: &str) -> String {
        if self.coloured {
            format!("{colour}{text}{RESET}")
        } else {
            text.to_owned()
        }
    }
}

/// Escapes control characters, so that text from another process prints safely on one line.
pub(crate) fn printable(text: &str) -> String {
    let escape = |c: char| {
        let is_printable = !c.is_control();
        let escaped = (!is_printable).then(|| c.escape_default());
        is_printable
            .then_some(c)
            .into_iter()
            .chain(escaped.into_iter().flatten())
    };
    text.chars().flat_map(escape).collect()
}
