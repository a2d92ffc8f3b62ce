//! One request on its way to one target after the other.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use model::{Class, InstanceId, Refusal, RefusalReason, ServiceName};
use policy::{CallOutcome, InstanceKey, Pick, WindowFull};
use routes::{Idempotency, Target};
use tokio::time::Instant;
use wire::Hop;

use crate::beside::{self, Ended, Forward};
use crate::guards::UnderWay;
use crate::mesh::{self, IfLost};
use crate::metrics::RequestOutcome;
use crate::origin_request::OriginRequest;
use crate::payload::Payload;
use crate::relay::Relay;
use crate::responses::{service_unavailable, status_only};
use crate::word::{self, Word};

/// Time after which to ask again where no target of the service is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Part of the target latency after which a request that was shed is to come back.
const SHED_RETRY_PART: f64 = 0.33;
/// Least and longest time after which it is to come back.
const MIN_SHED_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_SHED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Targets that are asked for one request before it is refused.
const MAX_ROUNDS: usize = 4;
/// Time that has to be left for another send.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(5);
/// Mean runs of the target after which an answer is overdue: some wait for a slot besides.
const OVERDUE_RUNS: u32 = 4;
/// Least time after which one is: a busy daemon may fall behind that far.
const LEAST_OVERDUE: Duration = Duration::from_millis(150);
/// Rank of a call within its class, over that of a request that has not begun: what its run
/// has cost so far is lost with it.
const CALL_WORTH: u32 = 1_000;
/// Rank of a request that has not begun.
const ROOT_WORTH: u32 = 1;

/// One request on its way to one target after the other.
pub(crate) struct Sending<'a> {
    relay: &'a Rc<Relay>,
    request: OriginRequest,
    /// Targets that have been asked.
    asked: Vec<InstanceKey>,
    /// Sends that reached a target, or may have.
    arrivals: u32,
    /// The target that was asked last.
    asked_last: &'a RefCell<Option<InstanceId>>,
    /// True after a send of which it is not known whether it ran.
    may_have_run: bool,
}

/// What follows from the end of one send.
enum Next {
    Answer(RequestOutcome, Response<Payload>),
    Ask(Forward),
}

impl<'a> Sending<'a> {
    pub(crate) fn new(
        relay: &'a Rc<Relay>,
        request: OriginRequest,
        asked_last: &'a RefCell<Option<InstanceId>>,
    ) -> Self {
        Sending {
            relay,
            request,
            asked: Vec::new(),
            arrivals: 0,
            asked_last,
            may_have_run: false,
        }
    }

    /// Sends it until it has an answer.
    pub(crate) async fn run(mut self, mut forward: Forward) -> (RequestOutcome, Response<Payload>) {
        let Some(service) = self.relay.next_share(&self.request.route) else {
            return (
                RequestOutcome::Refused,
                service_unavailable(NO_TARGET_RETRY_AFTER),
            );
        };
        let now = Instant::now().into_std();
        self.relay.with_service(&service, |state| {
            if self.request.parent.is_some_and(|run| run.repeated) {
                state.resends.record_resend(now);
            } else {
                state.resends.record_first_send(now);
            }
        });
        let _under_way = match self.begin(&service) {
            Ok(under_way) => under_way,
            Err(short) => return (RequestOutcome::Shed, self.shed(&short)),
        };
        loop {
            let (key, target) = match self.pick(&service) {
                Ok(picked) => picked,
                Err(refusal) => return self.give_up(&service, &refusal),
            };
            let spare = forward.copy();
            let ended = self.send(&service, key, &target, forward).await;
            match self.judge(&service, ended, spare) {
                Next::Answer(outcome, res) => return (outcome, res),
                Next::Ask(again) => forward = again,
            }
        }
    }

