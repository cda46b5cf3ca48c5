//! Starting coroutines.

/// Starts a coroutine. May asks its callers to keep off thread-local storage and deep stacks; nothing here uses
/// the one, and the stacks are sized in `lib.rs`.
pub fn spawn(f: impl FnOnce() + Send + 'static) {
    may::go!(f);
}
