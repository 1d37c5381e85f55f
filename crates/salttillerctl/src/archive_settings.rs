//! Operators' settings of the archive, an INI file with the section `archive`.

use std::ops::RangeInclusive;
use std::path::Path;

use salttiller::settings::{parse_number, FieldError, SettingsError};

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// How the archive is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ArchiveSettings {
    /// Share of the state service's requests a second that the recorder uses at most.
    pub request_share: f64,
    /// Least time between two requests for changes, in seconds.
    pub watch_s: f64,
    /// Time from one snapshot to the next, in seconds (key `image_every_s`).
    pub snapshot_every_s: f64,
    /// Greatest number of snapshots that are retained (key `keep_images`).
    pub keep_snapshots: usize,
    /// Greatest age of a snapshot that is retained, in seconds.
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

/// Reads the archive's settings from an INI file; without one they are the defaults.
///
/// # Errors
/// The file can't be read, has an unknown section or key, or a value out of its range.
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

/// A key of the INI with its value.
struct Property<'a> {
    file: &'a str,
    /// Section and key, joined by a dot.
    field: String,
    value: &'a str,
}

impl Property<'_> {
    fn number_in(&self, range: RangeInclusive<f64>) -> Result<f64, SettingsError> {
        parse_number(self.value, *range.start(), *range.end()).map_err(|cause| self.refuse(cause))
    }

    fn refuse(&self, cause: FieldError) -> SettingsError {
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
        _ => return Err(property.refuse(FieldError::UnknownKey)),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
