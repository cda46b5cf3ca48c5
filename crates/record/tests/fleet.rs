//! Tests of the record in simulated fleets with message loss, crashes, lost disks and network partitions.

mod common;

use common::{front_name, Fleet};
use fernslip_record::rules::Rejection;

#[test]
fn an_edit_and_an_undo_reach_all_fronts_within_seconds() {
    let mut f = Fleet::new_bootstrapped(40, 5, 1);
    f.run_for(2_000.0);
    f.propose_edit(17, "e1", 0, &"route one\n".repeat(2_000));
    let edited_ms = f.run_until(3_000.0, "all fronts had the first edit", |f| f.all_have_version(1));
    f.propose_edit(3, "e2", 1, "route two");
    f.run_until(3_000.0, "all fronts had the second edit", |f| f.all_have_version(2));
    f.propose_undo(38, "u1", 2, 1, &[]);
    let undone_ms = f.run_until(3_000.0, "all fronts had the undo", |f| f.all_have_version(3));
    assert!(
        edited_ms < 2_500.0 && undone_ms < 1_000.0,
        "edit took {edited_ms} ms, limit 2500 ms; undo took {undone_ms} ms, limit 1000 ms"
    );
    f.run_for(500.0);
    assert_eq!(f.answer_at(38, "u1"), Some(&Ok(3)));
    let r = f.running_records().next().expect("a front is running");
    assert_eq!(r.state().rules.version(3).and_then(|v| v.restores), Some(1));
}

#[test]
fn a_front_sends_less_than_a_kilobyte_a_second_in_steady_state() {
    let mut f = Fleet::new_bootstrapped(60, 5, 2);
    f.run_for(5_000.0);
    let before = f.sent_bytes;
    f.run_for(20_000.0);
    let per_front = (f.sent_bytes - before) as f64 / 20.0 / 60.0;
    assert!(per_front < 1_000.0, "each front sent {per_front} bytes per second, limit 1000");
}

#[test]
fn a_minority_commits_nothing_and_catches_up_after_the_partition() {
    let mut f = Fleet::new_bootstrapped(12, 5, 3);
    f.propose_edit(7, "a", 0, "one");
    f.run_until(3_000.0, "all fronts had the first edit", |f| f.all_have_version(1));
    // The minority: voters 0 and 1, with the followers 6, 7 and 8.
    f.partition = [0, 1, 6, 7, 8].iter().map(|n| (*n, 1)).collect();
    f.propose_edit(7, "minority", 1, "edit proposed in the minority");
    f.run_for(4_000.0);
    f.propose_edit(9, "majority", 1, "edit proposed in the majority");
    f.run_for(4_000.0);
    assert_eq!(f.answer_at(7, "minority"), None);
    assert_eq!(f.answer_at(9, "majority"), Some(&Ok(2)));
    assert!([0, 1, 6, 7, 8].iter().all(|n| f.fronts[*n]
        .record
        .as_ref()
        .expect("the front is running")
        .state()
        .rules
        .current()
        == 1));
    f.partition.clear();
    let healed_ms = f.run_until(5_000.0, "all fronts had the majority's edit", |f| f.all_have_version(2));
    assert!(healed_ms < 5_000.0);
    f.run_until(5_000.0, "the minority's edit was answered", |f| f.answer_at(7, "minority").is_some());
    assert_eq!(f.answer_at(7, "minority"), Some(&Err(Rejection::Conflict { current: 2 })));
}

#[test]
fn exactly_one_of_concurrent_edits_succeeds_and_repeats_get_the_same_answer() {
    for seed in 0..6 {
        let mut f = Fleet::new_bootstrapped(10, 3, 100 + seed);
        f.loss = 0.2;
        for n in 0..10 {
            f.propose_edit(n, &format!("k{n}"), 0, &format!("rules of {n}"));
        }
        f.run_until(20_000.0, "all concurrent edits were answered", |f| {
            (0..10).all(|n| f.answer_at(n, &format!("k{n}")).is_some())
        });
        let successful = (0..10).filter(|n| f.answer_at(*n, &format!("k{n}")) == Some(&Ok(1))).count();
        assert_eq!(successful, 1, "exactly one concurrent edit succeeds; seed {seed}");
        // The same command proposed at another front gets the same answer.
        let first_answer = f.answer_at(4, "k4").cloned();
        f.propose_edit(8, "k4", 0, "rules of 4");
        f.run_until(5_000.0, "the repeated command was answered", |f| f.answer_at(8, "k4").is_some());
        assert_eq!(f.answer_at(8, "k4").cloned(), first_answer);
    }
}

