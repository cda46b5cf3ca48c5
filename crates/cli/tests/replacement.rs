//! Replacing the process of a front while the event bus is down or is reached by the old process only: what
//! the old process was told holds at the new one.
//!
//! Each test first shows that a cache node is in use, so that a later count of 0 requests means something.

mod common;

use common::event_bus::Reachable;
use common::replaceable::Deployment;
use common::scripted::ScriptedFront;
use common::{send_admin_command, wait_until};
use fernslip_rig::shim::{MachineFault, Shim};
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time after a front was told that a node drains in which requests may still reach it, with what sockets add.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// A step of the wall clock, in nanoseconds.
const HOUR_NS: i64 = 3_600_000_000_000;
/// How long the tests watch a node that must get no requests.
const WATCH_TIME: Duration = Duration::from_millis(1500);

/// When the old process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OldProcess {
    /// By SIGTERM, after the new process serves.
    Terminated,
    /// By SIGKILL, after the new process serves.
    KilledAfterwards,
    /// By SIGKILL, before the new process starts.
    KilledBefore,
}

/// Replaces the process once, and returns the new one.
fn replace(deployment: &Deployment, mut old: ScriptedFront, ending: OldProcess) -> ScriptedFront {
    let end = |old: &mut ScriptedFront, signal| {
        old.signal(signal);
        let _ = old.child.wait();
    };
    if ending == OldProcess::KilledBefore {
        end(&mut old, "KILL");
        return deployment.start_process();
    }
    let new = deployment.start_process();
    end(&mut old, if ending == OldProcess::Terminated { "TERM" } else { "KILL" });
    new
}

/// One replacement of the process while the event bus is down.
#[derive(Clone, Copy, Debug)]
struct Outage {
    name: &'static str,
    /// The nodes that the old process is told to take out of use, with their states.
    told: &'static [(&'static str, &'static str)],
    /// The time from the event to the loss of the bus.
    told_before_loss: Duration,
    old: OldProcess,
    replacements: usize,
    has_pool: bool,
}

const OUTAGES: [Outage; 10] = {
    const USUAL: Outage = Outage {
        name: "drain",
        told: &[("c1", "Terminating")],
        told_before_loss: Duration::from_millis(1000),
        old: OldProcess::Terminated,
        replacements: 1,
        has_pool: false,
    };
    [
        USUAL,
        Outage { name: "gone", told: &[("c1", "Gone")], ..USUAL },
        Outage { name: "parent", told: &[("p1", "Terminating")], ..USUAL },
        Outage { name: "two", told: &[("c1", "Terminating"), ("c2", "Gone")], ..USUAL },
        Outage { name: "just", told_before_loss: Duration::from_millis(150), ..USUAL },
        Outage { name: "killed", old: OldProcess::KilledAfterwards, ..USUAL },
        Outage { name: "killed-before", old: OldProcess::KilledBefore, ..USUAL },
        Outage { name: "four", replacements: 4, ..USUAL },
        Outage { name: "pool", has_pool: true, ..USUAL },
        Outage { name: "pool-gone", told: &[("c1", "Gone"), ("p1", "Gone")], has_pool: true, ..USUAL },
    ]
};

/// Plays an outage; returns the number of requests for the nodes that were taken out, after the grace, and
/// checks that a node which is ready again is used again.
fn play(outage: &Outage) -> usize {
    let make_deployment = if outage.has_pool { Deployment::with_pool } else { Deployment::new };
    let deployment = make_deployment(outage.name);
    let mut process = deployment.start_process();
    let _clients = deployment.start_clients();
    outage.told.iter().for_each(|(id, _)| deployment.wait_until_used(id));
    let told = deployment.publish_states(outage.told);
    process.wait_for_log("bus offset=2");
    std::thread::sleep(outage.told_before_loss.saturating_sub(told.elapsed()));
    deployment.bus.set_reachable(Reachable::Nobody);
    for _ in 0..outage.replacements {
        process = replace(&deployment, process, outage.old);
    }
    std::thread::sleep(WATCH_TIME);
    let late = outage.told.iter().map(|(id, _)| deployment.requests_for(id, told + DRAIN_GRACE)).sum();
    deployment.bus.set_reachable(Reachable::Everyone);
    let ready: Vec<_> = outage.told.iter().map(|(id, _)| (*id, "Ready")).collect();
    deployment.publish_states(&ready);
    outage.told.iter().for_each(|(id, _)| deployment.wait_until_used(id));
    late
}

