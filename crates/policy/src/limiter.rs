//! Adaptive concurrency limit below a configured ceiling.

use std::time::{Duration, Instant};

/// Minimum length of a window over which run times are compared with the baseline.
const WINDOW: Duration = Duration::from_millis(100);
/// Minimum number of samples in a window, unless it lasts ten times its minimum length.
const MIN_WINDOW_SAMPLES: u64 = 64;
/// Ratio of run times to the baseline, in thousandths, above which the limit is lowered.
const MAX_RATIO: u64 = 1_600;
/// Time for which the limit is not lowered again after a trial that did not help; it
/// quadruples with each further such trial in succession.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Failed trials after which the hold time no longer grows.
const MAX_FAILED_TRIALS: u32 = 2;
/// Fixed-point scale of the limit, so that it can change by less than one call.
const MILLI: u64 = 1_000;
/// Number of runs that must end before the limit of a cold target rises by one slot.
const WARM_UP_RUNS: u64 = 4;
/// Fraction of the ceiling at which a cold target starts, as a divisor.
const COLD_DIVISOR: u64 = 8;
/// Fraction of the ceiling below which the limit never falls, as a divisor.
const FLOOR_DIVISOR: u64 = 8;

/// Measurements of the current window.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Instant,
    samples: u64,
    ratio_sum: u64,
    max_in_flight: u32,
    refused: bool,
}

impl Window {
    fn new(now: Instant) -> Self {
        Window {
            start: now,
            samples: 0,
            ratio_sum: 0,
            max_in_flight: 0,
            refused: false,
        }
    }
}

/// A limit and the ratio of run times to the baseline under it, in thousandths.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    limit_milli: u64,
    ratio: u64,
}

/// A lowered limit on trial: it is kept only if it makes the target faster.
#[derive(Clone, Copy, Debug)]
struct Trial {
    start: Instant,
    /// Before the first of the successive reductions.
    first: Measurement,
    /// Before the last reduction.
    last: Measurement,
}

/// Result of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialResult {
    /// The target got faster with each reduction.
    Improved,
    /// The last reduction did not help, the earlier ones did.
    LastStepFailed,
    /// No reduction made the target faster.
    Failed,
}

/// Adaptive limit on the number of calls that run in one target.
///
/// The limit never exceeds its ceiling. It is lowered when run times rise above their
/// baseline, and restored if fewer concurrent calls do not make them shorter: in that case
/// the target waits for something else, and a lower limit would only waste slots.
#[derive(Debug)]
pub(crate) struct Limiter {
    ceiling: u32,
    adaptive: bool,
    limit_milli: u64,
    cold: bool,
    window: Window,
    trial: Option<Trial>,
    hold_until: Instant,
    failed_trials: u32,
}

impl Limiter {
    pub(crate) fn new(ceiling: u32, adaptive: bool, slow_start: bool, now: Instant) -> Self {
        let ceiling_milli = u64::from(ceiling) * MILLI;
        let cold = slow_start && ceiling > 1;
        let limit_milli = if cold {
            (ceiling_milli / COLD_DIVISOR).max(MILLI)
        } else {
            ceiling_milli
        };
        Limiter {
            ceiling,
            adaptive,
            limit_milli,
            cold,
            window: Window::new(now),
            trial: None,
            hold_until: now,
            failed_trials: 0,
        }
    }

    /// Changes the ceiling; a limit that was at the old ceiling moves to the new one.
    pub(crate) fn reconfigure(&mut self, ceiling: u32, adaptive: bool) {
        let at_ceiling = self.limit() == self.ceiling;
        self.ceiling = ceiling;
        self.adaptive = adaptive;
        if at_ceiling || !adaptive {
            self.limit_milli = self.ceiling_milli();
        }
        self.clamp();
    }

    /// Returns the number of calls that may run concurrently.
    pub(crate) fn limit(&self) -> u32 {
        u32::try_from(self.limit_milli / MILLI)
            .unwrap_or(self.ceiling)
            .clamp(1, self.ceiling)
    }

    /// Records one run.
    ///
    /// `ratio` is its run time relative to the baseline, in thousandths; `in_flight` counts the
    /// calls that ran when it ended, including itself. The ratio of a run that started before
    /// the current trial is ignored, as it says nothing about the limit on trial.
    pub(crate) fn record(&mut self, ratio: u64, in_flight: u32, started: Instant, now: Instant) {
        let before_trial = self.trial.is_some_and(|trial| started < trial.start);
        if !before_trial {
            self.window.samples += 1;
            self.window.ratio_sum += ratio;
        }
        self.window.max_in_flight = self.window.max_in_flight.max(in_flight);
        if self.cold {
            self.warm_up(in_flight);
        }
        self.close_window(now);
    }

