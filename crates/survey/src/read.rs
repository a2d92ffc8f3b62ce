//! Parses a draft into complete answers and collects every fault.

use std::collections::HashSet;

use model::Class;
use smol_str::{SmolStr, format_smolstr};

use crate::answers::{
    Answers, FleetAnswers, OperationAnswers, ServiceAnswers, operation_section, service_section,
};
use crate::draft::{Draft, Section};
use crate::fault::{Error, Fault, Place};
use crate::schema::{self, Key};
use crate::value::{self, InvalidValue, Kind};

impl Answers {
    /// Parses complete answers from the bytes of an answers file.
    ///
    /// `file` is the name of the file for error messages. Contradictions between answers are
    /// found by [`Answers::check`].
    ///
    /// # Errors
    ///
    /// If [`Draft::read`] rejects the file, or a section, key or value is missing, unknown or not
    /// allowed. The error lists every fault.
    pub fn read(file: &str, bytes: &[u8]) -> Result<Self, Error> {
        Answers::from_draft(file, &Draft::read(file, bytes)?)
    }

    /// Parses complete answers from a draft.
    ///
    /// `file` is the name of the file for error messages.
    ///
    /// # Errors
    ///
    /// If a section, key or value is missing, unknown or not allowed. The error lists every
    /// fault.
    pub fn from_draft(file: &str, draft: &Draft) -> Result<Self, Error> {
        let mut reader = Reader {
            draft,
            expected_sections: HashSet::new(),
            faults: Vec::new(),
        };
        let answers = reader.read_answers();
        if reader.has_valid_name_lists() {
            reader.report_unknown_sections();
        }
        if reader.faults.is_empty() {
            Ok(answers)
        } else {
            Err(Error::new(file, reader.faults))
        }
    }
}

/// Parses a draft from the fleet section down to the operations.
struct Reader<'a> {
    draft: &'a Draft,
    expected_sections: HashSet<SmolStr>,
    faults: Vec<Fault>,
}

/// Parses the values of one section, which may be missing.
struct SectionReader<'r> {
    name: &'r str,
    section: Option<&'r Section>,
    keys: &'static [Key],
    faults: &'r mut Vec<Fault>,
}

