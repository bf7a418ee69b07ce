//! Tests of the policy engine's decisions. Most compare a trace: the decisions and the requested effects, one
//! line per point in time.
mod concurrency_limit;
mod counter;
mod even_shares;
#[path = "../fixtures/mod.rs"]
mod fixtures;
mod gossip;
mod harness;
mod lifecycle;
mod load_balancing;
mod outlier_ejection;
mod permits;
mod quota;
mod request_limits;
mod retries;
mod slow_start;
mod trace;
