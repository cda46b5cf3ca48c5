//! The record in fleets with loss of messages, crashes, lost disks and network partitions.

mod common;

use common::{name, Fleet};
use fernslip_record::rules::Rejection;

#[test]
fn an_edit_and_its_undo_reach_all_fronts_within_a_second() {
    let mut f = Fleet::bootstrapped(40, 5, 1);
    f.run(2_000.0);
    f.edit(17, "e1", 0, &"route one\n".repeat(2_000));
    let edited_ms = f.run_until(3_000.0, "the edit", |f| f.all_at(1));
    f.edit(3, "e2", 1, "route two");
    f.run_until(3_000.0, "the second", |f| f.all_at(2));
    f.undo(38, "u1", 2, 1, &[]);
    let undone_ms = f.run_until(3_000.0, "the undo", |f| f.all_at(3));
    assert!(edited_ms < 2_500.0 && undone_ms < 1_000.0, "{edited_ms} {undone_ms}");
    f.run(500.0);
    assert_eq!(f.answer(38, "u1"), Some(&Ok(3)));
    let r = f.running().next().expect("one");
    assert_eq!(r.state().rules.version(3).and_then(|v| v.restores), Some(1));
}

#[test]
fn a_front_sends_less_than_a_kilobyte_a_second_in_steady_state() {
    let mut f = Fleet::bootstrapped(60, 5, 2);
    f.run(5_000.0);
    let before = f.sent_bytes;
    f.run(20_000.0);
    let per_front = (f.sent_bytes - before) as f64 / 20.0 / 60.0;
    assert!(per_front < 1_000.0, "{per_front} bytes a second a front");
}

#[test]
fn a_minority_commits_nothing_and_catches_up_after_the_partition() {
    let mut f = Fleet::bootstrapped(12, 5, 3);
    f.edit(7, "a", 0, "one");
    f.run_until(3_000.0, "one", |f| f.all_at(1));
    // Voters 0 and 1 with half of the others.
    f.partition = [0, 1, 6, 7, 8].iter().map(|n| (*n, 1)).collect();
    f.edit(7, "minority", 1, "of the minority");
    f.run(4_000.0);
    f.edit(9, "majority", 1, "of the majority");
    f.run(4_000.0);
    assert_eq!(f.answer(7, "minority"), None);
    assert_eq!(f.answer(9, "majority"), Some(&Ok(2)));
    assert!([0, 1, 6, 7, 8].iter().all(|n| f.fronts[*n]
        .record
        .as_ref()
        .expect("up")
        .state()
        .rules
        .current()
        == 1));
    f.partition.clear();
    let healed_ms = f.run_until(5_000.0, "the partition heals", |f| f.all_at(2));
    assert!(healed_ms < 5_000.0);
    f.run_until(5_000.0, "an answer", |f| f.answer(7, "minority").is_some());
    assert_eq!(f.answer(7, "minority"), Some(&Err(Rejection::Conflict { current: 2 })));
}

#[test]
fn of_concurrent_edits_one_wins_and_repeats_get_the_same_answer() {
    for seed in 0..6 {
        let mut f = Fleet::bootstrapped(10, 3, 100 + seed);
        f.loss = 0.2;
        for n in 0..10 {
            f.edit(n, &format!("k{n}"), 0, &format!("rules of {n}"));
        }
        f.run_until(20_000.0, "all answered", |f| (0..10).all(|n| f.answer(n, &format!("k{n}")).is_some()));
        let winners = (0..10).filter(|n| f.answer(*n, &format!("k{n}")) == Some(&Ok(1))).count();
        assert_eq!(winners, 1, "seed {seed}");
        // A repeat, proposed at another front, gets the same answer.
        let first_answer = f.answer(4, "k4").cloned();
        f.edit(8, "k4", 0, "rules of 4");
        f.run_until(5_000.0, "the repeat", |f| f.answer(8, "k4").is_some());
        assert_eq!(f.answer(8, "k4").cloned(), first_answer);
    }
}

