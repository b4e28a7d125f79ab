//! Errors of loading the settings and of starting the process.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why the settings could not be loaded or the process could not start.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file could not be read.
        ReadSettings(path: PathBuf, error: std::io::Error) {
            display("cannot read settings file {}: {error}", path.display())
            source(error)
        }
        /// The settings are invalid; one line per error.
        Settings(errors: Vec<String>) {
            display("invalid settings:\n  {}", errors.join("\n  "))
        }
        /// A listening socket could not be opened.
        Listen(what: &'static str, addr: std::net::SocketAddr, error: std::io::Error) {
            display("cannot listen for {what} on {addr}: {error}")
            source(error)
        }
        /// The runtime or a signal handler could not be set up.
        Start(step: &'static str, error: std::io::Error) {
            display("cannot set up {step}: {error}")
            source(error)
        }
    }
}
