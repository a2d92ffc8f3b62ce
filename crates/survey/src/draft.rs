//! An answers file as text, complete or not, in the order of the file.

use std::fmt::Write;

use ini::{Ini, ParseOption};
use smol_str::{SmolStr, format_smolstr};

use crate::fault::{Error, Fault, Place};
use crate::value::quote;

/// Largest accepted answers file, in bytes.
pub const MAX_ANSWERS_BYTES: usize = 3 << 19;

/// The sections, keys and values of an answers file, as text.
///
/// Sections and keys may be missing or unknown, and values need not be valid.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Draft {
    pub(crate) sections: Vec<Section>,
}

/// A section of a draft, with its keys and values in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Section {
    pub(crate) name: SmolStr,
    pub(crate) entries: Vec<(SmolStr, SmolStr)>,
}

impl Draft {
    /// Parses the bytes of an answers file without validating its keys and values.
    ///
    /// `file` is the name of the file for error messages.
    ///
    /// # Errors
    ///
    /// If the file is larger than [`MAX_ANSWERS_BYTES`], empty, not UTF-8, not an INI file, or
    /// does not end with a newline (it may be truncated), or if a section or key is duplicated.
    pub fn read(file: &str, bytes: &[u8]) -> Result<Self, Error> {
        let text = decode(bytes).map_err(|fault| Error::new(file, vec![fault]))?;
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            let problem = format_smolstr!("line {} is not a line of an INI file", error.line);
            let remedy = "write [section], key = value, or a comment after ';' on its own line";
            Error::new(file, vec![Fault::new(Place::File, problem, remedy)])
        })?;
        let mut faults = Vec::new();
        let draft = Draft::from_ini(&ini, &mut faults);
        if faults.is_empty() {
            Ok(draft)
        } else {
            Err(Error::new(file, faults))
        }
    }

    fn from_ini(ini: &Ini, faults: &mut Vec<Fault>) -> Self {
        let mut draft = Draft::default();
        for (name, properties) in ini {
            let Some(name) = name else {
                for (key, _) in properties {
                    let problem = format_smolstr!("{} stands before the first section", quote(key));
                    let remedy = "move it below its [section]";
                    faults.push(Fault::new(Place::File, problem, remedy));
                }
                continue;
            };
            let mut section = Section {
                name: name.into(),
                entries: Vec::new(),
            };
            for (key, value) in properties {
                section.push(key, value, faults);
            }
            if draft.section(name).is_some() {
                let remedy = "join the two into one";
                faults.push(Fault::new(
                    Place::section(name),
                    "the section is there twice",
                    remedy,
                ));
            } else {
                draft.sections.push(section);
            }
        }
        draft
    }

    pub(crate) fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Returns the value of a key, if the draft has it.
    #[must_use]
    pub fn value(&self, section: &str, key: &str) -> Option<&str> {
        self.section(section)?.value(key)
    }

    /// Sets or replaces the value of a key; adds the section if it is missing.
    pub fn set(&mut self, section: &str, key: &str, value: &str) {
        let index = self.sections.iter().position(|s| s.name == section);
        let index = index.unwrap_or_else(|| {
            self.sections.push(Section {
                name: section.into(),
                entries: Vec::new(),
            });
            self.sections.len() - 1
        });
        let entries = &mut self.sections[index].entries;
        match entries.iter_mut().find(|(name, _)| name == key) {
            Some((_, old)) => *old = value.into(),
            None => entries.push((key.into(), value.into())),
        }
    }

    /// Formats the draft as an INI file.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for section in &self.sections {
            if !text.is_empty() {
                text.push('\n');
            }
            let _ = writeln!(text, "[{}]", section.name);
            for (key, value) in &section.entries {
                let _ = writeln!(text, "{}", format!("{key} = {value}").trim_end());
            }
        }
        text
    }
}

impl Section {
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        let entry = self.entries.iter().find(|(name, _)| name == key);
        entry.map(|(_, value)| value.as_str())
    }

    fn push(&mut self, key: &str, value: &str, faults: &mut Vec<Fault>) {
        // The INI parser joins a line without '=' to the key of the next line.
        if let Some((line, _)) = key.split_once(['\n', '\r']) {
            let problem = "the line has no '='";
            let remedy = "write key = value";
            faults.push(Fault::new(Place::key(&self.name, line), problem, remedy));
            return;
        }
        if self.value(key).is_some() {
            let place = Place::key(&self.name, key);
            faults.push(Fault::new(
                place,
                "the key is there twice",
                "remove one of them",
            ));
            return;
        }
        self.entries.push((key.into(), value.trim().into()));
    }
}

fn decode(bytes: &[u8]) -> Result<&str, Fault> {
    if bytes.len() > MAX_ANSWERS_BYTES {
        return Err(Fault::new(
            Place::File,
            format_smolstr!("it has {} bytes", bytes.len()),
            format_smolstr!("allowed: at most {MAX_ANSWERS_BYTES}"),
        ));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let problem = format_smolstr!("byte {} is not UTF-8", error.valid_up_to());
        Fault::new(Place::File, problem, "save the file as UTF-8")
    })?;
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    if text.trim().is_empty() {
        let remedy = "begin one with berylctl survey new";
        return Err(Fault::new(Place::File, "it holds no answers", remedy));
    }
    if !text.ends_with('\n') {
        return Err(Fault::new(
            Place::File,
            "its last line is not ended, so that it may be cut off",
            "restore the whole file, or end the last line if it is whole",
        ));
    }
    Ok(text)
}
