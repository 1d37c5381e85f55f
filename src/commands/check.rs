//! The `check` command, which validates the settings without starting a controller.

use std::process::ExitCode;

use salttiller::settings::Settings;
use salttiller_records::units::{to_seconds, MILLISECOND};

use super::{CommandError, SettingsFiles};

/// Loads the settings and prints a summary of them.
pub(crate) fn run(files: &SettingsFiles, json: bool) -> Result<ExitCode, CommandError> {
    let settings = files.load()?;
    if json {
        print_json(&settings);
    } else {
        print_text(&settings);
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the classes with precedence that no objective names. Such a class may be misspelt.
fn precedence_without_objective(settings: &Settings) -> Vec<&String> {
    let has_objective = |class: &String| {
        let mut classes = settings.objectives.iter().map(|o| o.class.as_ref());
        classes.any(|named| named == Some(class))
    };
    let precedence = settings.operator.class_precedence.iter();
    precedence.filter(|class| !has_objective(class)).collect()
}

fn print_json(settings: &Settings) {
    // The field names are a stable interface for scripts.
    let document = serde_json::json!({
        "ok": true,
        "name": settings.name,
        "regions": settings.regions(),
        "teams": settings.teams.len(),
        "grant_life_ms": settings.owner_lease_duration() / MILLISECOND,
        "precedence": settings.operator.class_precedence,
        "precedence_without_aim": precedence_without_objective(settings),
    });
    println!("{document}");
}

fn print_text(settings: &Settings) {
    let precedence = &settings.operator.class_precedence;
    println!(
        "{}: usable; {} regions, {} teams, lease life {:.1} s, precedence: {}",
        settings.name,
        settings.regions().len(),
        settings.teams.len(),
        to_seconds(settings.owner_lease_duration()),
        if precedence.is_empty() {
            "none".to_owned()
        } else {
            precedence.join(", ")
        }
    );
    for class in precedence_without_objective(settings) {
        println!("note: classes.precedence: no objective names class {class}");
    }
}
