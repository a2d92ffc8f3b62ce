//! Whether a callee would take the call that admitted work is going to make.

use std::time::Instant;

use model::{OperationKey, Refusal};

use crate::call::Call;
use crate::inbound::InboundRequest;
use crate::shell::Shell;

impl Shell {
    /// Refuses work of which a callee would refuse the call.
    pub(crate) fn forecast(&self, call: &Call, req: &InboundRequest) -> Option<Refusal> {
        if !self.settings.parts.edge_shedding {
            return None;
        }
        let now = Instant::now();
        let mut acceptance = self.acceptance();
        req.index.callees(req.operation).iter().find_map(|&callee| {
            let room = || {
                let service = req.index.service(req.index.service_of(callee));
                self.routes.room(&service.name, now)
            };
            acceptance.predict_refusal(&call.edge_call(callee), room, now)
        })
    }

    /// Takes note of whether a callee took a call.
    pub(crate) fn note_taken(&self, call: &Call, callee: OperationKey, taken: bool) {
        let now = Instant::now();
        self.acceptance()
            .record_result(&call.edge_call(callee), taken, now);
    }
}
