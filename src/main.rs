//! The salttiller program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use salttiller::node::Node;
use salttiller::settings::Settings;

/// A hierarchical cluster scheduler: one controller of the service.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Operators' own settings (INI).
    #[arg(long, value_name = "FILE")]
    ini: Option<PathBuf>,
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    env_logger::Builder::new()
        .parse_filters(&level)
        .format(|out, rec| {
            use std::io::Write;
            let level = rec.level().as_str().to_ascii_lowercase();
            writeln!(out, "{level} {}", rec.args())
        })
        .init();
    let settings = match Settings::load(&args.config, args.ini.as_deref()) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("salttiller: {e}");
            return ExitCode::FAILURE;
        }
    };
    let served = Node::open(settings).and_then(|mut n| n.serve());
    if let Err(e) = served {
        eprintln!("salttiller: {e}");
    }
    ExitCode::FAILURE
}
