//! Dispatch of a request to targets: admission, target selection, resends and the final answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use model::{Class, InstanceId, Refusal, RefusalReason, ServiceName};
use policy::{CallOutcome, Fingerprint, InstanceKey, Pick, RootRequest, Shed, Treatment};
use routes::{Idempotency, Target};
use tokio::time::Instant;
use wire::Hop;

use crate::final_answer::FinalAnswer;
use crate::local_target::{self, ForwardOutcome, ForwardedRequest};
use crate::mesh::{self, LossPolicy};
use crate::metrics::RequestOutcome;
use crate::origin_request::OriginRequest;
use crate::payload::Payload;
use crate::pending_send::{PendingSend, call_outcome};
use crate::piggyback;
use crate::relay::Relay;
use crate::responses::{service_unavailable, status_only};
use crate::suspects;
use crate::target_notice::TargetNotice;

/// Retry delay for callers if no target of the service is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Mean retry delay of a shed request, as a fraction of the route's target latency.
const SHED_RETRY_RATIO: f64 = 0.33;
/// Minimum retry delay of a shed request.
const MIN_SHED_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum retry delay of a shed request.
const MAX_SHED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of targets tried for one request.
pub(crate) const MAX_TARGETS_TRIED: usize = 4;
/// Minimum time left until the deadline for a resend.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Number of mean run times after which an answer is overdue; it allows for time in the queue.
const OVERDUE_RUN_TIMES: u32 = 4;
/// Minimum time after which an answer is overdue: a busy daemon may be delayed by that much.
const MIN_OVERDUE: Duration = Duration::from_millis(150);
/// Worth of a call, which ranks it above root requests of its class: if it is refused, the work
/// already done by the run that made it is wasted.
const CALL_WORTH: u32 = 1_000;
/// Worth of a root request.
const ROOT_WORTH: u32 = 1;

/// A request that is sent to one target after another until it has a final answer.
pub(crate) struct Dispatch<'a> {
    pub(crate) relay: &'a Rc<Relay>,
    pub(crate) request: OriginRequest,
    /// Targets to which the request was sent, including sends that did not reach them.
    pub(crate) tried: Vec<InstanceKey>,
    /// Sends that reached a target or may have reached it.
    pub(crate) target_sends: u32,
    /// Target of the last send, shared with the caller, which logs it at a timeout.
    pub(crate) last_target: &'a RefCell<Option<InstanceId>>,
    /// True after a send whose outcome is unknown.
    pub(crate) may_have_run: bool,
    fingerprint: Fingerprint,
}

/// Reaction to the outcome of one send.
enum NextStep {
    /// Return this answer to the caller.
    Answer(FinalAnswer),
    /// Send the request to another target.
    Resend(ForwardedRequest),
}

impl<'a> Dispatch<'a> {
    pub(crate) fn new(
        relay: &'a Rc<Relay>,
        request: OriginRequest,
        fingerprint: Fingerprint,
        last_target: &'a RefCell<Option<InstanceId>>,
    ) -> Self {
        Dispatch {
            relay,
            request,
            tried: Vec::new(),
            target_sends: 0,
            last_target,
            may_have_run: false,
            fingerprint,
        }
    }

    /// Sends the request until there is a final answer.
    pub(crate) async fn run(
        mut self,
        forward: ForwardedRequest,
    ) -> (RequestOutcome, Response<Payload>) {
        let Some(service) = self.relay.next_service(&self.request.route) else {
            return (
                RequestOutcome::Refused,
                service_unavailable(NO_TARGET_RETRY_AFTER),
            );
        };
        let now = Instant::now().into_std();
        self.relay.with_service(&service, |state| {
            if self.request.parent.is_some_and(|run| run.repeated) {
                state.resend_budget.record_resend(now);
            } else {
                state.resend_budget.record_first_send(now);
            }
        });
        if let Some(answer) = self.hold_back() {
            return answer;
        }
        if let Err(shed) = self.admit_root(&service) {
            return (RequestOutcome::Shed, self.shed(&shed));
        }
        let answer = self.send_until_final(&service, forward).await;
        match answer.copy {
            Some(copy) if answer.res.body().may_be_endless() => {
                let first = (answer.outcome, answer.res);
                self.ask_another(&service, first, copy).await
            }
            _ => (answer.outcome, answer.res),
        }
    }

