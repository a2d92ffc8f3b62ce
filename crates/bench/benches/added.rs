//! Latency that the two daemons on a call's way add to it, against the same call direct.
//!
//! Direct calls and calls through the daemons alternate, so that both see the same machine.

use std::time::{Duration, Instant};

use bench::{Row, Verdict};
use config::{Document, Operation, Service};
use daemon::Identity;
use hdrhistogram::Histogram;
use model::{Class, Goal, Revision};
use standin::{Call, Caller, LocalFleet, TargetConfig};

/// Bound of the users for 99 calls in 100.
const BOUND: Duration = Duration::from_micros(870);
const SLOTS: u32 = 160;
const CALLERS: usize = 4;
const WARM_UP_CALLS: usize = 200;
const CALLS: usize = 4_000;
/// Pause of one caller between two calls, which keeps the daemons at half load or less.
const PAUSE: Duration = Duration::from_millis(4);

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() -> anyhow::Result<()> {
    let fleet = LocalFleet::start(&document(), instances()).await?;
    let entry = fleet.entries("front")[0];
    let target = fleet
        .instances_of("back")
        .next()
        .expect("one back instance")
        .target
        .address();
    let callers = (0..CALLERS).map(|_| {
        tokio::spawn(async move {
            let caller = Caller::new();
            let mut direct = histogram();
            let mut through = histogram();
            for number in 0..WARM_UP_CALLS + CALLS {
                tokio::time::sleep(PAUSE).await;
                let call = Call::new("back", "read", "a").answer_bytes(256);
                let straight = timed(&caller, target, &call.clone().direct()).await;
                let crossed = timed(&caller, entry, &call).await;
                if number >= WARM_UP_CALLS {
                    direct.saturating_record(straight);
                    through.saturating_record(crossed);
                }
            }
            (direct, through)
        })
    });
    let (mut direct, mut through) = (histogram(), histogram());
    for caller in callers.collect::<Vec<_>>() {
        let (one_direct, one_through) = caller.await?;
        direct.add(one_direct)?;
        through.add(one_through)?;
    }
    bench::print_header();
    for (name, quantile) in [("added p50", 0.5), ("added p99", 0.99)] {
        let (straight, crossed) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        let added = crossed.saturating_sub(straight);
        Row {
            name,
            baseline: format!("{straight} us"),
            berylhead: format!("{crossed} us, {added} us added"),
            bound: format!("{} us added", BOUND.as_micros()),
            verdict: Verdict::at_most(u128::from(added), BOUND.as_micros()),
        }
        .print();
    }
    fleet.stop().await;
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

async fn timed(caller: &Caller, to: std::net::SocketAddr, call: &Call) -> u64 {
    let started = Instant::now();
    let reply = caller.send(to, call).await.expect("an answer");
    assert!(reply.answers(call), "{}", reply.summary());
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn document() -> Document {
    let service = |name: &str| Service {
        name: name.into(),
        slots: SLOTS,
        connections: 1_000,
        refusal_means_not_run: false,
        operations: vec![Operation {
            name: "read".into(),
            class: Class::Standard,
            worth: 1,
            repeatable: true,
            entry: true,
            deadline_ms: 2_000,
            objective_permille: 990,
            calls: Vec::new(),
        }],
    };
    Document {
        revision: Revision::from(1),
        goal: Goal::Goodput,
        retry_budget: 2,
        retry_percent: 10,
        services: vec![service("back"), service("front")],
    }
}

fn instances() -> Vec<(Identity, TargetConfig)> {
    ["back", "front"]
        .map(|service| {
            let identity = Identity {
                id: format!("{service}-a1").into(),
                service: service.into(),
                data_centre: "a".into(),
                region: "r".into(),
            };
            let target = TargetConfig::new(service, &format!("{service}-a1"), SLOTS as usize);
            (identity, target)
        })
        .into()
}
