//! Registers this entry in the store, bound to a lease, so that other entries know of it. Which
//! entries register is decided in `lacewingmoor_control::membership`.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::model::{Entry, EntryName, Era, RecordValue};
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

/// Interval at which the list of members is checked, and shortest time between two writes of it.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(1500);

/// Pause before this entry registers again after its lease has ended.
const REGISTER_AGAIN_DELAY: Duration = Duration::from_millis(250);

/// Registration of this entry in the store.
struct Registration {
    lease: LeaseId,
    /// Members named in the store.
    members: Vec<EntryName>,
    /// Era of the store in which the registration was written or found. A store that is restored from an
    /// older copy may have lost it, or name other members.
    era: Era,
}

/// Waits until this entry has to register. Then keeps it registered, with its current members, until the shutdown begins. The registration is not removed then but expires with its
/// lease, so that a process that restarts soon can take it over.
pub async fn run(shared: Rc<SharedState>) {
    tokio::select! {
        () = shared.wait_for_registration_request() => {}
        () = shared.wait_for_phase(Phase::Leaving) => return,
    }
    let mut client = Client::new(&shared);
    let mut registration: Option<Registration> = None;
    while shared.phase() == Phase::Running {
        let result = match &mut registration {
            Some(current) => renew(&mut client, current.lease).await,
            None => take_over_or_register(&shared, &mut client)
                .await
                .map(|new| {
                    info!(shared.log, "registered"; "lease" => new.lease);
                    registration = Some(new);
                }),
        };
        let pause = match &result {
            Err(error) if is_missing(error) => REGISTER_AGAIN_DELAY,
            _ => RENEW_INTERVAL,
        };
        if let Err(error) = result {
            warn!(shared.log, "registration_failed"; "cause" => %error);
            if is_missing(&error) {
                registration = None;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = publish_members(&shared, &mut client, &mut registration) => {}
            () = shared.wait_for_phase(Phase::Leaving) => {}
        }
    }
}

/// Publishes the members whenever they have changed enough. Returns when the registration is missing.
async fn publish_members(
    shared: &SharedState,
    client: &mut Client,
    registration: &mut Option<Registration>,
) {
    loop {
        let Some(current) = registration else {
            return std::future::pending().await;
        };
        tokio::time::sleep(MEMBERS_CHECK_INTERVAL).await;
        let era = shared.era();
        let is_due = era != current.era || {
            let view = shared.view.borrow();
            let mut followers = shared.followers.borrow_mut();
            followers.should_publish(shared.now(), &view, &shared.locality.zone, &current.members)
        };
        if !is_due {
            continue;
        }
        let members = members(shared);
        match write(shared, client, current.lease, &members).await {
            Ok(()) => {
                info!(shared.log, "members_published"; "members" => members.len());
                current.members = members;
                current.era = era;
            }
            Err(error) => {
                warn!(shared.log, "registration_failed"; "cause" => %error);
                if is_missing(&error) {
                    *registration = None;
                    return;
                }
            }
        }
    }
}

fn members(shared: &SharedState) -> Vec<EntryName> {
    let view = shared.view.borrow();
    let mut followers = shared.followers.borrow_mut();
    followers.members(shared.now(), &view, &shared.locality.zone)
}

/// Takes over the registration of an earlier process with the same entry name, or creates one.
/// Taking over saves the writes of a new lease and registration.
async fn take_over_or_register(
    shared: &SharedState,
    client: &mut Client,
) -> Result<Registration, Error> {
    if let Some(registration) = existing_registration(shared, client).await? {
        match renew(client, registration.lease).await {
            Ok(()) => {
                let mut followers = shared.followers.borrow_mut();
                let zone = &shared.locality.zone;
                followers.inherit(shared.now(), &registration.members, zone);
                return Ok(registration);
            }
            Err(error) if is_missing(&error) => {}
            Err(error) => return Err(error),
        }
    }
    register(shared, client).await
}

/// Returns the registration of this entry if it exists with the current values.
async fn existing_registration(
    shared: &SharedState,
    client: &mut Client,
) -> Result<Option<Registration>, Error> {
    let key = registry::entry_key(&shared.settings.entry_name);
    let request = store::read(&client.host(), &key, Consistency::Stale);
    let reply = client.call("read", request, Duration::ZERO).await?;
    let era = reply.era.unwrap_or_default();
    let leased = match store::decode_leased_record(reply.status, &reply.body, era) {
        Ok(leased) => leased,
        Err(store::Error::Missing) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let change = registry::decode(&leased.record, &shared.settings.regions);
    let entry = match change.and_then(|change| change.value) {
        Some(RecordValue::Entry(entry)) => entry,
        _ => return Ok(None),
    };
    let own = Entry {
        members: entry.members.clone(),
        ..shared.own_entry.clone()
    };
    let lease = leased.lease.filter(|_| own == *entry);
    Ok(lease.map(|lease| Registration {
        lease,
        members: entry.members.clone(),
        era: shared.era(),
    }))
}

fn is_missing(error: &Error) -> bool {
    matches!(error, Error::Response(store::Error::Missing))
}

async fn register(shared: &SharedState, client: &mut Client) -> Result<Registration, Error> {
    let request = store::create_lease(&client.host(), LEASE_TTL);
    let reply = client.call("lease", request, Duration::ZERO).await?;
    let lease = store::decode_lease(reply.status, &reply.body)?;
    let members = members(shared);
    let era = shared.era();
    write(shared, client, lease, &members).await?;
    Ok(Registration {
        lease,
        members,
        era,
    })
}

/// Writes the registration with a list of members.
async fn write(
    shared: &SharedState,
    client: &mut Client,
    lease: LeaseId,
    members: &[EntryName],
) -> Result<(), Error> {
    let key = registry::entry_key(&shared.settings.entry_name);
    let entry = Entry {
        members: members.to_vec(),
        ..shared.own_entry.clone()
    };
    let value = registry::encode_entry(&entry);
    let request = store::put(&client.host(), &key, &value, lease);
    let reply = client.call("put", request, Duration::ZERO).await?;
    Ok(store::decode_status(reply.status)?)
}

async fn renew(client: &mut Client, lease: LeaseId) -> Result<(), Error> {
    let request = store::renew_lease(&client.host(), lease);
    let reply = client.call("renew", request, Duration::ZERO).await?;
    Ok(store::decode_status(reply.status)?)
}
