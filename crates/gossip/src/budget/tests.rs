use super::*;

#[test]
fn no_interval_lets_more_bytes_through_than_burst_and_rate_permit() {
    let mut bucket = TokenBucket::new(1000, 300, 0.0);
    let mut sent: Vec<(f64, usize)> = Vec::new();
    for step in 0..5000u32 {
        let now = f64::from(step) * 0.7;
        let bytes = 40 + (step * 37 % 200) as usize;
        if bucket.try_take(now, bytes) {
            sent.push((now, bytes));
        }
    }
    assert!(sent.len() > 20);
    for (i, (from, _)) in sent.iter().enumerate() {
        let mut sum = 0;
        for (to, bytes) in &sent[i..] {
            sum += bytes;
            assert!(sum as f64 <= 300.0 + (to - from) + 1e-6);
        }
    }
    let before = bucket.available_bytes(1e9);
    assert_eq!((before, bucket.available_bytes(0.0)), (300, 300), "a clock that steps back adds no tokens");
}
