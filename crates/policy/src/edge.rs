//! Retry limit of one edge of the call graph, as a share of its first tries.

use std::time::{Duration, Instant};

/// Tokens that one retry costs.
const RETRY_COST: u32 = 100;
/// Capacity of the bucket, and largest debt, in tokens: ten retries.
const MAX_TOKENS: u32 = 10 * RETRY_COST;
/// Idle time after which the bucket is cut to the tokens of one retry.
const TOKEN_LIFETIME: Duration = Duration::from_secs(10);

/// Token bucket that limits the retries of one edge to a share of its first tries.
///
/// Each first try adds `percent` tokens, and a retry costs 100. Over any sequence of
/// calls, the retries are at most `percent` per hundred first tries, plus the one retry
/// that a new bucket contains and the bounded debt of [`spend_or_borrow`].
///
/// [`spend_or_borrow`]: EdgeRetries::spend_or_borrow
#[derive(Clone, Debug)]
pub struct EdgeRetries {
    percent: u16,
    tokens: u32,
    debt: u32,
    last_use: Instant,
}

impl EdgeRetries {
    /// Creates the bucket of an edge with `percent` retries per hundred first tries.
    #[must_use]
    pub fn new(percent: u16, now: Instant) -> Self {
        let tokens = if percent == 0 { 0 } else { RETRY_COST };
        EdgeRetries {
            percent,
            tokens,
            debt: 0,
            last_use: now,
        }
    }

    /// Changes the share. The tokens in the bucket are kept, unless the share becomes zero.
    pub fn reconfigure(&mut self, percent: u16) {
        self.percent = percent;
        if percent == 0 {
            self.tokens = 0;
        }
    }

    /// Counts one first try: repays the debt, then adds tokens.
    pub fn record_first_try(&mut self, now: Instant) {
        self.expire(now);
        let gain = u32::from(self.percent);
        let repaid = gain.min(self.debt);
        self.debt -= repaid;
        self.tokens = (self.tokens + gain - repaid).min(MAX_TOKENS);
    }

    /// Spends the tokens of one retry; false if they do not suffice or if `shedding` is true.
    #[must_use]
    pub fn try_spend(&mut self, shedding: bool, now: Instant) -> bool {
        self.expire(now);
        if shedding || self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }

    /// Spends the tokens of one retry, or goes into debt for it; false if the debt would exceed
    /// ten retries or the share is zero. Later first tries repay the debt.
    ///
    /// For tries at another instance after a failure that cost the callee nothing, such as a
    /// refused connection: they must not fail for lack of tokens, but must not exceed the
    /// share in the long run either.
    #[must_use]
    pub fn spend_or_borrow(&mut self, now: Instant) -> bool {
        if self.try_spend(false, now) {
            return true;
        }
        let debt = self.debt + RETRY_COST;
        if self.percent == 0 || debt > MAX_TOKENS {
            return false;
        }
        self.debt = debt;
        true
    }

    /// Discards tokens after a long idle time, so that old tokens cannot be spent on a new
    /// failure.
    fn expire(&mut self, now: Instant) {
        let idle = now.saturating_duration_since(self.last_use);
        if idle >= TOKEN_LIFETIME {
            self.tokens = self.tokens.min(RETRY_COST);
        }
        self.last_use = self.last_use.max(now);
    }
}
