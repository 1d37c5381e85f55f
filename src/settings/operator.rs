//! Settings of the operators, read from an optional INI file.

use super::error::{FieldError, SettingsError};
use salttiller_records::units::{self, Micros};

/// Settings of the operators. The defaults suit most deployments.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// Classes in order of precedence. Precedence applies after guarantee and priority.
    pub class_precedence: Vec<String>,
    /// Time for which a machine may be idle before it is released. The default is the boot time of
    /// the machine type.
    pub idle_timeout: Option<Micros>,
    /// Time within which pending work should start. Machines are rented for work that would start
    /// later. The default is derived from the job's deadline and the objectives of its class.
    pub scale_out_horizon: Option<Micros>,
    /// Spare CPUs to keep, as a share of the CPUs in use.
    pub headroom: f64,
    /// Length of the sliding window over which the attainment of objectives is measured.
    pub alert_window: Micros,
    /// Minimum number of jobs in the window for an alert.
    pub alert_min_jobs: u32,
    /// Margin above the target that an objective's attainment must reach to count as recovered.
    pub alert_recovery_margin: f64,
    /// Whether to detect records that the state service lost, and to begin a data-loss hold if it
    /// lost any.
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

/// Parses the text of the operators' INI file and applies its values to `base`. `file` is the path
/// that error messages show.
///
/// # Errors
/// Returns an error if the text is not an INI file, or contains an unknown section, an unknown key
/// or an invalid value.
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
    /// Sets the field that corresponds to a key of the INI file.
    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), FieldError> {
        match (section, key) {
            ("classes", "precedence") => self.class_precedence = parse_list(value),
            ("recovery", "detect") => self.detect_lost_records = parse_switch(value)?,
            ("renting", "idle_s") => self.idle_timeout = Some(parse_seconds(value, 1.0, 3600.0)?),
            ("renting", "horizon_s") => {
                self.scale_out_horizon = Some(parse_seconds(value, 1.0, 3600.0)?);
            }
            ("renting", "headroom") => self.headroom = parse_number(value, 0.0, 10.0)?,
            ("alerts", "window_s") => self.alert_window = parse_seconds(value, 10.0, 86_400.0)?,
            ("alerts", "least_jobs") => self.alert_min_jobs = parse_number(value, 1.0, 1e6)? as u32,
            ("alerts", "margin") => self.alert_recovery_margin = parse_number(value, 0.0, 1.0)?,
            _ => return Err(FieldError::UnknownKey),
        }
        Ok(())
    }
}

fn parse_list(value: &str) -> Vec<String> {
    value
        .split(',')
        .map(|item| item.trim().to_owned())
        .filter(|item| !item.is_empty())
        .collect()
}

fn parse_switch(value: &str) -> Result<bool, FieldError> {
    match value.trim() {
        "on" => Ok(true),
        "off" => Ok(false),
        other => Err(FieldError::NotASwitch(other.into())),
    }
}

fn parse_seconds(value: &str, min: f64, max: f64) -> Result<Micros, FieldError> {
    parse_number(value, min, max).map(units::from_seconds)
}

/// Parses a number from `min` to `max`. NaN is rejected.
///
/// # Errors
/// Returns an error if the value is not a number, or is out of range.
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
