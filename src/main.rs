//! The salttiller program: the daemon, and the beginnings of an operator's
//! toolbox round it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use salttiller::controller::Controller;
use salttiller::peer_protocol::{self, Message, Status};
use salttiller::settings::Settings;
use salttiller::status;

/// A hierarchical cluster scheduler. Without a command: one controller of the
/// service, which runs until it is killed.
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Cli {
    #[command(flatten)]
    files: Option<Files>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args)]
struct Files {
    /// Operators' own settings (INI).
    #[arg(long, value_name = "FILE")]
    ini: Option<PathBuf>,
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[derive(Subcommand)]
enum Command {
    /// Checks the settings without starting. Exit code 0: usable, 1: not.
    Check {
        #[command(flatten)]
        files: Files,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Asks a running controller how it stands. Exit code 0: answered, all aims
    /// met; 1: no usable answer; 3: answered, some aim behind.
    Status {
        /// The controller's mesh address.
        addr: SocketAddr,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match (cli.command, cli.files) {
        (Some(Command::Check { files, json }), _) => check(&files, json),
        (Some(Command::Status { addr, json }), _) => ask(addr, json),
        (None, Some(files)) => serve(&files),
        (None, None) => {
            eprintln!("salttiller: --config FILE or a command is needed, see --help");
            ExitCode::from(2)
        }
    }
}

fn load(files: &Files) -> Result<Settings, ExitCode> {
    Settings::load(&files.config, files.ini.as_deref()).map_err(|e| {
        eprintln!("salttiller: {e}");
        ExitCode::FAILURE
    })
}

fn serve(files: &Files) -> ExitCode {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    env_logger::Builder::new()
        .parse_filters(&level)
        .format(|out, rec| {
            let level = rec.level().as_str().to_ascii_lowercase();
            writeln!(out, "{level} {}", rec.args())
        })
        .init();
    let settings = match load(files) {
        Ok(s) => s,
        Err(code) => return code,
    };
    if let Err(e) = Controller::open(settings).and_then(|mut n| n.serve()) {
        eprintln!("salttiller: {e}");
    }
    ExitCode::FAILURE
}

fn check(files: &Files, json: bool) -> ExitCode {
    let s = match load(files) {
        Ok(s) => s,
        Err(code) => return code,
    };
    let unknown: Vec<&String> = s
        .operator
        .class_precedence
        .iter()
        .filter(|c| !s.objectives.iter().any(|o| o.class.as_ref() == Some(c)))
        .collect();
    if json {
        let v = serde_json::json!({"ok": true, "name": s.name, "regions": s.regions(), "teams": s.teams.len(),
            "grant_life_ms": s.owner_lease_life() / 1000, "precedence": s.operator.class_precedence,
            "precedence_without_aim": unknown});
        println!("{v}");
    } else {
        println!(
            "{}: usable; {} regions, {} teams, lease life {:.1} s, precedence: {}",
            s.name,
            s.regions().len(),
            s.teams.len(),
            s.owner_lease_life() as f64 / 1e6,
            if s.operator.class_precedence.is_empty() {
                "none".to_owned()
            } else {
                s.operator.class_precedence.join(", ")
            }
        );
        for c in unknown {
            println!("note: classes.precedence: no aim names class {c}");
        }
    }
    ExitCode::SUCCESS
}

/// One question, one answer, each bounded in time and size.
fn fetch(addr: SocketAddr) -> Result<Status, String> {
    let wait = Duration::from_secs(3);
    let fail = |e: std::io::Error| format!("{addr}: {e}");
    let mut s = TcpStream::connect_timeout(&addr, wait).map_err(fail)?;
    s.set_read_timeout(Some(wait)).map_err(fail)?;
    s.set_write_timeout(Some(wait)).map_err(fail)?;
    let ask = peer_protocol::encode(&Message::StatusRequest);
    s.write_all(&(ask.len() as u32).to_le_bytes())
        .map_err(fail)?;
    s.write_all(&ask).map_err(fail)?;
    let mut head = [0u8; 4];
    s.read_exact(&mut head).map_err(fail)?;
    let n = u32::from_le_bytes(head) as usize;
    if n > 1 << 20 {
        return Err(format!("{addr}: not a controller's answer"));
    }
    let mut body = vec![0u8; n];
    s.read_exact(&mut body).map_err(fail)?;
    match peer_protocol::decode(&body) {
        Some(Message::StatusResponse(s)) => Ok(s),
        _ => Err(format!("{addr}: not a controller's answer")),
    }
}

fn ask(addr: SocketAddr, json: bool) -> ExitCode {
    let s = match fetch(addr) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("salttiller: {e}");
            return ExitCode::FAILURE;
        }
    };
    if json {
        println!("{}", serde_json::to_string(&s).unwrap_or_default());
    } else {
        print!("{}", status::render_text(&s));
    }
    if s.objectives.iter().any(|a| a.breached) {
        ExitCode::from(3)
    } else {
        ExitCode::SUCCESS
    }
}