/// A process that replaced another while the event bus was down used the nodes of its configuration, and so
/// those that the old process had been told to take out of use (case 10 of the second review).
#[test]
fn nodes_that_the_old_process_took_out_of_use_stay_out_while_the_bus_is_down() {
    let plays: Vec<_> =
        OUTAGES.iter().map(|outage| (outage.name, std::thread::spawn(|| play(outage)))).collect();
    let late: Vec<_> =
        plays.into_iter().map(|(name, play)| (name, play.join().expect("the play ends"))).collect();
    assert!(late.iter().all(|(_, late)| *late == 0), "late requests: {late:?}");
}

/// The old process alone reaches the bus. What it is told after the new process has started takes effect in
/// both, a drain as well as its end.
#[test]
fn an_event_that_only_the_old_process_receives_takes_effect_in_both() {
    let deployment = Deployment::new("old-only");
    let mut old = deployment.start_process();
    let _clients = deployment.start_clients();
    // An event shows that the old process is connected.
    deployment.publish_states(&[("c4", "Ready")]);
    old.wait_for_log("bus offset=2");
    deployment.bus.set_reachable(Reachable::ConnectedFronts);
    let mut new = deployment.start_process();
    deployment.wait_until_used("c1");
    let told = deployment.publish_states(&[("c1", "Terminating"), ("p1", "Gone")]);
    new.wait_for_log("applied the checkpoint of another process");
    std::thread::sleep(WATCH_TIME);
    let late = ["c1", "p1"].map(|id| deployment.requests_for(id, told + DRAIN_GRACE));
    assert_eq!(late, [0, 0], "late requests while both processes run");
    deployment.publish_states(&[("c1", "Ready")]);
    new.wait_for_log("applied the checkpoint of another process");
    old.signal("TERM");
    let _ = old.child.wait();
    deployment.wait_until_used("c1");
    assert_eq!(deployment.requests_for("p1", told + DRAIN_GRACE), 0, "late requests at the new process");
}

/// A purge that only the old process was told limits the age of copies at the processes that replace it, also
/// if the wall clock is stepped between two processes.
#[test]
fn a_purge_that_the_old_process_was_told_limits_the_age_of_copies() {
    let (purged, in_group, other) = ("00000000000000a1", "00000000000000a2", "00000000000000a3");
    let shim = Shim::build().expect("the shim can be built with a C compiler");
    for (name, steps_ns) in
        [("same-clock", [0, 0]), ("clock-forward", [HOUR_NS, 0]), ("clock-back", [-HOUR_NS, HOUR_NS])]
    {
        let deployment = Deployment::new(name);
        let mut process = deployment.start_process();
        assert!(!deployment.fields_of_call(purged, "1").contains_key("fresh"), "any copy is good at first");
        let unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970").as_millis();
        let told = Instant::now();
        deployment.bus.publish(&format!("\"ban\":{}", json!({"url": purged, "ts": unix_ms})));
        deployment.bus.publish(&format!("\"ban\":{}", json!({"tag": 17, "ts": unix_ms})));
        process.wait_for_log("bus offset=3");
        deployment.bus.set_reachable(Reachable::Nobody);
        for (number, step_ns) in steps_ns.into_iter().enumerate() {
            let faults =
                shim.create_fault_settings(&format!("{name}{number}"), 1).expect("a file can be created");
            faults.set_fault(MachineFault::WallOffsetNs, step_ns).expect("the fault can be set");
            let new = deployment.start_process_with(&faults.environment_variables());
            process.signal("TERM");
            let _ = std::mem::replace(&mut process, new).child.wait();
            std::thread::sleep(Duration::from_millis(300));
            for (object, group) in [(purged, "1"), (in_group, "17")] {
                let fields = deployment.fields_of_call(object, group);
                let oldest =
                    fields.get("fresh").map(|text| text.parse::<u128>().expect("an age is a number"));
                let limit = told.elapsed().as_millis();
                assert!(
                    oldest.is_some_and(|oldest| oldest <= limit),
                    "{name}, replacement {number}, {object}: copies of {oldest:?} ms, purged {limit} ms ago"
                );
            }
            assert!(
                !deployment.fields_of_call(other, "1").contains_key("fresh"),
                "any copy of others is good"
            );
        }
    }
}

