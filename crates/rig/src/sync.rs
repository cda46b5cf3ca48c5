//! Mutex locking for all modules of the rig.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if it is poisoned: the panic of a task is detected by other means and fails the run.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
