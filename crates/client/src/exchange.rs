//! Sends one call, and sends it again as needed, until it has an outcome.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Response;
use hyper::body::Incoming;

use crate::body::Body;
use crate::call::Call;
use crate::client::Client;
use crate::error::Error;
use crate::reply::{Head, Reply};
use crate::retry::{NextStep, RetryState, SendOutcome};
use crate::tickets::HeldTicket;
use crate::transport::{self, HttpResult};

/// Ticket header value that requests a new ticket; the daemon issues one
/// without running the call.
const ISSUE_TICKET: &str = "issue";

/// A call in progress, from its first send to its reply.
pub(crate) struct Exchange<'c> {
    client: &'c Client,
    call: &'c Call,
    retry: RetryState,
    /// Sends of which bytes may have left, except those that only lacked a
    /// ticket.
    send_count: u16,
    /// True if the call only obtains a ticket and must not run.
    ticket_only: bool,
    /// Head of the last response that is not part of a reply.
    head: Option<Head>,
}

/// The result of one send.
struct SendResult {
    outcome: SendOutcome,
    response: Option<Response<Incoming>>,
    /// A ticket for the next send, if the daemon issued one.
    new_ticket: Option<HeldTicket>,
    /// The send was refused for lack of a ticket, and the response carries one.
    lacked_ticket: bool,
}

impl SendResult {
    fn without_response(outcome: SendOutcome) -> Self {
        SendResult {
            outcome,
            response: None,
            new_ticket: None,
            lacked_ticket: false,
        }
    }
}

impl<'c> Exchange<'c> {
    /// Starts a call.
    ///
    /// # Errors
    ///
    /// If a call with the same key is in progress, or the ticket that the call
    /// presents does not fit the store.
    pub(crate) fn start(client: &'c Client, call: &'c Call, now: Instant) -> Result<Self, Error> {
        client.begin_call(call)?;
        let cfg = client.cfg();
        let deadline = now + call.deadline.unwrap_or(cfg.deadline);
        let unresolved = client.held_ticket(call).is_some_and(|held| held.unresolved);
        let retry = RetryState::new(cfg, call.retry_mode(), unresolved, deadline);
        Ok(Exchange {
            client,
            call,
            retry,
            send_count: 0,
            ticket_only: false,
            head: None,
        })
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.retry.time_left(Instant::now())
    }

    /// Sends until the call has an outcome or may not be sent again.
    pub(crate) async fn run(&mut self) -> Result<Reply<Body>, Error> {
        loop {
            let result = self.send().await?;
            if result.lacked_ticket {
                self.retry.mark_ticket_required();
                self.hold_ticket(result.new_ticket)?;
                continue;
            }
            if let Some(reply) = self.process_result(result).await? {
                return Ok(reply);
            }
        }
    }

    pub(crate) fn into_head(mut self) -> Option<Head> {
        self.head.take()
    }

    /// Continues after an answer whose body could not be read to its end.
    pub(crate) async fn retry_lost_answer(&mut self, head: Head) -> Result<Reply<Body>, Error> {
        self.head = Some(head);
        let next = self
            .retry
            .next_step_after_lost_answer(rand::random(), Instant::now());
        match self.execute_step(next, None, None).await? {
            Some(reply) => Ok(reply),
            None => self.run().await,
        }
    }

    /// Obtains a ticket for the call unless one is held; returns whether one is
    /// held now.
    ///
    /// The call does not run, so a failed send may always be retried.
    pub(crate) async fn obtain_ticket(mut self) -> Result<bool, Error> {
        self.ticket_only = true;
        while self.client.held_ticket(self.call).is_none() {
            let result = self.send().await?;
            if result.lacked_ticket {
                self.hold_ticket(result.new_ticket)?;
            } else if self.process_result(result).await?.is_some() {
                break;
            }
        }
        Ok(self.client.held_ticket(self.call).is_some())
    }

