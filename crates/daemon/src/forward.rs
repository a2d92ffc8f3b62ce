//! A call to another daemon: which instance, how many tries, and what the answer means.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use model::{InstanceId, Outcome, RefusalReason, ServiceName};
use policy::{CallOutcome, InstanceKey, Load, RetryBudget};
use tokio_util::sync::CancellationToken;
use wire::{header, parse};

use crate::body::{AnswerBody, CallBody};
use crate::call::Call;
use crate::claim::locked;
use crate::fate;
use crate::inbound::{self, InboundRequest};
use crate::reply::{self, Answer, UnknownReason};
use crate::route::Hop;
use crate::serve;
use crate::shell::Shell;
use crate::upstream::{self, SendError};

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    /// To whichever instance the router chooses.
    Any,
    /// To the instance that issued the call's ticket.
    Named(InstanceId),
}

/// What the ticket header of a call holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TicketUse {
    /// What the caller sent, if anything.
    Passed,
    /// A number of this daemon's own, fresh for each try.
    Numbered,
}

/// One call to another service, over all its tries.
pub(crate) struct Forward<'a> {
    pub(crate) shell: &'a Arc<Shell>,
    pub(crate) call: Call,
    pub(crate) destination: Destination,
    pub(crate) ticket: TicketUse,
}

/// Tries of a daemon whose retries are not bounded over the chain.
struct UnboundedRetries {
    budget: RetryBudget,
    /// Time after which a try is given up.
    try_time: Duration,
}

impl UnboundedRetries {
    const TRIES: u16 = 3;

    fn new(call: &Call, now: Instant) -> Self {
        UnboundedRetries {
            budget: RetryBudget::new(Self::TRIES - 1),
            try_time: call.time_left(now) / u32::from(Self::TRIES),
        }
    }
}

/// How one try ended.
enum Tried {
    /// The answer's head is here, whatever it says.
    Head(Response<Incoming>),
    /// The instance refused, and nothing ran.
    Refused(Response<Incoming>, RefusalReason),
    /// The fate of the call at the instance is unknown.
    Unknown(Option<Response<Incoming>>),
    /// No byte left.
    NotSent,
    /// The deadline passed after bytes had left.
    Late,
    /// The caller went away after bytes had left.
    Abandoned,
}

/// Gives the router its feedback when the try has ended, also if it was dropped half-way.
struct Open {
    shell: Arc<Shell>,
    service: ServiceName,
    hop: Hop,
    sent_at: Instant,
    end: CallOutcome,
    load: Option<Load>,
    latency: Option<Duration>,
}

impl Drop for Open {
    fn drop(&mut self) {
        let now = Instant::now();
        let latency = self
            .latency
            .unwrap_or(now.saturating_duration_since(self.sent_at));
        self.shell
            .routes
            .finish(&self.service, &self.hop, self.end, latency, self.load, now);
    }
}

