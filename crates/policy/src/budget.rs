//! Limit on the retries of one request over its whole call tree.

/// Part of a retry budget that is lent to one child call.
///
/// A loan that is dropped instead of settled counts as spent, as when the answer of
/// the child is lost.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Loan {
    /// Number of retries that the call tree of the child may use.
    pub amount: u16,
}

/// The remaining retries of one execution of a request at one daemon.
///
/// A loan is deducted from the budget when it is made, so the retries of a whole call
/// tree never exceed the budget of its root, whichever messages are lost.
///
/// ```
/// use policy::RetryBudget;
///
/// let mut budget = RetryBudget::new(3);
/// let loan = budget.lend(1);
/// assert_eq!(loan.amount, 3);
/// assert!(!budget.spend());
/// budget.settle(loan, 2);
/// assert!(budget.spend());
/// assert_eq!(budget.left(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    left: u16,
}

impl RetryBudget {
    /// Creates a budget of `total` retries.
    #[must_use]
    pub fn new(total: u16) -> Self {
        RetryBudget { left: total }
    }

    /// Lends a share of what is left to one child call.
    ///
    /// `open_children_hint` is the number of children, including this one, that still
    /// need a share; 0 counts as 1.
    pub fn lend(&mut self, open_children_hint: u16) -> Loan {
        let amount = self.left.div_ceil(open_children_hint.max(1));
        self.left -= amount;
        Loan { amount }
    }

    /// Takes back the retries that a child did not spend, at most the amount of the loan.
    #[expect(clippy::needless_pass_by_value, reason = "a loan is settled only once")]
    pub fn settle(&mut self, loan: Loan, unspent: u16) {
        self.left += unspent.min(loan.amount);
    }

    /// Spends one retry; false if none is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(1) else {
            return false;
        };
        self.left = left;
        true
    }

    /// Number of retries that are neither spent nor lent.
    #[must_use]
    pub fn left(&self) -> u16 {
        self.left
    }
}