    /// Sends the request to one target after another until there is a final answer.
    pub(crate) async fn send_until_final(
        &mut self,
        service: &ServiceName,
        mut forward: ForwardedRequest,
    ) -> FinalAnswer {
        loop {
            // The previous send may have crashed its target, too.
            if let Some((outcome, res)) = self.hold_back() {
                return FinalAnswer::new(outcome, res);
            }
            let (key, target) = match self.pick_for_trial(service) {
                Ok(picked) => picked,
                Err(refusal) => {
                    let (outcome, res) = self.give_up(service, &refusal);
                    return FinalAnswer::new(outcome, res);
                }
            };
            if let Err(refusal) = self.check_time(service, key, Instant::now()) {
                let (outcome, res) = self.give_up(service, &refusal);
                return FinalAnswer::new(outcome, res);
            }
            let copy = forward.copy();
            let outcome = self.send(service, key, &target, forward).await;
            match self.next_step(service, outcome, copy) {
                NextStep::Answer(answer) => return answer,
                NextStep::Resend(resend) => forward = resend,
            }
        }
    }

    /// Checks a root request against the admission shares of the services that it depends on.
    ///
    /// A call is always admitted, as it is part of a root request that has started.
    fn admit_root(&self, service: &ServiceName) -> Result<(), Shed> {
        if self.request.is_call {
            return Ok(());
        }
        let dependencies = self.relay.dependencies.borrow();
        let downstream = dependencies
            .downstream_services(&self.request.route.name)
            .iter()
            .filter(|downstream| *downstream != service);
        let root = RootRequest {
            class: self.class(),
            shed_hash: self.request.shed_hash,
            is_retry: self.request.is_retry,
        };
        let now = Instant::now().into_std();
        self.relay.root_admission.borrow_mut().admit(
            &root,
            std::iter::once(service).chain(downstream),
            &self.relay.shares.borrow(),
            now,
        )
    }

    /// Refuses a root request that has not started.
    fn shed(&self, shed: &Shed) -> Response<Payload> {
        let retry_after = self.retry_after();
        log::info!(
            id = self.request.id.to_str().unwrap_or("unprintable"),
            route = self.request.route.name.as_str(),
            class:% = self.class(),
            short_of = shed.service.as_str(),
            share_thousandths:% = shed.share,
            share_age_ms = millis(shed.age),
            class_share = shed.class_share,
            came_back = self.request.is_retry,
            retry_after_ms = millis(retry_after);
            "request shed"
        );
        service_unavailable(retry_after)
    }

    /// Returns the retry delay of a shed request: short enough for an answer within the route's
    /// target latency, with jitter so that callers do not retry all at once.
    fn retry_after(&self) -> Duration {
        let jitter =
            0.5 + f64::from(u8::try_from(self.request.shed_hash & 0xff).unwrap_or(0)) / 255.0;
        let mean = self.request.route.target_latency.mul_f64(SHED_RETRY_RATIO);
        mean.mul_f64(jitter)
            .clamp(MIN_SHED_RETRY_AFTER, MAX_SHED_RETRY_AFTER)
    }

    /// Returns the answer to a request that crashes its targets; `None` for any other. The refusal
    /// states only that this attempt has not run: earlier attempts, under other ids, have.
    fn hold_back(&self) -> Option<(RequestOutcome, Response<Payload>)> {
        let now = Instant::now().into_std();
        let crashes = self.relay.crashes.borrow();
        let Treatment::HeldBack { retry_after } = crashes.treatment(self.fingerprint, now) else {
            return None;
        };
        log::info!(
            id = self.request.id.to_str().unwrap_or("unprintable"),
            route = self.request.route.name.as_str(),
            is_call = self.request.is_call,
            held:% = crashes.describe(self.fingerprint, now),
            may_have_run = self.may_have_run,
            retry_after_ms = millis(retry_after);
            "request held back"
        );
        let res = if self.may_have_run {
            status_only(StatusCode::BAD_GATEWAY)
        } else {
            service_unavailable(retry_after)
        };
        Some((RequestOutcome::HeldBack, res))
    }

    /// Chooses the target of the next send: the one that makes the trial of a request that is due
    /// for one.
    fn pick_for_trial(&mut self, service: &ServiceName) -> Result<(InstanceKey, Target), Refusal> {
        loop {
            let (key, target) = self.pick(service)?;
            let now = Instant::now().into_std();
            let treatment = self.relay.crashes.borrow().treatment(self.fingerprint, now);
            if treatment != Treatment::Trial
                || suspects::is_trial_target(self.relay, service, self.fingerprint, &target)
            {
                return Ok((key, target));
            }
            self.tried.push(key);
            self.relay.with_service(service, |state| {
                let latency = Duration::ZERO;
                state
                    .router
                    .finish(key, CallOutcome::Cancelled, latency, None, now);
            });
        }
    }