#[test]
fn rules_that_a_voter_finds_invalid_are_not_committed() {
    let mut f = Fleet::bootstrapped(5, 3, 5);
    f.edit(4, "w", 0, "wrong rules");
    f.run(5_000.0);
    assert!(f.all_at(0) && f.answer(4, "w").is_none());
}

#[test]
fn nothing_committed_is_lost_when_voters_crash_and_restart() {
    let mut f = Fleet::bootstrapped(8, 3, 6);
    let mut version = 0;
    for round in 0..12 {
        let at = 3 + round % 5;
        f.edit(at, &format!("k{round}"), version, &format!("round {round}"));
        f.run_until(8_000.0, "the edit", |f| f.answer(at, &format!("k{round}")).is_some());
        version += 1;
        assert_eq!(f.answer(at, &format!("k{round}")), Some(&Ok(version)), "round {round}");
        let n = round % 3;
        f.kill(n);
        f.run(300.0);
        f.start(n);
    }
    f.run_until(8_000.0, "all", |f| f.all_at(version));
    // All crash at once, disks retained.
    (0..8).for_each(|n| f.kill(n));
    (0..8).for_each(|n| f.start(n));
    f.run_until(8_000.0, "all after the crash", |f| f.all_at(version) && f.leader().is_some());
    assert_eq!(f.record_ids().len(), 1);
}

#[test]
fn a_voter_that_lost_its_disk_comes_back_as_another_voter() {
    let mut f = Fleet::bootstrapped(6, 3, 7);
    f.edit(5, "a", 0, "one");
    f.run_until(5_000.0, "one", |f| f.all_at(1));
    f.kill(1);
    f.lose_disk(1);
    f.start(1);
    f.run_until(15_000.0, "added as voter", |f| {
        f.fronts[1].record.as_ref().is_some_and(fernslip_record::Record::is_voter) && f.all_at(1)
    });
    let voters = f
        .running()
        .map(|r| r.state().voters.clone())
        .max_by_key(std::collections::BTreeMap::len)
        .expect("some");
    assert_eq!(voters.len(), 3, "{voters:?}");
    assert!(voters.values().filter(|n| **n == name(1)).count() == 1);
    // It counts: with another gone, two are a majority.
    f.kill(2);
    f.edit(5, "b", 1, "two");
    f.run_until(10_000.0, "two", |f| f.answer(5, "b").is_some());
    assert_eq!(f.answer(5, "b"), Some(&Ok(2)));
}

/// The counter-example to votes under an old id: a voter whose disk went back votes a second time.
#[test]
fn a_trusted_disk_from_an_hour_ago_loses_committed_entries() {
    let run = |trusted: bool| {
        let mut f = Fleet::bootstrapped(3, 3, 8);
        let old = f.fronts[1].disk.clone();
        // Voter 2 misses the edit; 0 and 1 commit it.
        f.partition = [(2, 1)].into();
        f.run_until(8_000.0, "led by a majority", |f| f.leader().is_some_and(|l| l != 2));
        f.edit(0, "a", 0, "one");
        f.run_until(8_000.0, "committed", |f| f.answer(0, "a").is_some());
        // 1 comes back as it was an hour ago; 0 is gone.
        f.kill(1);
        match trusted {
            true => f.fronts[1].disk = old,
            false => f.lose_disk(1),
        }
        f.kill(0);
        f.partition.clear();
        f.start(1);
        f.run(15_000.0);
        f.leader().is_some()
    };
    let panic = std::panic::catch_unwind(|| run(true)).expect_err("two commit another record");
    let message = panic.downcast_ref::<String>().expect("a message");
    assert!(message.contains("two records"), "{message}");
    assert!(!run(false), "not trusted, nothing is committed until the third is back");
}

#[test]
fn a_voter_whose_disk_fails_becomes_a_follower() {
    let mut f = Fleet::bootstrapped(5, 3, 9);
    f.fronts[2].writes_fail = true;
    f.edit(4, "a", 0, "one");
    f.run_until(8_000.0, "all", |f| f.all_at(1));
    let r = f.fronts[2].record.as_ref().expect("up");
    assert!(r.has_failed_disk() && !r.is_voter());
}