    /// Decides whether a root request may begin; a call of a run has begun already.
    fn begin(&self, service: &ServiceName) -> Result<Option<UnderWay>, WindowFull> {
        if self.request.is_call {
            return Ok(None);
        }
        let class = self.class();
        let mut services = vec![service.clone()];
        let leads = self.relay.leads.borrow();
        let beyond = leads.downstream_services(&self.request.route.name).iter();
        services.extend(beyond.filter(|beyond| *beyond != service).cloned());
        drop(leads);
        let now = Instant::now().into_std();
        let pressures = self.relay.pressures.borrow();
        self.relay.windows.borrow_mut().admit(
            class,
            self.request.came_back,
            services.iter(),
            &pressures,
            now,
        )?;
        drop(pressures);
        Ok(Some(UnderWay::new(self.relay, class, services)))
    }

    /// Turns a request away before it has begun.
    fn shed(&self, short: &WindowFull) -> Response<Payload> {
        let retry_after = self.retry_after();
        log::info!(
            id = self.request.id.to_str().unwrap_or("unprintable"),
            route = self.request.route.name.as_str(),
            class:% = self.class(),
            short_of = short.service.as_str(),
            pressure_thousandths:% = short.pressure,
            pressure_age_ms = millis(short.age),
            under_way = short.in_flight,
            window = short.window,
            came_back = self.request.came_back,
            retry_after_ms = millis(retry_after);
            "request shed"
        );
        service_unavailable(retry_after)
    }

    /// Time after which a request that was shed is to come back: soon enough to be answered
    /// within its target latency, spread so that not all come at once.
    fn retry_after(&self) -> Duration {
        let spread =
            0.5 + f64::from(u8::try_from(self.request.shed_hash & 0xff).unwrap_or(0)) / 255.0;
        let aim = self.request.route.target_latency.mul_f64(SHED_RETRY_PART);
        aim.mul_f64(spread)
            .clamp(MIN_SHED_RETRY_AFTER, MAX_SHED_RETRY_AFTER)
    }

