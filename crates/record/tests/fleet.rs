//! The record in fleets that lose messages, voters, disks and links.

mod common;

use common::{name, Fleet};
use fernslip_record::rules::Refusal;

#[test]
fn an_edit_and_its_undo_are_in_force_on_all_within_a_second() {
    let mut f = Fleet::founded(40, 5, 1);
    f.run(2_000.0);
    f.edit(17, "e1", 0, &"route one\n".repeat(2_000));
    let took = f.until(3_000.0, "the edit", |f| f.all_at(1));
    f.edit(3, "e2", 1, "route two");
    f.until(3_000.0, "the second", |f| f.all_at(2));
    f.undo(38, "u1", 2, 1, &[]);
    let undone = f.until(3_000.0, "the undo", |f| f.all_at(3));
    assert!(took < 2_500.0 && undone < 1_000.0, "{took} {undone}");
    f.run(500.0);
    assert_eq!(f.answered(38, "u1"), Some(&Ok(3)));
    let r = f.up().next().expect("one");
    assert_eq!(r.agreed().rules.version(3).and_then(|v| v.restores), Some(1));
}

#[test]
fn steady_state_costs_little() {
    let mut f = Fleet::founded(60, 5, 2);
    f.run(5_000.0);
    let before = f.sent_bytes;
    f.run(20_000.0);
    let a_front = (f.sent_bytes - before) as f64 / 20.0 / 60.0;
    assert!(a_front < 1_000.0, "{a_front} bytes a second a front");
}

#[test]
fn a_minority_agrees_on_nothing_and_follows_after() {
    let mut f = Fleet::founded(12, 5, 3);
    f.edit(7, "a", 0, "one");
    f.until(3_000.0, "one", |f| f.all_at(1));
    // Voters 0 and 1 with half of the others.
    f.side = [0, 1, 6, 7, 8].iter().map(|n| (*n, 1)).collect();
    f.edit(7, "minority", 1, "of the minority");
    f.run(4_000.0);
    f.edit(9, "majority", 1, "of the majority");
    f.run(4_000.0);
    assert_eq!(f.answered(7, "minority"), None);
    assert_eq!(f.answered(9, "majority"), Some(&Ok(2)));
    assert!([0, 1, 6, 7, 8].iter().all(|n| f.fronts[*n]
        .record
        .as_ref()
        .expect("up")
        .agreed()
        .rules
        .current()
        == 1));
    f.side.clear();
    let took = f.until(5_000.0, "healed", |f| f.all_at(2));
    assert!(took < 5_000.0);
    f.until(5_000.0, "an answer", |f| f.answered(7, "minority").is_some());
    assert_eq!(f.answered(7, "minority"), Some(&Err(Refusal::Moved { current: 2 })));
}

#[test]
fn edits_that_race_and_repeat_are_each_answered_once_and_one_wins() {
    for seed in 0..6 {
        let mut f = Fleet::founded(10, 3, 100 + seed);
        f.loss = 0.2;
        for n in 0..10 {
            f.edit(n, &format!("k{n}"), 0, &format!("rules of {n}"));
        }
        f.until(20_000.0, "all answered", |f| (0..10).all(|n| f.answered(n, &format!("k{n}")).is_some()));
        let won = (0..10).filter(|n| f.answered(*n, &format!("k{n}")) == Some(&Ok(1))).count();
        assert_eq!(won, 1, "seed {seed}");
        // A repeat, asked at another front, gets the same.
        let first = f.answered(4, "k4").cloned();
        f.edit(8, "k4", 0, "rules of 4");
        f.until(5_000.0, "the repeat", |f| f.answered(8, "k4").is_some());
        assert_eq!(f.answered(8, "k4").cloned(), first);
    }
}

#[test]
fn rules_that_a_voter_finds_wrong_are_not_agreed() {
    let mut f = Fleet::founded(5, 3, 5);
    f.edit(4, "w", 0, "wrong rules");
    f.run(5_000.0);
    assert!(f.all_at(0) && f.answered(4, "w").is_none());
}

#[test]
fn voters_crash_and_come_back_and_nothing_agreed_is_lost() {
    let mut f = Fleet::founded(8, 3, 6);
    let mut version = 0;
    for round in 0..12 {
        let at = 3 + round % 5;
        f.edit(at, &format!("k{round}"), version, &format!("round {round}"));
        f.until(8_000.0, "the edit", |f| f.answered(at, &format!("k{round}")).is_some());
        version += 1;
        assert_eq!(f.answered(at, &format!("k{round}")), Some(&Ok(version)), "round {round}");
        let n = round % 3;
        f.kill(n);
        f.run(300.0);
        f.start(n);
    }
    f.until(8_000.0, "all", |f| f.all_at(version));
    // All dark at once, disks kept.
    (0..8).for_each(|n| f.kill(n));
    (0..8).for_each(|n| f.start(n));
    f.until(8_000.0, "all after the dark", |f| f.all_at(version) && f.leader().is_some());
    assert_eq!(f.births().len(), 1);
}

#[test]
fn a_voter_that_lost_its_disk_is_another_voter() {
    let mut f = Fleet::founded(6, 3, 7);
    f.edit(5, "a", 0, "one");
    f.until(5_000.0, "one", |f| f.all_at(1));
    f.kill(1);
    f.lose_disk(1);
    f.start(1);
    f.until(15_000.0, "taken in", |f| f.fronts[1].record.as_ref().is_some_and(|r| r.votes()) && f.all_at(1));
    let voters = f.up().map(|r| r.agreed().voters.clone()).max_by_key(|v| v.len()).expect("some");
    assert_eq!(voters.len(), 3, "{voters:?}");
    assert!(voters.values().filter(|n| **n == name(1)).count() == 1);
    // It counts: with another gone, two are a majority.
    f.kill(2);
    f.edit(5, "b", 1, "two");
    f.until(10_000.0, "two", |f| f.answered(5, "b").is_some());
    assert_eq!(f.answered(5, "b"), Some(&Ok(2)));
}

