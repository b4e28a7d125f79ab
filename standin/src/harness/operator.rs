//! The operator: the real command line with a key of its own.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use super::binary;
use super::error::{Error, io_error};

/// Bound on one command.
const COMMAND_MAX: Duration = Duration::from_secs(30);

/// What `keygen` prints.
#[derive(Deserialize)]
struct Keygen {
    public: String,
}

/// Runs the operator's command line.
#[derive(Debug)]
pub struct Operator {
    binary: PathBuf,
    dir: PathBuf,
    store: SocketAddr,
    public_key: String,
}

impl Operator {
    /// Creates a key in `dir` with `lacewingmoor keygen`.
    ///
    /// # Errors
    ///
    /// Returns an error if the command line is not built or fails.
    pub async fn new(dir: &Path, store: SocketAddr) -> Result<Self, Error> {
        let mut operator = Self {
            binary: binary("lacewingmoor")?,
            dir: dir.into(),
            store,
            public_key: String::new(),
        };
        let key = operator.path("operator.key");
        let json = operator.run(&["keygen", "--json", "--out", &key]).await?;
        let answer: Keygen = serde_json::from_str(&json)
            .map_err(|e| Error::Io("read the answer of keygen".into(), e.into()))?;
        operator.public_key = answer.public;
        Ok(operator)
    }

    /// Returns the public key in base64.
    pub fn public_key(&self) -> &str {
        &self.public_key
    }

    /// Writes, signs and rolls out a bundle, and lets the command line wait until the `nodes` have
    /// it in force; returns what it printed.
    ///
    /// # Errors
    ///
    /// Returns an error if a command fails.
    pub async fn rollout(
        &self,
        version: u64,
        yaml: &str,
        nodes: &[SocketAddr],
    ) -> Result<String, Error> {
        let bundle = self.path(&format!("bundle-{version}.yaml"));
        let signed = self.path(&format!("bundle-{version}.signed"));
        fs::write(&bundle, yaml).map_err(io_error("write the bundle"))?;
        let key = self.path("operator.key");
        let store = self.store.to_string();
        let mut text = self
            .run(&["sign", "--key", &key, "--out", &signed, &bundle])
            .await?;
        let nodes: Vec<String> = nodes.iter().map(SocketAddr::to_string).collect();
        let nodes = nodes.join(",");
        let rollout = ["rollout", "--store", &store, "--nodes", &nodes, &signed];
        text += &self.run(&rollout).await?;
        Ok(text)
    }

    /// Runs the command line with some arguments and returns its output.
    ///
    /// # Errors
    ///
    /// Returns an error with the output if the command fails or takes too long.
    pub async fn run(&self, args: &[&str]) -> Result<String, Error> {
        let name = format!("lacewingmoor {}", args.join(" "));
        let output = tokio::process::Command::new(&self.binary)
            .args(args)
            .kill_on_drop(true)
            .output();
        let output = tokio::time::timeout(COMMAND_MAX, output)
            .await
            .map_err(|_| Error::Late(format!("end of {name}"), String::new()))?
            .map_err(io_error(format!("start {name}")))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        Err(Error::Command(
            name,
            output.status.to_string(),
            text + &errors,
        ))
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).to_string_lossy().into_owned()
    }
}
