//! Operators' settings of the archive, read from the section `archive` of an INI file.

use std::ops::RangeInclusive;
use std::path::Path;

use salttiller::settings::{parse_number, FieldError, SettingsError};

/// Number of seconds per day.
const DAY_S: f64 = 86_400.0;

/// Settings for recording and retention.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ArchiveSettings {
    /// Maximum share of the state service's request rate that the recorder uses.
    pub request_share: f64,
    /// Minimum time between two requests for changes, in seconds.
    pub watch_s: f64,
    /// Time from the end of one snapshot to the start of the next, in seconds (key
    /// `image_every_s`).
    pub snapshot_every_s: f64,
    /// Maximum number of retained snapshots (key `keep_images`).
    pub keep_snapshots: usize,
    /// Maximum age of a retained snapshot, in seconds.
    pub keep_s: f64,
}

impl Default for ArchiveSettings {
    fn default() -> Self {
        ArchiveSettings {
            request_share: 0.05,
            watch_s: 1.0,
            snapshot_every_s: 3600.0,
            keep_snapshots: 48,
            keep_s: 7.0 * DAY_S,
        }
    }
}

/// Reads the archive's settings from an INI file. Returns the defaults if `path` is `None`.
///
/// # Errors
/// Returns an error if the file can't be read, has an unknown section or key, or has a value that
/// is out of range.
pub(crate) fn read_archive_settings(path: Option<&Path>) -> Result<ArchiveSettings, SettingsError> {
    let Some(path) = path else {
        return Ok(ArchiveSettings::default());
    };
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse_archive_settings(&file, &text),
        Err(cause) => Err(SettingsError::Unreadable { file, cause }),
    }
}

fn parse_archive_settings(file: &str, text: &str) -> Result<ArchiveSettings, SettingsError> {
    let ini = ini::Ini::load_from_str(text).map_err(|cause| SettingsError::Ini {
        file: file.to_owned(),
        cause,
    })?;
    let mut settings = ArchiveSettings::default();
    for (section, properties) in &ini {
        for (key, value) in properties {
            let property = Property {
                file,
                field: format!("{}.{key}", section.unwrap_or("")),
                value,
            };
            set_field(&mut settings, &property)?;
        }
    }
    Ok(settings)
}

/// A key of the INI file with its value.
struct Property<'a> {
    file: &'a str,
    /// Section and key, joined by a dot.
    field: String,
    value: &'a str,
}

impl Property<'_> {
    fn number_in(&self, range: RangeInclusive<f64>) -> Result<f64, SettingsError> {
        parse_number(self.value, *range.start(), *range.end())
            .map_err(|cause| self.field_error(cause))
    }

    fn field_error(&self, cause: FieldError) -> SettingsError {
        SettingsError::Field {
            file: self.file.to_owned(),
            field: self.field.clone(),
            cause,
        }
    }
}

fn set_field(settings: &mut ArchiveSettings, property: &Property) -> Result<(), SettingsError> {
    match property.field.as_str() {
        "archive.request_share" => settings.request_share = property.number_in(0.001..=0.5)?,
        "archive.watch_s" => settings.watch_s = property.number_in(0.05..=60.0)?,
        "archive.image_every_s" => settings.snapshot_every_s = property.number_in(1.0..=1e6)?,
        "archive.keep_images" => {
            settings.keep_snapshots = property.number_in(1.0..=1e5)? as usize;
        }
        "archive.keep_s" => settings.keep_s = property.number_in(1.0..=1e9)?,
        _ => return Err(property.field_error(FieldError::UnknownKey)),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