    async fn process_result(&mut self, result: SendResult) -> Result<Option<Reply<Body>>, Error> {
        let next = self
            .retry
            .next_step(result.outcome, rand::random(), Instant::now());
        let answer = if next == NextStep::ReturnAnswer {
            result.response.map(answer)
        } else {
            self.store_head(result.response);
            None
        };
        self.execute_step(next, answer, result.new_ticket).await
    }

    fn store_head(&mut self, response: Option<Response<Incoming>>) {
        if let Some(response) = response {
            let (head, _) = response.into_parts();
            self.head = Some(Head {
                status: head.status,
                headers: head.headers,
            });
        }
    }

    /// Executes the decision on the last send; returns the reply if the call
    /// ends.
    async fn execute_step(
        &self,
        next: NextStep,
        answer: Option<Reply<Body>>,
        new_ticket: Option<HeldTicket>,
    ) -> Result<Option<Reply<Body>>, Error> {
        self.client
            .set_unresolved(self.call, self.retry.is_unresolved());
        match next {
            NextStep::ReturnAnswer => return Ok(answer),
            NextStep::ReportUnknown => return Ok(Some(Reply::Unknown)),
            NextStep::ReportNotRun(refusal) => {
                self.client.discard_ticket(self.call);
                return Ok(Some(Reply::NotRun { refusal }));
            }
            NextStep::Resend(wait) => tokio::time::sleep(wait).await,
            NextStep::ResendWithNewTicket(wait) => {
                self.client.discard_ticket(self.call);
                self.hold_ticket(new_ticket)?;
                tokio::time::sleep(wait).await;
            }
        }
        Ok(None)
    }

    fn hold_ticket(&self, ticket: Option<HeldTicket>) -> Result<(), Error> {
        match ticket {
            Some(held) => self.client.hold_ticket(self.call, held),
            None => Ok(()),
        }
    }

    /// Sends the call once, with its held ticket if there is one.
    async fn send(&mut self) -> Result<SendResult, Error> {
        let held = self.client.held_ticket(self.call);
        let entry = self.client.choose_entry(self.call, held.as_ref()).await?;
        let ticket = held.as_ref().map(|held| held.text.as_str());
        let time_left = self.time_left();
        let attempt = held.as_ref().map_or(0, |held| held.sends);
        let attempt = attempt.max(self.send_count);
        let sent_ticket = ticket.or(self.ticket_only.then_some(ISSUE_TICKET));
        let req = transport::build_request(self.call, entry, sent_ticket, attempt, time_left)?;
        self.client.record_send(self.call);
        match self.client.transport().send(req, time_left).await {
            HttpResult::Response(response) => {
                let result = self.read_response(response, ticket, entry);
                self.send_count += u16::from(!result.lacked_ticket);
                Ok(result)
            }
            HttpResult::NotSent => {
                self.client.undo_send(self.call);
                self.client.mark_entry_failed(entry);
                Ok(SendResult::without_response(SendOutcome::NotSent))
            }
            HttpResult::Lost => {
                self.send_count += 1;
                self.client.mark_entry_failed(entry);
                Ok(SendResult::without_response(SendOutcome::Unknown(
                    Duration::ZERO,
                )))
            }
        }
    }

    fn read_response(
        &self,
        response: Response<Incoming>,
        ticket: Option<&str>,
        entry: SocketAddr,
    ) -> SendResult {
        let outcome = transport::send_outcome(&response, ticket);
        let new_ticket = transport::issued_ticket(&response).map(|text| HeldTicket {
            text: text.into(),
            entry: Some(entry),
            unresolved: false,
            sends: 0,
        });
        let needs_ticket = self.call.key.is_some() && ticket.is_none();
        let refused = matches!(outcome, SendOutcome::NotRun(_));
        SendResult {
            outcome,
            lacked_ticket: needs_ticket && refused && new_ticket.is_some(),
            response: Some(response),
            new_ticket,
        }
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        self.client.end_call(self.call);
    }
}

fn answer(response: Response<Incoming>) -> Reply<Body> {
    let (head, incoming) = response.into_parts();
    Reply::Answered {
        status: head.status,
        headers: head.headers,
        body: Body::new(incoming),
    }
}
