//! Checks for contradictions between answers, each of which is valid on its own.

use model::Class;
use smol_str::{SmolStr, format_smolstr};

use crate::answers::{
    Answers, OperationAnswers, ServiceAnswers, operation_section, service_section,
};
use crate::demand::{Bottleneck, Demand};
use crate::fault::{Error, Fault, Place};
use crate::value::format_percent;

impl Answers {
    /// Checks the answers for contradictions: the call graph, connections, times, rates, and the
    /// capacity for every class and objective.
    ///
    /// `file` is the name of the answers file for error messages.
    ///
    /// # Errors
    ///
    /// If there is a contradiction. The error lists each one found, with its place and a remedy;
    /// capacity is checked only if nothing else is wrong.
    pub fn check(&self, file: &str) -> Result<(), Error> {
        let faults = self.contradictions();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Error::new(file, faults))
        }
    }

    pub(crate) fn contradictions(&self) -> Vec<Fault> {
        let mut faults = self.document_faults();
        for service in &self.services {
            check_connections(service, &mut faults);
            for operation in &service.operations {
                check_rate(service, operation, &mut faults);
                self.check_times(service, operation, &mut faults);
            }
        }
        // Demand is summed along call chains, which requires a valid call graph.
        if faults.is_empty() {
            let demand = Demand::new(self);
            self.check_class_capacity(&demand, &mut faults);
            self.check_objectives(&demand, &mut faults);
        }
        faults
    }

    fn document_faults(&self) -> Vec<Fault> {
        let Err(error) = self.document().check() else {
            return Vec::new();
        };
        error.faults().iter().map(from_document_fault).collect()
    }

    fn find_operation(&self, path: &str) -> Option<&OperationAnswers> {
        let (service, operation) = path.split_once('/')?;
        let service = self.services.iter().find(|s| s.name.as_str() == service)?;
        let mut operations = service.operations.iter();
        operations.find(|o| o.name.as_str() == operation)
    }

    fn check_times(
        &self,
        service: &ServiceAnswers,
        operation: &OperationAnswers,
        faults: &mut Vec<Fault>,
    ) {
        let section = operation_section(service.name.as_str(), operation.name.as_str());
        if operation.usual_ms > operation.deadline_ms {
            faults.push(Fault::new(
                Place::key(&section, "deadline_ms"),
                format_smolstr!(
                    "{} is shorter than its usual_ms of {}, so that no objective can be met",
                    operation.deadline_ms,
                    operation.usual_ms
                ),
                format_smolstr!("raise it to more than {}", operation.usual_ms),
            ));
        }
        for path in &operation.calls {
            let Some(called) = self.find_operation(path) else {
                continue;
            };
            let times = [
                ("deadline_ms", operation.deadline_ms, called.deadline_ms),
                ("usual_ms", operation.usual_ms, called.usual_ms),
            ];
            for (key, own, inner) in times.into_iter().filter(|(_, own, inner)| own < inner) {
                faults.push(Fault::new(
                    Place::key(&section, key),
                    format_smolstr!("{own} is shorter than the {inner} of {path}, which it calls"),
                    format_smolstr!("raise it to at least {inner}, or shorten {key} of {path}"),
                ));
            }
        }
    }

    fn check_class_capacity(&self, demand: &Demand, faults: &mut Vec<Fault>) {
        for (index, service) in self.services.iter().enumerate() {
            let service_demand = demand.service(index);
            let has_no_capacity = |class: &Class| service_demand.share_permille(*class) == 0;
            for class in Class::ALL.into_iter().rev().filter(has_no_capacity) {
                faults.push(Fault::new(
                    Place::key(&service_section(service.name.as_str()), "slots"),
                    format_smolstr!(
                        "class {class} has no capacity: more important requests take {} of {} \
                         slots",
                        service_demand.slots_needed_above(class),
                        service_demand.total_slots()
                    ),
                    capacity_remedy(self, service, service_demand.slots_needed(class)),
                ));
            }
        }
    }

    fn check_objectives(&self, demand: &Demand, faults: &mut Vec<Fault>) {
        let operations = self.services.iter().flat_map(|service| {
            let operations = service.operations.iter();
            operations.map(move |operation| (service, operation))
        });
        for (node, (service, operation)) in operations.enumerate() {
            let class = operation.class;
            let Bottleneck {
                share_permille,
                service: index,
            } = demand.bottleneck(node, class);
            // A share of 0 is reported by `check_class_capacity`, once for the service.
            let met_or_reported =
                share_permille == 0 || share_permille >= operation.objective_permille;
            if met_or_reported || !operation.entry {
                continue;
            }
            let (bottleneck, service_demand) = (&self.services[index], demand.service(index));
            let section = operation_section(service.name.as_str(), operation.name.as_str());
            faults.push(Fault::new(
                Place::key(&section, "objective_percent"),
                format_smolstr!(
                    "{} cannot be met: the {} slots of {} serve {} percent of class {class}",
                    format_percent(operation.objective_permille),
                    service_demand.total_slots(),
                    bottleneck.name,
                    format_percent(share_permille)
                ),
                capacity_remedy(self, bottleneck, service_demand.slots_needed(class)),
            ));
        }
    }
}

fn check_connections(service: &ServiceAnswers, faults: &mut Vec<Fault>) {
    if service.connections < service.slots {
        faults.push(Fault::new(
            Place::key(&service_section(service.name.as_str()), "connections"),
            format_smolstr!(
                "{} connections cannot fill {} slots",
                service.connections,
                service.slots
            ),
            format_smolstr!(
                "raise connections to at least {0}, or lower slots",
                service.slots
            ),
        ));
    }
}

fn check_rate(service: &ServiceAnswers, operation: &OperationAnswers, faults: &mut Vec<Fault>) {
    if !operation.entry && operation.rate_per_s > 0 {
        let section = operation_section(service.name.as_str(), operation.name.as_str());
        faults.push(Fault::new(
            Place::key(&section, "rate_per_s"),
            "requests are said to enter where none may",
            "write 0, or entry = yes",
        ));
    }
}

fn capacity_remedy(answers: &Answers, service: &ServiceAnswers, slots_needed: u128) -> SmolStr {
    let targets = u128::from(answers.target_count(service)).max(1);
    format_smolstr!(
        "raise slots of {} to at least {} a target, add targets, or lower rate_per_s",
        service.name,
        slots_needed.div_ceil(targets)
    )
}

/// Converts a fault of the document to one of the section and key that the field comes from.
fn from_document_fault(fault: &config::Fault) -> Fault {
    let section = match &fault.place {
        config::Place::Fleet => "fleet".into(),
        config::Place::Service(service) => service_section(service.as_str()),
        config::Place::Operation(service, operation) => {
            operation_section(service.as_str(), operation.as_str())
        }
    };
    let key = match fault.field {
        "objective_permille" => "objective_percent",
        field => field,
    };
    let place = Place::key(&section, key);
    Fault::new(place, fault.problem.clone(), fault.remedy.clone())
}
