use super::*;

/// An account must come back to zero however its holders end; what stays counted would be lost for others.
#[test]
fn reservations_count_towards_their_account_until_they_are_dropped() {
    let account = Arc::new(MemoryAccount::with_limit(100));
    let mut first = Reservation::new(account.clone());
    let mut second = Reservation::new(account.clone());
    first.resize(70);
    second.resize(30);
    assert!(!account.is_exceeded() && account.has_left(0) && !account.has_left(1));
    second.resize(31);
    assert!(account.is_exceeded());
    first.resize(10);
    assert_eq!((account.used(), first.bytes(), second.bytes()), (41, 10, 31));
    drop((first, second));
    assert_eq!(account.used(), 0);
    let lines = metric_lines(&[("example", &account)]);
    assert!(lines.contains("relay.memory.example.bytes=0\nrelay.memory.example.peak_bytes=101\n"), "{lines}");
    assert!(lines.contains("relay.memory.example.limit_bytes=100\n"), "{lines}");
}

/// The process's own figure tells apart what the accounts know from what the allocator and others hold.
#[test]
fn the_private_memory_of_the_process_is_read_from_its_status() {
    let status = "VmRSS:\t   15000 kB\nRssAnon:\t    9412 kB\nRssFile:\t    5588 kB\n";
    assert_eq!(private_bytes(status), Some(9412 * 1024));
    assert_eq!(private_bytes("VmRSS:\t 15000 kB\n"), None);
}
