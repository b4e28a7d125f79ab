//! The operator's command line of lacewingmoor.

mod accept;
mod cmd;
mod config;
mod error;
mod http;
mod node;
mod signed;
mod store;
mod util;

use std::process::ExitCode;

use argh::FromArgs;

use crate::error::Exit;
use crate::util::finish;

/// Checks, signs and rolls out configuration bundles, and shows what entries do with them.
#[derive(FromArgs)]
#[argh(
    note = "Every command prints JSON with --json.",
    error_code(0, "everything asked for was done"),
    error_code(1, "a check failed, or a version is not in force on every node"),
    error_code(2, "the command line or a file named on it cannot be used"),
    error_code(3, "another version was accepted first"),
    error_code(4, "outcome unknown: the version may have been accepted or not"),
    error_code(5, "the store did not answer; nothing was accepted")
)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(cmd::check::Args),
    Diff(cmd::diff::Args),
    Sign(cmd::sign::Args),
    Rollout(cmd::rollout::Args),
    Status(cmd::status::Args),
    Explain(cmd::explain::Args),
    Keygen(cmd::keygen::Args),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let words: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|word| word.to_string_lossy().into_owned())
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["lacewingmoor"], &words) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            util::print_line(&exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!(
                "{}\nRun lacewingmoor --help for the usage.",
                exit.output.trim_end()
            );
            return ExitCode::from(Exit::Usage as u8);
        }
    };
    match args.command {
        Command::Check(args) => finish(args.json, cmd::check::run(&args)),
        Command::Diff(args) => finish(args.json, cmd::diff::run(&args).await),
        Command::Sign(args) => finish(args.json, cmd::sign::run(&args)),
        Command::Rollout(args) => finish(args.json, cmd::rollout::run(&args).await),
        Command::Status(args) => finish(args.json, cmd::status::run(&args).await),
        Command::Explain(args) => finish(args.json, cmd::explain::run(&args).await),
        Command::Keygen(args) => finish(args.json, cmd::keygen::run(&args)),
    }
}
