use super::*;

/// Idle clients must not use up the descriptors of the event bus, the peers or the admin interface: each has
/// a reserve of its own.
#[test]
fn the_budget_fits_into_the_configured_limits() {
    for (sockets, memory_mb) in [(128, 32), (256, 32), (384, 48), (1024, 192), (1024, 32), (256, 192)] {
        let b = Budget::from_limits(sockets, memory_mb);
        let connections = b.clients + b.closing + CLOSING_RESERVE;
        let bytes = b.calls * REQUEST_MEMORY
            + connections * CONNECTION_MEMORY
            + b.unread
            + b.bodies
            + b.partial
            + b.upstream_input
            + b.bus_input
            + IDLE_MEMORY;
        assert!(b.answers < b.unread && b.answers <= b.upstream_input, "{b:?}");
        assert!(bytes <= memory_mb * BYTES_PER_MB, "{b:?}");
        assert!(b.clients + b.upstream <= sockets * 3 / 4, "{b:?}");
        // Up to four connections may be in transition from open to closing at once.
        let needed = b.clients + b.closing + 4 + b.callers + b.upstream + OWN_DESCRIPTORS;
        assert!(needed <= sockets, "{b:?} needs {needed} of {sockets} descriptors");
        assert!(b.clients >= sockets / 3 && b.open >= 256 && b.upstream >= 16, "{b:?}");
        assert!(b.calls > b.open, "calls that the decision crate rejects need memory, too: {b:?}");
    }
}
