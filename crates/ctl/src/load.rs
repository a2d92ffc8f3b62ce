//! `berylctl load`: sends open-loop arrivals with the mix of the questionnaire.

use std::time::Duration;

use anyhow::anyhow;
use indicatif::{ProgressBar, ProgressStyle};
use standin::{Load, Phase, RetryPolicy};
use survey::Answers;

use crate::cli::LoadOptions;
use crate::failure::Failure;
use crate::output::{self, Style};
use crate::{mix, questionnaire, tally};

/// Interval at which the progress bar is redrawn.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) async fn run(options: LoadOptions) -> Result<(), Failure> {
    let answers = questionnaire::read(&options.answers)?;
    let rate = options
        .rate
        .map_or_else(|| mix::total_rate(&answers), f64::from);
    let shares = mix::shares(&answers);
    if shares.is_empty() || rate <= 0.0 {
        let error = anyhow!("no requests enter anywhere; give rate_per_s in the answers");
        return Err(Failure::bad_input(error));
    }
    let load = Load {
        seed: options.seed,
        entries: options.daemons,
        shares,
        phases: vec![Phase {
            length: Duration::from_secs(options.seconds.into()),
            rate,
        }],
        retry_policy: manner(options.retry_hard, options.tries),
    };
    let report = with_progress(&load.phases.clone(), load.run()).await;
    output::print(&tally::table(&report, Style::of_stdout()))
}

/// Returns how callers retry: with `retry_hard`, whatever failed, at once; otherwise only what was
/// not run, after the pause that the refusal asks for.
pub(crate) fn manner(retry_hard: bool, tries: u16) -> RetryPolicy {
    if retry_hard {
        RetryPolicy::RetryHard { tries }
    } else {
        RetryPolicy::Polite { tries }
    }
}

/// Runs a future that follows a schedule of phases, and shows a progress bar over the length of
/// the schedule meanwhile.
pub(crate) async fn with_progress<T>(phases: &[Phase], future: impl Future<Output = T>) -> T {
    let length: Duration = phases.iter().map(|phase| phase.length).sum();
    let seconds = length.as_secs();
    let bar = ProgressBar::new(seconds);
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} s");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let start = tokio::time::Instant::now();
    tokio::pin!(future);
    loop {
        tokio::select! {
            result = &mut future => {
                bar.finish_and_clear();
                return result;
            }
            () = tokio::time::sleep(PROGRESS_INTERVAL) => {
                bar.set_position(start.elapsed().as_secs().min(seconds));
            }
        }
    }
}

/// Returns the total rate of the answers in requests per second, scaled down.
pub(crate) fn scaled_rate(answers: &Answers, scale_percent: u32) -> f64 {
    mix::total_rate(answers) * f64::from(scale_percent) / 100.0
}
