//! Operators' settings of the archive, an INI file.

use std::path::Path;

use salttiller::settings::{parse_number, FieldError, SettingsError};

/// How the archive is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArchiveSettings {
    /// Share of the state service's requests a second.
    pub request_share: f64,
    /// Least seconds between two questions for changes.
    pub watch_s: f64,
    /// Seconds from one image to the next.
    pub image_every_s: f64,
    /// Most images.
    pub keep_images: usize,
    /// Greatest age of an image in seconds.
    pub keep_s: f64,
}

impl Default for ArchiveSettings {
    fn default() -> Self {
        ArchiveSettings {
            request_share: 0.05,
            watch_s: 1.0,
            image_every_s: 3600.0,
            keep_images: 48,
            keep_s: 7.0 * 86_400.0,
        }
    }
}

/// Reads the section `archive` of an INI. Unknown sections and keys are refused.
pub fn read_archive_settings(path: Option<&Path>) -> Result<ArchiveSettings, SettingsError> {
    let Some(path) = path else {
        return Ok(ArchiveSettings::default());
    };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        file: file.clone(),
        cause,
    })?;
    parse_archive_settings(&file, &text)
}

fn parse_archive_settings(file: &str, text: &str) -> Result<ArchiveSettings, SettingsError> {
    let ini = ini::Ini::load_from_str(text).map_err(|cause| SettingsError::Ini {
        file: file.to_owned(),
        cause,
    })?;
    let mut settings = ArchiveSettings::default();
    for (section, properties) in ini.iter() {
        for (key, value) in properties.iter() {
            let field = format!("{}.{key}", section.unwrap_or(""));
            let refuse = |cause: FieldError| SettingsError::Field {
                file: file.to_owned(),
                field: field.clone(),
                cause,
            };
            let number = |min: f64, max: f64| parse_number(value, min, max).map_err(refuse);
            match field.as_str() {
                "archive.request_share" => settings.request_share = number(0.001, 0.5)?,
                "archive.watch_s" => settings.watch_s = number(0.05, 60.0)?,
                "archive.image_every_s" => settings.image_every_s = number(1.0, 1e6)?,
                "archive.keep_images" => settings.keep_images = number(1.0, 1e5)? as usize,
                "archive.keep_s" => settings.keep_s = number(1.0, 1e9)?,
                _ => return Err(refuse(FieldError::UnknownKey)),
            }
        }
    }
    Ok(settings)
}

#[cfg(test)]
mod tests;
