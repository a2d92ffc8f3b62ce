//! One run of a scenario on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use model::{Class, OperationKey};
use policy::{Permit, RunOutcome, Work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::scenario::{Scenario, gap, service_time};
use crate::server::{Changes, Server};

/// Length of the slices in which goodput is counted for the return to normal.
const SLICE: Duration = Duration::from_millis(250);
/// Slices that must pass at a stretch for goodput to be back.
const STEADY_SLICES: usize = 4;

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    /// Worth answered in time during the overload, of what the slots could do.
    pub(crate) goodput_percent: f64,
    /// Calls answered in time during the overload, of those made, by class.
    pub(crate) class_percent: [f64; 4],
    /// Slot time spent on calls that were not answered in time, of all slot time.
    pub(crate) wasted_percent: f64,
    /// Longest wait of one in a hundred critical calls.
    pub(crate) critical_wait: Duration,
    /// Time from the end of the overload until goodput is back at 95%.
    pub(crate) back: Duration,
}

struct Call {
    work: Work,
    time: Duration,
    started: Option<Instant>,
    permit: Option<Permit>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    End(usize),
}

struct Run<'a> {
    scenario: &'a Scenario,
    server: Server,
    rng: SmallRng,
    begin: Instant,
    calls: Vec<Call>,
    steps: BinaryHeap<Reverse<(Instant, Step)>>,
    slices: Vec<f64>,
    offered: [u32; 4],
    answered: [u32; 4],
    worth: f64,
    spent: f64,
    wasted: f64,
    waits: Vec<Duration>,
    running: u32,
}

/// Runs a scenario against a server.
pub(crate) fn run(scenario: &Scenario, server: Server, begin: Instant, seed: u64) -> Figures {
    let length: Duration = scenario.phases.iter().map(|phase| phase.length).sum();
    let slices = length.as_millis() / SLICE.as_millis();
    let mut run = Run {
        scenario,
        server,
        rng: SmallRng::seed_from_u64(seed),
        begin,
        calls: Vec::new(),
        steps: BinaryHeap::new(),
        slices: vec![0.0; usize::try_from(slices).unwrap_or(0)],
        offered: [0; 4],
        answered: [0; 4],
        worth: 0.0,
        spent: 0.0,
        wasted: 0.0,
        waits: Vec::new(),
        running: 0,
    };
    for kind in 0..scenario.kinds.len() {
        run.schedule_arrivals(kind);
    }
    while let Some(Reverse((now, step))) = run.steps.pop() {
        if now >= begin + length {
            break;
        }
        run.step(step, now);
    }
    run.figures()
}

impl Run<'_> {
    fn schedule_arrivals(&mut self, kind_index: usize) {
        let kind = self.scenario.kinds[kind_index];
        let mut phase_begin = self.begin;
        for phase in &self.scenario.phases {
            let rate = self.scenario.rate(&kind, phase.load);
            let mut at = phase_begin + gap(&mut self.rng, rate);
            while at < phase_begin + phase.length {
                let work = Work {
                    class: kind.class,
                    worth: kind.worth,
                    shed_hash: self.rng.random(),
                    attempt: 0,
                    arrived: at,
                    deadline: at + kind.deadline,
                    operation: OperationKey(u16::try_from(kind_index).unwrap_or(0)),
                };
                let time = service_time(&mut self.rng, kind.mean.mul_f64(phase.slowness));
                self.steps
                    .push(Reverse((at, Step::Arrive(self.calls.len()))));
                self.calls.push(Call {
                    work,
                    time,
                    started: None,
                    permit: None,
                });
                at += gap(&mut self.rng, rate);
            }
            phase_begin += phase.length;
        }
    }

    fn step(&mut self, step: Step, now: Instant) {
        let mut changes = Changes::default();
        match step {
            Step::Arrive(call) => {
                let work = self.calls[call].work;
                if self.in_overload(now) {
                    self.offered[work.class.index()] += 1;
                }
                self.server.offer(call, work, now, &mut changes);
            }
            Step::End(call) => {
                let end = self.end(call, now);
                let permit = self.calls[call].permit;
                self.server.finish(permit, end, now, &mut changes);
            }
        }
        for (call, permit) in changes.started {
            self.start(call, permit, now);
        }
    }

    fn start(&mut self, index: usize, permit: Option<Permit>, now: Instant) {
        let cancels = self.server.cancels();
        let in_overload = self.in_overload(now);
        let crowding = self.scenario.crowding(self.running);
        self.running += 1;
        let call = &mut self.calls[index];
        call.time = call.time.mul_f64(crowding);
        call.started = Some(now);
        call.permit = permit;
        if call.work.class == Class::Critical && in_overload {
            self.waits
                .push(now.saturating_duration_since(call.work.arrived));
        }
        let end = now + call.time;
        let end = if cancels {
            end.min(call.work.deadline)
        } else {
            end
        };
        self.steps.push(Reverse((end, Step::End(index))));
    }

    fn end(&mut self, index: usize, now: Instant) -> RunOutcome {
        self.running -= 1;
        let call = &self.calls[index];
        let work = call.work;
        let ran = now.saturating_duration_since(call.started.unwrap_or(now));
        let whole = ran >= call.time && now <= work.deadline;
        self.spent += ran.as_secs_f64();
        if !whole {
            self.wasted += ran.as_secs_f64();
            return RunOutcome::Cancelled;
        }
        let worth = f64::from(work.worth);
        let slice = now.saturating_duration_since(self.begin).as_millis() / SLICE.as_millis();
        if let Some(sum) = usize::try_from(slice)
            .ok()
            .and_then(|slice| self.slices.get_mut(slice))
        {
            *sum += worth;
        }
        if self.in_overload(work.arrived) {
            self.answered[work.class.index()] += 1;
        }
        if self.in_overload(now) {
            self.worth += worth;
        }
        RunOutcome::Answered
    }

    fn in_overload(&self, at: Instant) -> bool {
        let begin = self.begin + self.scenario.phases[0].length;
        let end = begin + self.scenario.phases[1].length;
        (begin..end).contains(&at)
    }

    fn figures(mut self) -> Figures {
        let overload = self.scenario.phases[1];
        let best = self.scenario.best_worth(overload) * overload.length.as_secs_f64();
        let mut class_percent = [0.0; 4];
        for (percent, (answered, offered)) in class_percent
            .iter_mut()
            .zip(self.answered.iter().zip(&self.offered))
        {
            *percent = 100.0 * f64::from(*answered) / f64::from((*offered).max(1));
        }
        self.waits.sort_unstable();
        let rank = self.waits.len() * 99 / 100;
        Figures {
            goodput_percent: 100.0 * self.worth / best,
            class_percent,
            wasted_percent: 100.0 * self.wasted / self.spent.max(1e-9),
            critical_wait: self.waits.get(rank).copied().unwrap_or_default(),
            back: self.back(),
        }
    }

    /// Time from the end of the overload to the first steady second of normal goodput.
    fn back(&self) -> Duration {
        let end = self.scenario.phases[0].length + self.scenario.phases[1].length;
        let first = usize::try_from(end.as_millis() / SLICE.as_millis()).unwrap_or(0);
        let normal = self.scenario.best_worth(self.scenario.phases[2]);
        let wanted = 0.95 * normal * SLICE.as_secs_f64();
        let after = &self.slices[first..];
        let steady = after
            .windows(STEADY_SLICES)
            .position(|slices| slices.iter().sum::<f64>() >= 4.0 * wanted);
        let slices = steady.unwrap_or(after.len());
        SLICE * u32::try_from(slices).unwrap_or(u32::MAX)
    }
}
