//! Metrics of requests by workspace, with a bounded number of labels.

use lacewingmoor_bundle::{Bundle, Version, WorkspaceName};
use lacewingmoor_control::Set;
use metrics::counter;

/// Workspaces of one bundle that have a label of their own.
const NAMED_MAX: usize = 8;

/// Workspaces that have a label of their own over the life of a process, in which bundles with other
/// workspaces may follow each other.
const NAMED_EVER_MAX: usize = 64;

/// Label of all other workspaces.
const OTHER: &str = "other";

/// Label of requests without a workspace.
const NONE: &str = "none";

/// Labels of the workspaces of the bundle that was active last.
#[derive(Default)]
pub struct WorkspaceLabels {
    version: Option<Version>,
    named: Set<WorkspaceName>,
    named_ever: Set<WorkspaceName>,
}

impl WorkspaceLabels {
    /// Returns the label of a request that was admitted by `bundle`.
    pub fn label<'a>(&mut self, bundle: &Bundle, workspace: Option<&'a str>) -> &'a str {
        let Some(name) = workspace else {
            return NONE;
        };
        if self.version != Some(bundle.version) {
            self.update(bundle);
        }
        match self.named.contains(name) {
            true => name,
            false => OTHER,
        }
    }

    fn update(&mut self, bundle: &Bundle) {
        self.version = Some(bundle.version);
        self.named.clear();
        for workspace in bundle.largest_workspaces(NAMED_MAX) {
            let has_room = self.named_ever.len() < NAMED_EVER_MAX;
            if has_room || self.named_ever.contains(&workspace.name) {
                self.named.insert(workspace.name.clone());
                self.named_ever.insert(workspace.name.clone());
            }
        }
    }
}

/// Counts a request that ended; `is_answered` is false if it got no response of a target.
pub fn record_end(label: &str, is_answered: bool) {
    let end = if is_answered { "answered" } else { "refused" };
    let label = label.to_owned();
    counter!("lacewingmoor_workspace_requests_total", "workspace" => label, "end" => end)
        .increment(1);
}
