//! Retries of one run, shared among the calls that it makes.

use crate::budget::{Loan, RetryBudget};

/// The retries of one run, shared among the calls that its operation declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildRetries {
    budget: RetryBudget,
    calls_to_come: u16,
}

impl ChildRetries {
    /// Shares a budget among so many calls, whether they come one by one or at once.
    #[must_use]
    pub fn new(budget: RetryBudget, calls: usize) -> Self {
        ChildRetries {
            budget,
            calls_to_come: u16::try_from(calls).unwrap_or(u16::MAX),
        }
    }

    /// Lends the next call its share; the last one to come gets all that is left.
    pub fn lend(&mut self) -> Loan {
        let loan = self.budget.lend(self.calls_to_come);
        self.calls_to_come = self.calls_to_come.saturating_sub(1);
        loan
    }

    /// Takes back what a call did not spend.
    pub fn settle(&mut self, loan: Loan, unspent: u16) {
        self.budget.settle(loan, unspent);
    }

    /// Takes what is left, so that it is given back once and lent no more.
    #[must_use]
    pub fn take_remaining(&mut self) -> u16 {
        std::mem::replace(&mut self.budget, RetryBudget::new(0)).left()
    }
}
