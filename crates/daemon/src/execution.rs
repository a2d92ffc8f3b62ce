//! Requests that this daemon's target runs now, by the execution id that the target passes
//! back with the calls that it makes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use model::{Class, RequestId};
use policy::ChildRetries;
use wire::ExecutionId;

/// One run of a request at the target: the parent of the calls that the target makes.
#[derive(Debug)]
pub(crate) struct Execution {
    /// Id of the root request.
    pub(crate) root: RequestId,
    /// Priority class of the root request.
    pub(crate) class: Class,
    /// Worth of the complete answer to the root request.
    pub(crate) worth: u32,
    /// Number of earlier sends of the root request.
    pub(crate) attempt: u16,
    /// Time after which the answer is of no use.
    pub(crate) deadline: Instant,
    /// Retries left for the calls that this run makes.
    pub(crate) retries: Mutex<ChildRetries>,
    /// Outcomes of the calls of this run that may not be repeated.
    pub(crate) ledger: Mutex<ticket::CallLedger>,
}

impl Execution {
    /// Locks the retry budget of the run.
    pub(crate) fn retries(&self) -> MutexGuard<'_, ChildRetries> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the ledger of the calls that may not be repeated.
    pub(crate) fn ledger(&self) -> MutexGuard<'_, ticket::CallLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All current runs at the target.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    last_id: u64,
    running: HashMap<ExecutionId, Arc<Execution>>,
}

impl Executions {
    /// Registers a run and returns the id to pass to the target.
    pub(crate) fn insert(&self, execution: Arc<Execution>) -> ExecutionId {
        let mut table = self.lock();
        table.last_id += 1;
        let id = ExecutionId::from(table.last_id);
        table.running.insert(id, execution);
        id
    }

    /// Returns the run with this id, if it belongs to the root request.
    pub(crate) fn get(&self, root: RequestId, id: ExecutionId) -> Option<Arc<Execution>> {
        let execution = self.lock().running.get(&id).cloned()?;
        (execution.root == root).then_some(execution)
    }

    /// Removes a run that has ended.
    pub(crate) fn remove(&self, id: ExecutionId) {
        self.lock().running.remove(&id);
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
