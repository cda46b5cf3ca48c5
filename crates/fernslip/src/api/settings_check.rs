//! Which settings are possible. The names are those of error messages: see [`SettingsError::field`].

use super::{Class, Settings, SettingsError};

/// Rejects a setting by its name in error messages, and says what is wrong with it.
fn rejected(field: &str, why: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError { field: field.to_string(), why })
}

/// Rejects a figure that is negative, infinite or not a number.
fn check_non_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    if !(value.is_finite() && value >= 0.0) {
        return rejected(field, "negative or not a number");
    }
    Ok(())
}

impl Settings {
    /// Checks all fields; the error names the first one that is impossible.
    ///
    /// The parts are checked in this order, and within each part field by field: zones, kinds, routers,
    /// attempts and streams, durations and slow start, classes.
    ///
    /// # Errors
    /// The first field that is impossible, and why.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_zones()?;
        self.check_kinds()?;
        self.check_routers()?;
        self.check_attempts_and_streams()?;
        self.check_durations()?;
        self.check_classes()
    }

    /// The own zone exists, and each per-zone list has one value for each zone.
    fn check_zones(&self) -> Result<(), SettingsError> {
        if self.zone >= self.zones.len() {
            return rejected("zone", "no such zone");
        }
        for (name, len) in
            [("zone_routers", self.zone_routers.len()), ("link_in_kb_per_s", self.link_in_kb_per_s.len())]
        {
            if len != self.zones.len() {
                return rejected(name, "needs one value for each zone");
            }
        }
        if self.link_in_kb_per_s.iter().any(|v| !(v.is_finite() && *v >= 0.0)) {
            return rejected("link_in_kb_per_s", "negative or not a number");
        }
        Ok(())
    }

    /// The parent and origin kinds are among the kinds.
    fn check_kinds(&self) -> Result<(), SettingsError> {
        for (name, kind) in [("parent_kind", self.parent_kind), ("origin_kind", self.origin_kind)] {
            if kind.is_some_and(|k| k >= self.kinds) {
                return rejected(name, "no such kind");
            }
        }
        Ok(())
    }

    /// This router's slot is among the routers.
    fn check_routers(&self) -> Result<(), SettingsError> {
        if self.routers == 0 || self.slot >= self.routers {
            return rejected("slot", "not among the routers");
        }
        Ok(())
    }

    /// At least one attempt is allowed, and streams have a rate above 0.
    fn check_attempts_and_streams(&self) -> Result<(), SettingsError> {
        if self.max_attempts == 0 {
            return rejected("max_attempts", "no attempt is allowed");
        }
        if !(self.stream_kb_per_s.is_finite() && self.stream_kb_per_s > 0.0) {
            return rejected("stream_kb_per_s", "must be above 0");
        }
        Ok(())
    }

    /// Durations, slow-start figures and purge times are finite and not negative.
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

    /// There is at least one class, and each class is sound.
    fn check_classes(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return rejected("classes", "no class");
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        Ok(())
    }
}

impl Class {
    /// The class at `index` of [`Settings::classes`] has a deadline above 0 and no negative figure.
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        let name = |field: &str| format!("classes[{index}].{field}");
        if !(self.deadline_ms.is_finite() && self.deadline_ms > 0.0) {
            return rejected(&name("deadline_ms"), "must be above 0");
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
