//! Registers this entry in the store, under a lease, so that others know of it.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::stop::Phase;
use lacewingmoor_platform::registry;
use lacewingmoor_platform::store::{self, LeaseId};
use slog::{info, warn};

use crate::node::Node;
use crate::store::{Client, Error};

/// Time after which the registration of an entry that is gone ends.
const LEASE_TTL: Duration = Duration::from_secs(24);

/// Interval of renewals: two may fail before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_millis(7500);

/// Keeps the registration until the process leaves.
pub async fn keep(node: Rc<Node>) {
    let mut client = Client::new(&node);
    let mut lease: Option<LeaseId> = None;
    while node.phase() == Phase::Running {
        let result = match lease {
            Some(id) => renew(&mut client, id).await.map(|()| id),
            None => register(&node, &mut client).await,
        };
        match result {
            Ok(id) => {
                if lease.replace(id).is_none() {
                    info!(node.log, "registered"; "lease" => id);
                }
            }
            Err(error) => {
                warn!(node.log, "registration_failed"; "cause" => %error);
                if matches!(error, Error::Answer(store::Error::Missing)) {
                    lease = None;
                    continue;
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
            () = node.reached(Phase::Leaving) => {}
        }
    }
    if let Some(id) = lease {
        let request = store::end_lease(&client.host(), id);
        if let Err(error) = client.call("end_lease", request, Duration::ZERO).await {
            warn!(node.log, "registration_not_ended"; "cause" => %error);
        }
    }
}

async fn register(node: &Node, client: &mut Client) -> Result<LeaseId, Error> {
    let request = store::create_lease(&client.host(), LEASE_TTL);
    let (status, body) = client.call("lease", request, Duration::ZERO).await?;
    let lease = store::decode_lease(status, &body)?;
    let key = registry::node_key(&node.settings.node);
    let value = registry::encode_node(&node.own);
    let request = store::put(&client.host(), &key, &value, lease);
    let (status, _) = client.call("put", request, Duration::ZERO).await?;
    store::decode_done(status)?;
    Ok(lease)
}

async fn renew(client: &mut Client, lease: LeaseId) -> Result<(), Error> {
    let request = store::renew_lease(&client.host(), lease);
    let (status, _) = client.call("renew", request, Duration::ZERO).await?;
    Ok(store::decode_done(status)?)
}
