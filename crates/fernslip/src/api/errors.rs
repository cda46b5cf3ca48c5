//! Errors in the input of a router.

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {field}: {reason}")]
pub struct SettingsError {
    /// Name of the field in error messages, prefixed with `classes[i].` for a field of a class. The names are
    /// stable, so that existing log searches match; some differ from the field names of [`crate::Settings`]
    /// and [`crate::Class`] (`cold_ms` is `slow_start_ms`, `aim_ms` is `objective_ms`, `worth` is
    /// `priority_weight`).
    pub field: String,
    /// Which values are valid, or what is wrong with this one.
    pub reason: &'static str,
}
