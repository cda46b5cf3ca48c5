//! Where the list tells no weights, they are judged from the location's link.
mod common;
use common::*;
use fernslip::*;

/// How many large requests in a row are sent at once, with nothing answered.
fn sent_at_once(link_kb_per_s: f64, weight: f64) -> usize {
    let mut set = settings();
    set.link_in_kb_per_s = vec![0.0, link_kb_per_s, link_kb_per_s];
    let mut r = Rig::with(set);
    r.list(fleet().into_iter().map(|e| Entry { weight, ..e }).collect());
    // 600 KB at 1000 KB/s: six tenths of a second to send, a little over aim when two share a link.
    (0..100).take_while(|&o| sent(&r.ask_with(o, 0, 600.0)).is_some()).count()
}

#[test]
fn untold_weights_are_judged_from_the_link_and_told_ones_are_kept() {
    let (untold, judged) = (sent_at_once(0.0, 1.0), sent_at_once(15_000.0, 1.0));
    assert!(judged >= 3 * untold, "{judged} at once with the link known, {untold} without");
    assert_eq!(sent_at_once(15_000.0, 2.0), sent_at_once(0.0, 2.0), "told weights stand");
}

#[test]
fn a_judged_cold_cache_is_not_pushed_over() {
    let mut set = settings();
    set.link_in_kb_per_s = vec![0.0, 15_000.0, 15_000.0];
    let (window, share, multiple) = (set.cold_window_ms, set.cold_from, set.cold_multiple);
    let mut r = Rig::with(set);
    let entry =
        |e: Entry| Entry { weight: 1.0, born_ms: if &*e.cache.0 == "c1:1" { r.now } else { 0.0 }, ..e };
    let all: Vec<Entry> = fleet().into_iter().map(entry).collect();
    r.list(all);
    // The link is 15 answers; pooled caches lack about a quarter, so a cache is some 10 to 20 answers itself.
    let most = multiple * share * 20.0 * window / 100.0;
    let mut to_cold = 0;
    for o in 0..500 {
        to_cold += usize::from(sent(&r.ask(o)).is_some_and(|s| s.cache == "c1:1"));
    }
    assert!(to_cold > 0 && (to_cold as f64) < most, "{to_cold} sent, budget {most}");
}
