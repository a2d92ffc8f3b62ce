//! The pattern: callers come in a burst, and what runs out first lies deep behind them. Each
//! request works for a while and then calls a service with few slots five times in a row.
//!
//! Refusing its calls would waste the request, so the windows keep requests from beginning.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{Class, ServiceName};
use policy::{Load, PressureMeter, Pressures, Windows};

/// Slots of the deep service.
const SLOTS: u32 = 40;
/// Time that one of its calls takes.
const CALL_MS: u64 = 40;
/// Calls of one request.
const CALLS: u32 = 5;
/// Time that a request takes before its calls.
const BEFORE_MS: u64 = 160;
/// Time after which an answer is worth nothing.
const TIMEOUT_MS: u64 = 1_000;
/// Time until a daemon hears of the pressure.
const NEWS_MS: u64 = 60;
/// Requests that the deep service can bear in a second: its slots over the time of five calls.
const CAPACITY_PER_SECOND: f64 = 200.0;

/// A request that has begun.
#[derive(Clone, Copy, Debug)]
struct Request {
    class: Class,
    arrived: u64,
    /// When its present step ends.
    step_ends: u64,
    calls_left: u32,
}

/// What became of the requests of one class that arrived in a span of time.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    in_time: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

/// Plays `seconds` of load over the capacity by `factor` until `burst_ends`, and half of the
/// capacity after it; three of ten requests are critical.
struct Day {
    factor: f64,
    burst_ends: u64,
    seconds: u64,
    guarded: bool,
}

impl Day {
    /// Tallies of critical and browsing requests, by the second of their arrival.
    fn play(&self) -> Vec<[Tally; 2]> {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let service = ServiceName::from("deep");
        let mut windows = Windows::default();
        let mut pressures = Pressures::default();
        let mut meter = PressureMeter::new(start);
        let mut news = VecDeque::new();
        let (mut working, mut running, mut queue) = (Vec::new(), Vec::new(), VecDeque::new());
        let mut tallies = vec![[Tally::default(); 2]; usize::try_from(self.seconds).unwrap()];
        let (mut due, mut count) = (0.0, 0_u64);
        for now in 0..self.seconds * 1_000 {
            let factor = if now < self.burst_ends {
                self.factor
            } else {
                0.5
            };
            due += CAPACITY_PER_SECOND * factor / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                count += 1;
                let class = if count % 10 < 3 {
                    Class::Critical
                } else {
                    Class::Browse
                };
                tally(&mut tallies, class, now).arrived += 1;
                let services = std::iter::once(&service);
                let admitted = windows.admit(class, false, services, &pressures, at(now));
                if self.guarded && admitted.is_err() {
                    continue;
                }
                windows.begin(class, &service, at(now));
                working.push(Request {
                    class,
                    arrived: now,
                    step_ends: now + BEFORE_MS,
                    calls_left: CALLS,
                });
            }
            working.retain(|request: &Request| {
                let waits = request.step_ends <= now;
                if waits {
                    queue.push_back(*request);
                }
                !waits
            });
            running.retain_mut(|request: &mut Request| {
                if request.step_ends > now {
                    return true;
                }
                request.calls_left -= 1;
                if request.calls_left > 0 {
                    queue.push_back(*request);
                } else {
                    windows.end(request.class, &service);
                    let in_time = now - request.arrived <= TIMEOUT_MS;
                    tally(&mut tallies, request.class, request.arrived).in_time +=
                        u32::from(in_time);
                }
                false
            });
            queue.retain(|request: &Request| {
                let given_up = now - request.arrived > TIMEOUT_MS;
                if given_up {
                    windows.end(request.class, &service);
                }
                !given_up
            });
            while running.len() < SLOTS as usize
                && let Some(mut request) = next(&mut queue)
            {
                request.step_ends = now + CALL_MS;
                running.push(request);
            }
            let load = Load {
                in_flight: u32::try_from(running.len()).unwrap(),
                limit: SLOTS,
                queued: u32::try_from(queue.len()).unwrap(),
                queue_delay: Duration::ZERO,
                floor: Class::Bulk,
            };
            meter.observe(&load, at(now));
            news.push_back((now + NEWS_MS, meter.pressure()));
            while let Some((_, pressure)) = news.pop_front_if(|(due, _)| *due <= now) {
                pressures.report(&service, pressure, at(now));
            }
        }
        tallies
    }
}

/// The most important that waits, the oldest of them first.
fn next(queue: &mut VecDeque<Request>) -> Option<Request> {
    let best = (0..queue.len()).max_by_key(|&n| (queue[n].class, std::cmp::Reverse(n)))?;
    queue.remove(best)
}

fn tally(tallies: &mut [[Tally; 2]], class: Class, arrived: u64) -> &mut Tally {
    let second = usize::try_from(arrived / 1_000).unwrap();
    &mut tallies[second][usize::from(class == Class::Browse)]
}

fn sum(tallies: &[[Tally; 2]], class: usize) -> Tally {
    tallies.iter().fold(Tally::default(), |sum, second| Tally {
        arrived: sum.arrived + second[class].arrived,
        in_time: sum.in_time + second[class].in_time,
    })
}

#[test]
fn twice_the_capacity_serves_what_matters_and_most_of_what_fits() {
    let day = Day {
        factor: 2.0,
        burst_ends: 10_000,
        seconds: 10,
        guarded: true,
    };
    let tallies = day.play();
    let critical = sum(&tallies[1..9], 0);
    let browsing = sum(&tallies[1..9], 1);
    assert!(critical.share() >= 0.95, "critical: {critical:?}");
    let served = f64::from(critical.in_time + browsing.in_time);
    let fits = CAPACITY_PER_SECOND * 8.0;
    assert!(served >= 0.8 * fits, "{served} of {fits} that fit");
    assert!(browsing.share() >= 0.2, "browsing: {browsing:?}");
}

#[test]
fn without_windows_the_depth_works_for_requests_that_come_late() {
    let day = Day {
        factor: 2.0,
        burst_ends: 10_000,
        seconds: 10,
        guarded: false,
    };
    let tallies = day.play();
    let browsing = sum(&tallies[2..9], 1);
    assert!(browsing.share() < 0.2, "browsing: {browsing:?}");
}

#[test]
fn service_is_back_two_seconds_after_the_burst() {
    let day = Day {
        factor: 3.0,
        burst_ends: 5_000,
        seconds: 9,
        guarded: true,
    };
    let tallies = day.play();
    for class in 0..2 {
        let after = sum(&tallies[7..8], class);
        assert!(after.share() >= 0.95, "class {class}: {after:?}");
    }
}
