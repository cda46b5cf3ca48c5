//! Locking that ignores poisoning by a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex even if a panic has poisoned it: a bug in one coroutine must not stop all others. Never
/// hold the guard across a yield: the worker would wait forever for a coroutine that only the worker itself
/// can run.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
