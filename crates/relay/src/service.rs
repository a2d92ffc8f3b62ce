//! What one daemon keeps of a service that it calls.

use std::collections::HashSet;

use model::{InstanceId, ServiceName};
use policy::{Candidate, InstanceKey, ResendBudget, Router};
use tokio::time::Instant;

/// Belief in failures from which a target is logged as failing: two of the last three calls or
/// more failed.
const MIN_FAILING_SCORE: u64 = 500;
/// Belief below which it is logged as answering again: well apart, so that the lines do not
/// alternate.
const ANSWERING_BELOW_SCORE: u64 = 100;

/// The router and the budget of one service.
pub(crate) struct ServiceState {
    pub(crate) router: Router,
    pub(crate) resend_budget: ResendBudget,
    /// Targets that are logged as failing.
    failing: HashSet<InstanceKey>,
}

impl ServiceState {
    pub(crate) fn new(router: Router, resend_budget: ResendBudget) -> Self {
        ServiceState {
            router,
            resend_budget,
            failing: HashSet::new(),
        }
    }

    /// Takes over which targets there are.
    pub(crate) fn update(&mut self, candidates: &[Candidate], now: std::time::Instant) {
        self.router.update(candidates, now);
        let router = &self.router;
        self.failing.retain(|key| router.instance(*key).is_some());
    }

    /// Logs when a target begins to fail and when it answers again.
    pub(crate) fn log_health_change(
        &mut self,
        service: &ServiceName,
        key: InstanceKey,
        now: Instant,
    ) {
        let failure_score = self.router.failure_score(key, now.into_std());
        let id = self.router.instance(key).map_or("", InstanceId::as_str);
        if failure_score >= MIN_FAILING_SCORE && self.failing.insert(key) {
            log::warn!(service = service.as_str(), target_id = id, trouble_thousandths = failure_score; "target failing");
        } else if failure_score < ANSWERING_BELOW_SCORE && self.failing.remove(&key) {
            log::info!(service = service.as_str(), target_id = id; "target answers again");
        }
    }
}