/// The counter-example to votes under an old name: a voter whose disk went back gives its vote a second time.
#[test]
fn a_disk_from_an_hour_ago_that_is_believed_loses_what_was_agreed() {
    let play = |believed: bool| {
        let mut f = Fleet::founded(3, 3, 8);
        let old = f.fronts[1].disk.clone();
        // Voter 2 misses the edit; 0 and 1 agree on it.
        f.side = [(2, 1)].into();
        f.until(8_000.0, "led by a majority", |f| f.leader().is_some_and(|l| l != 2));
        f.edit(0, "a", 0, "one");
        f.until(8_000.0, "agreed", |f| f.answered(0, "a").is_some());
        // 1 comes back as it was an hour ago; 0 is gone.
        f.kill(1);
        match believed {
            true => f.fronts[1].disk = old,
            false => f.lose_disk(1),
        }
        f.kill(0);
        f.side.clear();
        f.start(1);
        f.run(15_000.0);
        f.leader().is_some()
    };
    let believed = std::panic::catch_unwind(|| play(true)).expect_err("two agree on another record");
    let what = believed.downcast_ref::<String>().expect("words");
    assert!(what.contains("two records"), "{what}");
    assert!(!play(false), "not believed, nothing is agreed until the third is back");
}

#[test]
fn a_voter_whose_disk_fails_votes_no_more_and_follows() {
    let mut f = Fleet::founded(5, 3, 9);
    f.fronts[2].writes_fail = true;
    f.edit(4, "a", 0, "one");
    f.until(8_000.0, "all", |f| f.all_at(1));
    let r = f.fronts[2].record.as_ref().expect("up");
    assert!(r.has_failed_disk() && !r.votes());
}

#[test]
fn a_thousand_edits_and_undos_in_a_row_under_loss() {
    let mut f = Fleet::founded(6, 3, 10);
    f.loss = 0.05;
    let mut version = 0;
    for n in 0..1_000u64 {
        let (at, key) = (n as usize % 6, format!("k{n}"));
        match n % 3 {
            2 => f.undo(at, &key, version, version - 1, &[]),
            _ => f.edit(at, &key, version, &format!("text {n}")),
        }
        f.until(20_000.0, "an answer", |f| f.answered(at, &key).is_some());
        version += 1;
        assert_eq!(f.answered(at, &key), Some(&Ok(version)));
        f.fronts[at].answers.clear();
    }
    f.until(10_000.0, "all", |f| f.all_at(version));
    // A newcomer gets the state, not a thousand commands.
    f.kill(5);
    f.lose_disk(5);
    f.start(5);
    f.until(5_000.0, "the newcomer", |f| f.all_at(version));
}

/// Two that lost their disks and a third that is cut off: the two must not found a second record.
#[test]
fn a_majority_without_disks_founds_no_second_record() {
    let mut f = Fleet::founded(4, 3, 11);
    let birth = f.births();
    f.side = [(2, 1), (3, 1)].into();
    for n in [0, 1] {
        f.kill(n);
        f.lose_disk(n);
        f.start(n);
    }
    f.run(10_000.0);
    assert!([0, 1].iter().all(|n| f.fronts[*n].record.as_ref().expect("up").agreed().birth == 0));
    f.side.clear();
    f.run(10_000.0);
    assert_eq!(f.births(), birth, "they follow the one that there is");
}

#[test]
fn equal_seeds_do_the_same() {
    let play = || {
        let mut f = Fleet::founded(7, 3, 12);
        f.loss = 0.1;
        f.edit(6, "a", 0, "one");
        f.run(5_000.0);
        (f.indices(), f.sent_bytes, f.chains.clone())
    };
    assert_eq!(play(), play());
}

/// Random faults, one run a seed: what was answered with a version is there in the end, under one record.
#[test]
fn random_faults_lose_nothing_that_was_answered() {
    for seed in 0..25 {
        let mut f = Fleet::founded(9, if seed % 2 == 0 { 3 } else { 5 }, 1_000 + seed);
        let mut asked = 0;
        for _ in 0..40 {
            match f.random(8) {
                0 => f.loss = if f.chance(0.5) { 0.0 } else { 0.3 },
                1 => {
                    let cut = f.random(4);
                    f.side = (0..9).filter(|n| n % 4 == cut).map(|n| (n, 1)).collect();
                }
                2 => f.side.clear(),
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
                    let base = f.fronts[n].record.as_ref().map_or(0, |r| r.agreed().rules.current());
                    asked += 1;
                    f.edit(n, &format!("k{asked}"), base, &format!("text {asked}"));
                }
            }
            let ms = 200.0 + f.random(1_500) as f64;
            f.run(ms);
        }
        (f.loss, f.side) = (0.0, Default::default());
        for n in 0..9 {
            if f.fronts[n].record.is_none() {
                f.start(n);
            }
        }
        f.until(15_000.0, "even", |f| {
            let all: Vec<_> = f.up().map(|r| (r.agreed().chain, r.agreed().index)).collect();
            f.leader().is_some() && all.iter().all(|a| *a == all[0])
        });
        let rules = f.up().next().expect("up").agreed().rules.clone();
        for front in &f.fronts {
            for (key, answer) in &front.answers {
                assert_eq!(rules.answer(key), Some(answer), "seed {seed}: {key} was answered");
            }
        }
    }
}
