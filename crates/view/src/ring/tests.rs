//! Unit tests of the watcher rings.

use super::*;

#[test]
fn members_have_up_to_the_configured_number_of_watchers_and_all_fronts_agree_on_them() {
    for n in [1u64, 2, 3, 4, 9, 100, 301] {
        let ids: Vec<Id> = (0..n).map(|i| Id::from_name(&format!("f{i}"))).collect();
        let max_watchers = 5.min(n as usize - 1);
        let rings: Vec<Rings> = ids.iter().map(|own| Rings::new(&ids, *own, 5)).collect();
        for of in &ids {
            let w = rings[0].watchers(*of);
            assert!(
                w.len() <= max_watchers && !w.contains(of),
                "{of:?} of {n} members has invalid watchers: {w:?}"
            );
            assert!(
                w.len() + 1 >= max_watchers.min(n as usize - 1),
                "{of:?} of {n} members has too few watchers, {max_watchers} wanted: {w:?}"
            );
            for (own, r) in ids.iter().zip(&rings) {
                assert_eq!(r.watchers(*of), w);
                assert_eq!(r.subjects().contains(of), w.contains(own));
            }
        }
        let busiest = rings.iter().map(|r| r.subjects().len()).max().unwrap_or(0);
        assert!(busiest <= 12, "one of {n} members watches {busiest} others, more than 12");
    }
}
