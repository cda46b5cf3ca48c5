use super::*;

#[test]
fn grows_compacts_and_gives_memory_back() {
    let mut b = Buffer::default();
    let all: Vec<u8> = (0..200_000u32).map(|i| (i % 251) as u8).collect();
    let (mut from, mut seen) = (&all[..], Vec::new());
    while b.read_from(&mut from).unwrap() > 0 {
        let n = b.data().len() / 3;
        seen.extend_from_slice(&b.data()[..n]);
        b.consume(n);
    }
    seen.extend_from_slice(b.data());
    assert_eq!(seen, all);
    b.consume(usize::MAX);
    assert!(b.data().is_empty() && b.bytes.len() <= MAX_RETAINED);
}