#[test]
fn rules_that_a_voter_finds_invalid_are_not_committed() {
    let mut f = Fleet::new_bootstrapped(5, 3, 5);
    f.propose_edit(4, "w", 0, "wrong rules");
    f.run_for(5_000.0);
    assert!(f.all_have_version(0) && f.answer_at(4, "w").is_none());
}

#[test]
fn nothing_committed_is_lost_when_voters_crash_and_restart() {
    let mut f = Fleet::new_bootstrapped(8, 3, 6);
    let mut version = 0;
    for round in 0..12 {
        let at = 3 + round % 5;
        f.propose_edit(at, &format!("k{round}"), version, &format!("round {round}"));
        f.run_until(8_000.0, "the edit was answered", |f| f.answer_at(at, &format!("k{round}")).is_some());
        version += 1;
        assert_eq!(
            f.answer_at(at, &format!("k{round}")),
            Some(&Ok(version)),
            "the edit of round {round} gets the next version"
        );
        let n = round % 3;
        f.stop_front(n);
        f.run_for(300.0);
        f.start_front(n);
    }
    f.run_until(8_000.0, "all fronts had the last version", |f| f.all_have_version(version));
    // All fronts crash at the same time; their disks are preserved.
    (0..8).for_each(|n| f.stop_front(n));
    (0..8).for_each(|n| f.start_front(n));
    f.run_until(8_000.0, "all fronts had the last version and a leader after the crash", |f| {
        f.all_have_version(version) && f.leader_index().is_some()
    });
    assert_eq!(f.record_ids().len(), 1);
}

#[test]
fn a_voter_that_lost_its_disk_comes_back_as_another_voter() {
    let mut f = Fleet::new_bootstrapped(6, 3, 7);
    f.propose_edit(5, "a", 0, "one");
    f.run_until(5_000.0, "all fronts had the first edit", |f| f.all_have_version(1));
    f.stop_front(1);
    f.lose_disk(1);
    f.start_front(1);
    f.run_until(15_000.0, "the front was added as a voter", |f| {
        f.fronts[1].record.as_ref().is_some_and(fernslip_record::Record::is_voter) && f.all_have_version(1)
    });
    let voters = f
        .running_records()
        .map(|r| r.state().voters.clone())
        .max_by_key(std::collections::BTreeMap::len)
        .expect("a front is running");
    assert_eq!(voters.len(), 3, "three voters are expected, found {voters:?}");
    assert!(voters.values().filter(|n| **n == front_name(1)).count() == 1);
    // The new voter counts towards the majority: with voter 2 stopped, two of three are left.
    f.stop_front(2);
    f.propose_edit(5, "b", 1, "two");
    f.run_until(10_000.0, "the second edit was answered", |f| f.answer_at(5, "b").is_some());
    assert_eq!(f.answer_at(5, "b"), Some(&Ok(2)));
}

/// Shows why a voter must not vote under an old id: on a disk restored from an old copy, it votes a second
/// time.
#[test]
fn trusting_a_disk_restored_from_an_old_copy_loses_committed_entries() {
    let run = |trusted: bool| {
        let mut f = Fleet::new_bootstrapped(3, 3, 8);
        let old = f.fronts[1].disk.clone();
        // Voter 2 misses the edit, which voters 0 and 1 commit.
        f.partition = [(2, 1)].into();
        f.run_until(8_000.0, "the majority had a leader", |f| f.leader_index().is_some_and(|l| l != 2));
        f.propose_edit(0, "a", 0, "one");
        f.run_until(8_000.0, "the edit was answered", |f| f.answer_at(0, "a").is_some());
        // Voter 1 comes back on the old copy of its disk while voter 0 is stopped.
        f.stop_front(1);
        match trusted {
            true => f.fronts[1].disk = old,
            false => f.lose_disk(1),
        }
        f.stop_front(0);
        f.partition.clear();
        f.start_front(1);
        f.run_for(15_000.0);
        f.leader_index().is_some()
    };
    let panic = std::panic::catch_unwind(|| run(true))
        .expect_err("voters 1 and 2 must commit entries that contradict the committed edit");
    let message = panic.downcast_ref::<String>().expect("the panic has a formatted message");
    assert!(
        message.contains("has a different chain hash from the other fronts"),
        "unexpected panic: {message}"
    );
    assert!(!run(false), "on an untrusted disk there must be no leader until the third voter is back");
}

#[test]
fn a_voter_whose_disk_fails_becomes_a_follower() {
    let mut f = Fleet::new_bootstrapped(5, 3, 9);
    f.fronts[2].writes_fail = true;
    f.propose_edit(4, "a", 0, "one");
    f.run_until(8_000.0, "all fronts had the edit", |f| f.all_have_version(1));
    let r = f.fronts[2].record.as_ref().expect("front 2 is running");
    assert!(r.has_failed_disk() && !r.is_voter());
}

