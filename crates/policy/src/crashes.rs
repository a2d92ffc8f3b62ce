//! Which requests crash the targets that run them (queries of death), and how such a request is
//! treated.
//!
//! Of the requests in flight when a target ends, one at most caused it, and none did in an ordinary
//! crash. Each of them is a suspect of that end until a run of it comes back whole
//! anywhere. A suspect of two ends runs [alone](Treatment::Alone), that is, apart from other such
//! suspects, so that a further end tells them apart. A request is held back once it is a suspect of
//! [`ENDS_TO_HOLD_BACK`] ends and no other such request was in flight at one of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use model::InstanceId;
use smol_str::SmolStr;

use crate::crash_news::{CrashNews, EndKey, EndReport};
use crate::fingerprint::Fingerprint;
use crate::recent_runs::RecentRuns;

/// Ends after which a request is held back.
const ENDS_TO_HOLD_BACK: u32 = 3;
/// Ends after which it runs apart from other suspects.
const ENDS_TO_RUN_ALONE: u32 = 2;
/// Time after which a suspect that is not held back is forgotten.
const SUSPECT_RETENTION: Duration = Duration::from_mins(10);
/// Time after its last end for which a request is held back.
const HELD_RETENTION: Duration = Duration::from_hours(24);
/// Time from the last end to the first trial run of a request that is held back.
const FIRST_TRIAL_DELAY: Duration = Duration::from_mins(1);
/// Factor by which that time grows with each further end.
const TRIAL_DELAY_FACTOR: u32 = 4;
/// Trial runs after which a request is only let in by an operator.
const MAX_TRIALS: u32 = 3;
/// Maximum number of suspects, summed over all ends: a few megabytes.
const MAX_SUSPECTS: usize = 32_768;
/// Maximum number of ends.
const MAX_ENDS: usize = 512;

/// How a request is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Like any other.
    Normal,
    /// Not beside another request with this treatment in the same target.
    Alone,
    /// Once, at one target of the fleet, to find out whether it still crashes it.
    Trial,
    /// Not at all.
    HeldBack {
        /// Time until the next trial.
        retry_after: Duration,
    },
}

/// A request that is held back, for operators.
///
/// Displayed as `0123456789abcdef crashed i-1 by machine-1 5 s ago, i-2 by machine-2 4 s ago`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Ends of which it is a suspect, the oldest first.
    pub ends: Vec<EndReport>,
}

impl fmt::Display for HeldRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} crashed ", self.fingerprint)?;
        for (i, end) in self.ends.iter().enumerate() {
            let separator = if i == 0 { "" } else { ", " };
            let seconds = end.age.as_secs();
            write!(
                f,
                "{separator}{} by {} {seconds} s ago",
                end.target, end.daemon
            )?;
        }
        Ok(())
    }
}

#[derive(Debug)]
struct End {
    target: InstanceId,
    daemon: SmolStr,
    at: Instant,
    /// Requests that were in flight and have not been cleared.
    suspects: BTreeSet<Fingerprint>,
    /// Requests that did not cause it; they can't become suspects again.
    cleared: BTreeSet<Fingerprint>,
}

/// What is known of one suspect.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Number of ends of which it is a suspect.
    ends: u32,
    last_end: Instant,
    is_held_back: bool,
    /// When this daemon last let it run on trial.
    trial_at: Option<Instant>,
}

/// The ends of targets that a daemon knows of, and the suspects.
#[derive(Debug, Default)]
pub struct Crashes {
    ends: BTreeMap<EndKey, End>,
    /// Derived from the ends.
    records: HashMap<Fingerprint, Record>,
    recent_runs: RecentRuns,
    /// Derived from the ends.
    digest: u64,
    unsent: UnsentNews,
}

/// What was learned since news were last passed on.
#[derive(Debug, Default)]
struct UnsentNews {
    suspects: BTreeMap<EndKey, Vec<Fingerprint>>,
    cleared: Vec<(Fingerprint, EndKey)>,
}

impl Crashes {
    /// Records the end of a target and the requests that were in flight. Those of which a run came
    /// back whole lately are no suspects.
    pub fn record_end(&mut self, mut end: EndReport, now: Instant) {
        end.suspects
            .retain(|suspect| !self.recent_runs.contains(*suspect, now));
        if end.suspects.is_empty() {
            return;
        }
        let news = CrashNews {
            ends: vec![end],
            cleared: Vec::new(),
        };
        self.merge(&news, now);
    }

    /// Records that a run of a request came back whole; true if that cleared it of any end.
    pub fn record_whole_run(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.recent_runs.record(fingerprint, now);
        self.ends_of(fingerprint) >= ENDS_TO_RUN_ALONE && self.clear(&[fingerprint])
    }

