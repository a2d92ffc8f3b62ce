//! Heartbeats to a few neighbours, and what follows from silence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::InstanceId;

/// Time between two heartbeats of one daemon.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two heartbeats after one was missed: failures often come together.
const FAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which heartbeats follow each other faster.
const FAST_HEARTBEAT_PERIOD: Duration = Duration::from_secs(3);

/// Misses of one member beyond which it is no news.
const MAX_FAST_MISSES: u32 = 2;

/// Time after which other daemons are asked to try.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a probe has failed, directly and through others.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Daemons asked to try.
pub const PROBE_HELPERS: usize = 3;

/// Time for which a daemon that helps waits for an answer.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Most probes of others that a daemon has in hand.
const MAX_INDIRECT_PROBES: usize = 64;

/// One heartbeat without an answer so far.
#[derive(Debug)]
struct Probe {
    sequence: u64,
    target: InstanceId,
    sent: Instant,
    indirect_requested: bool,
    failure_confirmed: bool,
}

/// Probes in a row that a member has not answered.
#[derive(Clone, Copy, Debug, Default)]
struct Misses {
    /// Not answered to this daemon.
    direct: u32,
    /// Not answered to helpers either.
    total: u32,
}

/// A probe on behalf of another daemon.
#[derive(Debug)]
struct IndirectProbe {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
    sent: Instant,
}

/// What follows from a probe that is still unanswered.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ProbeTimeout {
    /// Ask others to try, under the same number.
    RequestIndirect { sequence: u64, target: InstanceId },
    /// No answer came. It is `confirmed` if a helper tried in vain or none could be asked;
    /// otherwise it may be this daemon that can't reach others.
    Failed {
        target: InstanceId,
        failure_confirmed: bool,
    },
    /// Tell the asker that its target did not answer here either.
    SendNack {
        requester: SocketAddr,
        sequence: u64,
    },
}

/// What an answer to a probe says.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AckOutcome {
    /// The target lives.
    Alive { target: InstanceId },
    /// Another instance stands at the target's address.
    Replaced { target: InstanceId },
    /// The answer belongs to a probe made for another daemon: pass it on.
    Forward { to: SocketAddr, sequence: u64 },
    /// No such probe is outstanding.
    Unexpected,
}

/// The probes that a daemon has outstanding.
#[derive(Debug)]
pub(crate) struct Detector {
    sequence: u64,
    next_heartbeat: Instant,
    cursor: usize,
    probes: Vec<Probe>,
    indirect_probes: Vec<IndirectProbe>,
    misses: BTreeMap<InstanceId, Misses>,
    fast_until: Instant,
}

impl Detector {
    pub(crate) fn new(first: Instant) -> Self {
        Detector {
            sequence: 0,
            next_heartbeat: first,
            cursor: 0,
            probes: Vec::new(),
            indirect_probes: Vec::new(),
            misses: BTreeMap::new(),
            fast_until: first,
        }
    }

    /// Returns whom to send a heartbeat if one is due; a member that missed one comes first.
    pub(crate) fn next_target(
        &mut self,
        watched: &[InstanceId],
        now: Instant,
    ) -> Option<InstanceId> {
        if now < self.next_heartbeat {
            return None;
        }
        let interval = if now < self.fast_until {
            FAST_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        // A late tick doesn't lead to heartbeats in a row.
        self.next_heartbeat = (self.next_heartbeat + interval).max(now + interval / 2);
        self.cursor = self.cursor.wrapping_add(1);
        let is_retry = |id: &InstanceId, misses: Misses| {
            misses.direct == 1
                && watched.contains(id)
                && self.probes.iter().all(|p| p.target != *id)
        };
        let retry = self
            .misses
            .iter()
            .find(|(id, misses)| is_retry(id, **misses));
        let next_in_order = || watched.get(self.cursor % watched.len().max(1));
        retry.map(|(id, _)| id).or_else(next_in_order).cloned()
    }

    /// Starts a probe and returns its number.
    pub(crate) fn start_probe(&mut self, target: &InstanceId, now: Instant) -> u64 {
        let sequence = self.next_sequence();
        self.probes.push(Probe {
            sequence,
            target: target.clone(),
            sent: now,
            indirect_requested: false,
            failure_confirmed: false,
        });
        sequence
    }

    /// Number of the last probe.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.sequence
    }

