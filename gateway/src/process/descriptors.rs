//! How many file descriptors this process may hold.
use nix::sys::resource::{getrlimit, Resource};

/// What the configuration allows, or the machine (`RLIMIT_NOFILE`, its soft limit) where that is less.
pub fn allowed(configured: usize) -> usize {
    let Ok((soft_limit, _)) = getrlimit(Resource::RLIMIT_NOFILE) else { return configured };
    let machine = usize::try_from(soft_limit).unwrap_or(usize::MAX);
    if machine < configured {
        tracing::warn!("the machine allows {machine} descriptors, the configuration {configured}");
    }
    configured.min(machine)
}