#[test]
fn a_thousand_edits_and_undos_in_a_row_succeed_under_loss() {
    let mut f = Fleet::bootstrapped(6, 3, 10);
    f.loss = 0.05;
    let mut version = 0;
    for n in 0..1_000u64 {
        let (at, key) = (n as usize % 6, format!("k{n}"));
        match n % 3 {
            2 => f.undo(at, &key, version, version - 1, &[]),
            _ => f.edit(at, &key, version, &format!("text {n}")),
        }
        f.run_until(20_000.0, "an answer", |f| f.answer(at, &key).is_some());
        version += 1;
        assert_eq!(f.answer(at, &key), Some(&Ok(version)));
        f.fronts[at].answers.clear();
    }
    f.run_until(10_000.0, "all", |f| f.all_at(version));
    // A newcomer gets a snapshot, not a thousand entries.
    f.kill(5);
    f.lose_disk(5);
    f.start(5);
    f.run_until(5_000.0, "the newcomer", |f| f.all_at(version));
}

/// Two that lost their disks and a third that is partitioned off: the two must not bootstrap a second record.
#[test]
fn a_majority_without_disks_bootstraps_no_second_record() {
    let mut f = Fleet::bootstrapped(4, 3, 11);
    let record_ids = f.record_ids();
    f.partition = [(2, 1), (3, 1)].into();
    for n in [0, 1] {
        f.kill(n);
        f.lose_disk(n);
        f.start(n);
    }
    f.run(10_000.0);
    assert!([0, 1].iter().all(|n| f.fronts[*n].record.as_ref().expect("up").state().record_id == 0));
    f.partition.clear();
    f.run(10_000.0);
    assert_eq!(f.record_ids(), record_ids, "they follow the one that there is");
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = || {
        let mut f = Fleet::bootstrapped(7, 3, 12);
        f.loss = 0.1;
        f.edit(6, "a", 0, "one");
        f.run(5_000.0);
        (f.progress(), f.sent_bytes, f.chain_hashes.clone())
    };
    assert_eq!(run(), run());
}

/// Random faults, one run a seed: what was answered is in the state in the end, under one record.
#[test]
fn random_faults_lose_no_answered_command() {
    for seed in 0..25 {
        let mut f = Fleet::bootstrapped(9, if seed % 2 == 0 { 3 } else { 5 }, 1_000 + seed);
        let mut proposed = 0;
        for _ in 0..40 {
            match f.random(8) {
                0 => f.loss = if f.chance(0.5) { 0.0 } else { 0.3 },
                1 => {
                    let minority = f.random(4);
                    f.partition = (0..9).filter(|n| n % 4 == minority).map(|n| (n, 1)).collect();
                }
                2 => f.partition.clear(),
                3 => {
                    let n = f.random(9);
                    f.kill(n);
                }
                4 => {
                    for n in 0..9 {
                        if f.fronts[n].record.is_none() {
                            f.start(n);
                        }
                    }
                }
                5 if f.chance(0.2) => (0..9).for_each(|n| f.kill(n)),
                _ => {
                    let n = f.random(9);
                    let base = f.fronts[n].record.as_ref().map_or(0, |r| r.state().rules.current());
                    proposed += 1;
                    f.edit(n, &format!("k{proposed}"), base, &format!("text {proposed}"));
                }
            }
            let ms = 200.0 + f.random(1_500) as f64;
            f.run(ms);
        }
        (f.loss, f.partition) = (0.0, Default::default());
        for n in 0..9 {
            if f.fronts[n].record.is_none() {
                f.start(n);
            }
        }
        f.run_until(15_000.0, "all fronts are equal", |f| {
            let all: Vec<_> = f.running().map(|r| (r.state().chain_hash, r.state().applied_index)).collect();
            f.leader().is_some() && all.iter().all(|a| *a == all[0])
        });
        let rules = f.running().next().expect("up").state().rules.clone();
        for front in &f.fronts {
            for (key, answer) in &front.answers {
                assert_eq!(rules.answer(key), Some(answer), "seed {seed}: {key} was answered");
            }
        }
    }
}
