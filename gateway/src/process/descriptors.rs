//! The limit on this process's file descriptors.
use nix::sys::resource::{getrlimit, Resource};

/// Returns the configured limit, or the soft limit of `RLIMIT_NOFILE` if that is lower, which is logged.
pub fn effective_limit(configured: usize) -> usize {
    let Ok((soft_limit, _)) = getrlimit(Resource::RLIMIT_NOFILE) else { return configured };
    let resource_limit = usize::try_from(soft_limit).unwrap_or(usize::MAX);
    if resource_limit < configured {
        tracing::warn!(
            "RLIMIT_NOFILE allows {resource_limit} file descriptors, fewer than the configured {configured}"
        );
    }
    configured.min(resource_limit)
}
