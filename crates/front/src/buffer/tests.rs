use super::*;

#[test]
fn the_buffer_returns_all_bytes_in_order_and_releases_its_memory() {
    let mut buffer = Buffer::default();
    let all: Vec<u8> = (0..200_000u32).map(|i| (i % 251) as u8).collect();
    let (mut from, mut seen) = (&all[..], Vec::new());
    while buffer.read_from(&mut from).unwrap() > 0 {
        let n = buffer.data().len() / 3;
        seen.extend_from_slice(&buffer.data()[..n]);
        buffer.consume(n);
    }
    seen.extend_from_slice(buffer.data());
    assert_eq!(seen, all);
    buffer.consume(usize::MAX);
    assert!(buffer.data().is_empty() && buffer.bytes.len() <= MAX_RETAINED);
}
