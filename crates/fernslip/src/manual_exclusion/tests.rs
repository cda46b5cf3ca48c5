use super::*;

fn entry(id: &str, phase: Phase) -> Entry {
    Entry { cache: id.into(), weight: 1.0, zone: None, kind: None, cell: 0, started_ms: 0.0, phase }
}

#[test]
fn an_excluded_node_stays_draining_whatever_the_list_says() {
    let mut exclusions = ManualExclusions::default();
    let mut list = vec![entry("a", Phase::In), entry("b", Phase::In)];
    exclusions.apply_to_list(0.0, ListKind::Full, &mut list);
    assert_eq!(exclusions.exclude(0.0, &"a".into()).map(|e| e.phase), Some(Phase::Draining));
    let mut again = vec![entry("a", Phase::In)];
    exclusions.apply_to_list(0.0, ListKind::Delta, &mut again);
    assert_eq!(again[0].phase, Phase::Draining);
    let mut full = vec![entry("a", Phase::In), entry("b", Phase::In)];
    exclusions.apply_to_list(0.0, ListKind::Full, &mut full);
    assert_eq!((full[0].phase, full[1].phase), (Phase::Draining, Phase::In));
    assert_eq!((exclusions.listed_count(), exclusions.draining_count()), (2, 1));
}

#[test]
fn one_inclusion_ends_two_exclusions_and_unknown_ids_are_rejected() {
    let mut exclusions = ManualExclusions::default();
    exclusions.apply_to_list(0.0, ListKind::Full, &mut [entry("a", Phase::In)]);
    assert!(exclusions.exclude(0.0, &"a".into()).is_some());
    assert!(exclusions.exclude(0.0, &"a".into()).is_some());
    assert!(exclusions.exclude(0.0, &"nobody".into()).is_none());
    assert!(matches!(exclusions.include(&"nobody".into()), Inclusion::Unknown));
    let included = exclusions.include(&"a".into());
    assert!(
        matches!(included, Inclusion::Listed(Entry { phase: Phase::In, .. })),
        "expected a listed node in service, got {included:?}"
    );
    let mut list = [entry("a", Phase::In)];
    exclusions.apply_to_list(0.0, ListKind::Delta, &mut list);
    assert_eq!(list[0].phase, Phase::In);
}

#[test]
fn a_restored_exclusion_applies_to_a_node_that_is_listed_later() {
    let mut exclusions = ManualExclusions::default();
    exclusions.restore(["a".into()]);
    let mut list = [entry("a", Phase::In)];
    exclusions.apply_to_list(0.0, ListKind::Full, &mut list);
    assert_eq!(list[0].phase, Phase::Draining);
    assert_eq!(exclusions.excluded().count(), 1);
}

#[test]
fn a_failed_list_request_leaves_the_listed_nodes_unchanged() {
    let mut exclusions = ManualExclusions::default();
    exclusions.apply_to_list(0.0, ListKind::Full, &mut [entry("a", Phase::In)]);
    exclusions.apply_to_list(0.0, ListKind::Failed, &mut []);
    assert_eq!(exclusions.listed_count(), 1);
}
