//! Helpers shared by the tests of the upstream modules.

use crate::upstream::pending_attempt::{Denied, PendingAttempt};
use crate::upstream::resp;
use fernslip::facade::Attempt;
use fernslip::RequestId;
use std::sync::Arc;
use std::time::Instant;

/// A pending attempt that may always be sent.
pub struct AlwaysAllowed;

impl PendingAttempt for AlwaysAllowed {
    fn check_may_send(&self, _: Instant) -> Result<(), Denied> {
        Ok(())
    }

    fn encode(&self, _: Instant) -> Vec<u8> {
        resp::encode_request("0000000000000001", "cls=x", b"")
    }
}

/// The first attempt of the request with this id, at the node `s-1`.
pub fn first_attempt(id: u64) -> Attempt {
    Attempt {
        id: RequestId(id),
        number: 0,
        cache: "s-1".into(),
        source: None,
        until_ms: 0.0,
        begin_by_ms: f64::INFINITY,
        rank: 0,
        age_ms: 0.0,
        join: false,
        renew: false,
        cancelled: Arc::default(),
    }
}
