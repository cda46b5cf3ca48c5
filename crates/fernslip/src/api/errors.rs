//! What can be wrong with what a router is given.

/// A setting that cannot be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {field}: {why}")]
pub struct SettingsError {
    /// The field's name in error messages, below `classes[i].` for one of a class. These names are stable, so that log
    /// searches keep working; some are older than the fields' names in [`crate::Settings`] and [`crate::Class`]
    /// (`cold_ms` is `slow_start_ms`, `aim_ms` is `objective_ms`, `worth` is `priority_weight`).
    pub field: String,
    /// What is wrong with it.
    pub why: &'static str,
}
