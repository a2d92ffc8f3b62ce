//! The answer that a request gets, and what happens if it may never end.

use std::rc::Rc;

use http::Response;
use http::response::Parts;
use model::ServiceName;
use routes::Idempotency;
use tokio::time::{Instant, timeout};

use crate::dispatch::{Dispatch, MAX_TARGETS_TRIED, MIN_TIME_LEFT, millis};
use crate::local_target::ForwardedRequest;
use crate::metrics::RequestOutcome;
use crate::payload::Payload;

/// The answer that a request gets.
pub(crate) struct FinalAnswer {
    pub(crate) outcome: RequestOutcome,
    pub(crate) res: Response<Payload>,
    /// Copy of the request, if another target could still answer it.
    pub(crate) copy: Option<ForwardedRequest>,
}

impl FinalAnswer {
    pub(crate) fn new(outcome: RequestOutcome, res: Response<Payload>) -> Self {
        FinalAnswer {
            outcome,
            res,
            copy: None,
        }
    }
}

impl Dispatch<'_> {
    /// Prepares the answer of a target for the caller. The copy of the request is kept if the route
    /// is not known for large answers without announced length.
    pub(crate) fn answered(
        &self,
        head: Parts,
        mut body: Payload,
        copy: Option<ForwardedRequest>,
    ) -> FinalAnswer {
        body.limit_time(&self.request.id, self.request.deadline, Instant::now());
        let route = &self.request.route.name;
        let is_known_large = self.relay.large_answer_routes.borrow().contains(route);
        if body.may_be_endless() && !is_known_large {
            let (relay, route) = (Rc::clone(self.relay), route.clone());
            body.on_whole(Box::new(move || {
                relay.large_answer_routes.borrow_mut().insert(route);
            }));
        }
        FinalAnswer {
            outcome: RequestOutcome::Answered,
            res: Response::from_parts(head, body),
            copy: copy.filter(|_| !is_known_large),
        }
    }

    /// Asks another target while the first answer, which may be endless, waits. If the other answer
    /// ends, the caller gets that one; otherwise it gets the first one, for which half of the time
    /// is left.
    pub(crate) async fn ask_another(
        &mut self,
        service: &ServiceName,
        first: (RequestOutcome, Response<Payload>),
        copy: ForwardedRequest,
    ) -> (RequestOutcome, Response<Payload>) {
        self.target_sends += 1;
        self.may_have_run = true;
        let left = self.time_left();
        let may_send = self.request.route.idempotency == Idempotency::Idempotent
            && self.tried.len() < MAX_TARGETS_TRIED
            && left > MIN_TIME_LEFT
            && self.try_spend_resend(service);
        if !may_send {
            return first;
        }
        let (first_key, first_target) = (
            self.tried.last().copied(),
            self.last_target.borrow().clone(),
        );
        let other = timeout(left / 2, self.send_until_final(service, copy)).await;
        let other = other.ok().filter(|other| {
            let is_failure = other.res.status().is_server_error();
            other.outcome == RequestOutcome::Answered && !is_failure
        });
        let is_faulty = other
            .as_ref()
            .is_some_and(|other| !other.res.body().may_be_endless());
        log::info!(
            id = self.request.id.to_str().unwrap_or("unprintable"),
            route = self.request.route.name.as_str(),
            target_id:% = first_target.unwrap_or_default(),
            other_target_id:% = self.last_target.borrow().clone().unwrap_or_default(),
            other_answered = other.is_some(),
            other_ended = is_faulty,
            held_ms = millis(self.request.arrived.elapsed());
            "another target asked in place of an answer that may be endless"
        );
        if let (true, Some(key)) = (is_faulty, first_key) {
            let now = Instant::now().into_std();
            self.relay.with_service(service, |state| {
                state.router.record_faulty_answer(key, now);
            });
        }
        other.map_or(first, |other| (other.outcome, other.res))
    }
}
