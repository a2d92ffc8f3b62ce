//! The client: makes calls and shares connections, entry addresses and tickets
//! between them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use futures_util::future;
use smol_str::SmolStr;

use crate::body::Body;
use crate::call::Call;
use crate::cfg::ClientConfig;
use crate::entries::Entries;
use crate::error::Error;
use crate::exchange::Exchange;
use crate::instances;
use crate::reply::{Head, Reply};
use crate::tickets::{HeldTicket, TicketStore};
use crate::transport::Transport;

/// Maximum number of tickets that one prefetch obtains concurrently.
const PREFETCH_BATCH: usize = 16;

/// Makes calls for one application; clones share connections and tickets.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    cfg: ClientConfig,
    transport: Transport,
    platform_addresses: Vec<SocketAddr>,
    entries: Mutex<Entries>,
    tickets: Mutex<TicketStore>,
    /// When the instance list was last requested; locked during the request.
    last_refresh: tokio::sync::Mutex<Option<Instant>>,
}

impl Client {
    /// Creates a client that sends calls to the daemons at these addresses, which
    /// are their listen addresses for callers.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>, cfg: ClientConfig) -> Self {
        Client::build(Entries::from_addresses(entries), Vec::new(), cfg)
    }

    /// Creates a client that sends calls to the live instances in the list that
    /// the platform serves at one of these addresses.
    pub fn from_platform(
        platform_addresses: impl IntoIterator<Item = SocketAddr>,
        cfg: ClientConfig,
    ) -> Self {
        Client::build(
            Entries::default(),
            platform_addresses.into_iter().collect(),
            cfg,
        )
    }

    fn build(entries: Entries, platform_addresses: Vec<SocketAddr>, cfg: ClientConfig) -> Self {
        let inner = Inner {
            transport: Transport::new(cfg.connect_timeout),
            platform_addresses,
            entries: Mutex::new(entries),
            tickets: Mutex::new(TicketStore::new(cfg.max_tickets)),
            last_refresh: tokio::sync::Mutex::new(None),
            cfg,
        };
        Client {
            inner: Arc::new(inner),
        }
    }

    /// Replaces the addresses to which calls are sent.
    pub fn set_entries(&self, entries: impl IntoIterator<Item = SocketAddr>) {
        *self.entries() = Entries::from_addresses(entries);
    }

    /// Makes a call and collects its complete answer.
    ///
    /// # Errors
    ///
    /// If the call is no valid request, no entry address is known, a call with
    /// the same key is in progress, or the call's ticket cannot be stored, since
    /// [`max_tickets`](ClientConfig::max_tickets) are held for calls in progress
    /// or of unknown outcome. Then no send of this call ran.
    pub async fn call(&self, call: &Call) -> Result<Reply, Error> {
        let (reply, _) = self.call_with_head(call).await?;
        Ok(reply)
    }

    /// Like [`call`](Self::call), but also returns the head of the last response
    /// if the reply does not contain it: operators look up refused requests by
    /// the request id in it.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn call_with_head(&self, call: &Call) -> Result<(Reply, Option<Head>), Error> {
        let mut exchange = Exchange::start(self, call, Instant::now())?;
        let mut reply = exchange.run().await?;
        loop {
            let (status, headers, body) = match reply {
                Reply::Answered {
                    status,
                    headers,
                    body,
                } => (status, headers, body),
                Reply::NotRun { refusal } => {
                    return Ok((Reply::NotRun { refusal }, exchange.into_head()));
                }
                Reply::Unknown => return Ok((Reply::Unknown, exchange.into_head())),
            };
            let whole = body.collect(self.inner.cfg.max_answer_bytes);
            if let Ok(Ok(body)) = tokio::time::timeout(exchange.time_left(), whole).await {
                let answered = Reply::Answered {
                    status,
                    headers,
                    body,
                };
                return Ok((answered, None));
            }
            let head = Head { status, headers };
            reply = exchange.retry_lost_answer(head).await?;
        }
    }

    /// Makes a call and streams the body of its answer.
    ///
    /// If the body is cut short, [`Body::chunk`] returns an error; another call
    /// with the same key then requests the complete answer.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn stream(&self, call: &Call) -> Result<Reply<Body>, Error> {
        Exchange::start(self, call, Instant::now())?.run().await
    }

    /// Obtains tickets for later calls, and returns the number of keys with a
    /// held ticket.
    ///
    /// Only for operations that are configured as not repeatable. For any other
    /// operation the daemon refuses to issue a ticket, and the call does not run.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn prefetch(
        &self,
        service: &str,
        operation: &str,
        keys: &[&str],
    ) -> Result<usize, Error> {
        let mut held = 0;
        for batch in keys.chunks(PREFETCH_BATCH) {
            let calls: Vec<Call> = batch
                .iter()
                .map(|key| Call::new(service, operation).once(*key))
                .collect();
            let tickets = calls.iter().map(|call| self.obtain_ticket(call));
            for obtained in future::join_all(tickets).await {
                held += usize::from(obtained?);
            }
        }
        Ok(held)
    }

    async fn obtain_ticket(&self, call: &Call) -> Result<bool, Error> {
        Exchange::start(self, call, Instant::now())?
            .obtain_ticket()
            .await
    }

    /// Returns the ticket that is held for a call.
    ///
    /// A caller that may be restarted can store the ticket with its key before
    /// the call, and present it afterwards with [`Call::ticket`].
    #[must_use]
    pub fn ticket(&self, call: &Call) -> Option<SmolStr> {
        self.tickets().get(call).map(|held| held.text.clone())
    }

    pub(crate) fn cfg(&self) -> &ClientConfig {
        &self.inner.cfg
    }

    pub(crate) fn transport(&self) -> &Transport {
        &self.inner.transport
    }

    pub(crate) fn held_ticket(&self, call: &Call) -> Option<HeldTicket> {
        self.tickets().get(call).cloned()
    }

    pub(crate) fn hold_ticket(&self, call: &Call, held: HeldTicket) -> Result<(), Error> {
        self.tickets().hold(call, held)
    }

    /// Starts a call and stores the ticket that it presents, if any. That ticket
    /// counts as unresolved, since an earlier process may have sent it.
    pub(crate) fn begin_call(&self, call: &Call) -> Result<(), Error> {
        let mut tickets = self.tickets();
        if let Some(text) = &call.ticket {
            let held = HeldTicket {
                text: text.clone(),
                entry: None,
                unresolved: true,
                sends: 1,
            };
            tickets.hold(call, held)?;
        }
        tickets.begin(call)
    }

    pub(crate) fn end_call(&self, call: &Call) {
        self.tickets().end(call);
    }

    pub(crate) fn set_unresolved(&self, call: &Call, unresolved: bool) {
        self.tickets().set_unresolved(call, unresolved);
    }

    pub(crate) fn record_send(&self, call: &Call) {
        self.tickets().record_send(call);
    }

    pub(crate) fn undo_send(&self, call: &Call) {
        self.tickets().undo_send(call);
    }

    pub(crate) fn discard_ticket(&self, call: &Call) {
        self.tickets().discard_ticket(call);
    }

    pub(crate) fn mark_entry_failed(&self, entry: SocketAddr) {
        self.entries().mark_failed(entry, Instant::now());
    }

    /// Chooses the entry address for a call: that of its ticket's issuer, unless
    /// it failed recently.
    pub(crate) async fn choose_entry(
        &self,
        call: &Call,
        held: Option<&HeldTicket>,
    ) -> Result<SocketAddr, Error> {
        self.refresh_entries().await?;
        let now = Instant::now();
        let entries = self.entries();
        let issuer = held.and_then(|held| held.entry);
        if let Some(issuer) = issuer.filter(|entry| entries.is_usable(*entry, now)) {
            return Ok(issuer);
        }
        let preferred = self.inner.cfg.data_centre.as_ref();
        entries
            .pick(
                &call.service,
                preferred,
                rand::random::<u32>() as usize,
                now,
            )
            .ok_or_else(Error::no_entry)
    }

    /// Reads the instance list if it is older than the refresh interval. Only one
    /// call reads it at a time; others wait only if no entry is known.
    async fn refresh_entries(&self) -> Result<(), Error> {
        if self.inner.platform_addresses.is_empty() {
            return Ok(());
        }
        let known = !self.entries().is_empty();
        let mut last_refresh = match self.inner.last_refresh.try_lock() {
            Ok(last_refresh) => last_refresh,
            Err(_) if known => return Ok(()),
            Err(_) => self.inner.last_refresh.lock().await,
        };
        let interval = self.inner.cfg.refresh_interval;
        if last_refresh.is_some_and(|at| at.elapsed() < interval) && !self.entries().is_empty() {
            return Ok(());
        }
        let read = instances::read(&self.inner.transport, &self.inner.platform_addresses).await;
        *last_refresh = Some(Instant::now());
        match read {
            Ok(instances) => self.entries().update(instances),
            Err(error) if !known => return Err(error),
            Err(_) => {}
        }
        Ok(())
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.inner
            .entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn tickets(&self) -> MutexGuard<'_, TicketStore> {
        self.inner
            .tickets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
