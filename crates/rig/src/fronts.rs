//! The front processes: started with site documents of their own, stopped, killed, queried, and their logs read.

mod site_document;

use crate::addresses::LoopbackAddresses;
use crate::cache_nodes::CacheNodes;
use crate::links::Links;
use crate::programs::{Build, Programs};
use crate::sync::lock;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{timeout, Instant};

/// Lines of each front's log that are retained.
const MAX_LOG_LINES: usize = 400;
/// A front that runs answers a query within this time, even on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// A front ends within this time of SIGTERM: a second in which it still takes requests, and its longest deadline.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(15);
/// A front that was stopped for no longer than this must not be taken for gone.
const MAX_TOLERATED_STOP: Duration = Duration::from_millis(1_300);
/// A report that a front is gone may still spread for so long after the front is back.
const FAILURE_REPORT_SPREAD: Duration = Duration::from_secs(8);

/// The state of a front's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It runs.
    Running,
    /// It was stopped by SIGSTOP.
    Stopped,
    /// It was killed or has ended.
    Ended,
}

/// One front.
pub struct Front {
    /// Its name.
    pub name: String,
    /// The index of its addresses and links; another one after a restart elsewhere.
    pub endpoint: usize,
    /// The build that it runs, or will run when it is started next.
    pub build: Build,
    /// Whether it runs.
    pub state: ProcessState,
    /// Whether requests that it leaves without an answer count against it.
    pub accountable: Arc<AtomicBool>,
    child: Option<Child>,
    /// When nobody could reach it last: it was dead, or had been stopped for long.
    last_unreachable: Option<Instant>,
    stopped_at: Option<Instant>,
    log: Arc<Mutex<Vec<LogLine>>>,
}

/// A line of a front's log.
struct LogLine {
    /// Time since the run began.
    at: Duration,
    text: String,
}

/// A front's log line that another front is gone.
#[derive(Clone, Debug)]
pub struct FailureReport {
    /// The front that is reported gone.
    pub subject: String,
    /// The front that logged it.
    pub reporter: String,
    /// When the line was read.
    pub at: Instant,
}

/// What a front's process has used.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// The front's index.
    pub front: usize,
    /// CPU time since its start, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
}

/// All fronts of a run, and what they are started with.
pub struct Fronts {
    /// All that were ever started; a front that restarts stays at its index.
    pub all: Vec<Front>,
    /// The links between them.
    pub links: Arc<Links>,
    /// Their cache nodes.
    pub cache_nodes: Arc<CacheNodes>,
    addresses: Arc<LoopbackAddresses>,
    dir: PathBuf,
    programs: Programs,
    key_file: PathBuf,
    started: Instant,
    /// Reports that were not looked at yet.
    failure_reports: Arc<Mutex<Vec<FailureReport>>>,
    with_view: bool,
}

