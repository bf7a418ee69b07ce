//! Locks of threads that may panic.
use std::sync::{Mutex, MutexGuard};

/// Locks the mutex, also after a thread panicked while it held the lock: the measurement goes on with the value as it stands.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
