//! Splitting, signing, verifying and assembling.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use ed25519_dalek::{Signer as _, SigningKey};
use lacewingmoor_bundle::{
    Bundle, Digest, Error, Manifest, Map, Part, RawBundle, SecretKey, SignedManifest, assemble,
    check_part, digest_of, part_key,
};
use rstest::rstest;

const SMALL: &str = include_str!("data/small.yaml");

fn key(n: u8) -> SecretKey {
    SecretKey::from_seed(&[n; 32])
}

fn split(text: &str) -> (Manifest, Vec<Part>) {
    RawBundle::from_yaml(text).expect("valid form").split()
}

fn by_digest(parts: &[Part]) -> Map<Digest, Vec<u8>> {
    parts.iter().map(|p| (p.digest, p.bytes.clone())).collect()
}

/// Guards against a bundle that differs between the operator's machine and an entry.
#[test]
fn assembled_bundle_equals_the_checked_document() {
    let (manifest, parts) = split(SMALL);
    let signed = SignedManifest::sign(&manifest, &key(1));
    let read = SignedManifest::from_json(&signed.to_json()).expect("own JSON");
    let verified = read
        .verify(&[key(2).public(), key(1).public()])
        .expect("own signature");
    let bundle = assemble(&verified.manifest, &by_digest(&parts)).expect("all parts");
    assert_eq!(bundle, Bundle::from_yaml(SMALL).expect("valid"));
    assert_eq!(bundle.digest, verified.digest);
}

/// Guards against sending the whole bundle when one service changed.
#[rstest]
#[case::service("127.0.0.1:21002", "127.0.0.1:21003", &["service/lanes"])]
#[case::route("deadline_ms: 3000", "deadline_ms: 3001", &["service/billing"])]
#[case::zone("north-b, state: out", "north-b, state: in", &["common"])]
#[case::version("version: 3", "version: 4", &[])]
fn a_change_touches_one_part(#[case] from: &str, #[case] to: &str, #[case] changed: &[&str]) {
    let changed_text = SMALL.replace(from, to);
    assert_ne!(changed_text, SMALL);
    let (old, _) = split(SMALL);
    let (new, parts) = split(&changed_text);
    let have = |digest: &Digest| old.parts.iter().any(|p| p.digest == *digest);
    let names: Vec<&str> = new.missing(have).iter().map(|p| p.name.as_str()).collect();
    assert_eq!(names, changed);
    assert_ne!(old.digest(), new.digest());
    for part in &parts {
        check_part(&part.digest, &part.bytes).expect("own digest");
        assert_eq!(
            part_key(&part.digest).len(),
            "lacewingmoor/part/".len() + 64
        );
    }
}

struct Forgery {
    change: fn(&mut SignedManifest),
    error: fn(&Error) -> bool,
}

/// Guards against accepting a manifest that no operator signed.
#[rstest]
#[case::other_key(Forgery {
    change: |s| *s = SignedManifest::sign(&s.peek().expect("manifest"), &key(9)),
    error: |e| matches!(e, Error::UnknownKey(_)),
})]
#[case::key_id_of_an_operator(Forgery {
    change: |s| {
        *s = SignedManifest::sign(&s.peek().expect("manifest"), &key(9));
        s.key_id = key(1).public().id();
    },
    error: |e| matches!(e, Error::BadSignature(_)),
})]
#[case::changed_manifest(Forgery {
    change: |s| {
        let mut manifest = s.peek().expect("manifest");
        manifest.version += 1;
        s.manifest = SignedManifest::sign(&manifest, &key(9)).manifest;
    },
    error: |e| matches!(e, Error::BadSignature(_)),
})]
#[case::short_signature(Forgery {
    change: |s| s.signature.truncate(20),
    error: |e| matches!(e, Error::BadSignature(_)),
})]
#[case::not_base64(Forgery {
    change: |s| s.manifest = "*".into(),
    error: |e| matches!(e, Error::Manifest(_)),
})]
fn forged_manifest_is_refused(#[case] case: Forgery) {
    let mut signed = SignedManifest::sign(&split(SMALL).0, &key(1));
    (case.change)(&mut signed);
    let error = signed.verify(&[key(1).public()]).expect_err("forged");
    assert!((case.error)(&error), "{error}");
}

/// Changes the part of the second service and gives it the right digest.
fn rewrite(manifest: &mut Manifest, parts: &mut Map<Digest, Vec<u8>>, from: &str, to: &str) {
    let old = parts.remove(&manifest.parts[2].digest).expect("part");
    let old = String::from_utf8(old).expect("UTF-8");
    let new = old.replacen(from, to, 1).into_bytes();
    assert_ne!(old.as_bytes(), new);
    manifest.parts[2].digest = digest_of(&new);
    parts.insert(manifest.parts[2].digest, new);
}