    /// Records that a trial run of a request begins.
    pub fn record_trial(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_at = Some(now);
        }
    }

    /// Clears requests of all ends that are known; false if they are suspects of none.
    pub fn clear(&mut self, fingerprints: &[Fingerprint]) -> bool {
        let mut changed = false;
        for (key, end) in &mut self.ends {
            for fingerprint in fingerprints {
                if end.suspects.remove(fingerprint) {
                    end.cleared.insert(*fingerprint);
                    self.unsent.cleared.push((*fingerprint, *key));
                    changed = true;
                }
            }
        }
        if changed {
            self.derive_records();
        }
        changed
    }

    /// Merges what another daemon reports; true if any of it is new.
    pub fn merge(&mut self, news: &CrashNews, now: Instant) -> bool {
        let mut changed = false;
        for report in &news.ends {
            changed |= self.merge_end(report, now);
        }
        for (fingerprint, key) in &news.cleared {
            // A report that overtakes that of its end is fetched again, as the digests then differ.
            let Some(end) = self.ends.get_mut(key) else {
                continue;
            };
            end.suspects.remove(fingerprint);
            if end.cleared.insert(*fingerprint) {
                self.unsent.cleared.push((*fingerprint, *key));
                changed = true;
            }
        }
        if changed {
            self.derive_records();
            self.clear_recent_runs(now);
            self.evict();
        }
        changed
    }

    fn merge_end(&mut self, report: &EndReport, now: Instant) -> bool {
        let Some(at) = now.checked_sub(report.age) else {
            return false;
        };
        if report.age >= HELD_RETENTION {
            return false;
        }
        let mut changed = !self.ends.contains_key(&report.key);
        let end = self.ends.entry(report.key).or_insert_with(|| End {
            target: report.target.clone(),
            daemon: report.daemon.clone(),
            at,
            suspects: BTreeSet::new(),
            cleared: BTreeSet::new(),
        });
        for fingerprint in &report.suspects {
            if !end.cleared.contains(fingerprint) && end.suspects.insert(*fingerprint) {
                let unsent = self.unsent.suspects.entry(report.key).or_default();
                unsent.push(*fingerprint);
                changed = true;
            }
        }
        changed
    }

    /// Clears suspects of several ends of which a run came back whole here lately.
    fn clear_recent_runs(&mut self, now: Instant) {
        let recent_runs = &mut self.recent_runs;
        let suspects = self.records.iter();
        let cleared: Vec<Fingerprint> = suspects
            .filter(|(_, record)| record.ends >= ENDS_TO_RUN_ALONE)
            .map(|(fingerprint, _)| *fingerprint)
            .filter(|fingerprint| recent_runs.contains(*fingerprint, now))
            .collect();
        self.clear(&cleared);
    }

    /// Returns how to run a request.
    #[must_use]
    pub fn treatment(&self, fingerprint: Fingerprint, now: Instant) -> Treatment {
        let Some(record) = self.records.get(&fingerprint) else {
            return Treatment::Normal;
        };
        if !record.is_held_back {
            return if record.ends >= ENDS_TO_RUN_ALONE {
                Treatment::Alone
            } else {
                Treatment::Normal
            };
        }
        let trials = record.ends.saturating_sub(ENDS_TO_HOLD_BACK);
        let (since, delay) = if trials < MAX_TRIALS {
            let since = record
                .last_end
                .max(record.trial_at.unwrap_or(record.last_end));
            (since, FIRST_TRIAL_DELAY * TRIAL_DELAY_FACTOR.pow(trials))
        } else {
            (record.last_end, HELD_RETENTION)
        };
        let retry_after = (since + delay).saturating_duration_since(now);
        if retry_after.is_zero() {
            Treatment::Trial
        } else {
            Treatment::HeldBack { retry_after }
        }
    }

    /// Returns the ends for which a request is held back, so that another daemon holds it back, too;
    /// nothing for any other request.
    ///
    /// Only one of the suspects of each end is named, so the ends of a request that is not held
    /// back would look as if no other had been in flight.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> CrashNews {
        let record = self.records.get(&fingerprint);
        let mut news = CrashNews::default();
        if record.is_some_and(|record| record.is_held_back) {
            news.ends = self.describe(fingerprint, now).ends;
        }
        news
    }

    /// Returns all that is known.
    #[must_use]
    pub fn all(&self, now: Instant) -> CrashNews {
        let report = |(key, end): (&EndKey, &End)| {
            end.report(*key, end.suspects.iter().copied().collect(), now)
        };
        let cleared = self.ends.iter().flat_map(|(key, end)| {
            let pair = |fingerprint: &Fingerprint| (*fingerprint, *key);
            end.cleared.iter().map(pair)
        });
        CrashNews {
            ends: self.ends.iter().map(report).collect(),
            cleared: cleared.collect(),
        }
    }

    /// True if there is something that [`take_unsent`](Self::take_unsent) would return.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        !self.unsent.suspects.is_empty() || !self.unsent.cleared.is_empty()
    }

    /// Returns what was learned since the last call.
    pub fn take_unsent(&mut self, now: Instant) -> CrashNews {
        let unsent = std::mem::take(&mut self.unsent);
        let suspects = unsent.suspects.into_iter();
        CrashNews {
            ends: suspects
                .filter_map(|(key, suspects)| Some(self.ends.get(&key)?.report(key, suspects, now)))
                .collect(),
            cleared: unsent.cleared,
        }
    }

    /// Digest of all that is known; equal for daemons that know the same, 0 for nothing.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the requests that are held back.
    #[must_use]
    pub fn held(&self, now: Instant) -> Vec<HeldRequest> {
        let held = self
            .records
            .iter()
            .filter(|(_, record)| record.is_held_back);
        let mut held: Vec<HeldRequest> = held
            .map(|(fingerprint, _)| self.describe(*fingerprint, now))
            .collect();
        held.sort_by_key(|request| request.fingerprint);
        held
    }

    /// Returns the ends of which a request is a suspect.
    #[must_use]
    pub fn describe(&self, fingerprint: Fingerprint, now: Instant) -> HeldRequest {
        let ends = self.ends.iter();
        let mut ends: Vec<EndReport> = ends
            .filter(|(_, end)| end.suspects.contains(&fingerprint))
            .map(|(key, end)| end.report(*key, vec![fingerprint], now))
            .collect();
        ends.sort_by_key(|end| Reverse(end.age));
        HeldRequest { fingerprint, ends }
    }

    /// Number of requests that are held back.
    #[must_use]
    pub fn held_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_held_back).count()
    }

    /// Number of known ends.
    #[must_use]
    pub fn end_count(&self) -> usize {
        self.ends.len()
    }

    /// Forgets what is too old to matter.
    pub fn prune(&mut self, now: Instant) {
        let records = &self.records;
        let is_needed = |fingerprint: &Fingerprint| {
            records.get(fingerprint).is_some_and(|record| {
                record.is_held_back
                    && now.saturating_duration_since(record.last_end) < HELD_RETENTION
            })
        };
        let mut changed = false;
        self.ends.retain(|_, end| {
            if now.saturating_duration_since(end.at) < SUSPECT_RETENTION {
                return true;
            }
            let before = end.suspects.len() + end.cleared.len();
            end.suspects.retain(is_needed);
            end.cleared.clear();
            changed |= end.suspects.len() != before;
            !end.suspects.is_empty()
        });
        if changed {
            self.derive_records();
        }
    }

    fn ends_of(&self, fingerprint: Fingerprint) -> u32 {
        self.records
            .get(&fingerprint)
            .map_or(0, |record| record.ends)
    }

    /// Derives the records of all suspects and the digest from the ends.
    fn derive_records(&mut self) {
        self.digest = self.ends.iter().fold(0, |digest, (key, end)| {
            let suspects = end.suspects.iter().map(|suspect| mix(key.0, suspect.0));
            let cleared = end.cleared.iter().map(|cleared| mix(key.0, !cleared.0));
            suspects.chain(cleared).fold(digest, |sum, hash| sum ^ hash)
        });
        let mut records: HashMap<Fingerprint, Record> = HashMap::new();
        for end in self.ends.values() {
            for fingerprint in &end.suspects {
                let record = records.entry(*fingerprint).or_insert(Record {
                    ends: 0,
                    last_end: end.at,
                    is_held_back: false,
                    trial_at: None,
                });
                record.ends += 1;
                record.last_end = record.last_end.max(end.at);
            }
        }
        for end in self.ends.values() {
            let is_strong =
                |fingerprint: &&Fingerprint| records[*fingerprint].ends >= ENDS_TO_HOLD_BACK;
            let mut strong = end.suspects.iter().filter(is_strong);
            if let (Some(only), None) = (strong.next().copied(), strong.next())
                && let Some(record) = records.get_mut(&only)
            {
                record.is_held_back = true;
            }
        }
        for (fingerprint, record) in &mut records {
            let before = self.records.get(fingerprint);
            record.trial_at = before.and_then(|before| before.trial_at);
        }
        self.records = records;
    }

    /// Removes what exceeds the bounds: first suspects of few ends, of the oldest ends first.
    fn evict(&mut self) {
        let mut suspects: usize = self.ends.values().map(|end| end.suspects.len()).sum();
        let mut changed = false;
        for least in 1.. {
            if suspects <= MAX_SUSPECTS && self.ends.len() <= MAX_ENDS {
                break;
            }
            let mut by_age: Vec<(Instant, EndKey)> =
                self.ends.iter().map(|(key, end)| (end.at, *key)).collect();
            by_age.sort_unstable();
            for (_, key) in by_age {
                if suspects <= MAX_SUSPECTS && self.ends.len() <= MAX_ENDS {
                    break;
                }
                let Some(end) = self.ends.get_mut(&key) else {
                    continue;
                };
                let before = end.suspects.len();
                let records = &self.records;
                end.suspects
                    .retain(|suspect| records.get(suspect).is_some_and(|r| r.ends > least));
                suspects -= before - end.suspects.len();
                if end.suspects.is_empty() {
                    self.ends.remove(&key);
                }
                changed = true;
            }
        }
        if changed {
            self.derive_records();
        }
    }
}

impl End {
    fn report(&self, key: EndKey, suspects: Vec<Fingerprint>, now: Instant) -> EndReport {
        EndReport {
            key,
            target: self.target.clone(),
            daemon: self.daemon.clone(),
            age: now.saturating_duration_since(self.at),
            suspects,
        }
    }
}

/// Hashes two numbers.
fn mix(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
