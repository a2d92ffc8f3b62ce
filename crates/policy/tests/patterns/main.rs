//! Failure and load patterns, simulated under a virtual clock without a network. Each module holds
//! one pattern; `deep_service` and `fleet` hold the simulations.

mod burst_on_deep_dependency;
mod capacity_loss;
mod deep_service;
mod fast_failing_target;
mod fleet;
mod frozen_daemon;
mod full_restart;
mod network_partition;
mod query_of_death;
mod retry_storm;
mod rolling_replacement;
mod slow_link;
mod slow_target;
