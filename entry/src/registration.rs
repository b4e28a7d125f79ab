//! Registers this entry in the store, bound to a lease, so that other entries know of it.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::shutdown::Phase;
use lacewingmoor_platform::registry;
use lacewingmoor_platform::store::{self, Consistency, LeaseId};
use slog::{info, warn};

use crate::shared_state::SharedState;
use crate::store_client::{Client, Error};

/// Duration of the lease: the registration of an entry that has exited is removed after this time.
const LEASE_TTL: Duration = Duration::from_secs(24);

/// Interval at which the lease is renewed. Two renewals may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(7500);

/// Registers this entry and renews the lease until the shutdown begins. The registration is not
/// removed then but expires with its lease, so that a process that restarts soon can take it over.
pub async fn run(shared: Rc<SharedState>) {
    let mut client = Client::new(&shared);
    let mut lease: Option<LeaseId> = None;
    while shared.phase() == Phase::Running {
        let result = match lease {
            Some(id) => renew(&mut client, id).await.map(|()| id),
            None => take_over_or_register(&shared, &mut client).await,
        };
        match result {
            Ok(id) => {
                if lease.replace(id).is_none() {
                    info!(shared.log, "registered"; "lease" => id);
                }
            }
            Err(error) => {
                warn!(shared.log, "registration_failed"; "cause" => %error);
                if is_missing(&error) {
                    lease = None;
                    continue;
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
            () = shared.wait_for_phase(Phase::Leaving) => {}
        }
    }
}

/// Takes over the registration of an earlier process with the same entry name, or creates one.
/// Taking over saves the writes of a new lease and registration.
async fn take_over_or_register(
    shared: &SharedState,
    client: &mut Client,
) -> Result<LeaseId, Error> {
    if let Some(lease) = registered_lease(shared, client).await? {
        match renew(client, lease).await {
            Ok(()) => return Ok(lease),
            Err(error) if is_missing(&error) => {}
            Err(error) => return Err(error),
        }
    }
    register(shared, client).await
}

/// Returns the lease of this entry's registration if it exists with the current values.
async fn registered_lease(
    shared: &SharedState,
    client: &mut Client,
) -> Result<Option<LeaseId>, Error> {
    let key = registry::entry_key(&shared.settings.entry_name);
    let request = store::read(&client.host(), &key, Consistency::Stale);
    let (status, body) = client.call("read", request, Duration::ZERO).await?;
    match store::decode_leased_record(status, &body) {
        Ok(leased) if leased.record.value == Some(registry::encode_entry(&shared.own_entry)) => {
            Ok(leased.lease)
        }
        Ok(_) | Err(store::Error::Missing) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn is_missing(error: &Error) -> bool {
    matches!(error, Error::Response(store::Error::Missing))
}

async fn register(shared: &SharedState, client: &mut Client) -> Result<LeaseId, Error> {
    let request = store::create_lease(&client.host(), LEASE_TTL);
    let (status, body) = client.call("lease", request, Duration::ZERO).await?;
    let lease = store::decode_lease(status, &body)?;
    let key = registry::entry_key(&shared.settings.entry_name);
    let value = registry::encode_entry(&shared.own_entry);
    let request = store::put(&client.host(), &key, &value, lease);
    let (status, _) = client.call("put", request, Duration::ZERO).await?;
    store::decode_status(status)?;
    Ok(lease)
}

async fn renew(client: &mut Client, lease: LeaseId) -> Result<(), Error> {
    let request = store::renew_lease(&client.host(), lease);
    let (status, _) = client.call("renew", request, Duration::ZERO).await?;
    Ok(store::decode_status(status)?)
}
