//! Generates the configuration document from answers.

use config::{Document, MAX_DOCUMENT_BYTES, Operation, Service};
use model::Revision;
use smol_str::format_smolstr;

use crate::answers::{Answers, OperationAnswers, ServiceAnswers};
use crate::fault::{Error, Fault, Place};

impl Answers {
    /// Generates the document with the revision that follows the published one, `base`.
    ///
    /// The document is deterministic: equal answers and `base` give the same bytes. `file` is the
    /// name of the answers file for error messages.
    ///
    /// # Errors
    ///
    /// If [`Answers::check`] fails, `base` is the highest revision, or the document is larger than
    /// [`MAX_DOCUMENT_BYTES`].
    pub fn generate(&self, file: &str, base: Revision) -> Result<Document, Error> {
        self.check(file)?;
        let reject = |place, problem, remedy: &str| {
            Err(Error::new(file, vec![Fault::new(place, problem, remedy)]))
        };
        if base.next() == base {
            let problem = format_smolstr!("no revision follows {base}");
            return reject(Place::File, problem, "give the revision that is published");
        }
        let document = Document {
            revision: base.next(),
            ..self.document()
        };
        let bytes = document.to_bytes().len();
        if bytes > MAX_DOCUMENT_BYTES {
            let problem = format_smolstr!(
                "the document would have {bytes} bytes; the platform holds {MAX_DOCUMENT_BYTES}"
            );
            let remedy = "split the fleet, or shorten names and lists of calls";
            return reject(Place::key("fleet", "services"), problem, remedy);
        }
        Ok(document)
    }

    /// Builds the document with the default revision, without checking the answers.
    pub(crate) fn document(&self) -> Document {
        Document {
            revision: Revision::default(),
            goal: self.fleet.goal,
            retry_budget: self.fleet.retry_budget,
            retry_percent: self.fleet.retry_percent,
            services: self.services.iter().map(to_service).collect(),
        }
    }
}

fn to_service(answers: &ServiceAnswers) -> Service {
    Service {
        name: answers.name.clone(),
        slots: answers.slots,
        connections: answers.connections,
        refusal_means_not_run: answers.refusal_means_not_run,
        operations: answers.operations.iter().map(to_operation).collect(),
    }
}

fn to_operation(answers: &OperationAnswers) -> Operation {
    Operation {
        name: answers.name.clone(),
        class: answers.class,
        worth: answers.worth,
        repeatable: answers.repeatable,
        entry: answers.entry,
        deadline_ms: answers.deadline_ms,
        objective_permille: answers.objective_permille,
        calls: answers.calls.iter().map(ToString::to_string).collect(),
    }
}