impl Forward<'_> {
    /// Sends the call, again where that is allowed, and returns the answer.
    ///
    /// `budget` holds the retries of this call and everything below it.
    pub(crate) async fn send(&self, req: &mut InboundRequest, budget: &mut RetryBudget) -> Answer {
        let sent_at = Instant::now();
        let answer = self.send_all(req, budget).await;
        if serve::outcome(&answer) == Some(Outcome::Answered) {
            let (service, operation) = (&req.service().name, req.operation());
            let routes = &self.shell.routes;
            routes.note_answered(service, operation, sent_at.elapsed());
        }
        answer
    }

    async fn send_all(&self, req: &mut InboundRequest, budget: &mut RetryBudget) -> Answer {
        if self.call.time_left(Instant::now()).is_zero() {
            return reply::deadline_passed();
        }
        let service = req.service().name.clone();
        let mut tried: Vec<InstanceKey> = Vec::new();
        let mut unbounded = UnboundedRetries::new(&self.call, Instant::now());
        let mut may_have_run = false;
        self.shell.routes.first_try(&service, Instant::now());
        let mut hop = match self.choose(&service, &tried) {
            Ok(hop) => hop,
            Err(answer) => {
                self.shell.note_taken(&self.call, req.operation, false);
                return answer;
            }
        };
        loop {
            tried.extend(hop.key);
            let Some(body) = req.body.take() else {
                return reply::unknown(UnknownReason::Broken, None);
            };
            let loan = budget.lend(1);
            let (outcome, mut open) = self
                .try_once(req, body, hop, &service, loan.amount, unbounded.try_time)
                .await;
            if let Some(unspent) = unspent(&outcome) {
                budget.settle(loan, unspent);
            }
            open.end = match outcome {
                Tried::Late if !self.is_overdue(req, &open) => CallOutcome::Cancelled,
                _ => call_end(&outcome),
            };
            if let Some(taken) = taken(&outcome) {
                self.shell.note_taken(&self.call, req.operation, taken);
            }
            let again = if self.shell.settings.parts.retry_bounds {
                self.may_retry(req, &outcome, budget)
            } else {
                self.may_try_on(req, &outcome)
            };
            if again && let Ok(next) = self.choose(&service, &tried) {
                let taken = if self.shell.settings.parts.retry_bounds {
                    self.take_retry(&outcome, &open, &service, budget)
                } else {
                    unbounded.budget.spend()
                };
                if taken {
                    self.shell.metrics.retry(self.call.class);
                    may_have_run |= matches!(outcome, Tried::Unknown(_));
                    hop = next;
                    continue;
                }
                self.give_back(&service, &next);
            }
            let not_run = matches!(outcome, Tried::Refused(..) | Tried::NotSent);
            if may_have_run && not_run {
                return reply::unknown(UnknownReason::Broken, None);
            }
            return self.answer(outcome, open, req.connection.disconnected().clone());
        }
    }

    fn is_overdue(&self, req: &InboundRequest, open: &Open) -> bool {
        let waited = open.sent_at.elapsed();
        let service = &req.service().name;
        self.shell
            .routes
            .is_overdue(service, req.operation(), waited)
    }

    fn choose(&self, service: &ServiceName, tried: &[InstanceKey]) -> Result<Hop, Answer> {
        match &self.destination {
            Destination::Any => self
                .shell
                .routes
                .pick(service, self.call.class, tried, Instant::now())
                .map_err(reply::not_run),
            Destination::Named(id) => self
                .shell
                .routes
                .named(service, id, Instant::now())
                .ok_or_else(reply::no_instance),
        }
    }

    async fn try_once(
        &self,
        req: &InboundRequest,
        body: CallBody,
        hop: Hop,
        service: &ServiceName,
        lent: u16,
        unbounded_time: Duration,
    ) -> (Tried, Open) {
        let mesh_req = self.mesh_request(req, body, &hop, lent);
        let mut open = Open {
            shell: Arc::clone(self.shell),
            service: service.clone(),
            hop,
            sent_at: Instant::now(),
            end: CallOutcome::Cancelled,
            load: None,
            latency: None,
        };
        let Some(mesh_req) = mesh_req else {
            return (Tried::NotSent, open);
        };
        let parts = self.shell.settings.parts;
        let deadline = if parts.retry_bounds {
            self.call.deadline
        } else {
            self.call.deadline.min(open.sent_at + unbounded_time)
        };
        let sent = tokio::select! {
            biased;
            sent = self.shell.mesh.send(mesh_req) => sent,
            () = req.connection.disconnected().cancelled(), if parts.cancellation => return (Tried::Abandoned, open),
            () = tokio::time::sleep_until(deadline.into()) => return (Tried::Late, open),
        };
        open.latency = Some(open.sent_at.elapsed());
        let outcome = match sent {
            Ok(resp) => {
                open.load = load(&resp).filter(|_| parts.edge_shedding);
                read_outcome(resp)
            }
            Err(SendError::NotSent) => Tried::NotSent,
            Err(SendError::MaybeSent) => Tried::Unknown(None),
        };
        (outcome, open)
    }

    fn mesh_request(
        &self,
        req: &InboundRequest,
        body: CallBody,
        hop: &Hop,
        lent: u16,
    ) -> Option<Request<CallBody>> {
        let mut mesh_req = Request::new(body);
        *mesh_req.method_mut() = req.method.clone();
        *mesh_req.uri_mut() = upstream::uri(hop.mesh, &req.full_path)?;
        *mesh_req.headers_mut() = req.end_to_end_headers();
        let headers = mesh_req.headers_mut();
        self.call.context(lent, Instant::now()).write(headers);
        match self.ticket {
            TicketUse::Passed => {
                if !req.operation().repeatable
                    && let Ok(Some(ticket)) = req.ticket()
                {
                    reply::put_text(headers, &header::TICKET, ticket);
                }
            }
            TicketUse::Numbered => {
                let number = locked(&self.shell.numbers).next_number();
                reply::put_text(headers, &header::TICKET, &number.to_string());
            }
        }
        Some(mesh_req)
    }

    /// Only the hop next to a failure tries again; an overloaded instance is left alone.
    fn may_retry(&self, req: &InboundRequest, outcome: &Tried, budget: &RetryBudget) -> bool {
        let harmless = match outcome {
            Tried::NotSent => true,
            Tried::Refused(_, reason) => reason.is_instance_unavailable(),
            Tried::Unknown(_) => req.operation().repeatable,
            Tried::Head(_) | Tried::Late | Tried::Abandoned => false,
        };
        harmless
            && req.body.is_replayable()
            && self.destination == Destination::Any
            && !self.call.time_left(Instant::now()).is_zero()
            && budget.left() > 0
    }

    /// Takes a retry from the edge's share and from the budget.
    fn take_retry(
        &self,
        outcome: &Tried,
        open: &Open,
        service: &ServiceName,
        budget: &mut RetryBudget,
    ) -> bool {
        let now = Instant::now();
        let routes = &self.shell.routes;
        // An instance that comes or goes says so before it does any work.
        let free = match outcome {
            Tried::Refused(_, RefusalReason::Leaving | RefusalReason::NotReady) => true,
            Tried::NotSent => routes.is_news(service, &open.hop, open.sent_at),
            _ => false,
        };
        let allowed = if free {
            routes.borrow_retry(service, now)
        } else {
            routes.allow_retry(service, now)
        };
        allowed && budget.spend()
    }

    /// What a plain pass-through does: it tries again whatever failed.
    fn may_try_on(&self, req: &InboundRequest, outcome: &Tried) -> bool {
        let failed = !matches!(outcome, Tried::Head(_) | Tried::Abandoned);
        failed
            && req.body.is_replayable()
            && self.destination == Destination::Any
            && !self.call.time_left(Instant::now()).is_zero()
    }

    /// Releases an instance that was chosen and is not called after all.
    fn give_back(&self, service: &ServiceName, hop: &Hop) {
        let (end, latency) = (CallOutcome::Cancelled, Duration::ZERO);
        self.shell
            .routes
            .finish(service, hop, end, latency, None, Instant::now());
    }

    fn answer(&self, outcome: Tried, open: Open, gone: CancellationToken) -> Answer {
        match outcome {
            Tried::Head(resp) | Tried::Refused(resp, _) | Tried::Unknown(Some(resp)) => {
                self.relay(resp, open, gone)
            }
            Tried::Late => reply::unknown(UnknownReason::Deadline, None),
            Tried::Unknown(None) | Tried::Abandoned => reply::unknown(UnknownReason::Broken, None),
            Tried::NotSent => reply::no_instance(),
        }
    }

    fn relay(&self, resp: Response<Incoming>, open: Open, gone: CancellationToken) -> Answer {
        let (parts, incoming) = resp.into_parts();
        let length = inbound::content_length(&parts.headers).ok().flatten();
        let mut headers = inbound::end_to_end(&parts.headers);
        for name in [
            header::OUTCOME,
            header::REASON,
            header::TICKET,
            header::INSTANCE,
        ] {
            if let Some(value) = parts.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        let deadline = self.call.deadline;
        let on_end = Box::new(move |whole: bool| {
            let mut ended = open;
            if !whole && ended.end == CallOutcome::Answered {
                ended.end = broken_end(&gone, deadline);
            }
        });
        let body = AnswerBody::streamed(incoming, length, deadline, on_end);
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = headers;
        // The instance that was asked has told its own refusals from the issuer's.
        fate::certain(answer)
    }
}

