//! Retry budget of one run, divided among the calls that it makes.

use crate::budget::{Loan, RetryBudget};

/// Retry budget of one run, divided among the calls that its operation declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildRetries {
    budget: RetryBudget,
    expected_calls: u16,
}

impl ChildRetries {
    /// Divides a budget among the given number of calls, sequential or concurrent.
    #[must_use]
    pub fn new(budget: RetryBudget, calls: usize) -> Self {
        ChildRetries {
            budget,
            expected_calls: u16::try_from(calls).unwrap_or(u16::MAX),
        }
    }

    /// Lends the next call its share of the retries; the last expected call gets all that remain.
    pub fn lend(&mut self) -> Loan {
        let loan = self.budget.lend(self.expected_calls);
        self.expected_calls = self.expected_calls.saturating_sub(1);
        loan
    }

    /// Returns the retries that a call did not spend.
    pub fn settle(&mut self, loan: Loan, unspent: u16) {
        self.budget.settle(loan, unspent);
    }

    /// Takes the remaining retries, so that they are returned to the caller only once and can't be
    /// lent any more.
    #[must_use]
    pub fn take_remaining(&mut self) -> u16 {
        std::mem::replace(&mut self.budget, RetryBudget::new(0)).left()
    }
}
