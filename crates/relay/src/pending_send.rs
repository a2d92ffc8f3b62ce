//! Sends in flight, as the router counts them.

use http::StatusCode;
use model::ServiceName;
use policy::{CallOutcome, InstanceKey};
use tokio::time::Instant;

use crate::local_target::ForwardOutcome;
use crate::piggyback::TargetReport;
use crate::relay::Relay;

/// A send that the router counts as in flight until its outcome is reported; dropping it reports
/// it as cancelled.
pub(crate) struct PendingSend<'a> {
    relay: &'a Relay,
    service: &'a ServiceName,
    key: InstanceKey,
    began: Instant,
    is_finished: bool,
}

impl<'a> PendingSend<'a> {
    /// Takes over a send to a target that the router has just chosen.
    pub(crate) fn new(
        relay: &'a Relay,
        service: &'a ServiceName,
        key: InstanceKey,
        began: Instant,
    ) -> Self {
        PendingSend {
            relay,
            service,
            key,
            began,
            is_finished: false,
        }
    }

    /// Reports the outcome of the send, and what the daemon beside the target reported with it.
    pub(crate) fn finish(&mut self, outcome: CallOutcome, report: Option<TargetReport>) {
        self.is_finished = true;
        let now = Instant::now();
        let latency = now.saturating_duration_since(self.began);
        self.relay.with_service(self.service, |state| {
            if let Some(report) = report {
                state.router.report_run_time(self.key, report.run_time);
            }
            let load = report.and_then(|report| report.load);
            state
                .router
                .finish(self.key, outcome, latency, load, now.into_std());
            state.log_health_change(self.service, self.key, now);
        });
    }
}

impl Drop for PendingSend<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(CallOutcome::Cancelled, None);
        }
    }
}

/// Returns what an outcome tells the router about the target.
pub(crate) fn call_outcome(outcome: &ForwardOutcome) -> CallOutcome {
    match outcome {
        // A target's own 504 says that the time was too short.
        ForwardOutcome::Answered { head, .. }
            if head.status.is_server_error() && head.status != StatusCode::GATEWAY_TIMEOUT =>
        {
            CallOutcome::ServerError
        }
        ForwardOutcome::Answered { .. } => CallOutcome::Answered,
        ForwardOutcome::NotRun {
            at_target: true, ..
        } => CallOutcome::TargetRefused,
        ForwardOutcome::NotRun { refusal, .. } => CallOutcome::NotRun(refusal.reason),
        ForwardOutcome::Unknown { .. } => CallOutcome::Unknown,
    }
}
