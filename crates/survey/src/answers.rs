//! Complete answers as typed values.

use model::{Class, DataCentre, Goal, OperationName, ServiceName};
use smol_str::{SmolStr, format_smolstr};

use crate::draft::Draft;
use crate::value::format_percent;

/// Complete answers to the questionnaire; they may still contradict each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answers {
    /// Answers about the whole fleet.
    pub fleet: FleetAnswers,
    /// The services, sorted by name.
    pub services: Vec<ServiceAnswers>,
}

/// Answers about the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetAnswers {
    /// Name of the fleet, for reports.
    pub name: SmolStr,
    /// Criterion by which requests of one class are ranked.
    pub goal: Goal,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// Maximum number of retries of one root request, over its whole call tree.
    pub retry_budget: u16,
    /// Maximum number of retries per 100 first attempts on one edge of the call graph.
    pub retry_percent: u16,
}

/// Answers about one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswers {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of targets in each data centre.
    pub targets_per_data_centre: u32,
    /// Maximum number of concurrent requests per target.
    pub slots: u32,
    /// Maximum number of connections per target.
    pub connections: u32,
    /// True if a 503 from the target itself means that it did not run the request.
    pub refusal_means_not_run: bool,
    /// The operations, sorted by name.
    pub operations: Vec<OperationAnswers>,
}

/// Answers about one operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperationAnswers {
    /// Name of the operation.
    pub name: OperationName,
    /// Priority class of a root request for this operation.
    pub class: Class,
    /// Worth of one complete answer to a request within the deadline, in a unit that the operators
    /// choose.
    pub worth: u32,
    /// True if the operation is idempotent: running it twice does no harm.
    pub repeatable: bool,
    /// True if callers outside the fleet may call it.
    pub entry: bool,
    /// Operations that this one calls, as `service/operation`, sorted.
    pub calls: Vec<SmolStr>,
    /// Deadline for a complete answer to a request, in milliseconds.
    pub deadline_ms: u32,
    /// Time for which one run usually holds a slot, in milliseconds; includes waiting for called
    /// operations.
    pub usual_ms: u32,
    /// Requests per second from outside the fleet at the regular peak.
    pub rate_per_s: u32,
    /// Service-level objective: root requests out of 1000 that get a complete answer within the
    /// deadline.
    pub objective_permille: u16,
}

impl Answers {
    /// Converts the answers to a draft, in canonical order.
    #[must_use]
    pub fn to_draft(&self) -> Draft {
        let mut draft = Draft::default();
        let fleet = &self.fleet;
        let mut set = |key, value: &str| draft.set("fleet", key, value);
        set("name", &fleet.name);
        set("goal", &fleet.goal.to_string());
        set("data_centres", &comma_separated(&fleet.data_centres));
        set("retry_budget", &fleet.retry_budget.to_string());
        set("retry_percent", &fleet.retry_percent.to_string());
        let names: Vec<_> = self.services.iter().map(|s| s.name.as_str()).collect();
        set("services", &names.join(", "));
        for service in &self.services {
            service.write_to(&mut draft);
            for operation in &service.operations {
                operation.write_to(&service.name, &mut draft);
            }
        }
        draft
    }

    /// Returns the number of targets of a service over all data centres.
    #[must_use]
    pub fn target_count(&self, service: &ServiceAnswers) -> u64 {
        u64::from(service.targets_per_data_centre) * self.fleet.data_centres.len() as u64
    }
}

impl ServiceAnswers {
    fn write_to(&self, draft: &mut Draft) {
        let section = service_section(self.name.as_str());
        let mut set = |key, value: &str| draft.set(&section, key, value);
        let targets = self.targets_per_data_centre.to_string();
        set("targets_per_data_centre", &targets);
        set("slots", &self.slots.to_string());
        set("connections", &self.connections.to_string());
        set(
            "refusal_means_not_run",
            format_yes_no(self.refusal_means_not_run),
        );
        let names: Vec<_> = self.operations.iter().map(|o| o.name.as_str()).collect();
        set("operations", &names.join(", "));
    }
}

impl OperationAnswers {
    fn write_to(&self, service: &ServiceName, draft: &mut Draft) {
        let section = operation_section(service.as_str(), self.name.as_str());
        let mut set = |key, value: &str| draft.set(&section, key, value);
        set("class", &self.class.to_string());
        set("worth", &self.worth.to_string());
        set("repeatable", format_yes_no(self.repeatable));
        set("entry", format_yes_no(self.entry));
        set("calls", &comma_separated(&self.calls));
        set("deadline_ms", &self.deadline_ms.to_string());
        set("usual_ms", &self.usual_ms.to_string());
        set("rate_per_s", &self.rate_per_s.to_string());
        set(
            "objective_percent",
            &format_percent(self.objective_permille),
        );
    }
}

/// Returns the name of the section for a service.
pub(crate) fn service_section(service: &str) -> SmolStr {
    format_smolstr!("service {service}")
}

/// Returns the name of the section for an operation.
pub(crate) fn operation_section(service: &str, operation: &str) -> SmolStr {
    format_smolstr!("operation {service}/{operation}")
}

pub(crate) fn format_yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

pub(crate) fn comma_separated<T: ToString>(items: &[T]) -> String {
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join(", ")
}
