//! The operator's command line of lacewingmoor.

mod cmd;
mod error;
mod lines;
mod util;

use std::process::ExitCode;

use argh::FromArgs;

use crate::error::Exit;
use crate::util::finish;

/// Checks bundles and settings, shows what entries have in force, and explains single requests.
#[derive(FromArgs)]
#[argh(
    note = "Every command prints JSON with --json.",
    error_code(0, "everything asked for was done"),
    error_code(1, "a check failed, entries differ, or the request was not found"),
    error_code(2, "the command line or a file named on it cannot be used")
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
    Render(cmd::render::Args),
    Status(cmd::status::Args),
    Trace(cmd::trace::Args),
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
        Command::Diff(args) => finish(args.json, cmd::diff::run(&args)),
        Command::Render(args) => finish(false, cmd::render::run(&args)),
        Command::Status(args) => finish(args.json, cmd::status::run(&args).await),
        Command::Trace(args) => finish(args.json, cmd::trace::run(&args)),
    }
}
