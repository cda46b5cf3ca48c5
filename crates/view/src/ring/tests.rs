//! Unit tests of the watcher rings.

use super::*;

#[test]
fn every_member_is_watched_by_up_to_the_configured_number_of_peers_and_all_fronts_agree_on_whom() {
    for n in [1u64, 2, 3, 4, 9, 100, 301] {
        let ids: Vec<Id> = (0..n).map(|i| Id::of(&format!("f{i}"))).collect();
        let max_watchers = 5.min(n as usize - 1);
        let rings: Vec<Rings> = ids.iter().map(|own| Rings::new(&ids, *own, 5)).collect();
        for of in &ids {
            let w = rings[0].watchers(*of);
            assert!(w.len() <= max_watchers && !w.contains(of), "{n}: {w:?}");
            assert!(w.len() + 1 >= max_watchers.min(n as usize - 1), "{n}: {} of {max_watchers}", w.len());
            for (own, r) in ids.iter().zip(&rings) {
                assert_eq!(r.watchers(*of), w);
                assert_eq!(r.subjects().contains(of), w.contains(own));
            }
        }
        let busiest = rings.iter().map(|r| r.subjects().len()).max().unwrap_or(0);
        assert!(busiest <= 12, "{n}: one watches {busiest}");
    }
}
