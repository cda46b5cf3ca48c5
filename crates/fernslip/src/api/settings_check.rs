//! Checks that settings are valid. Fields have the stable names described at [`SettingsError::field`].

use super::{Class, Settings, SettingsError};

/// The error for an invalid setting; `field` is its name in error messages.
fn invalid_setting(field: &str, reason: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError { field: field.to_string(), reason })
}

/// Returns an error if a value is negative, infinite or not a number.
fn check_non_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    if !(value.is_finite() && value >= 0.0) {
        return invalid_setting(field, "must be a finite number that is not negative");
    }
    Ok(())
}

impl Settings {
    /// Checks all fields.
    ///
    /// The groups of fields are checked in this order: zones, kinds, routers, attempts and streams, durations
    /// and slow start, classes.
    ///
    /// # Errors
    /// The first field with an invalid value, and the reason.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_zones()?;
        self.check_kinds()?;
        self.check_routers()?;
        self.check_attempts_and_streams()?;
        self.check_durations()?;
        self.check_classes()
    }

    /// Checks that this router's zone exists and that each list by zone has one valid value for each zone.
    fn check_zones(&self) -> Result<(), SettingsError> {
        if self.zone >= self.zones.len() {
            return invalid_setting("zone", "must be the index of a zone in zones");
        }
        for (name, len) in
            [("zone_routers", self.zone_routers.len()), ("link_in_kb_per_s", self.link_in_kb_per_s.len())]
        {
            if len != self.zones.len() {
                return invalid_setting(name, "must have one value for each zone");
            }
        }
        if self.link_in_kb_per_s.iter().any(|v| !(v.is_finite() && *v >= 0.0)) {
            return invalid_setting("link_in_kb_per_s", "must be a finite number that is not negative");
        }
        Ok(())
    }

    /// Checks that the kinds of parents and of the origin exist.
    fn check_kinds(&self) -> Result<(), SettingsError> {
        for (name, kind) in [("parent_kind", self.parent_kind), ("origin_kind", self.origin_kind)] {
            if kind.is_some_and(|k| k >= self.kinds) {
                return invalid_setting(name, "must be below the number of kinds");
            }
        }
        Ok(())
    }

    /// Checks that there is a router and that this router's number is below the number of routers.
    fn check_routers(&self) -> Result<(), SettingsError> {
        if self.routers == 0 || self.slot >= self.routers {
            return invalid_setting("slot", "must be below the number of routers");
        }
        Ok(())
    }

    /// Checks that at least one attempt is allowed and that the rate of streams is finite and above 0.
    fn check_attempts_and_streams(&self) -> Result<(), SettingsError> {
        if self.max_attempts == 0 {
            return invalid_setting("max_attempts", "must be at least 1");
        }
        if !(self.stream_kb_per_s.is_finite() && self.stream_kb_per_s > 0.0) {
            return invalid_setting("stream_kb_per_s", "must be a finite number above 0");
        }
        Ok(())
    }

    /// Checks that durations, slow-start values and purge times are finite and not negative.
    fn check_durations(&self) -> Result<(), SettingsError> {
        for (name, value) in [
            ("max_retry_after_ms", self.max_retry_after_ms),
            ("tick_ms", self.tick_ms),
            ("drain_grace_ms", self.drain_grace_ms),
            ("cold_from", self.slow_start_from),
            ("cold_ms", self.slow_start_ms),
            ("cold_multiple", self.slow_start_multiple),
            ("cold_window_ms", self.slow_start_window_ms),
            ("parent_cold_from", self.parent_slow_start_from),
            ("parent_cold_ms", self.parent_slow_start_ms),
            ("parent_cold_multiple", self.parent_slow_start_multiple),
            ("purge_slack_ms", self.purge_slack_ms),
            ("purge_done_ms", self.purge_done_ms),
        ] {
            check_non_negative(name, value)?;
        }
        Ok(())
    }

    /// Checks that there is at least one class and that each class is valid.
    fn check_classes(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return invalid_setting("classes", "must have at least one class");
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        Ok(())
    }
}

impl Class {
    /// Checks that the class at `index` of [`Settings::classes`] has a deadline above 0 and no negative
    /// value.
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        let name = |field: &str| format!("classes[{index}].{field}");
        if !(self.deadline_ms.is_finite() && self.deadline_ms > 0.0) {
            return invalid_setting(&name("deadline_ms"), "must be a finite number above 0");
        }
        for (field, value) in [
            ("aim_ms", self.objective_ms),
            ("aim_stretch", self.objective_stretch),
            ("worth", self.priority_weight),
            ("late_worth", self.late_weight),
            ("repeat_window_ms", self.repeat_window_ms),
            ("fresh_ms", self.fresh_ms),
            ("grace_ms", self.grace_ms),
        ] {
            check_non_negative(&name(field), value)?;
        }
        Ok(())
    }
}
