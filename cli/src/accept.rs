//! Accepting a version: one compare-and-swap on the manifest key, and what became of it.

use lacewingmoor_bundle::{MANIFEST_KEY, SignedManifest};
use lacewingmoor_derive::raw;

use crate::error::Error;
use crate::signed::Signed;
use crate::store::{ATTEMPTS, Accepted, Put, Revision, Store, Stored, pause};

/// How it is known that the version was accepted.
#[raw]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// The store confirmed the write.
    Written,
    /// An answer was lost; reading back found the version.
    ReadBack,
    /// The version was there before.
    Already,
}

/// Why the version is not known to be accepted.
pub enum Refused {
    /// Another version was accepted, and it was read.
    Another(Accepted),
    /// Any other error.
    Error(Error),
}

/// What reading back shows about a write.
enum Verdict {
    Mine,
    Unchanged,
    Another(Accepted),
    Unknown(String),
}

/// Writes the manifest if the key still has the revision `expected`, which belongs to a lower
/// version.
///
/// A lost answer leads to reading back and, while the key is unchanged, to another attempt. The
/// attempts name the same revision and revisions never repeat, so at most one of them takes
/// effect, and none of them can overwrite another operator's version.
///
/// # Errors
///
/// [`Refused`] if another version was accepted or the outcome is not known.
pub async fn accept(store: &Store, ours: &Signed, expected: Revision) -> Result<How, Refused> {
    let value = SignedManifest::to_json(&ours.signed);
    let mut lost: Option<String> = None;
    let mut conflict = false;
    let mut last = String::new();
    for attempt in 0..ATTEMPTS {
        pause(attempt).await;
        // After a conflict the revision has moved on, so only reading can tell more.
        if !conflict {
            match store.put(MANIFEST_KEY, expected, &value).await {
                Put::Written => return Ok(How::Written),
                Put::Conflict => conflict = true,
                Put::Lost(why) => lost = Some(why),
                Put::NotWritten(why) => {
                    last = why;
                    continue;
                }
            }
        }
        match store.manifest().await {
            Ok(stored) => match judge(ours, expected, lost.is_some(), stored) {
                Verdict::Mine if lost.is_some() => return Ok(How::ReadBack),
                Verdict::Mine => return Ok(How::Already),
                Verdict::Another(winner) => return Err(Refused::Another(winner)),
                Verdict::Unknown(why) => {
                    return Err(Refused::Error(Error::Unknown(store.peer(), why)));
                }
                Verdict::Unchanged => last = "the manifest is unchanged".into(),
            },
            Err(error) => last = error.to_string(),
        }
    }
    Err(Refused::Error(match lost {
        Some(why) => Error::Unknown(store.peer(), format!("{why}; reading back: {last}")),
        None if conflict => Error::LostUnread(store.peer(), last),
        None => Error::Store("write manifest", store.peer(), last),
    }))
}

fn judge(ours: &Signed, expected: Revision, lost: bool, stored: Stored) -> Verdict {
    if stored.revision == expected {
        return Verdict::Unchanged;
    }
    let Some(accepted) = stored.accepted else {
        return Verdict::Unknown("the manifest was removed from the store".into());
    };
    if accepted.digest == ours.digest {
        return Verdict::Mine;
    }
    // A greater version may have followed ours. An equal or lower one cannot, so ours was never
    // accepted.
    if lost && accepted.version() > ours.manifest.version {
        return Verdict::Unknown(format!(
            "version {} signed by key {} is accepted now; it may have replaced version {}",
            accepted.version(),
            accepted.signed.key_id,
            ours.manifest.version
        ));
    }
    Verdict::Another(accepted)
}
