//! A caller's sends under one idempotency key, held against what ran.

use std::net::SocketAddr;
use std::time::Duration;

use client::{Client, ClientConfig, Reply};
use derive_more::Display;
use futures_util::future::join_all;
use rand::Rng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use standin::Call;

use crate::sender::{Send, Sender, Told, query};

/// Sends of one ticket, or of a request without one, before its caller gives up.
const MAX_SENDS: u16 = 5;
/// Tickets that a caller uses up before it gives up.
const MAX_TICKETS: usize = 4;
/// Sends of the same ticket at the same time.
const FLOOD: usize = 4;

/// Time that the library has for a call.
const LIBRARY_DEADLINE: Duration = Duration::from_millis(400);

/// How a caller goes about a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Habit {
    /// Presents its ticket, one send after another, at any daemon.
    Keeps,
    /// Presents its ticket at many daemons at once.
    Floods,
    /// Knows no tickets, and repeats its request with its key everywhere.
    Ignores,
    /// Asks for a new ticket after each send that is not answered.
    Restarts,
    /// Leaves it to the callers' library.
    Library,
}

/// What the caller holds for true in the end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fate {
    /// It was answered.
    Answered,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The sends of one caller under one idempotency key.
#[derive(Clone, Debug)]
pub struct Story {
    /// What failures are told with.
    pub seed: u64,
    /// How the caller goes about it.
    pub habit: Habit,
    /// The call.
    pub call: Call,
    /// What the caller holds for true.
    pub fate: Fate,
    pub(crate) told: Vec<(SocketAddr, Told)>,
    ticket: Option<SmolStr>,
    library: Option<Client>,
    /// Tickets presented, each once.
    pub(crate) presented: Vec<SmolStr>,
}

impl Story {
    /// Starts the story of a call.
    #[must_use]
    pub fn new(seed: u64, habit: Habit, call: Call) -> Self {
        Story {
            seed,
            habit,
            call,
            fate: Fate::NotRun,
            told: Vec::new(),
            ticket: None,
            library: None,
            presented: Vec::new(),
        }
    }

    /// Plays the story at these daemons.
    pub async fn play(&mut self, sender: &Sender, entries: &[SocketAddr], rng: &mut SmallRng) {
        match self.habit {
            Habit::Keeps => self.keep(sender, entries, rng).await,
            Habit::Floods => self.flood(sender, entries, rng).await,
            Habit::Ignores => self.ignore(sender, entries, rng).await,
            Habit::Restarts => self.restart(sender, entries, rng).await,
            Habit::Library => {
                self.library = Some(Client::new(entries.iter().copied(), library_cfg()));
                self.call_by_library().await;
            }
        }
    }

    /// Asks once more for the fate of a call that is open.
    pub async fn settle(&mut self, sender: &Sender, to: SocketAddr) {
        if self.fate != Fate::Unknown {
            return;
        }
        match self.habit {
            Habit::Keeps | Habit::Floods | Habit::Restarts => {
                self.present(sender, to, None).await;
            }
            Habit::Library => self.call_by_library().await,
            Habit::Ignores => {}
        }
    }

    async fn keep(&mut self, sender: &Sender, entries: &[SocketAddr], rng: &mut SmallRng) {
        self.obtain(sender, entries, rng).await;
        let mut sent = 0;
        for _ in 0..MAX_SENDS {
            if self.ticket.is_none() {
                return;
            }
            // A repeat may keep its number to itself; a first send may say so.
            let attempt = rng.random_bool(0.8).then_some(sent);
            match self.present(sender, any(entries, rng), attempt).await {
                Told::Answered { .. } => return,
                Told::NotRun { next, .. } => {
                    sent = 0;
                    self.ticket = next.filter(|_| rng.random());
                }
                Told::Unknown { .. } | Told::Lost => {
                    sent += 1;
                    pause(rng).await;
                }
                Told::NotSent => pause(rng).await,
            }
        }
    }

    async fn flood(&mut self, sender: &Sender, entries: &[SocketAddr], rng: &mut SmallRng) {
        self.obtain(sender, entries, rng).await;
        let Some(ticket) = self.ticket.clone() else {
            return;
        };
        let targets: Vec<SocketAddr> = (0..FLOOD).map(|_| any(entries, rng)).collect();
        let send = Send {
            call: &self.call,
            ticket: Some(&ticket),
            attempt: None,
        };
        let told = join_all(targets.iter().map(|to| sender.send(*to, &send))).await;
        for (to, told) in targets.into_iter().zip(told) {
            self.note(to, told);
        }
    }

