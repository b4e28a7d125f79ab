//! lacewingmoor explain --node IP:PORT --path PATH [--method GET] [--tenant NAME] [--json]
//!
//! Asks an entry what it would do with a request now, and why.

use std::fmt;

use argh::FromArgs;
use serde::Serialize;
use serde_json::Value;

use crate::config::addr;
use crate::error::Error;
use crate::http;
use crate::node::{self, NODE_TIMEOUT};
use crate::util::{Answer, table};

/// Ask an entry what it would do with a request now, and why.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} --node 10.0.1.1:9000 --method POST --path /bookings --tenant club"
)]
pub struct Args {
    /// admin address of the entry
    #[argh(option)]
    node: String,

    /// path of the request, without a query
    #[argh(option)]
    path: String,

    /// method of the request
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,

    /// value of the tenant header
    #[argh(option)]
    tenant: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// [`Error::Node`] if the entry does not answer.
pub async fn run(args: &Args) -> Result<Answer, Error> {
    let node = addr("--node", &args.node)?;
    let method = args.method.to_ascii_uppercase();
    let mut query = vec![("method", method.as_str()), ("path", args.path.as_str())];
    query.extend(args.tenant.as_deref().map(|tenant| ("tenant", tenant)));
    let client = http::client(NODE_TIMEOUT);
    let answer = node::get(&client, "explain", node, "/explain", &query).await?;
    Ok(Answer::ok(&Report(answer)))
}

/// The entry's answer. Its fields are shown as they are, so that a newer entry can add some.
#[derive(Serialize)]
#[serde(transparent)]
struct Report(Value);

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Value::Object(fields) = &self.0 else {
            return write!(f, "{}", show(&self.0));
        };
        let lists = |value: &Value| {
            value
                .as_array()
                .is_some_and(|l| l.iter().any(Value::is_object))
        };
        for (name, value) in fields.iter().filter(|(_, value)| !lists(value)) {
            writeln!(f, "{name}: {}", show(value))?;
        }
        for (name, value) in fields.iter().filter(|(_, value)| lists(value)) {
            writeln!(f, "{name}:")?;
            f.write_str(&rows(value.as_array().map_or(&[], Vec::as_slice)))?;
        }
        Ok(())
    }
}

/// Shows objects as a table with a column for each field.
fn rows(items: &[Value]) -> String {
    let mut columns: Vec<&str> = Vec::new();
    for field in items
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|o| o.keys())
    {
        if !columns.contains(&field.as_str()) {
            columns.push(field);
        }
    }
    let head = columns.iter().map(|c| c.to_uppercase()).collect();
    let cells = items.iter().map(|item| {
        let cell = |c: &&str| item.get(*c).map_or(String::new(), show);
        columns.iter().map(cell).collect()
    });
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(cells).collect();
    table(&rows)
}

fn show(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(items) => items.iter().map(show).collect::<Vec<_>>().join(", "),
        _ => value.to_string(),
    }
}
