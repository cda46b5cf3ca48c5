//! What a front knows while a record is bootstrapped: which of the configured voters are present without a record.
//!
//! The steps that use it are in `engine/bootstrapping.rs`.

use crate::state::VoterId;
use std::collections::BTreeMap;

/// What a front knows of the other configured voters.
#[derive(Debug, Default)]
pub(crate) struct Bootstrap {
    /// Ids of those that are present without a record, by their fronts' names.
    pub(crate) without_record: BTreeMap<String, VoterId>,
    /// When this front announces itself again, in milliseconds.
    pub(crate) next_announcement_ms: f64,
}
