//! How long runs of each route have taken lately, wherever they ran.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Time after which a new generation of samples begins; two are kept.
const GENERATION_TIME: Duration = Duration::from_secs(15);

/// Run times of each route over the last one to two generations.
///
/// The length of a run that has not started is unknown. [`mean`](Self::mean) is exceeded by about
/// half of the runs, [`upper_bound`](Self::upper_bound) by few.
#[derive(Debug, Default)]
pub struct RouteRunTimes {
    routes: HashMap<SmolStr, Recent>,
}

#[derive(Debug)]
struct Recent {
    current: Generation,
    previous: Generation,
    began: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Generation {
    samples: u32,
    sum: Duration,
    longest: Duration,
}

impl RouteRunTimes {
    /// Records a run that ended.
    pub fn record(&mut self, route: &SmolStr, run_time: Duration, now: Instant) {
        let recent = match self.routes.get_mut(route) {
            Some(recent) => recent,
            None => self.routes.entry(route.clone()).or_insert(Recent {
                current: Generation::default(),
                previous: Generation::default(),
                began: now,
            }),
        };
        if now.saturating_duration_since(recent.began) >= GENERATION_TIME {
            recent.previous = std::mem::take(&mut recent.current);
            recent.began = now;
        }
        let current = &mut recent.current;
        current.samples = current.samples.saturating_add(1);
        current.sum = current.sum.saturating_add(run_time);
        current.longest = current.longest.max(run_time);
    }

    /// Returns the mean run time of a route; `None` without samples.
    #[must_use]
    pub fn mean(&self, route: &SmolStr) -> Option<Duration> {
        let total = self.total(route)?;
        Some(total.sum / total.samples)
    }

    /// Returns a time that few runs of a route exceed; `None` without samples.
    ///
    /// It is the longest sample, and the further above it the fewer there are: by `1 / n` of itself
    /// for `n` samples, which is the unbiased estimate of the maximum if all lengths up to it are
    /// equally likely.
    #[must_use]
    pub fn upper_bound(&self, route: &SmolStr) -> Option<Duration> {
        let total = self.total(route)?;
        Some(total.longest + total.longest / total.samples)
    }

    /// Removes the samples of routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&SmolStr) -> bool) {
        self.routes.retain(|route, _| exists(route));
    }

    fn total(&self, route: &SmolStr) -> Option<Generation> {
        let Recent {
            current, previous, ..
        } = self.routes.get(route)?;
        let samples = current.samples.saturating_add(previous.samples);
        (samples > 0).then_some(Generation {
            samples,
            sum: current.sum.saturating_add(previous.sum),
            longest: current.longest.max(previous.longest),
        })
    }
}
