//! Parts and the manifest: how a bundle is split for distribution and put together again.
//!
//! A part is the compact JSON of its raw types: fields in declaration order, no maps, absent
//! options left out. A manifest is bincode with varints behind a format byte. Digests and
//! signatures always cover the bytes as received; nothing is re-encoded to be verified.

use bincode::config::{Configuration, Limit};
use lacewingmoor_derive::{raw, wire};
use sha2::{Digest as _, Sha256};

use crate::raw::{RawBundle, RawLimits, RawRegion, RawRoute, RawService, RawTenant};
use crate::{Bundle, Digest, Error, Map, Version};

/// Store key of the signed manifest.
pub const MANIFEST_KEY: &str = "lacewingmoor/manifest";

/// Largest value that the store holds.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

const PART_KEY_PREFIX: &str = "lacewingmoor/part/";
const MANIFEST_FORMAT: u8 = 1;
const COMMON_PART: &str = "common";
const SERVICE_PART_PREFIX: &str = "service/";

/// The decoding limit bounds allocations for forged lengths.
const CODEC: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<VALUE_BYTES_MAX>,
> = bincode::config::standard().with_limit::<VALUE_BYTES_MAX>();

/// Version and parts of a bundle; what operators sign.
#[wire]
pub struct Manifest {
    /// Version of the bundle.
    pub version: Version,
    /// Parts: the common one first, then one per service in the order of the document.
    pub parts: Vec<PartRef>,
}

/// Name and digest of a part.
#[wire]
pub struct PartRef {
    /// `common` or `service/NAME`.
    pub name: String,
    /// SHA-256 digest of the part's bytes.
    pub digest: Digest,
}

/// A part with its content.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// `common` or `service/NAME`.
    pub name: String,
    /// SHA-256 digest of `bytes`.
    pub digest: Digest,
    /// Content.
    pub bytes: Vec<u8>,
}

/// Everything but services and routes.
#[raw]
#[serde(deny_unknown_fields)]
struct CommonPart {
    store_region: String,
    regions: Vec<RawRegion>,
    tenants: Vec<RawTenant>,
    limits: RawLimits,
}

/// A service with its routes.
#[raw]
#[serde(deny_unknown_fields)]
struct ServicePart {
    service: RawService,
    routes: Vec<RawRoute>,
}

/// Returns the SHA-256 digest of some bytes.
pub fn digest_of(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Writes bytes, such as a digest, in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the store key of a part.
pub fn part_key(digest: &Digest) -> String {
    format!("{PART_KEY_PREFIX}{}", hex(digest))
}

/// Checks that the bytes of a part have the digest that the manifest names.
///
/// # Errors
///
/// [`Error::PartDigest`] if they have another one.
pub fn check_part(digest: &Digest, bytes: &[u8]) -> Result<(), Error> {
    let found = digest_of(bytes);
    if found == *digest {
        Ok(())
    } else {
        Err(Error::PartDigest(hex(digest), hex(&found)))
    }
}

impl Manifest {
    /// Encodes the manifest; equal manifests have equal encodings.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![MANIFEST_FORMAT];
        let body = bincode::encode_to_vec(self, bincode::config::standard());
        bytes.extend(body.expect("encoding strings and integers into memory does not fail"));
        bytes
    }

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// [`Error::Manifest`] if the bytes are not one whole manifest of a known format.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (format, body) = bytes
            .split_first()
            .ok_or_else(|| Error::Manifest("empty".into()))?;
        if *format != MANIFEST_FORMAT {
            return Err(Error::Manifest(format!(
                "format {format} is not known to this program"
            )));
        }
        let (manifest, used): (Self, usize) = bincode::decode_from_slice(body, CODEC)
            .map_err(|e| Error::Manifest(format!("cannot be decoded: {e}")))?;
        if used != body.len() {
            return Err(Error::Manifest("has bytes after its end".into()));
        }
        Ok(manifest)
    }

    /// Returns the digest that identifies the bundle's content.
    pub fn digest(&self) -> Digest {
        digest_of(&self.encode())
    }

    /// Returns the parts that `have` does not know.
    pub fn missing(&self, have: impl Fn(&Digest) -> bool) -> Vec<&PartRef> {
        self.parts.iter().filter(|p| !have(&p.digest)).collect()
    }
}

