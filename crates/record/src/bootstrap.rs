//! State that a front holds while a record is being bootstrapped: the configured voters that are present
//! without a record.
//!
//! The steps that use it are in `engine/bootstrapping.rs`.

use crate::state::VoterId;
use std::collections::BTreeMap;

/// The configured voters that have announced themselves, and the time of this front's next announcement.
#[derive(Debug, Default)]
pub(crate) struct BootstrapState {
    /// Voter ids of the configured voters that are present without a record, by the name of their front.
    pub(crate) without_record: BTreeMap<String, VoterId>,
    /// Time of this front's next announcement, in milliseconds on the caller's clock.
    pub(crate) next_announcement_ms: f64,
}
