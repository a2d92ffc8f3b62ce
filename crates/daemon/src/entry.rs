//! Requests of callers outside the fleet. Their class, worth and retries come from the
//! configuration, as context that they send is not trusted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{MemberStanding, View};
use http::StatusCode;
use model::{InstanceId, RefusalReason};
use policy::RetryBudget;
use ticket::{KeyHash, Ticket};
use wire::{header, parse};

use crate::call::{self, Call};
use crate::claim;
use crate::forward::{Destination, Forwarder, TicketHeader};
use crate::inbound::{self, InboundRequest};
use crate::listen::ListenerKind;
use crate::refusal;
use crate::reply::{self, Answer};
use crate::run;
use crate::serve;
use crate::state::DaemonState;

/// Maximum number of instances that are asked, one after another, for the ticket of a key.
const MAX_OWNERS: usize = 3;

/// Handles a request of a caller.
pub(crate) async fn serve(state: &Arc<DaemonState>, view: &View, req: InboundRequest) -> Answer {
    let call = match new_call(&req) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    // Only the issuer of its ticket knows whether a request that was sent before has run.
    let may_refuse = !refusal::may_be_resend(ListenerKind::Callers, &req.headers);
    let is_too_late = may_refuse && state.stops_before(call.deadline);
    let mut answer = match placement(state, &req) {
        Ok(Placement::Local) => run_here(state, call, req).await,
        Ok(_) if is_too_late => reply::not_run(run::LEAVING),
        Ok(Placement::Remote(destination)) => forward(state, call, destination, req).await,
        Ok(Placement::KeyOwner(key)) => forward_to_key_owner(state, view, call, key, req).await,
        Err(answer) => return answer,
    };
    answer.headers_mut().remove(header::RETRIES);
    let root = call.root.to_string();
    reply::put_text(answer.headers_mut(), &header::REQUEST_ID, &root);
    answer
}

/// Where a caller's request is handled.
enum Placement {
    /// At this daemon's target.
    Local,
    /// At another daemon.
    Remote(Destination),
    /// At the instance that owns its key, which issues a ticket.
    KeyOwner(KeyHash),
}

/// Determines where a request is handled.
///
/// A ticket goes to the instance that issued it. A call that still needs one goes to the
/// owner of its key, so that a caller which starts over usually gets the same ticket.
fn placement(state: &DaemonState, req: &InboundRequest) -> Result<Placement, Answer> {
    let identity = &state.settings.identity;
    let ticket = req.ticket()?;
    if req.operation().repeatable {
        claim::refuse_issue(ticket)?;
        let is_local = req.service().name == identity.service;
        return Ok(if is_local {
            Placement::Local
        } else {
            Placement::Remote(Destination::Any)
        });
    }
    let Some(text) = ticket.filter(|text| *text != claim::ISSUE_REQUEST) else {
        let (_, key) = claim::identify(req)?;
        return Ok(Placement::KeyOwner(key));
    };
    let ticket: Ticket = text.parse().map_err(|_| refusal::invalid_ticket())?;
    if *ticket.instance() == identity.id {
        return Ok(Placement::Local);
    }
    Ok(Placement::Remote(Destination::Named(
        ticket.instance().clone(),
    )))
}

async fn run_here(state: &Arc<DaemonState>, call: Call, req: InboundRequest) -> Answer {
    let mut answer = run::run(state, call, req).await;
    let own = state.settings.identity.id.as_str();
    reply::put_text(answer.headers_mut(), &header::INSTANCE, own);
    answer
}

async fn forward(
    state: &Arc<DaemonState>,
    call: Call,
    destination: Destination,
    mut req: InboundRequest,
) -> Answer {
    let mut budget = RetryBudget::new(call.retries);
    let ticket = TicketHeader::PassThrough;
    let forwarder = Forwarder {
        state,
        call,
        destination,
        ticket,
    };
    forwarder.send(&mut req, &mut budget).await
}

/// Requests a ticket from the owner of the key.
///
/// Nothing runs without a ticket, so the next owner may be asked if one is unreachable or
/// leaving.
async fn forward_to_key_owner(
    state: &Arc<DaemonState>,
    view: &View,
    call: Call,
    key: KeyHash,
    mut req: InboundRequest,
) -> Answer {
    let identity = &state.settings.identity;
    let mut asked: Vec<&InstanceId> = Vec::new();
    let mut budget = RetryBudget::new(call.retries);
    loop {
        let candidates = view.members.iter().filter(|m| {
            m.service == req.service().name
                && m.standing == MemberStanding::Live
                && m.region == identity.region
                && !asked.contains(&&m.id)
        });
        let Some(owner) = ticket::owner(key, candidates.map(|m| &m.id)) else {
            return reply::no_instance();
        };
        if *owner == identity.id {
            return run_here(state, call, req).await;
        }
        asked.push(owner);
        let forwarder = Forwarder {
            state,
            call,
            destination: Destination::Named(owner.clone()),
            ticket: TicketHeader::PassThrough,
        };
        let answer = forwarder.send(&mut req, &mut budget).await;
        let try_next_owner =
            serve::refusal_reason(&answer).is_some_and(RefusalReason::is_instance_unavailable);
        if !try_next_owner || asked.len() >= MAX_OWNERS {
            return answer;
        }
    }
}

fn new_call(req: &InboundRequest) -> Result<Call, Answer> {
    let operation = req.operation();
    if !operation.entry {
        return Err(reply::invalid(
            StatusCode::FORBIDDEN,
            "the operation is not open to callers",
        ));
    }
    let attempt = parse::attempt(&req.headers).map_err(|e| inbound::invalid_header(&e))?;
    let asked = parse::time_left(&req.headers).map_err(|e| inbound::invalid_header(&e))?;
    let allowed = Duration::from_millis(u64::from(operation.deadline_ms));
    let now = Instant::now();
    Ok(Call {
        root: call::new_request_id(),
        class: operation.class,
        worth: operation.worth,
        attempt: attempt.unwrap_or(0),
        arrived: now,
        deadline: now + asked.unwrap_or(allowed).min(allowed),
        retries: req.index.document().retry_budget,
    })
}
