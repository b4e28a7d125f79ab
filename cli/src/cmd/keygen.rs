//! lacewingmoor keygen --out KEY [--json]
//!
//! Draws an operator key. Prints the public half, which belongs in `operator_keys` of the entries.

use std::fmt;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_bundle::SecretKey;
use lacewingmoor_derive::raw;
use quick_error::ResultExt as _;

use crate::error::Error;
use crate::util::Answer;

/// Draw an operator key. Prints the public half, which belongs in operator_keys of the entries.
#[derive(FromArgs)]
#[argh(subcommand, name = "keygen")]
pub struct Args {
    /// file to write the secret key to; it must not exist
    #[argh(option)]
    out: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::File`] if the file exists or cannot be written.
pub fn run(args: &Args) -> Result<Answer, Error> {
    let key = SecretKey::generate().context(("draw key", args.out.as_path()))?;
    let at = ("write key", args.out.as_path());
    let mut options = OpenOptions::new();
    let options = options.write(true).create_new(true).mode(0o600);
    let mut file = options.open(&args.out).context(at)?;
    writeln!(file, "{}", key.to_base64()).context(at)?;
    Ok(Answer::ok(&Report {
        public: key.public().to_base64(),
        key_id: key.public().id(),
    }))
}

#[raw]
struct Report {
    public: String,
    key_id: String,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "public key {}\nkey id {}", self.public, self.key_id)
    }
}