    /// Records that the target itself shed a call.
    pub(crate) fn record_refusal(&mut self, in_flight: u32, now: Instant) {
        self.window.max_in_flight = self.window.max_in_flight.max(in_flight);
        if self.adaptive && !self.window.refused {
            self.window.refused = true;
            self.cold = false;
            let in_flight_milli = u64::from(in_flight) * MILLI;
            self.limit_milli = self.limit_milli.min(in_flight_milli) * 9 / 10;
            self.trial = None;
            self.clamp();
        }
        self.close_window(now);
    }

    /// Raises the limit of a cold target by a quarter of a slot per run.
    ///
    /// The limit thus doubles in four rounds of runs, slowly enough to measure a baseline before
    /// the target is saturated.
    fn warm_up(&mut self, in_flight: u32) {
        if 2 * in_flight < self.limit() {
            return;
        }
        self.limit_milli += MILLI / WARM_UP_RUNS;
        self.clamp();
        if self.limit() == self.ceiling {
            self.cold = false;
        }
    }

    fn close_window(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window.start);
        let samples = self.window.samples;
        let is_due = age >= WINDOW && (samples >= MIN_WINDOW_SAMPLES || age >= 10 * WINDOW);
        if !is_due {
            return;
        }
        let window = std::mem::replace(&mut self.window, Window::new(now));
        if self.adaptive && samples > 0 {
            self.adapt(window, now);
        }
    }

    fn adapt(&mut self, window: Window, now: Instant) {
        let ratio = window.ratio_sum / window.samples;
        let trial = self.trial.take();
        if let Some(trial) = trial {
            let restored = match trial.result(ratio, self.limit_milli) {
                TrialResult::Improved => None,
                TrialResult::LastStepFailed => Some(trial.last),
                TrialResult::Failed => Some(trial.first),
            };
            if let Some(measurement) = restored {
                self.revert_trial(measurement, now);
                return;
            }
            self.failed_trials = 0;
        }
        if ratio > MAX_RATIO {
            self.cold = false;
            self.lower(ratio, trial, now);
        } else if !window.refused {
            self.raise(window.max_in_flight);
        }
    }

    fn lower(&mut self, ratio: u64, trial: Option<Trial>, now: Instant) {
        if now < self.hold_until {
            return;
        }
        let last = Measurement {
            limit_milli: self.limit_milli,
            ratio,
        };
        let proposed = self.limit_milli * MAX_RATIO / ratio;
        self.limit_milli = proposed.max(self.limit_milli - self.max_reduction());
        self.clamp();
        if self.limit_milli < last.limit_milli {
            self.trial = Some(Trial {
                start: now,
                first: trial.map_or(last, |trial| trial.first),
                last,
            });
        }
    }

    fn revert_trial(&mut self, measurement: Measurement, now: Instant) {
        self.limit_milli = measurement.limit_milli;
        self.hold_until = now + HOLD_TIME * 4_u32.pow(self.failed_trials);
        self.failed_trials = (self.failed_trials + 1).min(MAX_FAILED_TRIALS);
        self.clamp();
    }

    /// Returns the largest reduction in one step: a quarter of the limit, or one call for a small
    /// limit, of which a quarter is less than two calls.
    fn max_reduction(&self) -> u64 {
        const SMALL_LIMIT: u64 = 8 * MILLI;

        if self.limit_milli < SMALL_LIMIT {
            MILLI.min(self.limit_milli)
        } else {
            self.limit_milli / 4
        }
    }

    /// Raises the limit if at least three quarters of it were used.
    fn raise(&mut self, max_in_flight: u32) {
        let is_used = u64::from(max_in_flight) * MILLI >= self.limit_milli * 3 / 4;
        if is_used {
            self.limit_milli += (self.limit_milli / 16).max(MILLI);
            self.clamp();
        }
    }

    fn clamp(&mut self) {
        let floor = (self.ceiling_milli() / FLOOR_DIVISOR).max(MILLI);
        self.limit_milli = self.limit_milli.clamp(floor, self.ceiling_milli());
    }

    fn ceiling_milli(&self) -> u64 {
        u64::from(self.ceiling) * MILLI
    }
}

impl Trial {
    fn result(self, ratio: u64, limit_milli: u64) -> TrialResult {
        let improved_since_first = has_improved(self.first, ratio, limit_milli);
        let improved_since_last = has_improved(self.last, ratio, limit_milli);
        match (improved_since_first, improved_since_last) {
            (true, true) => TrialResult::Improved,
            (true, false) => TrialResult::LastStepFailed,
            (false, _) => TrialResult::Failed,
        }
    }
}

/// True if the target got faster by at least three quarters of the fraction by which the
/// limit was reduced.
fn has_improved(before: Measurement, ratio: u64, limit_milli: u64) -> bool {
    let reduction = before.limit_milli.saturating_sub(limit_milli);
    let expected_gain = before.ratio * reduction * 3 / before.limit_milli / 4;
    ratio + expected_gain <= before.ratio
}
