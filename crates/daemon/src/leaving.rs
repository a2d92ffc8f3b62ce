//! Whether this daemon's target may start new work, and the reasons if it may not.

use derive_more::Display;
use tokio::sync::watch;

/// A reason for which the target gets no new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LeaveReason {
    /// A planned stop of the daemon has begun; this reason is never cleared.
    #[display("planned stop")]
    Stop,
    /// The instance list marks the instance as leaving.
    #[display("instance list")]
    List,
    /// The target reports that it is draining.
    #[display("target drains")]
    TargetDrain,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ActiveReasons {
    stop: bool,
    list: bool,
    drain: bool,
}

impl ActiveReasons {
    fn any(self) -> bool {
        self.stop || self.list || self.drain
    }

    fn flag_mut(&mut self, reason: LeaveReason) -> &mut bool {
        match reason {
            LeaveReason::Stop => &mut self.stop,
            LeaveReason::List => &mut self.list,
            LeaveReason::TargetDrain => &mut self.drain,
        }
    }
}

/// The active reasons; the instance is leaving while there is any.
#[derive(Debug)]
pub(crate) struct LeaveState {
    reasons: watch::Sender<ActiveReasons>,
}

impl Default for LeaveState {
    fn default() -> Self {
        LeaveState {
            reasons: watch::Sender::new(ActiveReasons::default()),
        }
    }
}

impl LeaveState {
    /// True if no new work may start.
    pub(crate) fn is_leaving(&self) -> bool {
        self.reasons.borrow().any()
    }

    /// Sets or clears one reason, and logs a change.
    pub(crate) fn set(&self, reason: LeaveReason, active: bool) {
        let changed = self.reasons.send_if_modified(|reasons| {
            std::mem::replace(reasons.flag_mut(reason), active) != active
        });
        if changed {
            let reason = reason.to_string();
            log::info!(sign = reason.as_str(), holds = active; "leaving changed");
        }
    }

    /// Waits until no new work may start.
    pub(crate) async fn wait_until_leaving(&self) {
        let mut reasons = self.reasons.subscribe();
        // The sender is a field of `self`, so it can't close while this waits.
        let _ = reasons.wait_for(|reasons| reasons.any()).await;
    }
}
