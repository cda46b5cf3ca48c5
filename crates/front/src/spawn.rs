//! Functions that start coroutines.

/// Starts a coroutine with the ordinary stack size. `may` requires that coroutines use no thread-local
/// storage and no deep stacks: the front has no thread-local storage, and `startup.rs` sets the stack size.
pub fn spawn(run: impl FnOnce() + Send + 'static) {
    may::go!(run);
}

/// The stack size, in words, of a coroutine that parses JSON: the parser accepts up to 128 levels of nesting.
const DEEP_STACK_WORDS: usize = 0x20000;

/// Starts a coroutine with a stack that is large enough for parsing JSON. On an ordinary stack a deeply
/// nested line from the event bus would end the coroutine silently, and the front would receive no further
/// change.
pub fn spawn_with_deep_stack(run: impl FnOnce() + Send + 'static) {
    // Fails only if memory for the stack cannot be allocated when the front starts.
    let _ = may::go_with!(DEEP_STACK_WORDS, run);
}
