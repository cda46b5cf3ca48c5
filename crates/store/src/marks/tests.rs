//! Tests of comparing and merging a disk's marks.

use super::*;

const fn marks(disk: u64, boots: u64, commits: u64) -> DiskMarks {
    DiskMarks { disk, boots, commits }
}

#[test]
fn a_disk_is_trusted_only_if_no_other_front_remembers_a_later_state() {
    let table = [
        (Some(marks(1, 3, 40)), None, DiskTrust::Unknown),
        (None, None, DiskTrust::Unknown),
        (None, Some(DiskMarks::default()), DiskTrust::Fresh),
        (None, Some(marks(1, 3, 40)), DiskTrust::Other),
        (Some(marks(1, 3, 40)), Some(DiskMarks::default()), DiskTrust::Current),
        (Some(marks(1, 3, 40)), Some(marks(1, 3, 40)), DiskTrust::Current),
        (Some(marks(1, 3, 41)), Some(marks(1, 3, 40)), DiskTrust::Current),
        (Some(marks(1, 3, 30)), Some(marks(1, 3, 40)), DiskTrust::Behind { by: 10 }),
        (Some(marks(1, 2, 40)), Some(marks(1, 3, 40)), DiskTrust::Behind { by: 1 }),
        (Some(marks(2, 9, 90)), Some(marks(1, 3, 40)), DiskTrust::Other),
    ];
    for (found, remembered, expected) in table {
        assert_eq!(
            DiskMarks::assess_trust(found, remembered),
            expected,
            "found {found:?}, remembered {remembered:?}"
        );
    }
    assert_eq!(marks(1, 3, 40).merged_with(marks(1, 4, 30)), marks(1, 4, 40));
    assert_eq!(marks(1, 3, 40).merged_with(marks(2, 1, 1)), marks(2, 1, 1));
}