    /// Chooses the target of the next send.
    fn pick(&self, service: &ServiceName) -> Result<(InstanceKey, Target), Refusal> {
        let class = self.class();
        let now = Instant::now().into_std();
        let (key, id) = self.relay.with_service(service, |state| {
            match state.router.pick(class, &self.tried, now) {
                Pick::Chosen(key) => {
                    let id = state.router.instance(key).cloned().unwrap_or_default();
                    Ok((key, id))
                }
                Pick::Refuse(refusal) => Err(refusal),
            }
        })?;
        let view = self.relay.view.borrow();
        let target = view.targets.get(&id).cloned();
        drop(view);
        target
            .map(|target| (key, target))
            .ok_or_else(|| self.refuse_unlisted(service, key))
    }

    /// Returns the refusal for a target that the router chose but that is no longer listed.
    fn refuse_unlisted(&self, service: &ServiceName, key: InstanceKey) -> Refusal {
        let now = Instant::now().into_std();
        let outcome = CallOutcome::NotRun(RefusalReason::Leaving);
        self.relay.with_service(service, |state| {
            state.router.finish(key, outcome, Duration::ZERO, None, now);
        });
        Refusal {
            reason: RefusalReason::NoInstance,
            retry_after: NO_TARGET_RETRY_AFTER,
        }
    }

    /// Checks that the request can end before this daemon exits if it is sent to an instance now. If not,
    /// the router no longer counts it there.
    fn check_time(
        &self,
        service: &ServiceName,
        key: InstanceKey,
        now: Instant,
    ) -> Result<(), Refusal> {
        let route = &self.request.route;
        let estimate = self.relay.run_estimate(route);
        let latest_start = self
            .relay
            .latest_start(&route.name, self.request.deadline, estimate);
        let Some(latest_start) = latest_start else {
            return Ok(());
        };
        self.relay.with_service(service, |state| {
            if now + state.router.queue_delay(key, now.into_std()) < latest_start {
                return Ok(());
            }
            let (outcome, latency) = (CallOutcome::Cancelled, Duration::ZERO);
            state
                .router
                .finish(key, outcome, latency, None, now.into_std());
            Err(Refusal {
                reason: RefusalReason::Leaving,
                retry_after: self.relay.stop_retry_after(now),
            })
        })
    }

    /// Sends the request to a target, and reports the outcome to the router and the metrics.
    async fn send(
        &mut self,
        service: &ServiceName,
        key: InstanceKey,
        target: &Target,
        forward: ForwardedRequest,
    ) -> ForwardOutcome {
        self.tried.push(key);
        self.last_target.replace(Some(target.id.clone()));
        let began = Instant::now();
        let mut pending = PendingSend::new(self.relay, service, key, began);
        let hop = self.hop(target, began);
        let (outcome, report) = if target.address == self.relay.cfg.target {
            let outcome = local_target::run(self.relay, hop, forward, self.fingerprint).await;
            let report = piggyback::record_local_run(self.relay, &self.request.route.name);
            (outcome, Some(report))
        } else {
            let policy = self.loss_policy(service, key);
            let (relay, route) = (self.relay, &self.request.route);
            let estimate = || relay.run_estimate(route);
            let too_late = relay.until_too_late(&route.name, self.request.deadline, estimate);
            mesh::send(relay, target, &hop, policy, forward, too_late).await
        };
        if let Some(report) = &report {
            piggyback::record_report(self.relay, service, &target.id, report);
        }
        if let ForwardOutcome::Answered { head, .. } = &outcome {
            let notice =
                TargetNotice::read(&self.relay.names, &head.headers, TargetNotice::default());
            self.relay.with_service(service, |state| {
                let names_rate = notice.limit_per_second.is_some();
                state.router.report_named_rate(key, names_rate);
            });
            if notice.is_leaving {
                self.relay.mark_leaving(target);
            }
        }
        self.relay.metrics.record_send(match &outcome {
            ForwardOutcome::Answered { .. } => "answered",
            ForwardOutcome::NotRun { .. } => "not_run",
            ForwardOutcome::Unknown { .. } => "unknown",
        });
        pending.finish(call_outcome(&outcome), report);
        outcome
    }

    /// Returns how to handle an answer that is overdue or lost.
    fn loss_policy(&self, service: &ServiceName, key: InstanceKey) -> LossPolicy {
        if self.request.route.idempotency != Idempotency::Idempotent {
            return LossPolicy::QueryFate {
                deadline: self.request.deadline,
            };
        }
        let run_time = self
            .relay
            .with_service(service, |state| state.router.run_time(key));
        let overdue = run_time.map_or(MIN_OVERDUE, |run_time| run_time * OVERDUE_RUN_TIMES);
        LossPolicy::Resend {
            overdue: overdue.max(MIN_OVERDUE),
        }
    }

