//! Estimates how many slots the answers' request rates need, by service and class.

use std::collections::HashMap;

use model::Class;

use crate::answers::{Answers, OperationAnswers, ServiceAnswers};

/// Average number of slots in use, in thousandths.
///
/// By Little's law this is the rate in requests per second times the slot time in milliseconds.
type MilliSlots = u128;

/// One value for each class, by [`Class::index`].
type ByClass<T> = [T; Class::ALL.len()];

/// Position of an operation among all operations of the answers.
type Node = usize;

/// Capacity and demand of each service, and the bottleneck of each operation.
pub(crate) struct Demand {
    services: Vec<ServiceDemand>,
    bottlenecks: Vec<ByClass<Bottleneck>>,
}

/// Slots of one service over all its targets, and the slots that each class needs.
#[derive(Clone, Default)]
pub(crate) struct ServiceDemand {
    capacity: MilliSlots,
    demand_by_class: ByClass<MilliSlots>,
}

/// The service in a call tree that can serve the smallest share of a class.
///
/// The derived order compares the shares first, so that the minimum is the tightest bottleneck.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Bottleneck {
    /// Share of the class's demand that the service has slots for, in thousandths.
    pub(crate) share_permille: u16,
    /// Position of the service in the answers.
    pub(crate) service: usize,
}

/// The call graph, with operations and services as positions in the answers.
struct Graph<'a> {
    nodes: Vec<(usize, &'a OperationAnswers)>,
    callees: Vec<Vec<Node>>,
}

impl Demand {
    /// Sums the demand of the requests that enter at each operation; the call graph must be valid.
    pub(crate) fn new(answers: &Answers) -> Self {
        let graph = Graph::new(answers);
        let order = graph.reverse_topological_order();
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
            for (demand, rate) in services[service].demand_by_class.iter_mut().zip(rates) {
                *demand = demand.saturating_add(rate.saturating_mul(operation.usual_ms.into()));
            }
        }
        let bottlenecks = graph.bottlenecks(&order, &services);
        Demand {
            services,
            bottlenecks,
        }
    }

    /// Returns the demand on the service at position `index` in the answers.
    pub(crate) fn service(&self, index: usize) -> &ServiceDemand {
        &self.services[index]
    }

    /// Returns the bottleneck of a class among the services that an operation runs on or calls,
    /// directly or indirectly.
    pub(crate) fn bottleneck(&self, node: Node, class: Class) -> Bottleneck {
        self.bottlenecks[node][class.index()]
    }
}

impl<'a> Graph<'a> {
    fn new(answers: &'a Answers) -> Self {
        let mut nodes = Vec::new();
        let mut by_path = HashMap::new();
        for (index, service) in answers.services.iter().enumerate() {
            for operation in &service.operations {
                by_path.insert(format!("{}/{}", service.name, operation.name), nodes.len());
                nodes.push((index, operation));
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

    /// Returns the operations in reverse topological order: each comes after all that it calls.
    fn reverse_topological_order(&self) -> Vec<Node> {
        let mut done = vec![false; self.nodes.len()];
        let mut order = Vec::new();
        for node in 0..self.nodes.len() {
            self.visit(node, &mut done, &mut order);
        }
        order
    }

    /// Appends an operation to `order` after all that it calls.
    ///
    /// Recursion is as deep as the longest call chain, which the document's check limits to
    /// [`config::MAX_CHAIN_DEPTH`].
    fn visit(&self, node: Node, done: &mut [bool], order: &mut Vec<Node>) {
        if std::mem::replace(&mut done[node], true) {
            return;
        }
        for &callee in &self.callees[node] {
            self.visit(callee, done, order);
        }
        order.push(node);
    }

    /// Returns the rate of each operation in runs per second, by class of the root request.
    ///
    /// Every run of an operation is taken to call each of its callees once.
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
                for (rate, own_rate) in rates[callee].iter_mut().zip(own) {
                    *rate = rate.saturating_add(own_rate);
                }
            }
        }
        rates
    }

    fn bottlenecks(&self, order: &[Node], services: &[ServiceDemand]) -> Vec<ByClass<Bottleneck>> {
        let unset = Bottleneck {
            share_permille: u16::MAX,
            service: usize::MAX,
        };
        let mut bottlenecks = vec![[unset; Class::ALL.len()]; self.nodes.len()];
        for &node in order {
            let service = self.nodes[node].0;
            bottlenecks[node] = Class::ALL.map(|class| {
                let own = Bottleneck {
                    share_permille: services[service].share_permille(class),
                    service,
                };
                let callees = self.callees[node].iter();
                let inner = callees.map(|&c| bottlenecks[c][class.index()]).min();
                inner.map_or(own, |inner| inner.min(own))
            });
        }
        bottlenecks
    }
}

impl ServiceDemand {
    /// Returns the share of a class's demand that the slots can serve, in thousandths.
    ///
    /// More important classes are served first.
    pub(crate) fn share_permille(&self, class: Class) -> u16 {
        let demand = self.demand_by_class[class.index()];
        if demand == 0 {
            return 1_000;
        }
        let left = self.capacity.saturating_sub(self.demand_above(class));
        let permille = left.saturating_mul(1_000) / demand;
        u16::try_from(permille.min(1_000)).unwrap_or(1_000)
    }

    /// Returns the slots that all more important classes need.
    pub(crate) fn slots_needed_above(&self, class: Class) -> u128 {
        self.demand_above(class).div_ceil(1_000)
    }

    /// Returns the slots that a class and all more important ones need.
    pub(crate) fn slots_needed(&self, class: Class) -> u128 {
        let own = self.demand_by_class[class.index()];
        self.demand_above(class).saturating_add(own).div_ceil(1_000)
    }

    /// Returns the slots of the service over all its targets.
    pub(crate) fn total_slots(&self) -> u128 {
        self.capacity / 1_000
    }

    fn demand_above(&self, class: Class) -> MilliSlots {
        let more_important = &self.demand_by_class[class.index() + 1..];
        more_important
            .iter()
            .fold(0, |sum, &demand| sum.saturating_add(demand))
    }
}

fn capacity(answers: &Answers, service: &ServiceAnswers) -> MilliSlots {
    u128::from(answers.target_count(service)) * u128::from(service.slots) * 1_000
}
