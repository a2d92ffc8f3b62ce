//! Rigs that several proofs start from.

use standin::TargetConfig;

use crate::fleets;
use crate::node::{Link, NodeSpec};
use crate::rig::Rig;

/// Slots of a target in these rigs.
const SLOTS: usize = 160;

impl Rig {
    /// Two instances each of reservas and caja in each of two data centres.
    ///
    /// # Errors
    ///
    /// If a process or stand-in does not start.
    pub async fn booking(
        program: &str,
        plan: impl Fn(NodeSpec) -> NodeSpec,
    ) -> anyhow::Result<Rig> {
        let mut builder = Rig::builder(program).document(fleets::arriaga());
        for service in ["reservas", "caja"] {
            for letter in ["a", "b"] {
                for number in 1..=2 {
                    let id = format!("{service}-{letter}{number}");
                    let spec = NodeSpec::new(service, &format!("norte-{letter}"), &id);
                    builder = builder.node(plan(spec));
                }
            }
        }
        builder.start().await
    }

    /// One instance of each of two services, with a proxy on each of the links.
    ///
    /// # Errors
    ///
    /// If a process or stand-in does not start.
    pub async fn pair(
        program: &str,
        services: [&str; 2],
        links: &[Link],
        plan: impl Fn(TargetConfig) -> TargetConfig,
    ) -> anyhow::Result<Rig> {
        let mut builder = Rig::builder(program).document(fleets::arriaga());
        for service in services {
            let id = format!("{service}-a1");
            let target = plan(TargetConfig::new(service, &id, SLOTS));
            let mut spec = NodeSpec::new(service, "norte-a", &id).target(target);
            for link in links {
                spec = spec.through(*link);
            }
            builder = builder.node(spec);
        }
        builder.start().await
    }
}