/// A process that is handed a purge and is told nothing more keeps its age up to date for the next one. That one
/// took the purge for as recent as it was when the first process stored it, and refused younger copies.
#[test]
fn the_age_of_a_purge_grows_while_nothing_is_reported() {
    /// How long the second process runs.
    const QUIET_TIME: Duration = Duration::from_secs(6);
    /// The interval at which ages are stored, and the margin of the rule on purges.
    const OUTDATED_BY: Duration = Duration::from_millis(2000 + 1000);
    let deployment = Deployment::new("quiet");
    let mut first = deployment.start_process();
    let told = Instant::now();
    deployment.bus.publish(&format!("\"ban\":{}", json!({"url": "00000000000000a1", "ts": unix_ms()})));
    first.wait_for_log("bus offset=2");
    deployment.bus.set_reachable(Reachable::Nobody);
    let second = replace(&deployment, first, OldProcess::Terminated);
    std::thread::sleep(QUIET_TIME);
    let age = told.elapsed();
    let _third = replace(&deployment, second, OldProcess::KilledAfterwards);
    let fields = deployment.fields_of_call("00000000000000a1", "1");
    let oldest: u64 = fields.get("fresh").expect("the purge is known").parse().expect("an age is a number");
    let oldest = Duration::from_millis(oldest);
    assert!(
        oldest <= told.elapsed() && oldest + OUTDATED_BY >= age,
        "copies of {oldest:?}, purged {age:?} ago"
    );
}

/// A checkpoint that does not fit is refused, and the front starts from its configuration: the node that the
/// bus had set to draining is in use until the bus tells it again.
#[test]
fn an_unusable_checkpoint_is_refused_and_the_front_starts_from_its_configuration() {
    type Damage = fn(&[u8]) -> Vec<u8>;
    let rows: [(&str, Damage, &str); 5] = [
        ("empty", |_| Vec::new(), "line 1 is not"),
        ("garbage", |bytes| vec![0xa5; bytes.len()], "line 1 is not"),
        ("half", |bytes| bytes[..bytes.len() / 2].to_vec(), "bytes; line 1 says"),
        ("later", |bytes| [b"fernslip watch 2", &bytes[16..]].concat(), "format version 2"),
        (
            "flipped",
            |bytes| [&bytes[..bytes.len() - 9], b"x", &bytes[bytes.len() - 8..]].concat(),
            "checksum",
        ),
    ];
    let plays = rows.map(|(name, damage, reason)| {
        std::thread::spawn(move || {
            let deployment = Deployment::new(name);
            let mut old = deployment.start_process();
            let _clients = deployment.start_clients();
            deployment.publish_states(&[("c1", "Terminating")]);
            old.wait_for_log("bus offset=2");
            let path = deployment.wait_until_stored(2);
            let bytes = std::fs::read(&path).expect("the checkpoint can be read");
            deployment.bus.set_reachable(Reachable::Nobody);
            old.signal("KILL");
            let _ = old.child.wait();
            std::fs::write(&path, damage(&bytes)).expect("the checkpoint can be written");
            let new = deployment.start_process();
            let refusal = new.log_lines.iter().find(|line| line.contains("checkpoint refused"));
            let refusal = refusal.unwrap_or_else(|| panic!("{name}: a refusal in {:?}", new.log_lines));
            assert!(refusal.contains(".watch: ") && refusal.contains(reason), "{name}: {refusal}");
            deployment.wait_until_used("c1");
            deployment.bus.set_reachable(Reachable::Everyone);
            wait_until("the bus tells the drain again", || {
                telemetry(&new).contains("relay.cluster_unhealthy=1\n") && stored_checkpoints(&new) > 0
            });
            assert!(std::fs::read(&path)
                .expect("the checkpoint can be read")
                .starts_with(b"fernslip watch 1 "));
        })
    });
    plays.into_iter().for_each(|play| play.join().expect("the play ends"));
}

/// The present Unix time in milliseconds.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    now.as_millis() as u64
}

/// The metrics of a process.
fn telemetry(process: &ScriptedFront) -> String {
    send_admin_command(&admin_address(process), "telemetry\n")
}

/// The address of a process's admin interface, from its log.
fn admin_address(process: &ScriptedFront) -> String {
    let line = process.log_lines.iter().find(|line| line.contains("operators' door at "));
    let line = line.expect("the front logs the address of its admin interface");
    line.rsplit(' ').next().expect("the line ends with an address").trim_matches('"').to_string()
}

/// The number of checkpoints that a process has stored.
fn stored_checkpoints(process: &ScriptedFront) -> u64 {
    let metrics = telemetry(process);
    let value = metrics.lines().find_map(|line| line.strip_prefix("relay.checkpoint.stored="));
    value.expect("the metric is there").parse().expect("the metric is a number")
}

