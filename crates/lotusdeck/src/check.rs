//! `lotusdeck check`: all that is wrong with files, at once.

use crate::locate::{locate, place};
use crate::operator::{Operator, KEYS};
use crate::say;
use lotusdeck_policy::settings::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Which files.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Node configurations (.json) and operator files (.toml).
    #[arg(required_unless_present = "keys")]
    files: Vec<PathBuf>,
    /// List every key of the operator file, with its range and default.
    #[arg(long)]
    keys: bool,
}

/// One line for each fault, or for a sound file.
pub(crate) fn main(args: &Args) -> ExitCode {
    if args.keys {
        for k in &KEYS {
            let text = format!(
                "{}: {}, default {}: {}\n",
                k.path,
                k.value_type.expected(),
                k.value_type.default(),
                k.about
            );
            say(&text);
        }
    }
    let mut sound = true;
    for file in &args.files {
        let name = file.display();
        match check(file) {
            Ok(kind) => say(&format!("{name}: a sound {kind}\n")),
            Err(faults) => {
                sound = false;
                faults
                    .iter()
                    .for_each(|(line, column, text)| say(&format!("{name}:{line}:{column}: {text}\n")));
            }
        }
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(crate::REFUSED)
    }
}

/// Line, column and text of a fault.
type Told = (usize, usize, String);

fn check(file: &Path) -> Result<&'static str, Vec<Told>> {
    let text = std::fs::read_to_string(file).map_err(|e| vec![(0, 0, format!("cannot be read: {e}"))])?;
    if file.extension().is_some_and(|e| e == "toml") {
        return match Operator::parse(&text) {
            Ok(_) => Ok("operator file"),
            Err(faults) => Err(faults
                .into_iter()
                .map(|f| {
                    let (line, column) = place(&text, f.at);
                    (line, column, f.text)
                })
                .collect()),
        };
    }
    let faults = node(&text)?;
    if faults.is_empty() {
        return Ok("node configuration");
    }
    let told = |(key, why): &(String, String)| {
        let (line, column) = place(&text, locate(&text, key));
        (line, column, format!("{key}: {why}"))
    };
    let mut told: Vec<Told> = faults.iter().map(told).collect();
    told.sort();
    Err(told)
}

/// Key and text of all that is wrong with a node configuration.
fn node(text: &str) -> Result<Vec<(String, String)>, Vec<Told>> {
    let whole: Value = serde_json::from_str(text).map_err(|e| vec![(e.line(), e.column(), e.to_string())])?;
    let mut faults = Vec::new();
    let mut want = |key: &str, needed: bool, expected: &str, fits: &dyn Fn(&Value) -> bool| {
        let value = key.split('.').try_fold(&whole, |v, part| v.get(part));
        match value {
            None if needed => faults.push((key.to_string(), format!("missing, expected {expected}"))),
            Some(v) if !fits(v) => {
                faults.push((key.to_string(), format!("expected {expected}, got {v:.60}")));
            }
            _ => {}
        }
    };
    let address = |v: &Value| v.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok());
    let seed =
        |v: &Value| v.as_u64().is_some() || v.as_str().is_some_and(|t| u64::from_str_radix(t, 16).is_ok());
    let whole_number = |v: &Value| v.as_u64().is_some();
    want("name", true, "text", &|v| v.as_str().is_some_and(|t| !t.is_empty()));
    want("listen", true, "address:port", &address);
    want("discovery", true, "address:port", &address);
    want("admin_addr", false, "address:port", &address);
    want("seed", true, "a number or up to 16 hex digits", &seed);
    want("limits.sockets", false, "a whole number", &whole_number);
    want("limits.memory_mb", false, "a whole number", &whole_number);
    want("known.endpoints", false, "an array", &Value::is_array);
    match whole.get("settings") {
        None => faults.push(("settings".into(), "missing, expected an object".into())),
        Some(settings) => {
            let read = Settings::read(settings).err();
            faults.extend(read.into_iter().flat_map(|all| all.0).map(|f| {
                let why = match f.got {
                    Some(got) => format!("expected {}, got {got}", f.expected),
                    None => format!("missing, expected {}", f.expected),
                };
                (format!("settings.{}", f.key), why)
            }));
        }
    }
    Ok(faults)
}
