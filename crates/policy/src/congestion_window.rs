//! Limits on the root requests that one daemon has in flight towards an overloaded service.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{Class, ServiceName};

use crate::pressure::{Pressure, Pressures};

/// Pressure above which a window is cut: every target has a queue, so further requests would
/// wait as well.
const CUT_ABOVE: f64 = 1.2;
/// Pressure below which a window grows.
const GROW_BELOW: f64 = 0.95;
/// Minimum time between two cuts: a cut takes effect only once the requests in flight have ended.
const CUT_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between two growth steps.
const GROWTH_INTERVAL: Duration = Duration::from_millis(100);
/// Factor by which a window grows in one step.
const GROWTH_FACTOR: f64 = 1.06;
/// Time that a request spends outside the overloaded service, relative to its time inside it
/// without queueing. Pressure lengthens only the time inside, so dividing the window by the
/// whole pressure would cut it too far.
const OUTSIDE_TIME_RATIO: f64 = 2.0;
/// Smallest window: a few requests must get through to show whether the service has recovered.
const MIN_WINDOW: f64 = 2.0;
/// Time of continuously low pressure after which a window is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(3);
/// Part of the window that each class may use regardless of more important classes, so that no
/// class is starved.
const CLASS_MIN_SHARE: f64 = 0.2;
/// Additional part of the window for requests retried after a refusal: they have already waited,
/// and their clients do not retry after a second refusal.
const RETRY_BONUS: f64 = 0.3;

/// Congestion windows of one daemon, one per downstream service.
///
/// A window bounds the root requests in flight that depend on a service. It exists only while
/// the service is under pressure: high pressure cuts it, low pressure lets it grow.
#[derive(Debug, Default)]
pub struct CongestionWindows {
    services: HashMap<ServiceName, CongestionWindow>,
}

/// The congestion window of one service.
#[derive(Debug)]
struct CongestionWindow {
    /// Maximum number of requests in flight; `None` while the service is not overloaded.
    size: Option<f64>,
    in_flight: [u32; Class::ALL.len()],
    last_cut: Instant,
    last_growth: Instant,
    /// When the pressure was last above [`GROW_BELOW`].
    last_under_pressure: Instant,
}

/// The congestion window that has no room for a request, which is therefore refused.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowFull {
    /// The overloaded service.
    pub service: ServiceName,
    /// Its last known pressure.
    pub pressure: Pressure,
    /// Age of that pressure.
    pub age: Duration,
    /// Requests of this daemon in flight that depend on the service.
    pub in_flight: u32,
    /// Maximum number of them.
    pub window: f64,
}

impl CongestionWindows {
    /// Checks whether a root request that depends on `services` may start.
    ///
    /// `is_retry` is true for a request that is retried after a refusal. The windows are
    /// adjusted to the current pressures first; an admitted request is not counted until
    /// [`begin`](CongestionWindows::begin) is called.
    ///
    /// # Errors
    ///
    /// Returns the first service whose window has no room.
    pub fn admit<'a>(
        &mut self,
        class: Class,
        is_retry: bool,
        services: impl Iterator<Item = &'a ServiceName>,
        pressures: &Pressures,
        now: Instant,
    ) -> Result<(), WindowFull> {
        for service in services {
            let Some((pressure, age)) = pressures.get(service, now) else {
                continue;
            };
            let window = self.window(service, now);
            window.adjust(pressure.ratio(), now);
            if let Some(size) = window.size
                && !window.has_room(class, is_retry, size)
            {
                return Err(WindowFull {
                    service: service.clone(),
                    pressure,
                    age,
                    in_flight: window.total(),
                    window: size,
                });
            }
        }
        Ok(())
    }

    /// Counts a request that starts and depends on `service`.
    pub fn begin(&mut self, class: Class, service: &ServiceName, now: Instant) {
        self.window(service, now).in_flight[class.index()] += 1;
    }

    /// Counts the end of a request that was counted by [`begin`](CongestionWindows::begin).
    pub fn end(&mut self, class: Class, service: &ServiceName) {
        if let Some(window) = self.services.get_mut(service) {
            let count = &mut window.in_flight[class.index()];
            *count = count.saturating_sub(1);
        }
    }

    fn window(&mut self, service: &ServiceName, now: Instant) -> &mut CongestionWindow {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), CongestionWindow::new(now));
        }
        self.services.get_mut(service).expect("just inserted")
    }
}

impl CongestionWindow {
    fn new(now: Instant) -> Self {
        CongestionWindow {
            size: None,
            in_flight: [0; Class::ALL.len()],
            last_cut: now,
            last_growth: now,
            last_under_pressure: now,
        }
    }

    fn total(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Requests in flight of this class and of more important ones.
    fn in_flight_from(&self, class: Class) -> u32 {
        self.in_flight[class.index()..].iter().sum()
    }

    fn has_room(&self, class: Class, is_retry: bool, size: f64) -> bool {
        let size = if is_retry {
            size * (1.0 + RETRY_BONUS)
        } else {
            size
        };
        // Less important requests are not counted, so they never block more important ones.
        let in_flight = f64::from(self.in_flight_from(class));
        let own = f64::from(self.in_flight[class.index()]);
        in_flight < size || own < size * CLASS_MIN_SHARE
    }

    fn adjust(&mut self, pressure: f64, now: Instant) {
        let total = f64::from(self.total());
        if pressure > GROW_BELOW {
            self.last_under_pressure = now;
        }
        if pressure > CUT_ABOVE {
            if self.size.is_none() || now.saturating_duration_since(self.last_cut) >= CUT_INTERVAL {
                let from = self.size.map_or(total, |size| size.min(total));
                let kept = (OUTSIDE_TIME_RATIO + 1.0) / (OUTSIDE_TIME_RATIO + pressure);
                self.size = Some((from * kept).max(MIN_WINDOW));
                self.last_cut = now;
            }
            return;
        }
        let Some(size) = self.size else { return };
        if now.saturating_duration_since(self.last_under_pressure) >= REMOVE_AFTER {
            self.size = None;
            return;
        }
        let is_due = now.saturating_duration_since(self.last_growth) >= GROWTH_INTERVAL;
        let is_used = total >= size * 0.8;
        if pressure < GROW_BELOW && is_due && is_used {
            self.size = Some(size * GROWTH_FACTOR);
            self.last_growth = now;
        }
    }
}
