//! Requests of callers outside the fleet: nothing they say about context is believed.

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
use crate::fate;
use crate::forward::{Destination, Forward, TicketUse};
use crate::inbound::{self, InboundRequest};
use crate::reply::{self, Answer};
use crate::run;
use crate::serve;
use crate::shell::Shell;

/// Owners of a key that are asked for its ticket, one after another.
const MAX_OWNERS: usize = 3;

/// Answers a caller.
pub(crate) async fn serve(shell: &Arc<Shell>, view: &View, req: InboundRequest) -> Answer {
    let call = match new_call(&req) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    let mut answer = match place(shell, &req) {
        Ok(Place::Here) => here(shell, call, req).await,
        Ok(Place::There(destination)) => there(shell, call, destination, req).await,
        Ok(Place::Owner(key)) => for_ticket(shell, view, call, key, req).await,
        Err(answer) => return answer,
    };
    answer.headers_mut().remove(header::RETRIES);
    let root = call.root.to_string();
    reply::put_text(answer.headers_mut(), &header::REQUEST_ID, &root);
    answer
}

/// Where a caller's request goes.
enum Place {
    /// To the own target.
    Here,
    /// To another daemon.
    There(Destination),
    /// To the owner of its key, which gives it a ticket.
    Owner(KeyHash),
}

/// A ticket goes to the instance that issued it. A call that still needs one goes to the
/// owner of its key, so that a caller who starts over is usually given the same ticket.
fn place(shell: &Shell, req: &InboundRequest) -> Result<Place, Answer> {
    let identity = &shell.settings.identity;
    let ticket = req.ticket()?;
    if req.operation().repeatable {
        claim::refuse_issue(ticket)?;
        let mine = req.service().name == identity.service;
        return Ok(if mine {
            Place::Here
        } else {
            Place::There(Destination::Any)
        });
    }
    let Some(text) = ticket.filter(|text| *text != claim::ISSUE) else {
        let (_, key) = claim::identify(req)?;
        return Ok(Place::Owner(key));
    };
    let ticket: Ticket = text.parse().map_err(|_| fate::not_a_ticket())?;
    if *ticket.instance() == identity.id {
        return Ok(Place::Here);
    }
    Ok(Place::There(Destination::Named(ticket.instance().clone())))
}

async fn here(shell: &Arc<Shell>, call: Call, req: InboundRequest) -> Answer {
    let mut answer = run::run(shell, call, req).await;
    let own = shell.settings.identity.id.as_str();
    reply::put_text(answer.headers_mut(), &header::INSTANCE, own);
    answer
}

async fn there(
    shell: &Arc<Shell>,
    call: Call,
    destination: Destination,
    mut req: InboundRequest,
) -> Answer {
    let mut budget = RetryBudget::new(call.retries);
    let ticket = TicketUse::Passed;
    let forward = Forward {
        shell,
        call,
        destination,
        ticket,
    };
    forward.send(&mut req, &mut budget).await
}

/// Asks the owner of the key for a ticket; without one nothing runs, so that the next
/// owner may be asked if the first can't be reached or leaves.
async fn for_ticket(
    shell: &Arc<Shell>,
    view: &View,
    call: Call,
    key: KeyHash,
    mut req: InboundRequest,
) -> Answer {
    let identity = &shell.settings.identity;
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
            return here(shell, call, req).await;
        }
        asked.push(owner);
        let forward = Forward {
            shell,
            call,
            destination: Destination::Named(owner.clone()),
            ticket: TicketUse::Passed,
        };
        let answer = forward.send(&mut req, &mut budget).await;
        let elsewhere =
            serve::refusal_reason(&answer).is_some_and(RefusalReason::is_instance_unavailable);
        if !elsewhere || asked.len() >= MAX_OWNERS {
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
