//! Last known admission shares of services, as learned from their targets and other daemons.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::ServiceName;

use crate::admission_share::AdmissionShare;

/// Age at which a share is stale and no longer used.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Smoothing of reports: a known share moves by this fraction of the difference, as a divisor.
const REPORT_DIVISOR: i32 = 8;
/// A share from another daemon replaces the local one if it is newer by at least this much.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(100);

/// Last known admission shares of services.
#[derive(Debug, Default)]
pub struct AdmissionShares {
    observations: HashMap<ServiceName, Observation>,
}

/// The share of a service and when it was observed.
#[derive(Clone, Copy, Debug)]
struct Observation {
    share: AdmissionShare,
    observed: Instant,
}

impl AdmissionShares {
    /// Records the share that a target of the service reports about itself.
    pub fn record_report(&mut self, service: &ServiceName, share: AdmissionShare, now: Instant) {
        let Some(observation) = self.observations.get_mut(service) else {
            let observation = Observation {
                share,
                observed: now,
            };
            self.observations.insert(service.clone(), observation);
            return;
        };
        let from = i32::from(u16::from(observation.share));
        let to = i32::from(u16::from(share));
        let step = (to - from) / REPORT_DIVISOR;
        // A difference too small for a step is taken over, so that the share can reach 1 again.
        let smoothed = if step == 0 { to } else { from + step };
        observation.share = AdmissionShare::from(u16::try_from(smoothed).unwrap_or(0));
        observation.observed = now;
    }

    /// Takes over a share that another daemon observed `age` ago, if it is newer than the local
    /// one.
    pub fn merge(
        &mut self,
        service: &ServiceName,
        share: AdmissionShare,
        age: Duration,
        now: Instant,
    ) {
        let Some(observed) = now.checked_sub(age) else {
            return;
        };
        let known = self.observations.get(service);
        if known.is_none_or(|known| known.observed + MIN_AGE_DIFFERENCE <= observed) {
            self.observations
                .insert(service.clone(), Observation { share, observed });
        }
    }

    /// Returns the share of a service and its age; `None` if it is unknown or stale.
    #[must_use]
    pub fn get(&self, service: &ServiceName, now: Instant) -> Option<(AdmissionShare, Duration)> {
        let observation = self.observations.get(service)?;
        let age = now.saturating_duration_since(observation.observed);
        (age < MAX_AGE).then_some((observation.share, age))
    }

    /// Iterates over all shares that are not stale, with their ages.
    pub fn iter(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ServiceName, AdmissionShare, Duration)> {
        self.observations
            .iter()
            .filter_map(move |(service, observation)| {
                let age = now.saturating_duration_since(observation.observed);
                (age < MAX_AGE).then_some((service, observation.share, age))
            })
    }
}
