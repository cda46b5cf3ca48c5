//! Imports of generated files with 1,000, 10,000 and 50,000 members: time, and peak memory above the baseline.
//! Both are also given for each member, which is what has to stay the same. The document that comes out is read back.

use fernslip_import::{httpd, modjk, Imported, Memory, Options};
use fernslip_site::Site;
use std::time::{Duration, Instant};

const RUNS: usize = 10;

fn httpd_files(members: usize) -> Memory {
    let mut text = String::from("<Proxy balancer://big>\n");
    for i in 0..members {
        let (a, b, c) = (i >> 16, i >> 8 & 255, i & 255);
        text += &format!(
            "    BalancerMember http://10.{a}.{b}.{c}:8080 loadfactor={} lbset={} retry=30\n",
            1 + i % 9,
            i % 3
        );
    }
    text += "</Proxy>\nProxyPass / balancer://big/\n";
    Memory::from_files([("httpd.conf", text.as_bytes())])
}

fn jk_files(members: usize) -> Memory {
    let mut text = String::from("worker.list=lb\nworker.t.type=ajp13\nworker.t.socket_connect_timeout=500\n");
    let mut all = Vec::new();
    for i in 0..members {
        let (a, b, c) = (i >> 16, i >> 8 & 255, i & 255);
        text += &format!(
            "worker.w{i}.reference=worker.t\nworker.w{i}.host=10.{a}.{b}.{c}\nworker.w{i}.lbfactor={}\n",
            1 + i % 9
        );
        all.push(format!("w{i}"));
    }
    text += &format!("worker.lb.type=lb\nworker.lb.balance_workers={}\n", all.join(","));
    Memory::from_files([("workers.properties", text.as_bytes()), ("uriworkermap.properties", b"/*=lb\n")])
}

/// Peak resident memory of this process since it was last reset, in KB.
fn peak_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?.split_whitespace().next()?.parse().ok()
}

fn median(mut all: Vec<Duration>) -> Duration {
    all.sort();
    all[all.len() / 2]
}

/// One row, in a process of its own: memory that an earlier import gave back would hide a later one's.
fn row(format: &str, members: usize) {
    let files = if format == "httpd" { httpd_files(members) } else { jk_files(members) };
    let import = || -> Imported {
        let imported = match format {
            "httpd" => httpd(&files, &["httpd.conf".into()], &Options::default()),
            _ => {
                let [w, m] = ["workers.properties", "uriworkermap.properties"].map(Into::into);
                modjk(&files, &[w], &[m], &[], &Options::default())
            }
        };
        imported.unwrap_or_else(|e| panic!("{e}"))
    };
    let before = peak_kb().unwrap_or(0);
    let first = import();
    let peak = peak_kb().unwrap_or(0).saturating_sub(before);
    assert_eq!(first.site.members.len(), members);
    let time = |f: &dyn Fn()| {
        let at = Instant::now();
        f();
        at.elapsed()
    };
    let took = median((0..RUNS).map(|_| time(&|| drop(import()))).collect());
    let text = first.site.to_kdl();
    let read = median((0..3).map(|_| time(&|| assert!(Site::parse("s", &text).is_ok()))).collect());
    let each = |d: Duration| d.as_secs_f64() * 1e6 / members as f64;
    println!(
        "| {format} | {members} | {} ms | {:.1} µs | {:.1} MB | {:.1} KB | {} ms | {:.0} µs |",
        took.as_millis(),
        each(took),
        peak as f64 / 1024.0,
        peak as f64 / members as f64,
        read.as_millis(),
        each(read)
    );
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, format, members] = &args[..] {
        if let Ok(members) = members.parse() {
            return row(format, members);
        }
    }
    println!("| format | members | import | a member | peak memory | a member | reading back | a member |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for format in ["httpd", "mod_jk"] {
        for members in ["1000", "10000", "50000"] {
            let program = std::env::current_exe().expect("this program");
            let ended = std::process::Command::new(program).args([format, members]).status();
            assert!(ended.is_ok_and(|s| s.success()), "{format} {members}");
        }
    }
}
