//! How many root requests one daemon lets be under way to a scarce service.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{Class, ServiceName};

use crate::pressure::{Pressure, Pressures};

/// Pressure above which a window is cut: some work waits at every target, so that the next
/// requests would wait, too.
const HIGH: f64 = 1.2;
/// Pressure below which a window grows.
const LOW: f64 = 0.95;
/// Time between two cuts: what a cut does is seen once the requests under way have ended.
const CUT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two steps of growth.
const GROWTH_INTERVAL: Duration = Duration::from_millis(100);
/// Growth of a window in one step.
const GROWTH: f64 = 1.06;
/// Time for which a request is under way elsewhere, over the time in the scarce service without
/// a queue. The pressure only lengthens the latter, so a cut by the whole pressure goes too far.
const ELSEWHERE: f64 = 2.0;
/// Least window: a few requests show whether the service can take more.
const LEAST_WINDOW: f64 = 2.0;
/// Time without pressure after which a window is lifted.
const LIFT_AFTER: Duration = Duration::from_secs(3);
/// Part of the window that each class may use whatever more important ones do, so that none
/// is shut out.
const CLASS_FLOOR: f64 = 0.2;
/// Further part of the window for requests that came back after a refusal: they have waited,
/// and a second refusal is their last.
const CAME_BACK_BONUS: f64 = 0.3;

/// The root requests of one daemon that are under way, by the services that they lead to.
#[derive(Debug, Default)]
pub struct Windows {
    services: HashMap<ServiceName, Window>,
}

/// The window towards one service.
#[derive(Debug)]
struct Window {
    /// Requests that may be under way; `None` while the service is not scarce.
    size: Option<f64>,
    under_way: [u32; Class::ALL.len()],
    cut: Instant,
    grown: Instant,
    /// When the pressure was last not low.
    pressed: Instant,
}

/// Why a request is refused before it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Short {
    /// The service that can't take it.
    pub service: ServiceName,
    /// Its pressure.
    pub pressure: Pressure,
    /// How old the word of it is.
    pub age: Duration,
    /// Requests that are under way to it from here.
    pub under_way: u32,
    /// Requests that may be.
    pub window: f64,
}

impl Windows {
    /// Decides whether a root request may begin that leads to these services.
    ///
    /// # Errors
    ///
    /// The first service that can't take it.
    pub fn admit<'a>(
        &mut self,
        class: Class,
        came_back: bool,
        services: impl Iterator<Item = &'a ServiceName>,
        pressures: &Pressures,
        now: Instant,
    ) -> Result<(), Short> {
        for service in services {
            let Some((pressure, age)) = pressures.of(service, now) else {
                continue;
            };
            let window = self.window(service, now);
            window.adjust(pressure.ratio(), now);
            if let Some(size) = window.size
                && !window.has_room(class, came_back, size)
            {
                return Err(Short {
                    service: service.clone(),
                    pressure,
                    age,
                    under_way: window.total(),
                    window: size,
                });
            }
        }
        Ok(())
    }

    /// Takes note that a request begins.
    pub fn begin(&mut self, class: Class, service: &ServiceName, now: Instant) {
        self.window(service, now).under_way[class.index()] += 1;
    }

    /// Takes note that it ended.
    pub fn end(&mut self, class: Class, service: &ServiceName) {
        if let Some(window) = self.services.get_mut(service) {
            let count = &mut window.under_way[class.index()];
            *count = count.saturating_sub(1);
        }
    }

    fn window(&mut self, service: &ServiceName, now: Instant) -> &mut Window {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::new(now));
        }
        self.services.get_mut(service).expect("just inserted")
    }
}

impl Window {
    fn new(now: Instant) -> Self {
        Window {
            size: None,
            under_way: [0; Class::ALL.len()],
            cut: now,
            grown: now,
            pressed: now,
        }
    }

    fn total(&self) -> u32 {
        self.under_way.iter().sum()
    }

    /// Requests under way that are at least as important.
    fn at_least(&self, class: Class) -> u32 {
        self.under_way[class.index()..].iter().sum()
    }

    fn has_room(&self, class: Class, came_back: bool, size: f64) -> bool {
        let size = if came_back {
            size * (1.0 + CAME_BACK_BONUS)
        } else {
            size
        };
        // More important requests don't wait for lesser ones to end, which then find no room.
        let taken = f64::from(self.at_least(class));
        let own = f64::from(self.under_way[class.index()]);
        taken < size || own < size * CLASS_FLOOR
    }

    fn adjust(&mut self, pressure: f64, now: Instant) {
        let total = f64::from(self.total());
        if pressure > LOW {
            self.pressed = now;
        }
        if pressure > HIGH {
            if self.size.is_none() || now.saturating_duration_since(self.cut) >= CUT_INTERVAL {
                let from = self.size.map_or(total, |size| size.min(total));
                let kept = (ELSEWHERE + 1.0) / (ELSEWHERE + pressure);
                self.size = Some((from * kept).max(LEAST_WINDOW));
                self.cut = now;
            }
            return;
        }
        let Some(size) = self.size else { return };
        if now.saturating_duration_since(self.pressed) >= LIFT_AFTER {
            self.size = None;
            return;
        }
        let due = now.saturating_duration_since(self.grown) >= GROWTH_INTERVAL;
        let used = total >= size * 0.8;
        if pressure < LOW && due && used {
            self.size = Some(size * GROWTH);
            self.grown = now;
        }
    }
}
