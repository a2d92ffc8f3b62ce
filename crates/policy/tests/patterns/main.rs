//! Loads that a router meets, played under a virtual clock without a network. Each module is
//! named for its pattern.

mod cold_release;
mod fleet;
mod frozen_daemon;
mod grey_target;
mod slow_quarter;
mod zone_cut;