    /// Draws a number for a message whose answer decides nothing.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Starts a probe for another daemon, unless too many are in hand.
    pub(crate) fn start_indirect_probe(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u64,
        now: Instant,
    ) -> Option<u64> {
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return None;
        }
        let sequence = self.next_sequence();
        self.indirect_probes.push(IndirectProbe {
            sequence,
            requester,
            requester_sequence,
            sent: now,
        });
        Some(sequence)
    }

    /// Takes an answer about `about`, which `from` has sent.
    pub(crate) fn on_ack(
        &mut self,
        sequence: u64,
        about: &InstanceId,
        from: &InstanceId,
        now: Instant,
    ) -> AckOutcome {
        if let Some(at) = self.probes.iter().position(|p| p.sequence == sequence) {
            let probe = self.probes.swap_remove(at);
            if probe.target != *about {
                return AckOutcome::Replaced {
                    target: probe.target,
                };
            }
            if from == about {
                self.misses.remove(about);
            } else {
                self.record_miss(about, now).total = 0;
            }
            return AckOutcome::Alive {
                target: probe.target,
            };
        }
        if let Some(at) = self
            .indirect_probes
            .iter()
            .position(|r| r.sequence == sequence)
        {
            let probe = self.indirect_probes.swap_remove(at);
            return AckOutcome::Forward {
                to: probe.requester,
                sequence: probe.requester_sequence,
            };
        }
        AckOutcome::Unexpected
    }

    /// Returns what follows from the probes that stay unanswered.
    pub(crate) fn expire_probes(&mut self, now: Instant) -> Vec<ProbeTimeout> {
        let mut timeouts = Vec::new();
        self.indirect_probes.retain(|probe| {
            let is_pending = now.duration_since(probe.sent) < INDIRECT_PROBE_TIMEOUT;
            if !is_pending {
                timeouts.push(ProbeTimeout::SendNack {
                    requester: probe.requester,
                    sequence: probe.requester_sequence,
                });
            }
            is_pending
        });
        self.probes.retain_mut(|probe| {
            let age = now.duration_since(probe.sent);
            if age >= PROBE_TIMEOUT {
                timeouts.push(ProbeTimeout::Failed {
                    target: probe.target.clone(),
                    failure_confirmed: probe.failure_confirmed,
                });
                return false;
            }
            if age >= DIRECT_TIMEOUT && !probe.indirect_requested {
                probe.indirect_requested = true;
                timeouts.push(ProbeTimeout::RequestIndirect {
                    sequence: probe.sequence,
                    target: probe.target.clone(),
                });
            }
            true
        });
        timeouts
    }

    /// Notes that a probe's target answers no helper either, or that there is no helper.
    pub(crate) fn confirm_failure(&mut self, sequence: u64) {
        for probe in &mut self.probes {
            probe.failure_confirmed |= probe.sequence == sequence;
        }
    }

    /// Notes a probe that was answered to nobody. Returns how many there are in a row.
    pub(crate) fn record_failure(&mut self, id: &InstanceId, now: Instant) -> u32 {
        let misses = self.record_miss(id, now);
        misses.total += 1;
        misses.total
    }

    fn record_miss(&mut self, id: &InstanceId, now: Instant) -> &mut Misses {
        let misses = self.misses.entry(id.clone()).or_default();
        misses.direct += 1;
        if misses.direct <= MAX_FAST_MISSES {
            self.fast_until = now + FAST_HEARTBEAT_PERIOD;
        }
        misses
    }

    /// True if the member has repeatedly not answered this daemon, whatever others say.
    pub(crate) fn is_unreachable(&self, id: &InstanceId) -> bool {
        self.misses.get(id).is_some_and(|misses| misses.direct > 1)
    }

    /// Keeps unreachability only for members that are still watched.
    pub(crate) fn retain_watched(&mut self, watched: &[InstanceId]) {
        self.misses.retain(|id, _| watched.contains(id));
    }

    /// Gives up all probes, whose silence says nothing after a pause.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.probes.clear();
        self.indirect_probes.clear();
        self.next_heartbeat = now;
    }
}
