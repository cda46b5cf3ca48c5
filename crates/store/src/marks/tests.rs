//! Unit tests of a disk's marks.

use super::*;

const fn m(disk: u64, boots: u64, commits: u64) -> Marks {
    Marks { disk, boots, commits }
}

#[test]
fn a_disk_is_trusted_only_where_nobody_remembers_a_later_state() {
    let table = [
        (Some(m(1, 3, 40)), None, Trust::Unknown),
        (None, None, Trust::Unknown),
        (None, Some(Marks::default()), Trust::Fresh),
        (None, Some(m(1, 3, 40)), Trust::Other),
        (Some(m(1, 3, 40)), Some(Marks::default()), Trust::Current),
        (Some(m(1, 3, 40)), Some(m(1, 3, 40)), Trust::Current),
        (Some(m(1, 3, 41)), Some(m(1, 3, 40)), Trust::Current),
        (Some(m(1, 3, 30)), Some(m(1, 3, 40)), Trust::Behind { by: 10 }),
        (Some(m(1, 2, 40)), Some(m(1, 3, 40)), Trust::Behind { by: 1 }),
        (Some(m(2, 9, 90)), Some(m(1, 3, 40)), Trust::Other),
    ];
    for (found, remembered, is) in table {
        assert_eq!(Marks::trust(found, remembered), is, "{found:?} {remembered:?}");
    }
    assert_eq!(m(1, 3, 40).merged_with(m(1, 4, 30)), m(1, 4, 40));
    assert_eq!(m(1, 3, 40).merged_with(m(2, 1, 1)), m(2, 1, 1));
}
