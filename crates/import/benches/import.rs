//! Measures the time and the peak memory of importing generated files with 1,000, 10,000 and 50,000 members,
//! and the time of parsing the resulting document. Each value is also given per member; the value per member
//! should not grow with the number of members.

use fernslip_import::{import_httpd, import_modjk, Imported, MemoryFiles, Options};
use fernslip_site::Site;
use std::time::{Duration, Instant};

/// The number of timed imports, of which the median is printed.
const TIMED_IMPORTS: usize = 10;

fn httpd_files(members: usize) -> MemoryFiles {
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
    MemoryFiles::from_files([("httpd.conf", text.as_bytes())])
}

fn modjk_files(members: usize) -> MemoryFiles {
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
    MemoryFiles::from_files([
        ("workers.properties", text.as_bytes()),
        ("uriworkermap.properties", b"/*=lb\n"),
    ])
}

/// The peak resident memory of this process in kilobytes, as the kernel reports it.
fn peak_memory_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?.split_whitespace().next()?.parse().ok()
}

fn median(mut durations: Vec<Duration>) -> Duration {
    durations.sort();
    durations[durations.len() / 2]
}

/// Measures one row and prints it. Each row needs its own process, because memory freed by an earlier import
/// would be reused and hide the peak of a later one.
fn print_row(format: &str, members: usize) {
    let files = if format == "httpd" { httpd_files(members) } else { modjk_files(members) };
    let import = || -> Imported {
        let imported = match format {
            "httpd" => import_httpd(&files, &["httpd.conf".into()], &Options::default()),
            _ => {
                let [w, m] = ["workers.properties", "uriworkermap.properties"].map(Into::into);
                import_modjk(&files, &[w], &[m], &[], &Options::default())
            }
        };
        imported.unwrap_or_else(|e| panic!("the import of the generated {format} files failed: {e}"))
    };
    let before = peak_memory_kb().unwrap_or(0);
    let first = import();
    let peak = peak_memory_kb().unwrap_or(0).saturating_sub(before);
    assert_eq!(first.site.members.len(), members);
    let time = |f: &dyn Fn()| {
        let started = Instant::now();
        f();
        started.elapsed()
    };
    let import_time = median((0..TIMED_IMPORTS).map(|_| time(&|| drop(import()))).collect());
    let text = first.site.to_kdl();
    let parse_time = median((0..3).map(|_| time(&|| assert!(Site::parse("s", &text).is_ok()))).collect());
    let per_member_us = |d: Duration| d.as_secs_f64() * 1e6 / members as f64;
    println!(
        "| {format} | {members} | {} ms | {:.1} µs | {:.1} MB | {:.1} KB | {} ms | {:.0} µs |",
        import_time.as_millis(),
        per_member_us(import_time),
        peak as f64 / 1024.0,
        peak as f64 / members as f64,
        parse_time.as_millis(),
        per_member_us(parse_time)
    );
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, format, members] = &args[..] {
        if let Ok(members) = members.parse() {
            return print_row(format, members);
        }
    }
    println!("| format | members | import | per member | peak memory | per member | parsing | per member |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for format in ["httpd", "mod_jk"] {
        for members in ["1000", "10000", "50000"] {
            let program = std::env::current_exe().expect("the path of this program is known");
            let ended = std::process::Command::new(program).args([format, members]).status();
            assert!(
                ended.is_ok_and(|s| s.success()),
                "the measurement of {format} with {members} members failed"
            );
        }
    }
}
