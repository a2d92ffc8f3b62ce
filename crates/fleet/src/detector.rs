//! Failure detector: heartbeats to a few neighbours, and indirect probes when one is missed.
//!
//! A probe that gets no direct answer within [`DIRECT_TIMEOUT`] is repeated through
//! [`PROBE_HELPERS`] other daemons, and fails after [`PROBE_TIMEOUT`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::InstanceId;

/// Interval between the heartbeats that one daemon sends.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeat interval after a miss, since failures are often correlated.
const FAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a miss for which the fast heartbeat interval applies.
const FAST_HEARTBEAT_PERIOD: Duration = Duration::from_secs(3);

/// Consecutive misses of one member that trigger fast heartbeats; later ones are ignored.
const MAX_FAST_MISSES: u32 = 2;

/// Time without an ack after which indirect probes are requested.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a probe, direct and indirect, counts as failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Number of daemons asked for an indirect probe of one target.
pub const PROBE_HELPERS: usize = 3;

/// Time after which an indirect probe is reported as failed to its requester.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of indirect probes outstanding at one daemon.
const MAX_INDIRECT_PROBES: usize = 64;

/// An outstanding heartbeat.
#[derive(Debug)]
struct Probe {
    sequence: u64,
    target: InstanceId,
    sent: Instant,
    indirect_requested: bool,
    failure_confirmed: bool,
}

/// Consecutive probes that a member has not answered.
#[derive(Clone, Copy, Debug, Default)]
struct Misses {
    /// Probes that this daemon got no direct ack for.
    direct: u32,
    /// Probes that failed: no helper got an ack either.
    failures: u32,
}

/// A probe on behalf of another daemon.
#[derive(Debug)]
struct IndirectProbe {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
    sent: Instant,
}

/// What to do about a probe that reached one of its timeouts.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ProbeTimeout {
    /// Request indirect probes under the same sequence number.
    RequestIndirect { sequence: u64, target: InstanceId },
    /// The probe failed. The failure is confirmed if a helper reported one too or there was
    /// no helper to ask; otherwise this daemon's own links may be at fault.
    Failed {
        target: InstanceId,
        failure_confirmed: bool,
    },
    /// Report to the requester that its target did not answer this daemon either.
    SendNack {
        requester: SocketAddr,
        sequence: u64,
    },
}

/// What an ack to a probe means.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AckOutcome {
    /// The target is alive.
    Alive { target: InstanceId },
    /// Another instance has taken over the target's address.
    Replaced { target: InstanceId },
    /// The ack belongs to an indirect probe and goes to its requester.
    Forward { to: SocketAddr, sequence: u64 },
    /// No such probe is outstanding.
    Unexpected,
}

/// The state of the failure detector: outstanding probes and recent misses.
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

    /// Returns the target of the next heartbeat if one is due.
    ///
    /// A member that has missed one heartbeat is retried before the others' turns.
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
        // Avoids a burst of heartbeats after a late tick.
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

    /// Starts a probe and returns its sequence number.
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

    /// Last sequence number that was assigned.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.sequence
    }

    /// Assigns a sequence number without tracking a probe, so the detector ignores its ack.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Starts an indirect probe, unless [`MAX_INDIRECT_PROBES`] are outstanding.
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

    /// Handles an ack for `about` that was sent by `from`, which differ for indirect acks.
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
                self.record_miss(about, now).failures = 0;
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

    /// Returns the probes that reached a timeout and removes those that failed.
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

    /// Records that a helper got no answer either, or that there is no helper to ask.
    pub(crate) fn confirm_failure(&mut self, sequence: u64) {
        for probe in &mut self.probes {
            probe.failure_confirmed |= probe.sequence == sequence;
        }
    }

    /// Records a probe that failed directly and indirectly. Returns the number of
    /// consecutive ones.
    pub(crate) fn record_failure(&mut self, id: &InstanceId, now: Instant) -> u32 {
        let misses = self.record_miss(id, now);
        misses.failures += 1;
        misses.failures
    }

    fn record_miss(&mut self, id: &InstanceId, now: Instant) -> &mut Misses {
        let misses = self.misses.entry(id.clone()).or_default();
        misses.direct += 1;
        if misses.direct <= MAX_FAST_MISSES {
            self.fast_until = now + FAST_HEARTBEAT_PERIOD;
        }
        misses
    }

    /// True if the member missed more than one direct probe in a row, even if helpers reach it.
    pub(crate) fn is_unreachable(&self, id: &InstanceId) -> bool {
        self.misses.get(id).is_some_and(|misses| misses.direct > 1)
    }

    /// Drops the misses of members that are no longer watched.
    pub(crate) fn retain_watched(&mut self, watched: &[InstanceId]) {
        self.misses.retain(|id, _| watched.contains(id));
    }

    /// Drops all outstanding probes; after a pause of the process their timeouts mean nothing.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.probes.clear();
        self.indirect_probes.clear();
        self.next_heartbeat = now;
    }
}