fn read_outcome(resp: Response<Incoming>) -> Tried {
    let outcome = parse::text(resp.headers(), &header::OUTCOME).ok().flatten();
    match outcome.and_then(Outcome::parse) {
        Some(Outcome::Answered) => Tried::Head(resp),
        Some(Outcome::NotRun) => {
            let reason = reason(&resp);
            Tried::Refused(resp, reason)
        }
        // Whoever answers without an outcome is no daemon of ours.
        Some(Outcome::Unknown) | None => Tried::Unknown(outcome.is_some().then_some(resp)),
    }
}

fn reason(resp: &Response<Incoming>) -> RefusalReason {
    let text = parse::text(resp.headers(), &header::REASON).ok().flatten();
    text.and_then(RefusalReason::parse)
        .unwrap_or(RefusalReason::Invalid)
}

fn load(resp: &Response<Incoming>) -> Option<Load> {
    let text = parse::text(resp.headers(), &header::LOAD).ok().flatten()?;
    text.parse().ok()
}

/// Retries that came back with the answer; `None` if nothing came back.
fn unspent(outcome: &Tried) -> Option<u16> {
    match outcome {
        Tried::Head(resp) | Tried::Unknown(Some(resp)) => Some(
            parse::number(resp.headers(), &header::RETRIES)
                .ok()
                .flatten()
                .unwrap_or(0),
        ),
        // Nothing ran, and so nothing was spent below.
        Tried::Refused(..) | Tried::NotSent => Some(u16::MAX),
        Tried::Unknown(None) | Tried::Late | Tried::Abandoned => None,
    }
}

/// Whose doing it is that an answer was not carried to its end.
fn broken_end(gone: &CancellationToken, deadline: Instant) -> CallOutcome {
    if gone.is_cancelled() || Instant::now() >= deadline {
        CallOutcome::Cancelled
    } else {
        CallOutcome::Unknown
    }
}

/// Whether the callee took the call; `None` if the end says nothing about its load.
fn taken(outcome: &Tried) -> Option<bool> {
    match outcome {
        Tried::Head(_) => Some(true),
        Tried::Refused(_, reason) => reason.is_overload().then_some(false),
        Tried::Late => Some(false),
        Tried::Unknown(_) | Tried::NotSent | Tried::Abandoned => None,
    }
}

fn call_end(outcome: &Tried) -> CallOutcome {
    match outcome {
        Tried::Head(_) => CallOutcome::Answered,
        Tried::Refused(_, reason) => CallOutcome::NotRun(*reason),
        Tried::NotSent => CallOutcome::NotRun(RefusalReason::NoInstance),
        Tried::Unknown(_) => CallOutcome::Unknown,
        Tried::Late => CallOutcome::TimedOut,
        Tried::Abandoned => CallOutcome::Cancelled,
    }
}
