//! Starting coroutines.

/// Starts a coroutine. May asks its callers to keep off thread-local storage and deep stacks; nothing here uses
/// the one, and the stacks are sized in `startup.rs`.
pub fn spawn(f: impl FnOnce() + Send + 'static) {
    may::go!(f);
}

/// Words of the stack of what reads JSON: its parser goes down 128 levels before it refuses.
const DEEP_WORDS: usize = 0x20000;

/// Starts a coroutine that reads JSON. Guards against a nested line of the bus: on an ordinary stack it ended the
/// coroutine without a word, and the front heard of no change any more.
pub fn spawn_deep(f: impl FnOnce() + Send + 'static) {
    // Fails only where memory for the stack can't be had, at the start.
    let _ = may::go_with!(DEEP_WORDS, f);
}
