//! Time that a streamed answer may take.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::HeaderValue;
use tokio::task::JoinHandle;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time after the deadline for which a body of announced length may still be read by a slow receiver.
const SLOW_RECEIVER_TIME: Duration = Duration::from_secs(5);

/// Time that a streamed answer may take.
pub(crate) struct TimeLimit {
    end: Pin<Box<Sleep>>,
    /// Releases the sender at `end`, even if the answer is not polled.
    release: JoinHandle<()>,
    /// Time for which the sender may still keep the daemon waiting; `None` if only `end` counts.
    wait_left: Option<Duration>,
    /// The wait for the sender that is going on, with the time at which it has lasted too long.
    waiting: Option<Wait>,
    /// Id of the request, for the log.
    id: HeaderValue,
}

impl Drop for TimeLimit {
    fn drop(&mut self) {
        self.release.abort();
    }
}

struct Wait {
    since: Instant,
    end: Pin<Box<Sleep>>,
}

impl TimeLimit {
    /// The answer may take until the deadline, whoever is slow. Then `release` is called.
    pub(crate) fn until(
        deadline: Instant,
        id: &HeaderValue,
        release: impl FnOnce() + 'static,
    ) -> Self {
        Self::new(deadline, None, id, release)
    }

    /// The sender may keep the daemon waiting for the time that is left until the deadline. The
    /// receiver may take [`SLOW_RECEIVER_TIME`] longer. Then `release` is called.
    pub(crate) fn of_sender(
        deadline: Instant,
        now: Instant,
        id: &HeaderValue,
        release: impl FnOnce() + 'static,
    ) -> Self {
        let wait = deadline.saturating_duration_since(now);
        Self::new(deadline + SLOW_RECEIVER_TIME, Some(wait), id, release)
    }

    fn new(
        end: Instant,
        wait_left: Option<Duration>,
        id: &HeaderValue,
        release: impl FnOnce() + 'static,
    ) -> Self {
        let release = tokio::task::spawn_local(async move {
            sleep_until(end).await;
            release();
        });
        TimeLimit {
            end: Box::pin(sleep_until(end)),
            release,
            wait_left,
            waiting: None,
            id: id.clone(),
        }
    }

    /// Completes when the answer has taken too long as a whole.
    pub(crate) fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let poll = self.end.as_mut().poll(cx);
        self.log_if_ready(poll)
    }

    /// Records whether the daemon waits for the sender now. Completes when it has waited for too
    /// long in all.
    pub(crate) fn poll_wait(&mut self, is_waiting: bool, cx: &mut Context<'_>) -> Poll<()> {
        let Some(left) = self.wait_left else {
            return Poll::Pending;
        };
        let now = Instant::now();
        if !is_waiting {
            if let Some(wait) = self.waiting.take() {
                let waited = now.saturating_duration_since(wait.since);
                self.wait_left = Some(left.saturating_sub(waited));
            }
            return Poll::Pending;
        }
        let wait = self.waiting.get_or_insert_with(|| Wait {
            since: now,
            end: Box::pin(sleep_until(now + left)),
        });
        let poll = wait.end.as_mut().poll(cx);
        self.log_if_ready(poll)
    }

    fn log_if_ready(&self, poll: Poll<()>) -> Poll<()> {
        if poll.is_ready() {
            log::info!(
                id = self.id.to_str().unwrap_or("unprintable"),
                announced_length = self.wait_left.is_some(),
                sender_was_slow = self.waiting.is_some();
                "answer broken off"
            );
        }
        poll
    }
}