    async fn ignore(&mut self, sender: &Sender, entries: &[SocketAddr], rng: &mut SmallRng) {
        for sent in 0..MAX_SENDS {
            let to = any(entries, rng);
            let send = Send {
                call: &self.call,
                ticket: None,
                attempt: rng.random_bool(0.5).then_some(sent),
            };
            let told = sender.send(to, &send).await;
            self.note(to, told);
            pause(rng).await;
        }
    }

    async fn restart(&mut self, sender: &Sender, entries: &[SocketAddr], rng: &mut SmallRng) {
        for _ in 0..MAX_TICKETS {
            self.ticket = None;
            self.obtain(sender, entries, rng).await;
            if self.ticket.is_none() || self.fate == Fate::Answered {
                return;
            }
            let told = self.present(sender, any(entries, rng), Some(0)).await;
            if matches!(told, Told::Answered { .. }) {
                return;
            }
        }
    }

    async fn call_by_library(&mut self) {
        let Some(library) = &self.library else {
            return;
        };
        let Call {
            service, operation, ..
        } = &self.call;
        let call = client::Call::new(service, operation)
            .once(self.call.key.clone().unwrap_or_default())
            .path_suffix(query(&self.call))
            .body(self.call.body.clone());
        let told = match library.call(&call).await {
            Ok(Reply::Answered { status, body, .. }) => Told::Answered {
                own: !status.is_success() || body == self.call.expected(),
            },
            Ok(Reply::NotRun { refusal }) => Told::NotRun {
                why: refusal.reason.to_string().into(),
                next: None,
            },
            Ok(Reply::Unknown) => Told::Unknown {
                why: "library".into(),
            },
            Err(error) => Told::Unknown {
                why: error.to_string().into(),
            },
        };
        self.note(SocketAddr::from(([0, 0, 0, 0], 0)), told);
    }

    /// Asks for a ticket, in either way.
    async fn obtain(&mut self, sender: &Sender, entries: &[SocketAddr], rng: &mut SmallRng) {
        for _ in 0..MAX_SENDS {
            let to = any(entries, rng);
            let send = Send {
                call: &self.call,
                ticket: rng.random_bool(0.5).then_some("issue"),
                attempt: Some(0),
            };
            match sender.send(to, &send).await {
                Told::NotRun { next, .. } if next.is_some() => {
                    self.ticket = next;
                    return;
                }
                // The fate of a ticket that its caller threw away.
                told @ Told::Answered { .. } => {
                    self.note(to, told);
                    return;
                }
                _ => pause(rng).await,
            }
        }
    }

    async fn present(&mut self, sender: &Sender, to: SocketAddr, attempt: Option<u16>) -> Told {
        let send = Send {
            call: &self.call,
            ticket: self.ticket.as_deref(),
            attempt,
        };
        let told = sender.send(to, &send).await;
        self.presented.extend(self.ticket.clone());
        self.presented.sort_unstable();
        self.presented.dedup();
        self.note(to, told.clone());
        told
    }

    fn note(&mut self, to: SocketAddr, told: Told) {
        // Among sends at the same time, one that was told "not run" speaks for the ticket.
        let fate = match &told {
            Told::Answered { .. } => Some(Fate::Answered),
            Told::NotRun { .. } => Some(Fate::NotRun),
            Told::Unknown { .. } | Told::Lost if self.told_not_run() => None,
            Told::Unknown { .. } | Told::Lost => Some(Fate::Unknown),
            Told::NotSent => None,
        };
        if self.fate != Fate::Answered || fate == Some(Fate::NotRun) {
            self.fate = fate.unwrap_or(self.fate);
        }
        self.told.push((to, told));
    }

    /// True if all sends at the same time stand for one ticket, and one was told "not run".
    fn told_not_run(&self) -> bool {
        let not_run = |(_, told): &(_, Told)| matches!(told, Told::NotRun { .. });
        self.habit == Habit::Floods && self.told.iter().any(not_run)
    }
}

fn library_cfg() -> ClientConfig {
    ClientConfig {
        deadline: LIBRARY_DEADLINE,
        unknown_outcome_wait: Duration::from_millis(10),
        ..ClientConfig::default()
    }
}

fn any(entries: &[SocketAddr], rng: &mut SmallRng) -> SocketAddr {
    entries[rng.random_range(0..entries.len())]
}

async fn pause(rng: &mut SmallRng) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..20))).await;
}
