//! What a front knows while a record is founded: which of the named voters are there without a record.
//!
//! The steps that use it are in `engine/bootstrapping.rs`.

use crate::agreed::VoterId;
use std::collections::BTreeMap;

/// What a front knows of the others that are named.
#[derive(Debug, Default)]
pub(crate) struct Bootstrap {
    /// Ids of those who are there without a record.
    pub(crate) empty: BTreeMap<String, VoterId>,
    pub(crate) next_ms: f64,
}
