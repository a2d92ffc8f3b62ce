//! Prints how long after a sign of leaving the last new work starts at an instance.
//!
//! `cargo build -p proof && cargo run -p proof --example leaving_times -- target/debug/daemon-under-test`

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use futures_util::future::join_all;
use proof::{NodeSpec, Rig, Signal, fleets};
use standin::{Call, Caller};

const TRIALS: usize = 20;
const CALLERS: usize = 8;
const WARM_UP: Duration = Duration::from_millis(300);
const WATCHED: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, Debug)]
enum Sign {
    Signal,
    List,
    Drain,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let program = std::env::args()
        .nth(1)
        .context("allowed: PATH of the daemon")?;
    println!(
        "{:<8} {:>7} {:>7} {:>7} {:>7}",
        "sign", "least", "median", "most", "lost"
    );
    for sign in [Sign::Signal, Sign::List, Sign::Drain] {
        let mut times = Vec::new();
        let mut lost = 0;
        for _ in 0..TRIALS {
            let (time, failed) = trial(&program, sign).await?;
            times.push(time.as_millis());
            lost += failed;
        }
        times.sort_unstable();
        let (least, median, most) = (times[0], times[TRIALS / 2], times[TRIALS - 1]);
        println!("{sign:<8?} {least:>4} ms {median:>4} ms {most:>4} ms {lost:>7}");
    }
    Ok(())
}

/// Returns the time from the sign to the last start at the instance, and how many calls
/// through other daemons were not answered.
async fn trial(program: &str, sign: Sign) -> anyhow::Result<(Duration, usize)> {
    let mut builder = Rig::builder(program).document(fleets::arriaga());
    for id in [
        "caja-a1",
        "caja-a2",
        "caja-b1",
        "reservas-a1",
        "reservas-b1",
    ] {
        let (service, place) = id.split_once('-').context("service-place")?;
        builder = builder.node(NodeSpec::new(
            service,
            &format!("norte-{}", &place[..1]),
            id,
        ));
    }
    let mut rig = builder.start().await?;
    let closed = Arc::new(AtomicBool::new(false));
    let entries = ["reservas-a1", "reservas-b1"].map(|id| rig.node(id).callers());
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call_on(entries[n % 2], Arc::clone(&closed))))
        .collect();
    tokio::time::sleep(WARM_UP).await;
    let told = Instant::now();
    match sign {
        Sign::Signal => rig.node("caja-a1").daemon.signal(Signal::Terminate).await,
        Sign::List => rig.list_leaving("caja-a1"),
        Sign::Drain => rig.node("caja-a1").target.drain(),
    }
    tokio::time::sleep(WATCHED).await;
    closed.store(true, Ordering::Relaxed);
    let lost = join_all(callers)
        .await
        .into_iter()
        .map(Result::unwrap_or_default);
    let lost = lost.sum();
    let runs = rig.ledger.runs();
    let starts = runs
        .iter()
        .filter(|run| run.instance == "caja-a1")
        .map(|run| run.started);
    let newest = starts.max().context("no run at the instance")?;
    Ok((newest.saturating_duration_since(told), lost))
}

async fn call_on(entry: SocketAddr, closed: Arc<AtomicBool>) -> usize {
    let caller = Caller::new();
    let mut lost = 0;
    while !closed.load(Ordering::Relaxed) {
        let call = Call::new("caja", "balance", "t").answer_bytes(100);
        let answered = caller.send(entry, &call).await;
        lost += usize::from(!answered.is_ok_and(|reply| reply.answers(&call)));
    }
    lost
}
