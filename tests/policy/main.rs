//! The decisions of the policy engine, most of them as traces: what it decides and which effects it requests, one line for each
//! point in time.
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