/// A front that starts from nothing has a new seed and a bus that numbers from 1, and a newer configuration
/// contains what a checkpoint contains. Neither may take the node out of use that an old checkpoint drains.
#[test]
fn a_checkpoint_of_an_earlier_start_or_older_than_the_configuration_is_not_used() {
    for name in ["new-seed", "newer-configuration"] {
        let mut deployment = Deployment::new(name);
        let mut old = deployment.start_process();
        let _clients = deployment.start_clients();
        deployment.publish_states(&[("c1", "Terminating")]);
        old.wait_for_log("bus offset=2");
        deployment.wait_until_stored(2);
        deployment.bus.set_reachable(Reachable::Nobody);
        old.signal("KILL");
        let _ = old.child.wait();
        if name == "new-seed" {
            deployment.configuration["seed"] = "8c1f30d27a5be965".into();
        } else {
            let ready = json!({"offset": 3, "topology": {"servers": [deployment.entry("c1", "Ready", 0)]}});
            let known = &mut deployment.configuration["known"];
            known["batch"].as_array_mut().expect("the events are an array").push(ready);
            known["offset"] = 3.into();
        }
        let _new = deployment.start_process();
        deployment.wait_until_used("c1");
    }
}

/// The disk fails throughout: calls are served and drains apply, and once it works the next process is handed
/// what the front was told meanwhile.
#[test]
fn a_failing_disk_costs_no_call_and_the_checkpoint_is_stored_later() {
    let shim = Shim::build().expect("the shim can be built with a C compiler");
    let faults = shim.create_fault_settings("watch-disk", 1).expect("a file can be created");
    let deployment = Deployment::new("watch-disk");
    let mut old = deployment.start_process_with(&faults.environment_variables());
    let clients = deployment.start_clients();
    deployment.wait_until_used("c1");
    faults.set_fault(MachineFault::Disk, 1000).expect("the fault can be set");
    let told = deployment.publish_states(&[("c1", "Terminating")]);
    old.wait_for_log("no checkpoint is stored in ");
    std::thread::sleep(WATCH_TIME);
    assert_eq!(deployment.requests_for("c1", told + DRAIN_GRACE), 0, "late requests while the disk fails");
    assert_ne!(deployment.stored_offset(), Some(2), "the event is not stored while the disk fails");
    faults.clear_rates().expect("the faults can be cleared");
    deployment.wait_until_stored(2);
    assert_eq!(clients.counts.other.load(Ordering::SeqCst), 0, "calls that were not served");
    deployment.bus.set_reachable(Reachable::Nobody);
    let _new = replace(&deployment, old, OldProcess::KilledAfterwards);
    std::thread::sleep(WATCH_TIME);
    assert_eq!(deployment.requests_for("c1", told + DRAIN_GRACE), 0, "late requests at the new process");
}