impl RawBundle {
    /// Splits the bundle into its manifest and parts. Routes to unknown services are left out.
    pub fn split(&self) -> (Manifest, Vec<Part>) {
        let common = CommonPart {
            store_region: self.store_region.clone(),
            regions: self.regions.clone(),
            tenants: self.tenants.clone(),
            limits: self.limits.clone(),
        };
        let mut parts = vec![part(COMMON_PART.into(), &common)];
        for service in &self.services {
            let routes = self.routes.iter().filter(|r| r.service == service.name);
            let content = ServicePart {
                service: service.clone(),
                routes: routes.cloned().collect(),
            };
            let name = format!("{SERVICE_PART_PREFIX}{}", service.name);
            parts.push(part(name, &content));
        }
        let refs = parts.iter().map(|p| PartRef {
            name: p.name.clone(),
            digest: p.digest,
        });
        let manifest = Manifest {
            version: self.version,
            parts: refs.collect(),
        };
        (manifest, parts)
    }

    /// Puts a bundle together from its manifest and parts.
    ///
    /// # Errors
    ///
    /// [`Error::PartMissing`], [`Error::PartDigest`] or [`Error::PartContent`] for the first part
    /// that cannot be used; [`Error::Manifest`] if the manifest does not start with the common
    /// part.
    pub fn join<B: AsRef<[u8]>>(
        manifest: &Manifest,
        parts: &Map<Digest, B>,
    ) -> Result<Self, Error> {
        let (first, rest) = manifest
            .parts
            .split_first()
            .filter(|(first, _)| first.name == COMMON_PART)
            .ok_or_else(|| Error::Manifest("does not start with the common part".into()))?;
        let common: CommonPart = content(first, parts)?;
        let mut bundle = Self {
            version: manifest.version,
            store_region: common.store_region,
            regions: common.regions,
            services: Vec::with_capacity(rest.len()),
            routes: Vec::new(),
            tenants: common.tenants,
            limits: common.limits,
        };
        for reference in rest {
            let part: ServicePart = content(reference, parts)?;
            let name = reference.name.strip_prefix(SERVICE_PART_PREFIX);
            let mut services = part.routes.iter().map(|r| &r.service);
            if name != Some(&part.service.name) || services.any(|s| Some(s.as_str()) != name) {
                let why = format!(
                    "describes service {} or routes to others",
                    part.service.name
                );
                return Err(Error::PartContent(reference.name.clone(), why));
            }
            bundle.services.push(part.service);
            bundle.routes.extend(part.routes);
        }
        Ok(bundle)
    }
}

/// Puts a checked bundle together from its manifest and parts.
///
/// Everything is checked again, because a signature only tells who signed the bundle.
///
/// # Errors
///
/// Any error of [`RawBundle::join`], and [`Error::Invalid`] if the bundle fails a check.
pub fn assemble<B: AsRef<[u8]>>(
    manifest: &Manifest,
    parts: &Map<Digest, B>,
) -> Result<Bundle, Error> {
    let mut bundle = Bundle::try_from(RawBundle::join(manifest, parts)?)?;
    bundle.digest = manifest.digest();
    Ok(bundle)
}

fn part(name: String, content: &impl serde::Serialize) -> Part {
    let bytes = serde_json::to_vec(content).expect("structs without maps always encode as JSON");
    Part {
        name,
        digest: digest_of(&bytes),
        bytes,
    }
}

fn content<B: AsRef<[u8]>, T: serde::de::DeserializeOwned>(
    reference: &PartRef,
    parts: &Map<Digest, B>,
) -> Result<T, Error> {
    let bytes = parts
        .get(&reference.digest)
        .ok_or_else(|| Error::PartMissing(reference.name.clone()))?
        .as_ref();
    check_part(&reference.digest, bytes)?;
    serde_json::from_slice(bytes)
        .map_err(|e| Error::PartContent(reference.name.clone(), e.to_string()))
}