    /// Decides between a resend and a final answer.
    fn next_step(
        &mut self,
        service: &ServiceName,
        outcome: ForwardOutcome,
        copy: Option<ForwardedRequest>,
    ) -> NextStep {
        let (resend, refusal) = match outcome {
            ForwardOutcome::Answered { head, body, .. } => {
                return NextStep::Answer(self.answered(head, body, copy));
            }
            ForwardOutcome::NotRun { refusal, at_target } => {
                self.target_sends += u32::from(at_target);
                let targets_left = self.tried.len() < MAX_TARGETS_TRIED;
                let allowed = !at_target || self.try_spend_resend(service);
                (targets_left && allowed, Some(refusal))
            }
            ForwardOutcome::Unknown { why } => {
                log::info!(
                    id = self.request.id.to_str().unwrap_or("unprintable"),
                    route = self.request.route.name.as_str(),
                    service = service.as_str(),
                    target_id:% = self.last_target.borrow().clone().unwrap_or_default(),
                    fingerprint:% = self.fingerprint,
                    is_call = self.request.is_call,
                    arrivals = self.target_sends,
                    held_ms = millis(self.request.arrived.elapsed()),
                    why:%;
                    "outcome unknown"
                );
                self.target_sends += 1;
                self.may_have_run = true;
                let idempotent = self.request.route.idempotency == Idempotency::Idempotent;
                (idempotent && self.try_spend_resend(service), None)
            }
        };
        match (copy, refusal) {
            (Some(copy), _) if resend && self.time_left() > MIN_TIME_LEFT => NextStep::Resend(copy),
            (_, Some(refusal)) => {
                let (outcome, res) = self.give_up(service, &refusal);
                NextStep::Answer(FinalAnswer::new(outcome, res))
            }
            (_, None) => NextStep::Answer(FinalAnswer::new(
                RequestOutcome::Unknown,
                status_only(StatusCode::BAD_GATEWAY),
            )),
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        let deadline = self.request.deadline;
        deadline.saturating_duration_since(Instant::now())
    }

    /// Spends one resend of the service's budget; `false` if the budget or the route's maximum
    /// number of sends is used up.
    pub(crate) fn try_spend_resend(&self, service: &ServiceName) -> bool {
        let slack = self.relay.resend_slack();
        let class = self.class();
        let now = Instant::now().into_std();
        self.target_sends < self.request.route.max_sends
            && self.relay.with_service(service, |state| {
                state.resend_budget.try_spend(class, slack, now)
            })
    }

    /// Returns the answer if no target accepted the request: a refusal, which states that the
    /// request did not run, unless an earlier send may have run.
    fn give_up(
        &self,
        service: &ServiceName,
        refusal: &Refusal,
    ) -> (RequestOutcome, Response<Payload>) {
        let now = Instant::now();
        log::info!(
            id = self.request.id.to_str().unwrap_or("unprintable"),
            route = self.request.route.name.as_str(),
            service = service.as_str(),
            class:% = self.class(),
            is_call = self.request.is_call,
            reason:% = refusal.reason,
            asked = self.tried.len(),
            arrivals = self.target_sends,
            may_have_run = self.may_have_run,
            held_ms = millis(now.saturating_duration_since(self.request.arrived)),
            left_ms = millis(self.request.deadline.saturating_duration_since(now)),
            retry_after_ms = millis(refusal.retry_after);
            "request refused"
        );
        if self.may_have_run {
            return (
                RequestOutcome::Unknown,
                status_only(StatusCode::BAD_GATEWAY),
            );
        }
        (
            RequestOutcome::Refused,
            service_unavailable(refusal.retry_after),
        )
    }

    fn class(&self) -> Class {
        self.request.class()
    }

    fn hop(&self, target: &Target, now: Instant) -> Hop {
        let attempt = u16::try_from(self.target_sends).unwrap_or(u16::MAX);
        let repeated = self.request.parent.is_some_and(|run| run.repeated);
        Hop {
            class: self.class(),
            worth: if self.request.is_call {
                CALL_WORTH
            } else {
                ROOT_WORTH
            },
            shed_hash: self.request.shed_hash,
            attempt: attempt.max(u16::from(repeated)),
            send_id: rand::random(),
            time_left: self.request.deadline.saturating_duration_since(now),
            target: InstanceId::clone(&target.id),
            route: self.request.route.name.clone(),
        }
    }
}

/// Converts to whole milliseconds, for logs.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
