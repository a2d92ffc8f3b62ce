//! Which requests a daemon that stops still starts, and until when.

use std::time::Duration;

use policy::StopPlan;
use routes::{Idempotency, Route};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until};

use crate::relay::{Phase, Relay};

/// Maximum time for which a waiting request relies on run times, which change while others end.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Length that is assumed of a run that has not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEstimate {
    /// About half of the runs are longer.
    Mean,
    /// Few runs are longer.
    UpperBound,
}

impl Relay {
    /// Announces the stop to all requests.
    pub(crate) fn begin_stop(&self, plan: StopPlan) {
        self.stop_plan.send_replace(Some(plan));
    }

    /// Returns the estimate by which requests from this machine may start.
    ///
    /// While callers have had no time to learn of the stop, they lose more by a refusal than by a
    /// broken answer to a request that may be repeated.
    pub(crate) fn run_estimate(&self, route: &Route) -> RunEstimate {
        let may_repeat = route.idempotency == Idempotency::Idempotent;
        if may_repeat && self.phase.get() != Phase::Closing {
            RunEstimate::Mean
        } else {
            RunEstimate::UpperBound
        }
    }

    /// Returns until when a request may start to run; `None` if there is no limit, as the daemon
    /// doesn't stop or outlives the request's deadline.
    pub(crate) fn latest_start(
        &self,
        route: &SmolStr,
        deadline: Instant,
        estimate: RunEstimate,
    ) -> Option<Instant> {
        let plan = (*self.stop_plan.borrow())?;
        let run_time = self.expected_run_time(route, estimate);
        let latest = plan.latest_start(deadline.into_std(), run_time);
        latest.map(Instant::from_std)
    }

    /// Completes when it is too late for a request to start to run.
    pub(crate) async fn until_too_late(
        &self,
        route: &SmolStr,
        deadline: Instant,
        estimate: impl Fn() -> RunEstimate,
    ) {
        self.until_stop().await;
        while let Some(latest) = self.latest_start(route, deadline, estimate()) {
            let now = Instant::now();
            if now >= latest {
                return;
            }
            sleep_until(latest.min(now + REVIEW_INTERVAL)).await;
        }
        std::future::pending::<()>().await;
    }

    /// Completes when the requests that are left are to be answered, as the process is about to
    /// exit.
    pub(crate) async fn until_last_answers(&self) {
        let plan = self.until_stop().await;
        sleep_until(Instant::from_std(plan.last_answers())).await;
    }

    /// Returns the retry delay for a request that can't be answered before the exit.
    pub(crate) fn stop_retry_after(&self, now: Instant) -> Duration {
        let plan = *self.stop_plan.borrow();
        plan.map_or(Duration::ZERO, |plan| plan.retry_after(now.into_std()))
    }

    /// Waits until a stop is requested.
    async fn until_stop(&self) -> StopPlan {
        let mut stop_plan = self.stop_plan.subscribe();
        // The sender lives as long as the daemon.
        match stop_plan.wait_for(Option::is_some).await.map(|plan| *plan) {
            Ok(Some(plan)) => plan,
            _ => std::future::pending().await,
        }
    }

    /// Returns how long a run of a route is expected to take, in the absence of samples the latency
    /// that the operators aim at.
    fn expected_run_time(&self, route: &SmolStr, estimate: RunEstimate) -> Duration {
        let run_times = self.route_run_times.borrow();
        let measured = match estimate {
            RunEstimate::Mean => run_times.mean(route),
            RunEstimate::UpperBound => run_times.upper_bound(route),
        };
        measured.unwrap_or_else(|| {
            let table = self.table();
            let routes = table.iter().flat_map(|table| table.routes());
            let route = routes.into_iter().find(|other| other.name == *route);
            route.map_or(Duration::ZERO, |route| route.target_latency)
        })
    }
}
