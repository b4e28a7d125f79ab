//! Registers this entry in the store, bound to a lease, so that other entries know of it. Which
//! entries register is decided in `lacewingmoor_control::membership`.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::membership;
use lacewingmoor_control::model::{Entry, RecordValue};
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

/// Interval at which the count of members is checked.
const COUNT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before this entry registers again after its lease has ended.
const REGISTER_AGAIN_DELAY: Duration = Duration::from_millis(250);

/// Registration of this entry in the store.
struct Registration {
    lease: LeaseId,
    /// Count of members in the store.
    members: u32,
    published_at: Timestamp,
}

/// Waits until this entry has to register. Then keeps it registered, with the current count of
/// members, until the shutdown begins. The registration is not removed then but expires with its
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
            () = publish_counts(&shared, &mut client, &mut registration) => {}
            () = shared.wait_for_phase(Phase::Leaving) => {}
        }
    }
}

/// Publishes the count of members whenever it has changed enough. Returns when the registration is
/// missing.
async fn publish_counts(
    shared: &SharedState,
    client: &mut Client,
    registration: &mut Option<Registration>,
) {
    loop {
        let Some(current) = registration else {
            return std::future::pending().await;
        };
        tokio::time::sleep(COUNT_CHECK_INTERVAL).await;
        let now = shared.now();
        let members = member_count(shared);
        let since_published = now.saturating_sub(current.published_at);
        if !membership::should_publish(current.members, members, since_published) {
            continue;
        }
        // A failed attempt is repeated after the same interval as a successful one.
        current.published_at = now;
        match write(shared, client, current.lease, members).await {
            Ok(()) => {
                info!(shared.log, "members_published"; "members" => members);
                current.members = members;
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

fn member_count(shared: &SharedState) -> u32 {
    let view = shared.view.borrow();
    let mut followers = shared.followers.borrow_mut();
    followers.member_count(shared.now(), &view)
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
                followers.inherit(shared.now(), registration.members);
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
    let (status, body) = client.call("read", request, Duration::ZERO).await?;
    let leased = match store::decode_leased_record(status, &body) {
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
        members: entry.members,
        ..shared.own_entry.clone()
    };
    let lease = leased.lease.filter(|_| own == *entry);
    Ok(lease.map(|lease| Registration {
        lease,
        members: entry.members,
        published_at: shared.now(),
    }))
}

fn is_missing(error: &Error) -> bool {
    matches!(error, Error::Response(store::Error::Missing))
}

async fn register(shared: &SharedState, client: &mut Client) -> Result<Registration, Error> {
    let request = store::create_lease(&client.host(), LEASE_TTL);
    let (status, body) = client.call("lease", request, Duration::ZERO).await?;
    let lease = store::decode_lease(status, &body)?;
    let members = member_count(shared);
    write(shared, client, lease, members).await?;
    Ok(Registration {
        lease,
        members,
        published_at: shared.now(),
    })
}

/// Writes the registration with a count of members.
async fn write(
    shared: &SharedState,
    client: &mut Client,
    lease: LeaseId,
    members: u32,
) -> Result<(), Error> {
    let key = registry::entry_key(&shared.settings.entry_name);
    let entry = Entry {
        members,
        ..shared.own_entry.clone()
    };
    let value = registry::encode_entry(&entry);
    let request = store::put(&client.host(), &key, &value, lease);
    let (status, _) = client.call("put", request, Duration::ZERO).await?;
    Ok(store::decode_status(status)?)
}

async fn renew(client: &mut Client, lease: LeaseId) -> Result<(), Error> {
    let request = store::renew_lease(&client.host(), lease);
    let (status, _) = client.call("renew", request, Duration::ZERO).await?;
    Ok(store::decode_status(status)?)
}
