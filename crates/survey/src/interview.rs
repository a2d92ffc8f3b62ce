//! The questions that a draft leaves open, in order, with their default answers.

use smol_str::SmolStr;

use crate::answers::{operation_section, service_section};
use crate::draft::Draft;
use crate::fault::{Fault, Place};
use crate::schema::{self, Key};
use crate::value;

/// Asks for the answers that a draft still lacks.
///
/// The draft is the only state, so an interrupted interview resumes from a saved draft.
#[derive(Clone, Debug, Default)]
pub struct Interview {
    draft: Draft,
}

/// A question without a valid answer in the draft.
#[derive(Clone, Debug)]
pub struct Question {
    /// Section of the answers file in which the answer is stored.
    pub section: SmolStr,
    /// Key under which the answer is stored.
    pub key: &'static Key,
    /// Default answer, which an empty line accepts.
    pub default: Option<SmolStr>,
}

impl Interview {
    /// Resumes an interview from a draft; an empty draft starts a new one.
    #[must_use]
    pub fn resume(draft: Draft) -> Self {
        Interview { draft }
    }

    /// Returns the answers given so far.
    #[must_use]
    pub fn draft(&self) -> &Draft {
        &self.draft
    }

    /// Returns the first question without a valid answer, or `None` if all are answered.
    #[must_use]
    pub fn next_question(&self) -> Option<Question> {
        if let Some(question) = self.first_open_in("fleet", &schema::FLEET) {
            return Some(question);
        }
        for service in self.names("fleet", "services") {
            let section = service_section(&service);
            if let Some(question) = self.first_open_in(&section, &schema::SERVICE) {
                return Some(question);
            }
            for operation in self.names(&section, "operations") {
                let section = operation_section(&service, &operation);
                if let Some(question) = self.first_open_in(&section, &schema::OPERATION) {
                    return Some(question);
                }
            }
        }
        None
    }

    /// Stores the answer to a question; an empty answer accepts the default, if there is one.
    ///
    /// # Errors
    ///
    /// If the answer is not allowed. The draft is unchanged and the question stays open.
    pub fn answer(&mut self, question: &Question, text: &str) -> Result<(), Fault> {
        let text = match (text.trim(), &question.default) {
            ("", Some(default)) => default.as_str(),
            (text, _) => text,
        };
        question.key.kind.check(text).map_err(|invalid| {
            Fault::invalid_value(Place::key(&question.section, question.key.name), invalid)
        })?;
        self.draft.set(&question.section, question.key.name, text);
        Ok(())
    }

    fn first_open_in(&self, section: &str, keys: &'static [Key]) -> Option<Question> {
        let is_open = |key: &&Key| {
            let value = self.draft.value(section, key.name);
            value.is_none_or(|text| key.kind.check(text).is_err())
        };
        let key = keys.iter().find(is_open)?;
        Some(Question {
            section: section.into(),
            key,
            default: self.default_answer(section, key),
        })
    }

    /// Returns the default answer to a question, which may depend on earlier answers.
    fn default_answer(&self, section: &str, key: &Key) -> Option<SmolStr> {
        let earlier = |name| self.draft.value(section, name);
        match key.name {
            "repeatable" => Some(match earlier("class") {
                Some("critical") => "no".into(),
                _ => "yes".into(),
            }),
            "rate_per_s" if earlier("entry") == Some("no") => Some("0".into()),
            "connections" => earlier("slots").map(Into::into),
            _ => key.default.map(Into::into),
        }
    }

    fn names(&self, section: &str, key: &str) -> Vec<SmolStr> {
        let value = self.draft.value(section, key);
        value
            .and_then(|text| value::parse_names(text).ok())
            .unwrap_or_default()
    }
}
