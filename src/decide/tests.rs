//! Tests each decision against the load pattern that it handles.

mod admission;
mod caller_retry;
mod capacity;
mod cold;
mod crash_blame;
mod crash_burst;
mod crash_evidence;
mod crash_suspects;
mod crashing_requests;
mod drain;
mod failover;
mod health;
mod helper_choice;
mod pace;
mod placement;
mod region;
mod relay;
mod retry_budget;
mod server_limit;
mod server_path;
mod service_reach;
mod team_share;
