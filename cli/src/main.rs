//! Command line of lacewingmoor for operators.

mod cmd;
mod error;
mod log_line;
mod util;

use std::process::ExitCode;

use argh::FromArgs;

use crate::error::Exit;
use crate::util::print_result;

/// Checks bundles and settings, compares and renders bundles, shows the state of entries, and
/// explains the outcome of a request.
#[derive(FromArgs)]
#[argh(
    note = "With --json a command prints JSON; render always does.",
    error_code(0, "the command succeeded"),
    error_code(
        1,
        "a check failed, a bundle is invalid, entries differ or do not respond, or the request was not found"
    ),
    error_code(
        2,
        "the command line is invalid, a file cannot be read, or the command cannot be set up"
    )
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
    // `std::env::args` would panic on arguments that are not UTF-8.
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["lacewingmoor"], &arguments) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            util::print_line(&early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            eprintln!(
                "{}\nRun lacewingmoor --help for usage.",
                early_exit.output.trim_end()
            );
            return ExitCode::from(Exit::Usage as u8);
        }
    };
    match args.command {
        Command::Check(args) => print_result(args.json, cmd::check::run(&args)),
        Command::Diff(args) => print_result(args.json, cmd::diff::run(&args)),
        Command::Render(args) => print_result(false, cmd::render::run(&args)),
        Command::Status(args) => print_result(args.json, cmd::status::run(&args).await),
        Command::Trace(args) => print_result(args.json, cmd::trace::run(&args)),
    }
}
