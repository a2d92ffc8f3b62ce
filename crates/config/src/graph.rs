//! Validation of the call graph: unknown operations, cycles, depth, and idempotency of callees.

use std::collections::HashMap;

use smol_str::format_smolstr;

use crate::document::{Document, MAX_CHAIN_DEPTH, Operation, Service};
use crate::fault::{Fault, Place};

/// Position of an operation among all operations of a document.
type Node = usize;

struct Graph<'a> {
    nodes: Vec<(&'a Service, &'a Operation)>,
    callees: Vec<Vec<Node>>,
    called_by: Vec<Vec<Node>>,
}

/// Validates the call graph of a document and adds its faults to `faults`.
pub(crate) fn check(document: &Document, faults: &mut Vec<Fault>) {
    let graph = Graph::new(document, faults);
    let order = graph.reverse_topological_order();
    if order.len() < graph.nodes.len() {
        graph.check_cycles(&order, faults);
    }
    graph.check_depth(&order, faults);
    graph.check_repeatability(&order, faults);
}

impl<'a> Graph<'a> {
    fn new(document: &'a Document, faults: &mut Vec<Fault>) -> Self {
        let nodes: Vec<_> = document
            .services
            .iter()
            .flat_map(|service| service.operations.iter().map(move |o| (service, o)))
            .collect();
        let by_name: HashMap<(&str, &str), Node> = nodes
            .iter()
            .enumerate()
            .map(|(node, (s, o))| ((s.name.as_str(), o.name.as_str()), node))
            .collect();
        let mut callees = vec![Vec::new(); nodes.len()];
        let mut called_by = vec![Vec::new(); nodes.len()];
        for (node, (service, operation)) in nodes.iter().enumerate() {
            for call in &operation.calls {
                let found = call.split_once('/').and_then(|name| by_name.get(&name));
                let Some(&callee) = found else {
                    faults.push(unknown_call_fault(service, operation, call));
                    continue;
                };
                callees[node].push(callee);
                called_by[callee].push(node);
            }
        }
        Graph {
            nodes,
            callees,
            called_by,
        }
    }

    /// Returns the operations in reverse topological order: each comes after all that it calls.
    ///
    /// Operations that are in a cycle or reach one are left out.
    fn reverse_topological_order(&self) -> Vec<Node> {
        let mut pending_callees: Vec<usize> = self.callees.iter().map(Vec::len).collect();
        let mut order: Vec<Node> = (0..pending_callees.len())
            .filter(|&n| pending_callees[n] == 0)
            .collect();
        let mut next = 0;
        while next < order.len() {
            for &caller in &self.called_by[order[next]] {
                pending_callees[caller] -= 1;
                if pending_callees[caller] == 0 {
                    order.push(caller);
                }
            }
            next += 1;
        }
        order
    }

    /// Reports each cycle once, at its first operation.
    fn check_cycles(&self, order: &[Node], faults: &mut Vec<Fault>) {
        let mut visited = vec![false; self.nodes.len()];
        for &node in order {
            visited[node] = true;
        }
        for start in 0..self.nodes.len() {
            let mut path: Vec<Node> = Vec::new();
            let mut node = start;
            // Every operation that is not in the order calls another one that is not in it.
            while !visited[node] {
                visited[node] = true;
                path.push(node);
                let callees = &self.callees[node];
                let in_path = callees.iter().find(|c| path.contains(c));
                let Some(&next) = in_path.or_else(|| callees.iter().find(|&&c| !visited[c])) else {
                    break;
                };
                if let Some(at) = path.iter().position(|&p| p == next) {
                    faults.push(self.cycle_fault(&path[at..]));
                    break;
                }
                node = next;
            }
        }
    }

    fn cycle_fault(&self, path: &[Node]) -> Fault {
        let mut names: Vec<String> = path.iter().map(|&node| self.name(node)).collect();
        names.push(self.name(path[0]));
        Fault::new(
            self.place(path[0]),
            "calls",
            format_smolstr!("calls go round in a cycle: {}", names.join(" -> ")),
            "remove one of these calls",
        )
    }

    /// Reports chains deeper than [`MAX_CHAIN_DEPTH`], at the operation where they begin.
    fn check_depth(&self, order: &[Node], faults: &mut Vec<Fault>) {
        let mut depth = vec![0_usize; self.nodes.len()];
        for &node in order {
            let deepest = self.callees[node].iter().map(|&c| depth[c]).max();
            depth[node] = 1 + deepest.unwrap_or(0);
        }
        for &node in order {
            if depth[node] > MAX_CHAIN_DEPTH && self.called_by[node].is_empty() {
                faults.push(Fault::new(
                    self.place(node),
                    "calls",
                    format_smolstr!("the longest chain is {} operations deep", depth[node]),
                    format_smolstr!("allowed: at most {MAX_CHAIN_DEPTH}"),
                ));
            }
        }
    }

    /// Reports repeatable operations that call a non-repeatable one, directly or indirectly.
    fn check_repeatability(&self, order: &[Node], faults: &mut Vec<Fault>) {
        let mut non_repeatable: Vec<Option<Node>> = vec![None; self.nodes.len()];
        for &node in order {
            let found = self.callees[node].iter().find_map(|&c| non_repeatable[c]);
            if let (Some(inner), true) = (found, self.nodes[node].1.repeatable) {
                faults.push(Fault::new(
                    self.place(node),
                    "repeatable",
                    format_smolstr!(
                        "it may be repeated, but its chain holds {}, which may not",
                        self.name(inner)
                    ),
                    "make this operation non-repeatable as well, or remove the call",
                ));
            }
            let own = (!self.nodes[node].1.repeatable).then_some(node);
            non_repeatable[node] = own.or(found);
        }
    }

    fn name(&self, node: Node) -> String {
        let (service, operation) = self.nodes[node];
        format!("{}/{}", service.name, operation.name)
    }

    fn place(&self, node: Node) -> Place {
        let (service, operation) = self.nodes[node];
        Place::Operation(service.name.clone(), operation.name.clone())
    }
}

fn unknown_call_fault(service: &Service, operation: &Operation, call: &str) -> Fault {
    Fault::new(
        Place::Operation(service.name.clone(), operation.name.clone()),
        "calls",
        format_smolstr!("{call:?} names no operation"),
        "write service/operation of an operation in this document",
    )
}
