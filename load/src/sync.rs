//! Locking that tolerates panicked threads.
use std::sync::{Mutex, MutexGuard};

/// Locks the mutex even if it is poisoned: after a panic of another thread the measurement continues with the current value.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
