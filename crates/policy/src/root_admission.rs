//! Admission of root requests at their origin, by the shares of the services that they depend on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{Class, ServiceName};

use crate::admission_share::AdmissionShare;
use crate::shares::AdmissionShares;

/// Number of requests after which the counts of a service are halved, so that they follow changes.
/// An origin that gets few requests thus keeps its counts for longer.
const HALVING_COUNT: u32 = 64;
/// Requests of the least important known class that are assumed in addition to those counted, so
/// that an origin that has seen a few important ones does not take them for the usual mix.
const ASSUMED_COUNT: u32 = 16;
/// Part of a service's share that each class gets regardless of more important ones, so that no
/// class is starved.
const CLASS_MIN_SHARE: f64 = 0.25;
/// Factor on the share of a class for requests retried after a refusal: they have already waited,
/// and their callers do not retry after a second refusal. It must not outweigh importance, as the
/// retries of a class that is mostly refused are many.
const RETRY_FACTOR: f64 = 1.3;

/// Decides which root requests of one origin may start.
///
/// Each overloaded service publishes the share of its demand that it can bear. It goes to the most
/// important classes first; within a class, the hash of a request decides. The decision on one
/// request does not depend on others in flight, so it is the same whether one origin gets all
/// requests or each of a thousand gets a few.
#[derive(Debug, Default)]
pub struct RootAdmission {
    services: HashMap<ServiceName, ClassCounts>,
}

/// A root request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct RootRequest {
    /// Priority class.
    pub class: Class,
    /// Uniform hash of the request id.
    pub shed_hash: u64,
    /// True if the request is retried after a refusal.
    pub is_retry: bool,
}

/// The overloaded service that can't bear a request, which is therefore refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed {
    /// The overloaded service.
    pub service: ServiceName,
    /// Share of its demand that it can bear.
    pub share: AdmissionShare,
    /// Age of that share.
    pub age: Duration,
    /// Share of the request's class that is admitted.
    pub class_share: f64,
}

/// Recent root requests that depend on one service, by class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts([u32; Class::ALL.len()]);

impl RootAdmission {
    /// Decides whether a root request that depends on `services` may start, and counts it.
    ///
    /// # Errors
    ///
    /// Returns the service that admits the smallest share of the request's class if the request
    /// isn't part of it.
    pub fn admit<'a>(
        &mut self,
        request: &RootRequest,
        services: impl Iterator<Item = &'a ServiceName>,
        shares: &AdmissionShares,
        now: Instant,
    ) -> Result<(), Shed> {
        let mut scarcest: Option<Shed> = None;
        for service in services {
            let counts = self.counts(service);
            counts.record(request.class);
            let Some((share, age)) = shares.get(service, now) else {
                continue;
            };
            let class_share = counts.class_share(request.class, share.ratio());
            if scarcest
                .as_ref()
                .is_none_or(|known| class_share < known.class_share)
            {
                scarcest = Some(Shed {
                    service: service.clone(),
                    share,
                    age,
                    class_share,
                });
            }
        }
        match scarcest {
            Some(shed) if !request.is_within(shed.class_share) => Err(shed),
            _ => Ok(()),
        }
    }

    fn counts(&mut self, service: &ServiceName) -> &mut ClassCounts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ClassCounts::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }
}

impl RootRequest {
    /// True if the request is in the admitted share of its class.
    fn is_within(&self, class_share: f64) -> bool {
        let admitted = if self.is_retry {
            class_share * RETRY_FACTOR
        } else {
            class_share
        };
        // The leading bits suffice, and they convert without loss.
        let position = f64::from(u32::try_from(self.shed_hash >> 32).unwrap_or(u32::MAX));
        position < admitted * f64::from(u32::MAX)
    }
}

impl ClassCounts {
    fn record(&mut self, class: Class) {
        self.0[class.index()] += 1;
        if self.0.iter().sum::<u32>() >= HALVING_COUNT {
            for count in &mut self.0 {
                *count /= 2;
            }
        }
    }

    /// Share of a class that is admitted if `share` of all requests is.
    fn class_share(&self, class: Class, share: f64) -> f64 {
        let lowest = Class::ALL.iter().find(|class| self.0[class.index()] > 0);
        let count = |class: &Class| {
            let assumed = if lowest == Some(class) {
                ASSUMED_COUNT
            } else {
                0
            };
            f64::from(self.0[class.index()] + assumed)
        };
        let total: f64 = Class::ALL.iter().map(count).sum();
        let min_share = share * CLASS_MIN_SHARE;
        let mut rest = total * (share - min_share);
        for candidate in Class::ALL.iter().rev() {
            let wanted = count(candidate) * (1.0 - min_share);
            if *candidate == class {
                return if wanted > 0.0 {
                    min_share + (1.0 - min_share) * (rest / wanted).min(1.0)
                } else {
                    1.0
                };
            }
            rest = (rest - wanted).max(0.0);
        }
        1.0
    }
}
