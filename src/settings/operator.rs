//! The operators' own settings, an INI file beside the platform's.

use super::*;

/// The operators' own settings, with defaults that suit most sites.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// Classes in the order in which they go first, after guarantee and priority.
    pub class_precedence: Vec<String>,
    /// How long a machine may stand idle before it is returned; unless given, as
    /// long as one of its type takes to boot.
    pub idle_timeout: Option<Micros>,
    /// How soon waiting work should be under way: beyond it machines are rented.
    /// Unless given, it follows from the aims of the work's class.
    pub scale_out_horizon: Option<Micros>,
    /// Processors kept beyond those in use, as a share of these.
    pub headroom: f64,
    /// The time over which aims are measured for signals.
    pub alert_window: Micros,
    /// The fewest jobs in it before a signal is given.
    pub alert_min_jobs: u32,
    /// How far above an aim it must be to count as met again, as a share.
    pub alert_recovery_margin: f64,
    /// Whether to look for records that the state service lost, and to hold if it did.
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

/// Reads the operators' INI. Unknown sections and keys are refused: a misspelt
/// key that is passed over would be found out on the night it matters.
pub fn parse_operator_settings(
    file: &str,
    text: &str,
    base: OperatorSettings,
) -> Result<OperatorSettings, SettingsError> {
    let bad = |field: String, cause: String| SettingsError::Field {
        file: file.into(),
        field,
        cause,
    };
    let ini = ini::Ini::load_from_str(text).map_err(|e| SettingsError::Form {
        file: file.into(),
        cause: e.to_string(),
    })?;
    let mut op = base;
    for (section, props) in ini.iter() {
        for (key, value) in props.iter() {
            let field = format!("{}.{key}", section.unwrap_or(""));
            let number = |low: f64, high: f64| -> Result<f64, SettingsError> {
                match value.trim().parse::<f64>() {
                    Ok(s) if (low..=high).contains(&s) => Ok(s),
                    _ => Err(bad(
                        field.clone(),
                        format!("\"{value}\" is not a number from {low} to {high}"),
                    )),
                }
            };
            let seconds = |low: f64, high: f64| number(low, high).map(units::secs);
            match (section, key) {
                (Some("classes"), "precedence") => {
                    op.class_precedence = value
                        .split(',')
                        .map(|c| c.trim().to_owned())
                        .filter(|c| !c.is_empty())
                        .collect();
                }
                (Some("recovery"), "detect") => {
                    op.detect_lost_records = match value.trim() {
                        "on" => true,
                        "off" => false,
                        other => {
                            return Err(bad(field, format!("\"{other}\" is neither on nor off")))
                        }
                    };
                }
                (Some("renting"), "idle_s") => op.idle_timeout = Some(seconds(1.0, 3600.0)?),
                (Some("renting"), "horizon_s") => {
                    op.scale_out_horizon = Some(seconds(1.0, 3600.0)?)
                }
                (Some("renting"), "headroom") => op.headroom = number(0.0, 10.0)?,
                (Some("alerts"), "window_s") => op.alert_window = seconds(10.0, 86_400.0)?,
                (Some("alerts"), "least_jobs") => op.alert_min_jobs = number(1.0, 1e6)? as u32,
                (Some("alerts"), "margin") => op.alert_recovery_margin = number(0.0, 1.0)?,
                _ => return Err(bad(field.clone(), "unknown key".into())),
            }
        }
    }
    Ok(op)
}
