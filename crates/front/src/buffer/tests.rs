use super::*;

/// Reads all of `input` in pieces of at most `piece` bytes, and consumes a part after each read.
fn read_all(input: &[u8], piece: usize, buffer: &mut Buffer) -> Vec<u8> {
    let (mut rest, mut seen) = (input, Vec::new());
    while !rest.is_empty() {
        let mut source = rest.take(piece as u64);
        let n = buffer.read_from(&mut source).expect("reading from memory does not fail");
        assert!(n > 0, "input is left");
        rest = &rest[n..];
        let consumed = buffer.data().len() / 3;
        seen.extend_from_slice(&buffer.data()[..consumed]);
        buffer.consume(consumed);
        buffer.store();
        let data = buffer.data().len();
        let most = data + data / GROWTH_DIVISOR + crate::memory::ALLOCATION_OVERHEAD;
        assert!(buffer.memory() <= most, "{} bytes of memory for {data} bytes of data", buffer.memory());
    }
    seen.extend_from_slice(buffer.data());
    seen
}

/// Whatever the pieces, all bytes come back in order, and the memory of a buffer stays close to its data: a
/// buffer that keeps what its longest message needed lets clients exhaust the memory with one byte each.
#[test]
fn the_buffer_returns_all_bytes_in_order_and_releases_its_memory() {
    let all: Vec<u8> = (0..200_000u32).map(|i| (i % 251) as u8).collect();
    for (piece, min_read_bytes) in [(usize::MAX, 1), (usize::MAX, 4096), (777, 4096), (100, 100_000)] {
        let account = Arc::new(MemoryAccount::default());
        let mut buffer = Buffer::with_account(account.clone(), min_read_bytes);
        assert!(read_all(&all, piece, &mut buffer) == all, "pieces of {piece} bytes come back in order");
        buffer.consume(usize::MAX);
        buffer.store();
        assert!(buffer.data().is_empty());
        assert_eq!((buffer.memory(), account.used()), (0, 0));
    }
}

/// The bytes of an incomplete message stay when another connection reads, and one byte that stays occupies
/// little, however long the message before it was.
#[test]
fn connections_that_read_in_succession_do_not_mix_their_data() {
    let account = Arc::new(MemoryAccount::default());
    let mut buffers = [0, 1, 2].map(|_| Buffer::with_account(account.clone(), MAX_READ_BYTES));
    for (buffer, byte) in buffers.iter_mut().zip([b'a', b'b', b'c']) {
        let mut source = &[byte; 50_000][..];
        buffer.read_from(&mut source).expect("reading from memory does not fail");
        buffer.consume(49_999);
    }
    for (buffer, byte) in buffers.iter_mut().zip([b'a', b'b', b'c']) {
        buffer.store();
        assert_eq!(buffer.data(), [byte]);
    }
    assert!(account.used() <= 3 * (1 + crate::memory::ALLOCATION_OVERHEAD), "{} bytes", account.used());
    drop(buffers);
    assert_eq!(account.used(), 0);
}
