//! A workload, and the document, the instances and the load that follow from it.

use std::time::Duration;

use config::{Document, Operation, Service};
use daemon::Identity;
use model::{Class, Goal, Revision};
use standin::{Downstream, Plan, ServiceTime, Share, TargetConfig};

/// Data centres, each with one target of each service.
pub const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];
/// Retries that one request may cost over its whole tree.
pub const RETRY_BUDGET: u16 = 3;
const RETRY_PERCENT: u16 = 10;
/// Part of a service time that is the same for every run.
const LEAST_SHARE_PERCENT: u32 = 60;
const PACK_BYTES: usize = 32 * 1024;
const ANSWER_BYTES: usize = 256;

/// One service with what each of its targets can take.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSize {
    /// Its name.
    pub name: &'static str,
    /// Slots of each target.
    pub slots: u32,
    /// Connections of each target.
    pub connections: u32,
}

/// One operation: what it is worth, how long it takes, what it calls.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Its service.
    pub service: &'static str,
    /// Its name.
    pub name: &'static str,
    /// Importance of a root request.
    pub class: Class,
    /// Worth of a whole answer in time.
    pub worth: u32,
    /// True if running it twice does no harm.
    pub repeatable: bool,
    /// Mean time in its own slot, besides its calls.
    pub time_ms: u32,
    /// Time in which the answer is of use.
    pub deadline_ms: u32,
    /// Requests of callers in a second in calm times, over the whole fleet.
    pub rate: u32,
    /// Calls that it makes one after the other, as positions in the list.
    pub calls: &'static [usize],
}

/// One user's workload.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name of the user.
    pub name: &'static str,
    /// What decides between two requests of one class.
    pub goal: Goal,
    /// The services.
    pub services: &'static [ServiceSize],
    /// The operations; callees stand before their callers.
    pub works: &'static [Work],
    /// The deep service that slows down.
    pub slow: &'static str,
}

impl Scenario {
    /// The document that is published for it.
    #[must_use]
    pub fn document(&self) -> Document {
        Document {
            revision: Revision::from(1),
            goal: self.goal,
            retry_budget: RETRY_BUDGET,
            retry_percent: RETRY_PERCENT,
            services: self.services.iter().map(|s| self.service(s)).collect(),
        }
    }

    /// Who runs where, and the stand-in targets.
    #[must_use]
    pub fn instances(&self, seed: u64) -> Vec<(Identity, TargetConfig)> {
        let places = DATA_CENTRES
            .iter()
            .flat_map(|data_centre| self.services.iter().map(move |s| (data_centre, s)));
        places
            .zip(seed..)
            .map(|((data_centre, service), seed)| {
                let id = format!("{}-{data_centre}1", service.name);
                let target = self.target(service, &id).seed(seed);
                let identity = Identity {
                    id: id.as_str().into(),
                    service: service.name.into(),
                    data_centre: (*data_centre).into(),
                    region: "r".into(),
                };
                (identity, target)
            })
            .collect()
    }

    /// What callers ask for, as the shares of a load.
    #[must_use]
    pub fn shares(&self) -> Vec<Share> {
        self.entries()
            .map(|work| Share {
                service: work.service.into(),
                operation: work.name.into(),
                class: work.class,
                worth: work.worth,
                weight: work.rate,
                deadline: Duration::from_millis(work.deadline_ms.into()),
                repeatable: work.repeatable,
                answer_bytes: answer_bytes(work),
            })
            .collect()
    }

    /// Arrivals in a second in calm times.
    #[must_use]
    pub fn rate(&self) -> u32 {
        self.entries().map(|work| work.rate).sum()
    }

    /// Operations that callers ask for, in the order of the shares.
    pub fn entries(&self) -> impl Iterator<Item = &'static Work> {
        self.works.iter().filter(|work| work.rate > 0)
    }

    /// Time that one run of an operation holds slots of a service, in milliseconds; a
    /// slot is also held while the calls that were made from it run.
    #[must_use]
    pub fn slot_ms(&self, work: &Work, service: &str) -> u32 {
        let below: u32 = work
            .calls
            .iter()
            .map(|&callee| self.slot_ms(&self.works[callee], service))
            .sum();
        let own = if work.service == service {
            self.length_ms(work)
        } else {
            0
        };
        own + below
    }

    /// Mean time of one run on an idle fleet, calls included, in milliseconds.
    #[must_use]
    pub fn length_ms(&self, work: &Work) -> u32 {
        let calls = work.calls.iter();
        work.time_ms
            + calls
                .map(|&callee| self.length_ms(&self.works[callee]))
                .sum::<u32>()
    }

    fn of<'a>(&self, service: &'a str) -> impl Iterator<Item = &'static Work> + use<'a> {
        self.works
            .iter()
            .filter(move |work| work.service == service)
    }

    fn service(&self, size: &ServiceSize) -> Service {
        let mut operations: Vec<Operation> = self
            .of(size.name)
            .map(|work| self.operation(work))
            .collect();
        operations.sort_by(|a, b| a.name.cmp(&b.name));
        Service {
            name: size.name.into(),
            slots: size.slots,
            connections: size.connections,
            refusal_means_not_run: false,
            operations,
        }
    }

    fn operation(&self, work: &Work) -> Operation {
        let mut calls: Vec<String> = work
            .calls
            .iter()
            .map(|&callee| format!("{}/{}", self.works[callee].service, self.works[callee].name))
            .collect();
        calls.sort();
        Operation {
            name: work.name.into(),
            class: work.class,
            worth: work.worth,
            repeatable: work.repeatable,
            entry: work.rate > 0,
            deadline_ms: work.deadline_ms,
            objective_permille: 990,
            calls,
        }
    }

    fn target(&self, service: &ServiceSize, id: &str) -> TargetConfig {
        let slots = usize::try_from(service.slots).unwrap_or(usize::MAX);
        let target = TargetConfig::new(service.name, id, slots);
        self.of(service.name).fold(target, |target, work| {
            let calls = work.calls.iter().map(|&callee| &self.works[callee]);
            let plan = Plan {
                time: service_time(work.time_ms),
                answer_bytes: answer_bytes(work),
                calls: calls.map(downstream).collect(),
            };
            target.plan(work.name, plan)
        })
    }
}

fn downstream(callee: &Work) -> Downstream {
    Downstream {
        service: callee.service.into(),
        operation: callee.name.into(),
        answer_bytes: answer_bytes(callee),
        repeatable: callee.repeatable,
    }
}

fn answer_bytes(work: &Work) -> usize {
    if work.class == Class::Bulk {
        PACK_BYTES
    } else {
        ANSWER_BYTES
    }
}

fn service_time(mean_ms: u32) -> ServiceTime {
    let mean = Duration::from_millis(mean_ms.into());
    let least = mean * LEAST_SHARE_PERCENT / 100;
    ServiceTime {
        min: least,
        mean_tail: mean.saturating_sub(least),
    }
}
