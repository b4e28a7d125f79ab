//! The entry process of lacewingmoor.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lacewingmoord::process;

/// Run an entry of the load balancer.
#[derive(FromArgs)]
struct Args {
    /// path of the settings file (YAML); by default that in LACEWINGMOOR_SETTINGS
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "LACEWINGMOOR_SETTINGS";

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = args
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(settings) = settings else {
        eprintln!("lacewingmoord: name the settings file with --settings");
        return ExitCode::FAILURE;
    };
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lacewingmoord: {error}");
            ExitCode::FAILURE
        }
    }
}