impl Reader<'_> {
    fn read_answers(&mut self) -> Answers {
        let mut fleet = self.open("fleet", &schema::FLEET);
        let answers = FleetAnswers {
            name: fleet.read("name", value::parse_name),
            goal: fleet.read("goal", value::parse_goal),
            data_centres: fleet
                .read("data_centres", value::parse_names)
                .into_iter()
                .map(Into::into)
                .collect(),
            retry_budget: fleet.read_count("retry_budget"),
            retry_percent: fleet.read_count("retry_percent"),
        };
        let mut names = fleet.read("services", value::parse_names);
        names.sort();
        Answers {
            fleet: answers,
            services: names.iter().map(|name| self.read_service(name)).collect(),
        }
    }

    fn read_service(&mut self, name: &SmolStr) -> ServiceAnswers {
        let section = service_section(name);
        let mut service = self.open(&section, &schema::SERVICE);
        let answers = ServiceAnswers {
            name: name.clone().into(),
            targets_per_data_centre: service.read_count("targets_per_data_centre"),
            slots: service.read_count("slots"),
            connections: service.read_count("connections"),
            refusal_means_not_run: service.read("refusal_means_not_run", value::parse_yes_no),
            operations: Vec::new(),
        };
        let mut names = service.read("operations", value::parse_names);
        names.sort();
        let operations = names.iter().map(|o| self.read_operation(name, o)).collect();
        ServiceAnswers {
            operations,
            ..answers
        }
    }

    fn read_operation(&mut self, service: &str, name: &SmolStr) -> OperationAnswers {
        let section = operation_section(service, name);
        let mut operation = self.open(&section, &schema::OPERATION);
        let mut calls = operation.read("calls", value::parse_calls);
        calls.sort();
        OperationAnswers {
            name: name.clone().into(),
            class: operation.read_class(),
            worth: operation.read_count("worth"),
            repeatable: operation.read("repeatable", value::parse_yes_no),
            entry: operation.read("entry", value::parse_yes_no),
            calls,
            deadline_ms: operation.read_count("deadline_ms"),
            usual_ms: operation.read_count("usual_ms"),
            rate_per_s: operation.read_count("rate_per_s"),
            objective_permille: operation.read("objective_percent", value::parse_permille),
        }
    }

    /// Starts to read a section; reports it if it is missing, and its unknown keys if it is not.
    fn open<'r>(&'r mut self, name: &'r str, keys: &'static [Key]) -> SectionReader<'r> {
        self.expected_sections.insert(name.into());
        let section = self.draft.section(name);
        match section {
            Some(section) => report_unknown_keys(section, keys, &mut self.faults),
            None => self.faults.push(Fault::new(
                Place::section(name),
                "the section is missing",
                "add it, with berylctl survey new if the file was cut off",
            )),
        }
        SectionReader {
            name,
            section,
            keys,
            faults: &mut self.faults,
        }
    }

    /// Returns true if no section is missing and every list of services and operations is valid.
    ///
    /// Only then is a section that no list names certain to be unknown.
    fn has_valid_name_lists(&self) -> bool {
        let is_list = |key: &SmolStr| key == "services" || key == "operations";
        let affects_list = |place: &Place| match place {
            Place::File | Place::Section(_) => true,
            Place::Key(_, key) => is_list(key),
        };
        !self.faults.iter().any(|fault| affects_list(&fault.place))
    }

    fn report_unknown_sections(&mut self) {
        for section in &self.draft.sections {
            if !self.expected_sections.contains(&section.name) {
                self.faults.push(Fault::new(
                    Place::section(&section.name),
                    "the section is not announced",
                    "allowed: [fleet], [service NAME] for each of its services, and \
                     [operation SERVICE/NAME] for each operation of a service; \
                     list the name there or remove the section",
                ));
            }
        }
    }
}

impl SectionReader<'_> {
    /// Parses the value of a key; if the key is missing or the value invalid, reports it and returns
    /// the default of the type.
    ///
    /// In a missing section every value is the default: [`Reader::open`] has reported the section.
    fn read<T: Default>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, InvalidValue>,
    ) -> T {
        let Some(section) = self.section else {
            return T::default();
        };
        let place = || Place::key(self.name, key);
        let fault = match section.value(key).map(parse) {
            Some(Ok(value)) => return value,
            Some(Err(invalid)) => Fault::invalid_value(place(), invalid),
            None => Fault::new(
                place(),
                "the key is missing",
                "add it, or run berylctl survey new",
            ),
        };
        self.faults.push(fault);
        T::default()
    }

    fn read_count<T: TryFrom<u64> + Default>(&mut self, key: &str) -> T {
        let kind = schema::find(self.keys, key).map(|key| &key.kind);
        let Some(Kind::Count { unit, allowed }) = kind else {
            return T::default();
        };
        let value = self.read(key, |text| value::parse_count(text, unit, allowed));
        T::try_from(value).unwrap_or_default()
    }

    fn read_class(&mut self) -> Class {
        // `Class` has no default. The placeholder is never returned: a fault has been reported.
        let class = self.read("class", |text| value::parse_class(text).map(Some));
        class.unwrap_or(Class::Standard)
    }
}

fn report_unknown_keys(section: &Section, keys: &'static [Key], faults: &mut Vec<Fault>) {
    for (name, _) in &section.entries {
        if schema::find(keys, name).is_some() {
            continue;
        }
        let allowed: Vec<&str> = keys.iter().map(|key| key.name).collect();
        let suggestion = schema::suggest(keys, name);
        let hint = suggestion.map_or(String::new(), |key| format!("did you mean {}? ", key.name));
        let remedy = format_smolstr!("{hint}allowed: {}", allowed.join(", "));
        faults.push(Fault::new(
            Place::key(&section.name, name),
            "unknown key",
            remedy,
        ));
    }
}
