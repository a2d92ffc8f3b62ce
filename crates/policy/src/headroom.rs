//! Slots that browse and bulk calls leave free for more important calls.

use std::time::{Duration, Instant};

use model::Class;

use crate::scale::{ewma, micros};
use crate::settings::Headroom;

/// Interval over which arrivals are counted for a sample of their rate.
const WINDOW: Duration = Duration::from_millis(100);
/// Scale of the fixed-point arrival rates, which are in calls per million seconds.
const RATE_SCALE: u64 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Measures arrival rates and run times and sizes the headroom by them.
///
/// The slots that important calls use on average are occupied by those in flight. The
/// headroom covers how far their arrivals exceed the average (one standard deviation) until
/// one of their own runs ends or a slot held by a less important call becomes free,
/// whichever is sooner.
#[derive(Debug)]
pub(crate) struct HeadroomMeter {
    window_start: Instant,
    arrivals: [u64; Class::ALL.len()],
    rates: [u64; Class::ALL.len()],
    less_important_run_us: u64,
    important_run_us: u64,
}

impl HeadroomMeter {
    pub(crate) fn new(now: Instant) -> Self {
        HeadroomMeter {
            window_start: now,
            arrivals: [0; Class::ALL.len()],
            rates: [0; Class::ALL.len()],
            less_important_run_us: 0,
            important_run_us: 0,
        }
    }

    /// Records an arrival.
    pub(crate) fn record_arrival(&mut self, class: Class, now: Instant) {
        self.arrivals[class.index()] += 1;
        let age = now.saturating_duration_since(self.window_start);
        if age < WINDOW {
            return;
        }
        let age_us = micros(age).max(1);
        for (rate, arrivals) in self.rates.iter_mut().zip(&mut self.arrivals) {
            let sample = *arrivals * MICROS_PER_SECOND * RATE_SCALE / age_us;
            *rate = ewma::<2>(*rate, sample);
            *arrivals = 0;
        }
        self.window_start = now;
    }

    /// Records how long a run took.
    pub(crate) fn record_run(&mut self, class: Class, time: Duration) {
        let time_us = micros(time).max(1);
        let average = if class > Class::Browse {
            &mut self.important_run_us
        } else {
            &mut self.less_important_run_us
        };
        *average = match *average {
            0 => time_us,
            average => ewma::<4>(average, time_us),
        };
    }

    /// Slots that a class leaves free under a concurrency limit: at most half of it, and none
    /// for important classes.
    pub(crate) fn reserve(&self, class: Class, limit: u32, headroom: Headroom) -> u32 {
        if class > Class::Browse {
            return 0;
        }
        let reserve = match headroom {
            Headroom::None => 0,
            Headroom::Percent(percent) => limit.saturating_mul(u32::from(percent)) / 100,
            Headroom::Measured => self.measured(limit),
        };
        reserve.min(limit / 2)
    }

    /// Headroom sized by the measured rates and times.
    fn measured(&self, limit: u32) -> u32 {
        /// Scale of fixed-point numbers of slots.
        const MILLI: u64 = 1_000;
        /// Arrivals per interval, in thousandths, below which no slot is reserved.
        const NEGLIGIBLE_MILLI: u64 = 50;

        let rate = self.rates[Class::Standard.index()] + self.rates[Class::Critical.index()];
        let slot_free_us = self.less_important_run_us / u64::from(limit.max(1));
        let interval_us = slot_free_us.min(self.important_run_us);
        let per_interval = rate.saturating_mul(interval_us) / RATE_SCALE;
        let arrivals_milli = per_interval * MILLI / MICROS_PER_SECOND;
        if arrivals_milli < NEGLIGIBLE_MILLI {
            return 0;
        }
        let deviation_milli = (arrivals_milli * MILLI).isqrt();
        let slots = deviation_milli.div_ceil(MILLI);
        u32::try_from(slots).unwrap_or(u32::MAX)
    }
}