    fn pick(&self, service: &ServiceName) -> Result<(InstanceKey, Target), Refusal> {
        let class = self.class();
        let now = Instant::now().into_std();
        let (key, id) = self.relay.with_service(service, |state| {
            match state.router.pick(class, &self.asked, now) {
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
            .ok_or_else(|| self.vanished(service, key))
    }

    /// The refusal where the router knows a target that is no longer listed.
    fn vanished(&self, service: &ServiceName, key: InstanceKey) -> Refusal {
        let now = Instant::now().into_std();
        let end = CallOutcome::NotRun(RefusalReason::Leaving);
        self.relay.with_service(service, |state| {
            state.router.finish(key, end, Duration::ZERO, None, now);
        });
        Refusal {
            reason: RefusalReason::NoInstance,
            retry_after: NO_TARGET_RETRY_AFTER,
        }
    }

    async fn send(
        &mut self,
        service: &ServiceName,
        key: InstanceKey,
        target: &Target,
        forward: Forward,
    ) -> Ended {
        self.asked.push(key);
        self.asked_last.replace(Some(target.id.clone()));
        let began = Instant::now();
        let mut call = Call {
            relay: self.relay,
            service,
            key,
            began,
            open: true,
        };
        let hop = self.hop(target, began);
        let (ended, word) = if target.address == self.relay.cfg.target {
            let ended = beside::run(self.relay, hop, forward).await;
            let word = word::hear_own(self.relay, &self.request.route.name);
            (ended, Some(word))
        } else {
            let lost = self.if_lost(service, key);
            mesh::send(self.relay, target, &hop, lost, forward).await
        };
        if let Some(word) = &word {
            word::note(self.relay, service, &target.id, word);
        }
        self.relay.metrics.record_send(match &ended {
            Ended::Answered { .. } => "answered",
            Ended::NotRun { .. } => "not_run",
            Ended::Unknown { .. } => "unknown",
        });
        call.finish(call_end(&ended), word);
        ended
    }

    fn if_lost(&self, service: &ServiceName, key: InstanceKey) -> IfLost {
        if self.request.route.idempotency != Idempotency::Idempotent {
            return IfLost::AskFate {
                deadline: self.request.deadline,
            };
        }
        let run = self
            .relay
            .with_service(service, |state| state.router.run_time(key));
        let overdue = run.map_or(LEAST_OVERDUE, |run| run * OVERDUE_RUNS);
        IfLost::SendAgain {
            overdue: overdue.max(LEAST_OVERDUE),
        }
    }

    fn judge(&mut self, service: &ServiceName, ended: Ended, spare: Option<Forward>) -> Next {
        let (again, refusal) = match ended {
            Ended::Answered { head, body } => {
                return Next::Answer(RequestOutcome::Answered, Response::from_parts(head, body));
            }
            Ended::NotRun { refusal, at_target } => {
                self.arrivals += u32::from(at_target);
                let rounds_left = self.asked.len() < MAX_ROUNDS;
                let allowed = !at_target || self.may_send_further(service);
                (rounds_left && allowed, Some(refusal))
            }
            Ended::Unknown { why } => {
                log::info!(
                    id = self.request.id.to_str().unwrap_or("unprintable"),
                    route = self.request.route.name.as_str(),
                    service = service.as_str(),
                    target_id:% = self.asked_last.borrow().clone().unwrap_or_default(),
                    is_call = self.request.is_call,
                    arrivals = self.arrivals,
                    held_ms = millis(self.request.arrived.elapsed()),
                    why:%;
                    "outcome unknown"
                );
                self.arrivals += 1;
                self.may_have_run = true;
                let idempotent = self.request.route.idempotency == Idempotency::Idempotent;
                (idempotent && self.may_send_further(service), None)
            }
        };
        let left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        match (spare, refusal) {
            (Some(spare), _) if again && left > LEAST_TIME_LEFT => Next::Ask(spare),
            (_, Some(refusal)) => {
                let (outcome, res) = self.give_up(service, &refusal);
                Next::Answer(outcome, res)
            }
            (_, None) => Next::Answer(
                RequestOutcome::Unknown,
                status_only(StatusCode::BAD_GATEWAY),
            ),
        }
    }

    /// True if the request may reach one more target.
    fn may_send_further(&self, service: &ServiceName) -> bool {
        let slack = self.relay.resend_slack();
        let class = self.class();
        let now = Instant::now().into_std();
        self.arrivals < self.request.route.max_sends
            && self
                .relay
                .with_service(service, |state| state.resends.try_spend(class, slack, now))
    }

    /// The answer where no further target takes the request: that it did not run, unless a
    /// send before may have run.
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
            asked = self.asked.len(),
            arrivals = self.arrivals,
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
        let attempt = u16::try_from(self.arrivals).unwrap_or(u16::MAX);
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

/// One call that the router counts until its end is told.
struct Call<'a> {
    relay: &'a Relay,
    service: &'a ServiceName,
    key: InstanceKey,
    began: Instant,
    open: bool,
}

impl Call<'_> {
    fn finish(&mut self, end: CallOutcome, word: Option<Word>) {
        self.open = false;
        let now = Instant::now();
        let latency = now.saturating_duration_since(self.began);
        self.relay.with_service(self.service, |state| {
            if let Some(word) = word {
                state.router.report_run_time(self.key, word.run_time);
            }
            let load = word.and_then(|word| word.load);
            state
                .router
                .finish(self.key, end, latency, load, now.into_std());
            state.log_trouble(self.service, self.key, now);
        });
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if self.open {
            self.finish(CallOutcome::Cancelled, None);
        }
    }
}

fn call_end(ended: &Ended) -> CallOutcome {
    match ended {
        Ended::Answered { .. } => CallOutcome::Answered,
        Ended::NotRun {
            at_target: true, ..
        } => CallOutcome::TargetRefused,
        Ended::NotRun { refusal, .. } => CallOutcome::NotRun(refusal.reason),
        Ended::Unknown { .. } => CallOutcome::Unknown,
    }
}

/// Whole milliseconds, for logs.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
