//! Loads that daemons meet, played under a virtual clock without a network. Each module is
//! named for its pattern.

mod abusive_repeats;
mod all_restarted;
mod burst_on_a_deep_dependency;
mod cold_release;
mod deep_service;
mod fleet;
mod frozen_daemon;
mod grey_target;
mod narrow_link;
mod slow_quarter;
mod till_lost;
mod zone_cut;