#[test]
fn a_thousand_edits_and_undos_in_a_row_succeed_despite_message_loss() {
    let mut f = Fleet::new_bootstrapped(6, 3, 10);
    f.loss = 0.05;
    let mut version = 0;
    for n in 0..1_000u64 {
        let (at, key) = (n as usize % 6, format!("k{n}"));
        match n % 3 {
            2 => f.propose_undo(at, &key, version, version - 1, &[]),
            _ => f.propose_edit(at, &key, version, &format!("text {n}")),
        }
        f.run_until(20_000.0, "the command was answered", |f| f.answer_at(at, &key).is_some());
        version += 1;
        assert_eq!(f.answer_at(at, &key), Some(&Ok(version)));
        f.fronts[at].answers.clear();
    }
    f.run_until(10_000.0, "all fronts had the last version", |f| f.all_have_version(version));
    // A front without a disk gets a snapshot and not a thousand entries.
    f.stop_front(5);
    f.lose_disk(5);
    f.start_front(5);
    f.run_until(5_000.0, "the front without a disk had the last version", |f| f.all_have_version(version));
}

/// Two voters that lost their disks, cut off from the third, must not bootstrap a second record.
#[test]
fn a_majority_that_lost_its_disks_does_not_bootstrap_a_second_record() {
    let mut f = Fleet::new_bootstrapped(4, 3, 11);
    let record_ids = f.record_ids();
    f.partition = [(2, 1), (3, 1)].into();
    for n in [0, 1] {
        f.stop_front(n);
        f.lose_disk(n);
        f.start_front(n);
    }
    f.run_for(10_000.0);
    assert!([0, 1].iter().all(|n| f.fronts[*n]
        .record
        .as_ref()
        .expect("the front is running")
        .state()
        .record_id
        == 0));
    f.partition.clear();
    f.run_for(10_000.0);
    assert_eq!(f.record_ids(), record_ids, "all fronts must follow the record that was bootstrapped first");
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = || {
        let mut f = Fleet::new_bootstrapped(7, 3, 12);
        f.loss = 0.1;
        f.propose_edit(6, "a", 0, "one");
        f.run_for(5_000.0);
        (f.progress(), f.sent_bytes, f.chain_hashes.clone())
    };
    assert_eq!(run(), run());
}

/// Runs 25 seeds with random faults: every answer given is in the state at the end, under one record.
#[test]
fn random_faults_lose_no_answered_command() {
    for seed in 0..25 {
        let mut f = Fleet::new_bootstrapped(9, if seed % 2 == 0 { 3 } else { 5 }, 1_000 + seed);
        let mut proposed = 0;
        for _ in 0..40 {
            match f.random_below(8) {
                0 => f.loss = if f.random_chance(0.5) { 0.0 } else { 0.3 },
                1 => {
                    let minority = f.random_below(4);
                    f.partition = (0..9).filter(|n| n % 4 == minority).map(|n| (n, 1)).collect();
                }
                2 => f.partition.clear(),
                3 => {
                    let n = f.random_below(9);
                    f.stop_front(n);
                }
                4 => {
                    for n in 0..9 {
                        if f.fronts[n].record.is_none() {
                            f.start_front(n);
                        }
                    }
                }
                5 if f.random_chance(0.2) => (0..9).for_each(|n| f.stop_front(n)),
                _ => {
                    let n = f.random_below(9);
                    let base = f.fronts[n].record.as_ref().map_or(0, |r| r.state().rules.current());
                    proposed += 1;
                    f.propose_edit(n, &format!("k{proposed}"), base, &format!("text {proposed}"));
                }
            }
            let ms = 200.0 + f.random_below(1_500) as f64;
            f.run_for(ms);
        }
        (f.loss, f.partition) = (0.0, Default::default());
        for n in 0..9 {
            if f.fronts[n].record.is_none() {
                f.start_front(n);
            }
        }
        f.run_until(15_000.0, "all fronts had applied the same entries and had a leader", |f| {
            let all: Vec<_> =
                f.running_records().map(|r| (r.state().chain_hash, r.state().applied_index)).collect();
            f.leader_index().is_some() && all.iter().all(|a| *a == all[0])
        });
        let rules = f.running_records().next().expect("a front is running").state().rules.clone();
        for front in &f.fronts {
            for (key, answer) in &front.answers {
                assert_eq!(
                    rules.answer(key),
                    Some(answer),
                    "seed {seed}: the answer given for {key} must be in the final state"
                );
            }
        }
    }
}