impl Fronts {
    /// No fronts yet; files go to `dir`. `with_view`: whether fronts keep a view of the fleet.
    ///
    /// # Errors
    /// The gossip keys can't be created.
    pub fn new(
        addresses: Arc<LoopbackAddresses>,
        dir: &Path,
        programs: Programs,
        links: Arc<Links>,
        cache_nodes: Arc<CacheNodes>,
        with_view: bool,
    ) -> io::Result<Fronts> {
        let key_file = dir.join("keys");
        fernslip_front::keyfile::create_key_file(&key_file).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Fronts {
            all: Vec::new(),
            links,
            cache_nodes,
            addresses,
            dir: dir.into(),
            programs,
            key_file,
            started: Instant::now(),
            failure_reports: Arc::default(),
            with_view,
        })
    }

    /// Where clients reach a front.
    pub fn client_address(&self, i: usize) -> std::net::SocketAddr {
        self.addresses.client_listen(self.all[i].endpoint)
    }

    /// The file with the fleet's gossip keys.
    pub fn key_file(&self) -> &Path {
        &self.key_file
    }

    fn control_socket(&self, endpoint: usize) -> PathBuf {
        self.dir.join(format!("{endpoint}.sock"))
    }

    /// Starts one more front; its index.
    ///
    /// # Errors
    /// An address can't be bound, a file can't be written, or the process can't be started.
    pub async fn add(&mut self) -> io::Result<usize> {
        let endpoint = self.links.add_endpoint().await?;
        self.cache_nodes.add_front(endpoint).await?;
        let front = Front {
            name: format!("f{endpoint}"),
            endpoint,
            build: self.programs.initial_build(endpoint),
            state: ProcessState::Ended,
            accountable: Arc::new(AtomicBool::new(true)),
            child: None,
            last_unreachable: None,
            stopped_at: None,
            log: Arc::default(),
        };
        self.all.push(front);
        let i = self.all.len() - 1;
        self.start(i)?;
        Ok(i)
    }

    fn start(&mut self, i: usize) -> io::Result<()> {
        let (name, endpoint) = (self.all[i].name.clone(), self.all[i].endpoint);
        let file = self.dir.join(format!("{endpoint}.kdl"));
        let program = self.programs.program(self.all[i].build);
        std::fs::write(&file, self.site_document(&name, endpoint, program.supports_store))?;
        let mut child = Command::new(&program.path)
            .args(["--log-format", "json", "run", "--site"])
            .arg(&file)
            .env_remove("RELAY_CONFIG")
            .env_remove("RELAY_OPS")
            .env_remove("RELAY_PASSED_SOCKET")
            .env("TMPDIR", &self.dir)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        if let Some(stderr) = child.stderr.take() {
            self.follow_log(i, stderr);
        }
        let front = &mut self.all[i];
        (front.child, front.state) = (Some(child), ProcessState::Running);
        front.accountable.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Reads a front's log until its process ends, and collects its reports that others are gone.
    fn follow_log(&self, i: usize, stderr: ChildStderr) {
        let (log, reports, started) = (self.all[i].log.clone(), self.failure_reports.clone(), self.started);
        let reporter = self.all[i].name.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                if let Some(subject) = reported_failure(&text) {
                    let report = FailureReport { subject, reporter: reporter.clone(), at: Instant::now() };
                    lock(&reports).push(report);
                }
                let mut log = lock(&log);
                if log.len() >= MAX_LOG_LINES {
                    log.remove(0);
                }
                log.push(LogLine { at: started.elapsed(), text });
            }
        });
    }

    fn signal(&self, i: usize, signal: Signal) -> io::Result<()> {
        let id = self.all[i].child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Sends SIGKILL and waits for the process to end.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub async fn kill(&mut self, i: usize) -> io::Result<()> {
        self.all[i].accountable.store(false, Ordering::Relaxed);
        if let Some(mut child) = self.all[i].child.take() {
            child.kill().await?;
        }
        (self.all[i].state, self.all[i].last_unreachable) = (ProcessState::Ended, Some(Instant::now()));
        Ok(())
    }

    /// Sends SIGTERM and waits for the process to end; whether it ended by itself in time. One that did not is killed.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub async fn terminate(&mut self, i: usize) -> io::Result<bool> {
        self.signal(i, Signal::TERM)?;
        let Some(mut child) = self.all[i].child.take() else { return Ok(false) };
        let ended = timeout(TERMINATION_TIMEOUT, child.wait()).await.is_ok();
        if !ended {
            child.kill().await?;
        }
        self.all[i].accountable.store(false, Ordering::Relaxed);
        (self.all[i].state, self.all[i].last_unreachable) = (ProcessState::Ended, Some(Instant::now()));
        Ok(ended)
    }

    /// Stops a front with SIGSTOP.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn stop(&mut self, i: usize) -> io::Result<()> {
        self.signal(i, Signal::STOP)?;
        self.all[i].accountable.store(false, Ordering::Relaxed);
        (self.all[i].state, self.all[i].stopped_at) = (ProcessState::Stopped, Some(Instant::now()));
        Ok(())
    }

    /// Resumes a stopped front with SIGCONT.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn resume(&mut self, i: usize) -> io::Result<()> {
        self.signal(i, Signal::CONT)?;
        let front = &mut self.all[i];
        front.state = ProcessState::Running;
        if front.stopped_at.take().is_some_and(|at| at.elapsed() > MAX_TOLERATED_STOP) {
            front.last_unreachable = Some(Instant::now());
        }
        front.accountable.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Starts a front that has ended, under its old name; at another address where `new_address` is set.
    ///
    /// # Errors
    /// An address can't be bound, a file can't be written, or the process can't be started.
    pub async fn restart(&mut self, i: usize, new_address: bool) -> io::Result<()> {
        if new_address {
            let endpoint = self.links.add_endpoint().await?;
            self.cache_nodes.add_front(endpoint).await?;
            self.all[i].endpoint = endpoint;
        }
        self.start(i)
    }

    /// The indices of the fronts in that state.
    pub fn in_state(&self, state: ProcessState) -> Vec<usize> {
        (0..self.all.len()).filter(|i| self.all[*i].state == state).collect()
    }

    /// Sends a command to a front's control socket; `None` where it does not answer in time or not with JSON.
    pub async fn query(&self, i: usize, command: &str) -> Option<Value> {
        let path = self.control_socket(self.all[i].endpoint);
        let answer = async move {
            let mut socket = UnixStream::connect(&path).await.ok()?;
            socket.write_all(format!("{command}\n").as_bytes()).await.ok()?;
            let mut text = String::new();
            socket.read_to_string(&mut text).await.ok()?;
            serde_json::from_str(&text).ok()
        };
        timeout(ANSWER_TIMEOUT, answer).await.ok()?
    }

    /// Takes the reports since the last call, and returns those that nothing explains: the front ran, had not been stopped
    /// for long, and was reachable for the reporter. `is_cut(reporter, subject)` tells, for two endpoints, whether their
    /// links were cut now or within the last seconds.
    pub fn take_false_positives(&self, is_cut: impl Fn(usize, usize) -> bool) -> Vec<FailureReport> {
        let reports = std::mem::take(&mut *lock(&self.failure_reports));
        let is_false = |report: &FailureReport| {
            let Some(subject) = self.all.iter().find(|f| f.name == report.subject) else { return false };
            let Some(reporter) = self.all.iter().find(|f| f.name == report.reporter) else { return false };
            let was_unreachable = |front: &Front| {
                let since = |at| report.at.saturating_duration_since(at);
                front.last_unreachable.is_some_and(|at| since(at) < FAILURE_REPORT_SPREAD)
            };
            let stopped_long = subject
                .stopped_at
                .is_some_and(|at| report.at.saturating_duration_since(at) > MAX_TOLERATED_STOP);
            subject.state != ProcessState::Ended
                && !stopped_long
                && !was_unreachable(subject)
                && !was_unreachable(reporter)
                && !is_cut(reporter.endpoint, subject.endpoint)
        };
        reports.into_iter().filter(is_false).collect()
    }

    /// The last `max` lines of a front's log, each after its time in seconds since the run began.
    pub fn last_log_lines(&self, i: usize, max: usize) -> Vec<String> {
        let log = lock(&self.all[i].log);
        let from = log.len().saturating_sub(max);
        log[from..].iter().map(|line| format!("{:.3} {}", line.at.as_secs_f64(), line.text)).collect()
    }

    /// CPU time and memory of every running front, as `/proc` has them.
    pub fn resource_usage(&self) -> Vec<ResourceUsage> {
        let read = |front: usize| {
            let id = self.all[front].child.as_ref()?.id()?;
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            // The process name may hold anything, so fields are counted behind it, from 3; 14 and 15 are ticks of 10 ms.
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
            let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
            let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
            Some(ResourceUsage { front, cpu_seconds: ticks / 100.0, memory_mb: pages * 4096.0 / 1e6 })
        };
        self.in_state(ProcessState::Running).into_iter().filter_map(read).collect()
    }
}

/// The front that a log line reports gone, if it is such a line.
fn reported_failure(line: &str) -> Option<String> {
    if !line.contains("\"gone\"") {
        return None;
    }
    let v: Value = serde_json::from_str(line).ok()?;
    (v["message"] == "view" && v["is"] == "gone").then(|| v["peer"].as_str().map(str::to_string))?
}

#[cfg(test)]
mod tests;
