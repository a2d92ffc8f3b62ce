//! The sends of one call, until an answer's head has come or none will.

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
use crate::tickets::Held;
use crate::transport::{self, Sent};

/// What is sent as the ticket to be given one; a daemon runs nothing then.
const ISSUE: &str = "issue";

/// One call on its way.
pub(crate) struct Exchange<'c> {
    client: &'c Client,
    call: &'c Call,
    retry: RetryState,
    /// Sends of which bytes may have left, but for those that only lacked a ticket.
    sent: u16,
    /// True if nothing but a ticket is asked for.
    asks: bool,
    /// Head of the last response that no reply carries.
    head: Option<Head>,
}

/// What one send came to.
struct Came {
    verdict: SendOutcome,
    response: Option<Response<Incoming>>,
    /// A ticket for the next send, if the daemon handed one out.
    ticket: Option<Held>,
    /// The send lacked a ticket, which came with the response.
    lacked_ticket: bool,
}

impl Came {
    fn without_response(verdict: SendOutcome) -> Self {
        Came {
            verdict,
            response: None,
            ticket: None,
            lacked_ticket: false,
        }
    }
}

impl<'c> Exchange<'c> {
    /// Starts a call, unless one with the same key is on its way.
    pub(crate) fn start(client: &'c Client, call: &'c Call, now: Instant) -> Result<Self, Error> {
        client.begin(call)?;
        let cfg = client.cfg();
        let deadline = now + call.deadline.unwrap_or(cfg.deadline);
        let open = client.held(call).is_some_and(|held| held.open);
        let retry = RetryState::new(cfg, call.retry_mode(), open, deadline);
        Ok(Exchange {
            client,
            call,
            retry,
            sent: 0,
            asks: false,
            head: None,
        })
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.retry.time_left(Instant::now())
    }

    /// Sends until the call is settled or may not be sent again.
    pub(crate) async fn run(&mut self) -> Result<Reply<Body>, Error> {
        loop {
            let came = self.send().await?;
            if came.lacked_ticket {
                self.retry.mark_ticket_required();
                self.hold(came.ticket)?;
                continue;
            }
            if let Some(reply) = self.settle(came).await? {
                return Ok(reply);
            }
        }
    }

    pub(crate) fn into_head(mut self) -> Option<Head> {
        self.head.take()
    }

    /// Goes on after an answer whose body broke off.
    pub(crate) async fn answer_lost(&mut self, head: Head) -> Result<Reply<Body>, Error> {
        self.head = Some(head);
        let next = self
            .retry
            .next_step_after_lost_answer(rand::random(), Instant::now());
        match self.follow(next, None, None).await? {
            Some(reply) => Ok(reply),
            None => self.run().await,
        }
    }

    /// Holds a ticket for the call, and tells whether one is held.
    ///
    /// Nothing runs, so each failure may be followed by another try.
    pub(crate) async fn obtain_ticket(mut self) -> Result<bool, Error> {
        self.asks = true;
        while self.client.held(self.call).is_none() {
            let came = self.send().await?;
            if came.lacked_ticket {
                self.hold(came.ticket)?;
            } else if self.settle(came).await?.is_some() {
                break;
            }
        }
        Ok(self.client.held(self.call).is_some())
    }

    async fn settle(&mut self, came: Came) -> Result<Option<Reply<Body>>, Error> {
        let next = self
            .retry
            .next_step(came.verdict, rand::random(), Instant::now());
        let answer = if next == NextStep::ReturnAnswer {
            came.response.map(answer)
        } else {
            self.keep_head(came.response);
            None
        };
        self.follow(next, answer, came.ticket).await
    }

    fn keep_head(&mut self, response: Option<Response<Incoming>>) {
        if let Some(response) = response {
            let (head, _) = response.into_parts();
            self.head = Some(Head {
                status: head.status,
                headers: head.headers,
            });
        }
    }

    /// Does what the plan says; returns the reply if the call ends.
    async fn follow(
        &self,
        next: NextStep,
        answer: Option<Reply<Body>>,
        ticket: Option<Held>,
    ) -> Result<Option<Reply<Body>>, Error> {
        self.client.set_open(self.call, self.retry.is_unresolved());
        match next {
            NextStep::ReturnAnswer => return Ok(answer),
            NextStep::ReportUnknown => return Ok(Some(Reply::Unknown)),
            NextStep::ReportNotRun(refusal) => {
                self.client.drop_unused(self.call);
                return Ok(Some(Reply::NotRun { refusal }));
            }
            NextStep::Resend(wait) => tokio::time::sleep(wait).await,
            NextStep::ResendWithNewTicket(wait) => {
                self.client.drop_unused(self.call);
                self.hold(ticket)?;
                tokio::time::sleep(wait).await;
            }
        }
        Ok(None)
    }

    fn hold(&self, ticket: Option<Held>) -> Result<(), Error> {
        match ticket {
            Some(held) => self.client.hold(self.call, held),
            None => Ok(()),
        }
    }

    /// Sends once, with the ticket that is held, if any.
    async fn send(&mut self) -> Result<Came, Error> {
        let held = self.client.held(self.call);
        let entry = self.client.entry(self.call, held.as_ref()).await?;
        let ticket = held.as_ref().map(|held| held.text.as_str());
        let time_left = self.time_left();
        let attempt = held.as_ref().map_or(0, |held| held.sends);
        let attempt = attempt.max(self.sent);
        let sent_ticket = ticket.or(self.asks.then_some(ISSUE));
        let req = transport::request(self.call, entry, sent_ticket, attempt, time_left)?;
        self.client.send_begins(self.call);
        match self.client.transport().send(req, time_left).await {
            Sent::Response(response) => {
                let came = self.came(response, ticket, entry);
                self.sent += u16::from(!came.lacked_ticket);
                Ok(came)
            }
            Sent::Unsent => {
                self.client.send_undone(self.call);
                self.client.entry_failed(entry);
                Ok(Came::without_response(SendOutcome::NotSent))
            }
            Sent::Lost => {
                self.sent += 1;
                self.client.entry_failed(entry);
                Ok(Came::without_response(SendOutcome::Unknown(Duration::ZERO)))
            }
        }
    }

    fn came(&self, response: Response<Incoming>, ticket: Option<&str>, entry: SocketAddr) -> Came {
        let verdict = transport::verdict(&response, ticket);
        let next = transport::ticket(&response).map(|text| Held {
            text: text.into(),
            entry: Some(entry),
            open: false,
            sends: 0,
        });
        let needs_ticket = self.call.key.is_some() && ticket.is_none();
        let refused = matches!(verdict, SendOutcome::NotRun(_));
        Came {
            verdict,
            lacked_ticket: needs_ticket && refused && next.is_some(),
            response: Some(response),
            ticket: next,
        }
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        self.client.end(self.call);
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
