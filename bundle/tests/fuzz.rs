//! Parsers on arbitrary and mutated input. None of them may panic, whatever peers or files hold.

use lacewingmoor_bundle::{
    Bundle, Digest, Manifest, Map, PublicKey, RawBundle, SecretKey, SignedManifest, assemble,
    digest_of,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

const SMALL: &str = include_str!("data/small.yaml");

/// Replaces a range of bytes, which covers insertion, deletion and overwriting.
#[derive(Clone, Debug)]
struct Edit {
    at: Index,
    remove: usize,
    insert: Vec<u8>,
}

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    // Syntax characters and pieces of the document reach deeper than random bytes.
    let piece = prop_oneof![
        vec(any::<u8>(), 0..4),
        proptest::sample::select(vec![
            ": ", "\n", "- ", "&a ", "*a", "{", "]", "\"", "~", "\\", "<<: "
        ])
        .prop_map(|s| s.as_bytes().to_vec()),
        (any::<Index>(), 0..80_usize).prop_map(|(at, len)| {
            let start = at.index(SMALL.len());
            SMALL.as_bytes()[start..(start + len).min(SMALL.len())].to_vec()
        }),
        any::<i128>().prop_map(|n| n.to_string().into_bytes()),
    ];
    let edit = (any::<Index>(), 0..20_usize, piece);
    vec(
        edit.prop_map(|(at, remove, insert)| Edit { at, remove, insert }),
        1..6,
    )
}

fn apply(bytes: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for edit in edits {
        let start = edit.at.index(bytes.len() + 1);
        let end = (start + edit.remove).min(bytes.len());
        bytes.splice(start..end, edit.insert.iter().copied());
    }
    bytes
}

fn all_parsers(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let _ = Bundle::from_yaml(&text);
    let _ = PublicKey::from_base64(&text);
    let _ = SecretKey::from_base64(&text);
    let _ = Manifest::decode(bytes);
    if let Ok(signed) = SignedManifest::from_json(bytes) {
        let _ = signed.peek();
        let _ = signed.verify(&[SecretKey::from_seed(&[1; 32]).public()]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes(bytes in vec(any::<u8>(), 0..300)) {
        all_parsers(&bytes);
    }

    #[test]
    fn mutated_document(edits in edits()) {
        all_parsers(&apply(SMALL.as_bytes(), &edits));
    }

    /// A mutated manifest decodes to nothing or to one that encodes to the same bytes or is
    /// refused by `verify`; its signature never holds.
    #[test]
    fn mutated_manifest(edits in edits()) {
        let (manifest, _) = RawBundle::from_yaml(SMALL).expect("valid form").split();
        let bytes = manifest.encode();
        let mutated = apply(&bytes, &edits);
        let _ = Manifest::decode(&mutated);
        let key = SecretKey::from_seed(&[1; 32]);
        let signed = SignedManifest::sign(&manifest, &key).to_json();
        let mutated = apply(&signed, &edits);
        all_parsers(&mutated);
        if let Ok(read) = SignedManifest::from_json(&mutated)
            && let Ok(verified) = read.verify(&[key.public()])
        {
            prop_assert_eq!(verified.manifest, manifest);
        }
    }

    /// Parts whose digest fits but whose content is mutated.
    #[test]
    fn mutated_part(edits in edits(), which in any::<Index>()) {
        let (mut manifest, parts) = RawBundle::from_yaml(SMALL).expect("valid form").split();
        let mut parts: Vec<Vec<u8>> = parts.into_iter().map(|p| p.bytes).collect();
        let i = which.index(parts.len());
        parts[i] = apply(&parts[i], &edits);
        manifest.parts[i].digest = digest_of(&parts[i]);
        let parts: Map<Digest, Vec<u8>> = parts.into_iter().map(|b| (digest_of(&b), b)).collect();
        let _ = assemble(&manifest, &parts);
    }
}
