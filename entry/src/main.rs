//! Command line of the entry process.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lacewingmoord::process;

/// Run an entry of the load balancer.
#[derive(FromArgs)]
struct Args {
    /// path of the settings file (YAML); defaults to the value of LACEWINGMOOR_SETTINGS
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "LACEWINGMOOR_SETTINGS";

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = args
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(settings) = settings else {
        eprintln!("lacewingmoord: no settings file given: use --settings or LACEWINGMOOR_SETTINGS");
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
