//! Early refusal of work whose downstream calls the callees would probably refuse.

use std::time::Instant;

use model::{OperationKey, Refusal};

use crate::call::Call;
use crate::inbound::InboundRequest;
use crate::state::DaemonState;

impl DaemonState {
    /// Returns a refusal if a callee would probably refuse one of the calls that the work makes.
    pub(crate) fn predict_refusal(&self, call: &Call, req: &InboundRequest) -> Option<Refusal> {
        if !self.settings.features.edge_shedding {
            return None;
        }
        let now = Instant::now();
        let mut predictor = self.refusal_predictor();
        req.index.callees(req.operation).iter().find_map(|&callee| {
            let spare_capacity = || {
                let service = req.index.service(req.index.service_of(callee));
                self.edges.spare_capacity(&service.name, now)
            };
            predictor.predict_refusal(&call.edge_call(callee), spare_capacity, now)
        })
    }

    /// Records whether a callee accepted a call.
    pub(crate) fn record_acceptance(&self, call: &Call, callee: OperationKey, accepted: bool) {
        let now = Instant::now();
        self.refusal_predictor()
            .record_result(&call.edge_call(callee), accepted, now);
    }
}
