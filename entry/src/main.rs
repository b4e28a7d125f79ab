//! The entry process of lacewingmoor.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lacewingmoord::{process, settings::Settings};

/// Run an entry of the load balancer.
#[derive(FromArgs)]
struct Args {
    /// path of the settings file (YAML)
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match Settings::load(&args.settings).and_then(process::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lacewingmoord: {error}");
            ExitCode::FAILURE
        }
    }
}
