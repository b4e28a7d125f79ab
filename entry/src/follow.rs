//! Follows the store: a listing, then watches.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::facts::{Change, Revision};
use lacewingmoor_control::view::Effect;
use lacewingmoor_platform::registry::{self, FOLLOWED_PREFIXES};
use lacewingmoor_platform::store::{self, Item};
use rand::RngExt as _;
use slog::{info, warn};

use crate::node::Node;
use crate::store::{Client, Error};

/// Longest wait of one watch. A connection that went silent is noticed this much later.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Pause after a watch that brought changes, so that a series of changes costs few calls.
const BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a failed call; up to twice as long at random, so that entries do not call at once.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows the store for as long as the process runs.
pub async fn follow(node: Rc<Node>) {
    let mut client = Client::new(&node);
    let mut reached = true;
    loop {
        let result = match node.view.borrow().revision() {
            0 => Step::List,
            revision => Step::Watch(revision),
        };
        let result = match result {
            Step::List => list(&node, &mut client).await,
            Step::Watch(revision) => watch(&node, &mut client, revision).await,
        };
        let result = match result {
            Err(Error::Answer(store::Error::Compacted)) => {
                info!(node.log, "store_history_gone"; "revision" => node.view.borrow().revision());
                list(&node, &mut client).await
            }
            other => other,
        };
        match result {
            Ok(changed) => {
                if !reached {
                    reached = true;
                    info!(node.log, "store_regained"; "revision" => node.view.borrow().revision());
                    node.view.borrow_mut().store_returned(node.now());
                }
                if changed {
                    tokio::time::sleep(BATCH_PAUSE).await;
                }
            }
            Err(error) => {
                if reached {
                    reached = false;
                    warn!(node.log, "store_lost"; "cause" => %error);
                }
                let factor = 1.0 + node.rng.borrow_mut().random::<f64>();
                tokio::time::sleep(RETRY_PAUSE.mul_f64(factor)).await;
            }
        }
    }
}

enum Step {
    List,
    Watch(Revision),
}

/// Reads everything that entries follow. Returns true if anything changed.
async fn list(node: &Rc<Node>, client: &mut Client) -> Result<bool, Error> {
    let mut items = Vec::new();
    let mut first_revision = None;
    for prefix in FOLLOWED_PREFIXES {
        let mut after: Option<String> = None;
        loop {
            let request = store::list(&client.host(), prefix, after.as_deref());
            let (status, body) = client.call("list", request, Duration::ZERO).await?;
            let page = store::decode_page(status, &body)?;
            first_revision.get_or_insert(page.revision);
            after = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            if !page.more {
                break;
            }
        }
    }
    let changes = decode(node, &items);
    let effects = {
        let mut view = node.view.borrow_mut();
        // Later pages may hold later changes; watching from the first page repeats them.
        view.replace(node.now(), changes, first_revision.unwrap_or(0))
    };
    log_effects(node, &effects);
    Ok(true)
}

/// Waits for changes. Returns true if anything changed.
async fn watch(node: &Rc<Node>, client: &mut Client, after: Revision) -> Result<bool, Error> {
    let request = store::watch(&client.host(), "", after, WATCH_WAIT);
    let (status, body) = client.call("watch", request, WATCH_WAIT).await?;
    let events = store::decode_events(status, &body)?;
    let changes = decode(node, &events.items);
    let changed = !events.items.is_empty();
    let effects: Vec<Effect> = {
        let mut view = node.view.borrow_mut();
        let now = node.now();
        let effects = changes.into_iter().map(|c| view.apply(now, c)).collect();
        view.advance(events.revision);
        effects
    };
    log_effects(node, &effects);
    Ok(changed)
}

fn decode(node: &Node, items: &[Item]) -> Vec<Change> {
    let regions = &node.settings.regions;
    items
        .iter()
        .filter_map(|item| registry::decode(item, regions))
        .collect()
}

/// Logs what changed and passes on what it means for the observations of targets.
pub fn log_effects(node: &Node, effects: &[Effect]) {
    for effect in effects {
        match effect {
            Effect::None => {}
            Effect::BundleInForce(version) => {
                info!(node.log, "bundle_in_force"; "version" => version);
            }
            Effect::BundleOld(version) => {
                warn!(node.log, "bundle_ignored"; "version" => version);
            }
            Effect::Target(id, change) => {
                info!(node.log, "target"; "target" => &**id, "change" => ?change);
                note_target(node, id);
            }
            Effect::Zone(zone, out) => {
                info!(node.log, "zone"; "zone" => &**zone, "out" => out);
            }
            Effect::Node(name, present) => {
                info!(node.log, "entry"; "entry" => &**name, "present" => present);
            }
            Effect::Unusable(why) => warn!(node.log, "store_item_unusable"; "why" => why),
        }
    }
}

/// Takes the warm-up of a registration over into the observations.
fn note_target(node: &Node, id: &Rc<str>) {
    let view = node.view.borrow();
    match view.target(id) {
        Some(known) => {
            let now = node.now();
            let left = known.target.warmup_left;
            node.with_book(id, |book| book.warmup(now, left));
        }
        None => {
            node.books.borrow_mut().remove(id);
        }
    }
}