/// The process is replaced ten times, with the bus up and down in turns. Drained, departed and excluded nodes
/// stay out, and a node that is ready again is used.
#[test]
fn ten_replacements_in_a_row_lose_nothing() {
    let deployment = Deployment::new("ten");
    let mut process = deployment.start_process();
    let _clients = deployment.start_clients();
    ["c1", "c2", "p1"].into_iter().for_each(|id| deployment.wait_until_used(id));
    assert_eq!(send_admin_command(&admin_address(&process), "exclude c2\n"), "200 excluded c2\n");
    let told = deployment.publish_states(&[("c1", "Terminating"), ("p1", "Gone")]);
    process.wait_for_log("bus offset=2");
    for number in 0..10 {
        let reachable = if number % 2 == 0 { Reachable::Nobody } else { Reachable::Everyone };
        deployment.bus.set_reachable(reachable);
        process = replace(&deployment, process, OldProcess::Terminated);
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(WATCH_TIME);
    let late = ["c1", "c2", "p1"].map(|id| deployment.requests_for(id, told + DRAIN_GRACE));
    assert_eq!(late, [0; 3], "late requests at c1, c2 and p1");
    deployment.publish_states(&[("c1", "Ready"), ("p1", "Ready")]);
    ["c1", "p1"].into_iter().for_each(|id| deployment.wait_until_used(id));
}

/// After the replacement the bus comes back without its state and numbers from 1. The front follows it, and a
/// node that is ready there after a drain is used.
#[test]
fn a_bus_that_numbers_anew_is_followed_after_a_replacement() {
    let deployment = Deployment::new("renumbered");
    let mut old = deployment.start_process();
    let _clients = deployment.start_clients();
    for state in ["Terminating", "Ready", "Terminating"] {
        deployment.publish_states(&[("c1", state)]);
    }
    old.wait_for_log("bus offset=4");
    deployment.bus.set_reachable(Reachable::Nobody);
    let new = replace(&deployment, old, OldProcess::KilledAfterwards);
    let list = deployment.configuration["known"]["batch"][0]["topology"].clone();
    deployment.bus.restart_numbering(&[format!("\"topology\":{list}")]);
    deployment.bus.set_reachable(Reachable::Everyone);
    wait_until("the front follows the new numbering", || {
        telemetry(&new).contains("relay.watch.generation=1\n")
    });
    deployment.publish_states(&[("c1", "Ready"), ("c2", "Terminating")]);
    deployment.wait_until_used("c1");
    wait_until("c2 is draining", || telemetry(&new).contains("relay.cluster_unhealthy=1\n"));
    // The numbering is lower than the one before; the next process still continues from it.
    deployment.bus.set_reachable(Reachable::Nobody);
    let drained = Instant::now();
    let next = replace(&deployment, new, OldProcess::KilledAfterwards);
    assert!(telemetry(&next).contains("relay.watch.generation=1\n"));
    deployment.wait_until_used("c1");
    assert_eq!(deployment.requests_for("c2", drained + DRAIN_GRACE), 0, "late requests at c2");
}

/// A node that started cold shortly before the loss of the bus stays in slow start at the next process, also if
/// the wall clock is stepped in between: it is sent no more than twice what it can do by the ramp, where the
/// other nodes are sent what they can do.
#[test]
fn a_node_in_slow_start_stays_in_it_at_the_next_process() {
    let shim = Shim::build().expect("the shim can be built with a C compiler");
    for (name, step_ns) in [("slow-start", 0), ("slow-start-step", HOUR_NS)] {
        let faults = shim.create_fault_settings(name, 1).expect("a file can be created");
        faults.set_fault(MachineFault::WallOffsetNs, step_ns).expect("the fault can be set");
        let deployment = Deployment::new(name);
        let mut old = deployment.start_process();
        let _clients = deployment.start_clients();
        deployment.wait_until_used("c1");
        let started = Instant::now();
        let list = json!({"full": false, "servers": [deployment.entry("c1", "Ready", unix_ms())]});
        deployment.bus.publish(&format!("\"topology\":{list}"));
        old.wait_for_log("bus offset=2");
        std::thread::sleep(Duration::from_millis(300));
        deployment.bus.set_reachable(Reachable::Nobody);
        let _new = deployment.start_process_with(&faults.environment_variables());
        old.signal("TERM");
        let _ = old.child.wait();
        let replaced = Instant::now();
        std::thread::sleep(WATCH_TIME);
        let rule = |key| deployment.configuration["settings"]["rules"][key].as_f64().expect("a number");
        let age_ms = started.elapsed().as_secs_f64() * 1000.0;
        let from = rule("start_capacity");
        let fraction = from + (1.0 - from) * age_ms / rule("warm_up_ms");
        let [cold, warm] = [&["c1"][..], &["c2", "c3", "c4"]].map(|ids| {
            let requests: usize = ids.iter().map(|id| deployment.requests_for(id, replaced)).sum();
            requests as f64 / ids.len() as f64
        });
        assert!(
            cold > 0.0 && cold <= rule("tip_multiple") * fraction * warm,
            "{name}: {cold} requests at the node that started {age_ms:.0} ms ago, {warm:.0} at each other one"
        );
    }
}

/// Both processes of a replacement store the same event at the same moment. The one that finds the file locked
/// waited for a second, and might have been killed before it stored a later event.
#[test]
fn a_checkpoint_is_stored_as_soon_as_the_other_process_releases_the_lock() {
    let deployment = Deployment::new("locked");
    let mut process = deployment.start_process();
    let publish = |state| deployment.publish_states(&[("c1", state)]);
    publish("Terminating");
    deployment.wait_until_stored(2);
    let stored_before = stored_checkpoints(&process);
    let lock_file = deployment.shared_file("watch-lock").expect("the lock file exists");
    let lock = fernslip_front::file_lock::try_lock(&lock_file);
    let lock = lock.expect("the lock is free");
    publish("Ready");
    process.wait_for_log("bus offset=3");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(stored_checkpoints(&process), stored_before, "nothing is stored without the lock");
    drop(lock);
    let released = Instant::now();
    deployment.wait_until_stored(3);
    assert!(released.elapsed() < DRAIN_GRACE, "stored {:?} after the lock was released", released.elapsed());
}
