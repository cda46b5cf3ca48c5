//! Locks that a panic does not poison.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also where a panic has poisoned the mutex: a defect in one coroutine must not stop all others. The guard is never
/// held across a yield: the worker would wait for good for a coroutine that it alone can run.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
