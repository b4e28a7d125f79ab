//! Errors of the harness.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// What went wrong in the harness.
    #[derive(Debug)]
    pub enum Error {
        /// An operation of the operating system failed.
        Io(step: String, error: io::Error) {
            display("{step}: {error}")
            source(error)
        }
        /// A binary of the project has not been built.
        NotBuilt(path: PathBuf) {
            display("{} does not exist; build it with `cargo build --workspace` \
                     (with --release for a release run)", path.display())
        }
        /// A command ended with an error.
        Command(command: String, status: String, output: String) {
            display("{command}: {status}\n{output}")
        }
        /// Something did not happen in time.
        Late(what: String, log: String) {
            display("{what} did not happen in time\n{log}")
        }
    }
}

/// Names the step that an I/O error belongs to.
pub(super) fn io_error(step: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    let step = step.into();
    move |error| Error::Io(step, error)
}
