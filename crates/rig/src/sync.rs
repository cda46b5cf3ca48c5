//! Locking shared by the rig's modules.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. A poisoned one is used as it is: a task that panicked fails its run by other means.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
