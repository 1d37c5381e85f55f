//! The operators' own settings, an INI file beside the platform's.

use super::error::{FieldError, SettingsError};
use salttiller_records::units::{self, Micros};

/// The operators' own settings, with defaults that suit most sites.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// Classes in the order of precedence, after guarantee and priority.
    pub class_precedence: Vec<String>,
    /// How long a machine may be idle before it is released; unless given, as long as one of
    /// its type takes to boot.
    pub idle_timeout: Option<Micros>,
    /// How soon pending work should be running: for what takes longer, machines are rented.
    /// Unless given, it follows from the objectives of the work's class.
    pub scale_out_horizon: Option<Micros>,
    /// Processors kept beyond those in use, as a share of these.
    pub headroom: f64,
    /// The sliding window over which the attainment of objectives is measured.
    pub alert_window: Micros,
    /// The fewest jobs in the window before an alert is raised.
    pub alert_min_jobs: u32,
    /// How far above its target an objective's attainment must be to count as recovered.
    pub alert_recovery_margin: f64,
    /// Whether to look for records that the state store lost, and to hold if it did.
    pub detect_lost_records: bool,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            class_precedence: Vec::new(),
            idle_timeout: None,
            scale_out_horizon: None,
            headroom: 0.3,
            alert_window: 300 * units::SECOND,
            alert_min_jobs: 5,
            alert_recovery_margin: 0.05,
            detect_lost_records: false,
        }
    }
}

/// Reads the operators' INI file from its text over `base`; `file` is for messages.
///
/// # Errors
/// Not an INI file, an unknown section or key, or a value that can't be used.
pub fn parse_operator_settings(
    file: &str,
    text: &str,
    base: OperatorSettings,
) -> Result<OperatorSettings, SettingsError> {
    let ini = ini::Ini::load_from_str(text).map_err(|cause| SettingsError::Ini {
        file: file.into(),
        cause,
    })?;
    let mut settings = base;
    for (section, properties) in &ini {
        let section = section.unwrap_or("");
        for (key, value) in properties {
            settings
                .set(section, key, value)
                .map_err(|cause| SettingsError::Field {
                    file: file.into(),
                    field: format!("{section}.{key}"),
                    cause,
                })?;
        }
    }
    Ok(settings)
}

impl OperatorSettings {
    /// Sets what a key of the INI file stands for.
    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), FieldError> {
        match (section, key) {
            ("classes", "precedence") => self.class_precedence = list(value),
            ("recovery", "detect") => self.detect_lost_records = switch(value)?,
            ("renting", "idle_s") => self.idle_timeout = Some(seconds(value, 1.0, 3600.0)?),
            ("renting", "horizon_s") => {
                self.scale_out_horizon = Some(seconds(value, 1.0, 3600.0)?);
            }
            ("renting", "headroom") => self.headroom = parse_number(value, 0.0, 10.0)?,
            ("alerts", "window_s") => self.alert_window = seconds(value, 10.0, 86_400.0)?,
            ("alerts", "least_jobs") => self.alert_min_jobs = parse_number(value, 1.0, 1e6)? as u32,
            ("alerts", "margin") => self.alert_recovery_margin = parse_number(value, 0.0, 1.0)?,
            _ => return Err(FieldError::UnknownKey),
        }
        Ok(())
    }
}

fn list(value: &str) -> Vec<String> {
    value
        .split(',')
        .map(|item| item.trim().to_owned())
        .filter(|item| !item.is_empty())
        .collect()
}

fn switch(value: &str) -> Result<bool, FieldError> {
    match value.trim() {
        "on" => Ok(true),
        "off" => Ok(false),
        other => Err(FieldError::NotASwitch(other.into())),
    }
}

fn seconds(value: &str, min: f64, max: f64) -> Result<Micros, FieldError> {
    parse_number(value, min, max).map(units::from_seconds)
}

/// Reads a number from `min` to `max`; NaN is refused.
///
/// # Errors
/// Not a number, or out of range.
pub fn parse_number(value: &str, min: f64, max: f64) -> Result<f64, FieldError> {
    match value.trim().parse::<f64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(number),
        _ => Err(FieldError::OutOfRange {
            value: value.into(),
            min,
            max,
        }),
    }
}
