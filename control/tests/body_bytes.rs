//! Guards against bodies that take more memory than a VM has, and against long ones that keep small ones away.

use lacewingmoor_control::bounds::{BodyBytes, Bounds};
use rstest::rstest;

const MB: usize = 1_000_000;
const MIB: usize = 1 << 20;

#[rstest]
#[case::smallest(Some(112), 44_800_000, 67_200_000)]
#[case::largest(Some(512), 204_800_000, 307_200_000)]
#[case::unknown(None, 96 * MIB, 96 * MIB)]
fn body_bytes_are_a_share_of_the_memory(
    #[case] memory_mb: Option<u64>,
    #[case] max: usize,
    #[case] max_with_single: usize,
) {
    let bounds = Bounds {
        memory_bytes: memory_mb.map(|mb| mb * MB as u64),
        ..Bounds::default()
    };
    let expected = BodyBytes {
        max,
        max_with_single,
    };
    assert_eq!(bounds.body_bytes(), expected);
}

#[rstest]
#[case::smallest(Some(112), 11_200_000)]
#[case::largest(Some(512), 51_200_000)]
#[case::unknown(None, 16 * MIB)]
fn frame_bytes_are_a_share_of_the_memory(#[case] memory_mb: Option<u64>, #[case] max: usize) {
    let bounds = Bounds {
        memory_bytes: memory_mb.map(|mb| mb * MB as u64),
        ..Bounds::default()
    };
    let limit = bounds.frame_bytes();
    assert!(limit.allows(max - 100_000, 100_000));
    assert!(!limit.allows(max - 100_000, 100_001));
    assert!(!limit.allows(0, max + 1), "not even a single one");
}

#[rstest]
#[case::many_uploads(44 * MB, 360_000, true)]
#[case::one_upload_too_many(44_700_000, 360_000, false)]
#[case::small_beside_a_full_memory(67 * MB, 16 * 1024, true)]
#[case::longest_alone(0, 64 * MIB, true)]
#[case::longest_beside_others(10 * MB, 64 * MIB, false)]
#[case::long_ones_together(30 * MB, 30 * MB, false)]
#[case::more_than_the_vm_can_hold(0, 80 * MB, false)]
#[case::overflow(MB, usize::MAX, false)]
fn body_on_a_vm_of_112_mb(#[case] others: usize, #[case] bytes: usize, #[case] allowed: bool) {
    let bounds = Bounds {
        memory_bytes: Some(112 * MB as u64),
        ..Bounds::default()
    };
    assert_eq!(bounds.body_bytes().allows(others, bytes), allowed);
}
