//! How many slots the stated rates need, by service and class.

use std::collections::HashMap;

use model::Class;

use crate::answers::{Answers, OperationAnswers, ServiceAnswers};

/// Slots in use on average, in thousandths: requests per second times milliseconds.
type MilliSlots = u128;

/// One figure for each class.
type ByClass<T> = [T; Class::ALL.len()];

/// Position of an operation among all operations of the answers.
type Node = usize;

/// Slots that each service has, and that each class needs of them.
pub(crate) struct Demand {
    services: Vec<ServiceDemand>,
    scarcest: Vec<ByClass<Scarcest>>,
}

/// Slots of one service.
#[derive(Clone, Default)]
pub(crate) struct ServiceDemand {
    capacity: MilliSlots,
    by_class: ByClass<MilliSlots>,
}

/// Service on a chain that serves the least share of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Scarcest {
    /// Share of the class's demand that it can serve, in thousandths.
    pub(crate) share_permille: u16,
    /// Position of the service in the answers.
    pub(crate) service: usize,
}

/// The call graph by positions.
struct Graph<'a> {
    nodes: Vec<(usize, &'a OperationAnswers)>,
    callees: Vec<Vec<Node>>,
}

impl Demand {
    /// Adds up the demand of every entry operation; the call graph must be sound.
    pub(crate) fn new(answers: &Answers) -> Self {
        let graph = Graph::new(answers);
        let order = graph.callees_first();
        let mut services: Vec<ServiceDemand> = answers
            .services
            .iter()
            .map(|service| ServiceDemand {
                capacity: capacity(answers, service),
                ..ServiceDemand::default()
            })
            .collect();
        let rates = graph.rates(&order);
        for (&(service, operation), rates) in graph.nodes.iter().zip(&rates) {
            for (need, rate) in services[service].by_class.iter_mut().zip(rates) {
                *need = need.saturating_add(rate.saturating_mul(operation.usual_ms.into()));
            }
        }
        let scarcest = graph.scarcest(&order, &services);
        Demand { services, scarcest }
    }

    /// Returns the demand on one service, by its position in the answers.
    pub(crate) fn service(&self, at: usize) -> &ServiceDemand {
        &self.services[at]
    }

    /// Returns the scarcest service on the chain of an operation, by its position.
    pub(crate) fn scarcest(&self, node: Node, class: Class) -> Scarcest {
        self.scarcest[node][class.index()]
    }
}

impl<'a> Graph<'a> {
    fn new(answers: &'a Answers) -> Self {
        let mut nodes = Vec::new();
        let mut by_path = HashMap::new();
        for (at, service) in answers.services.iter().enumerate() {
            for operation in &service.operations {
                by_path.insert(format!("{}/{}", service.name, operation.name), nodes.len());
                nodes.push((at, operation));
            }
        }
        let resolve = |operation: &OperationAnswers| {
            let calls = operation.calls.iter();
            calls
                .filter_map(|c| by_path.get(c.as_str()).copied())
                .collect()
        };
        let callees = nodes
            .iter()
            .map(|(_, operation)| resolve(operation))
            .collect();
        Graph { nodes, callees }
    }

    /// Orders operations so that each comes after all that it calls.
    fn callees_first(&self) -> Vec<Node> {
        let mut done = vec![false; self.nodes.len()];
        let mut order = Vec::new();
        for node in 0..self.nodes.len() {
            self.visit(node, &mut done, &mut order);
        }
        order
    }

    /// Recurses no deeper than the longest chain, which the graph's check bounds.
    fn visit(&self, node: Node, done: &mut [bool], order: &mut Vec<Node>) {
        if std::mem::replace(&mut done[node], true) {
            return;
        }
        for &callee in &self.callees[node] {
            self.visit(callee, done, order);
        }
        order.push(node);
    }

    /// Returns the runs per second of each operation, by class of the root request.
    fn rates(&self, order: &[Node]) -> Vec<ByClass<u128>> {
        let mut rates = vec![ByClass::default(); self.nodes.len()];
        for &node in order.iter().rev() {
            let operation = self.nodes[node].1;
            if operation.entry {
                let rate: &mut u128 = &mut rates[node][operation.class.index()];
                *rate = rate.saturating_add(operation.rate_per_s.into());
            }
            let own = rates[node];
            for &callee in &self.callees[node] {
                for (rate, more) in rates[callee].iter_mut().zip(own) {
                    *rate = rate.saturating_add(more);
                }
            }
        }
        rates
    }

    fn scarcest(&self, order: &[Node], services: &[ServiceDemand]) -> Vec<ByClass<Scarcest>> {
        let unknown = Scarcest {
            share_permille: u16::MAX,
            service: usize::MAX,
        };
        let mut scarcest = vec![[unknown; Class::ALL.len()]; self.nodes.len()];
        for &node in order {
            let service = self.nodes[node].0;
            scarcest[node] = Class::ALL.map(|class| {
                let own = Scarcest {
                    share_permille: services[service].share_permille(class),
                    service,
                };
                let callees = self.callees[node].iter();
                let inner = callees.map(|&c| scarcest[c][class.index()]).min();
                inner.map_or(own, |inner| inner.min(own))
            });
        }
        scarcest
    }
}

impl ServiceDemand {
    /// Returns the share of a class's demand that the slots can serve, in thousandths.
    pub(crate) fn share_permille(&self, class: Class) -> u16 {
        let need = self.by_class[class.index()];
        if need == 0 {
            return 1_000;
        }
        let left = self.capacity.saturating_sub(self.before(class));
        let permille = left.saturating_mul(1_000) / need;
        u16::try_from(permille.min(1_000)).unwrap_or(1_000)
    }

    /// Returns the slots taken by more important classes.
    pub(crate) fn slots_before(&self, class: Class) -> u128 {
        self.before(class).div_ceil(1_000)
    }

    /// Returns the slots needed by a class and the more important ones.
    pub(crate) fn slots_needed(&self, class: Class) -> u128 {
        let own = self.by_class[class.index()];
        self.before(class).saturating_add(own).div_ceil(1_000)
    }

    /// Returns the slots of all targets together.
    pub(crate) fn slots(&self) -> u128 {
        self.capacity / 1_000
    }

    fn before(&self, class: Class) -> MilliSlots {
        let more_important = &self.by_class[class.index() + 1..];
        more_important
            .iter()
            .fold(0, |sum, &need| sum.saturating_add(need))
    }
}

fn capacity(answers: &Answers, service: &ServiceAnswers) -> MilliSlots {
    u128::from(answers.target_count(service)) * u128::from(service.slots) * 1_000
}
