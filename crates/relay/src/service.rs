//! State that a daemon keeps for each service that it calls.

use std::collections::HashSet;

use model::{InstanceId, ServiceName};
use policy::{Candidate, InstanceKey, ResendBudget, Router};
use tokio::time::Instant;

/// Failure score, in thousandths, from which a target is logged as failing: at least two of the
/// last three calls failed.
const MIN_FAILING_SCORE: u64 = 500;
/// Failure score, in thousandths, below which a target is logged as answering again; well below
/// [`MIN_FAILING_SCORE`], so that the messages do not alternate.
const ANSWERING_BELOW_SCORE: u64 = 100;

/// Router and resend budget for one service.
pub(crate) struct ServiceState {
    pub(crate) router: Router,
    pub(crate) resend_budget: ResendBudget,
    /// Targets whose last log message was that they are failing.
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

    /// Replaces the candidate targets.
    pub(crate) fn update(&mut self, candidates: &[Candidate], now: std::time::Instant) {
        self.router.update(candidates, now);
        let router = &self.router;
        self.failing.retain(|key| router.instance(*key).is_some());
    }

    /// Logs when a target starts to fail and when it answers again.
    pub(crate) fn log_health_change(
        &mut self,
        service: &ServiceName,
        key: InstanceKey,
        now: Instant,
    ) {
        let failure_score = self.router.failure_score(key, now.into_std());
        let id = self.router.instance(key).map_or("", InstanceId::as_str);
        if failure_score >= MIN_FAILING_SCORE && self.failing.insert(key) {
            log::warn!(
                service = service.as_str(),
                target_id = id,
                trouble_thousandths = failure_score;
                "target failing"
            );
        } else if failure_score < ANSWERING_BELOW_SCORE && self.failing.remove(&key) {
            log::info!(service = service.as_str(), target_id = id; "target answers again");
        }
    }
}