struct Damage {
    change: fn(&mut Manifest, &mut Map<Digest, Vec<u8>>),
    error: fn(&Error) -> bool,
}

/// Guards against putting a bundle in force from parts that are missing, changed or misplaced.
#[rstest]
#[case::missing(Damage {
    change: |m, parts| { parts.remove(&m.parts[1].digest); },
    error: |e| matches!(e, Error::PartMissing(_)),
})]
#[case::changed(Damage {
    change: |m, parts| parts.get_mut(&m.parts[1].digest).expect("part").push(b' '),
    error: |e| matches!(e, Error::PartDigest(_, _)),
})]
#[case::wrong_name(Damage {
    change: |m, _| m.parts[1].name = "service/other".into(),
    error: |e| matches!(e, Error::PartContent(_, _)),
})]
#[case::other_service(Damage {
    change: |m, parts| rewrite(m, parts, "\"name\":\"billing\"", "\"name\":\"bills\""),
    error: |e| matches!(e, Error::PartContent(_, _)),
})]
#[case::route_to_another_service(Damage {
    change: |m, parts| rewrite(m, parts, "\"service\":\"billing\"", "\"service\":\"lanes\""),
    error: |e| matches!(e, Error::PartContent(_, _)),
})]
#[case::service_as_common(Damage {
    change: |m, _| m.parts[0].digest = m.parts[1].digest,
    error: |e| matches!(e, Error::PartContent(_, _)),
})]
#[case::no_common(Damage {
    change: |m, _| { m.parts.remove(0); },
    error: |e| matches!(e, Error::Manifest(_)),
})]
#[case::empty(Damage {
    change: |m, _| m.parts.clear(),
    error: |e| matches!(e, Error::Manifest(_)),
})]
fn damaged_parts_are_refused(#[case] case: Damage) {
    let (mut manifest, parts) = split(SMALL);
    let mut parts = by_digest(&parts);
    (case.change)(&mut manifest, &mut parts);
    let error = assemble(&manifest, &parts).expect_err("damaged");
    assert!((case.error)(&error), "{error}");
}

/// Guards against differing route ids between a document and the bundle assembled from its parts.
#[test]
fn routes_in_any_order_assemble_to_the_same_bundle() {
    let mut raw = RawBundle::from_yaml(SMALL).expect("valid form");
    raw.routes.reverse();
    let (manifest, parts) = raw.split();
    assert_eq!(manifest, split(SMALL).0);
    let bundle = assemble(&manifest, &by_digest(&parts)).expect("all parts");
    assert_eq!(bundle, Bundle::try_from(raw).expect("valid"));
}

/// Guards against a manifest that grows beyond what 3,600 changes a day may cost a node.
#[test]
fn manifest_takes_few_bytes_a_part() {
    let (manifest, parts) = split(SMALL);
    let bytes = manifest.encode().len();
    let names: usize = parts.iter().map(|p| p.name.len()).sum();
    // Format, version and count, then 33 bytes and the name a part.
    assert_eq!(bytes, 3 + parts.len() * 33 + names);
}

/// Guards against a changed signature format, which entries of the release before would refuse, and
/// against two encodings, and so two digests, of one manifest.
#[rstest]
#[case::canonical(&[1, 7, 1, 1, b'x'], &[], true)]
#[case::long_varint(&[1, 251, 7, 0, 1, 1, b'x'], &[], false)]
#[case::bytes_at_the_end(&[1, 7, 1, 1, b'x'], &[0], false)]
#[case::unknown_format(&[2, 7, 1, 1, b'x'], &[], false)]
fn only_the_canonical_encoding_is_accepted(
    #[case] head: &[u8],
    #[case] tail: &[u8],
    #[case] accepted: bool,
) {
    let bytes = [head, &[0; 32], tail].concat();
    let message = [b"lacewingmoor manifest\0".as_slice(), &bytes].concat();
    let signed = SignedManifest {
        key_id: key(1).public().id(),
        signature: BASE64.encode(SigningKey::from_bytes(&[1; 32]).sign(&message).to_bytes()),
        manifest: BASE64.encode(&bytes),
    };
    match signed.verify(&[key(1).public()]) {
        Ok(verified) => assert!(accepted && verified.manifest.version == 7),
        Err(error) => assert!(!accepted && matches!(error, Error::Manifest(_)), "{error}"),
    }
}
