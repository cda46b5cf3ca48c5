//! The front processes of a run: starts each with its own site document, stops, kills and queries them, and
//! reads their logs.

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

/// The number of lines of each front's log that are retained.
const MAX_LOG_LINES: usize = 400;
/// The time within which a running front answers a query, even on a busy machine.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);
/// The time within which a front ends after SIGTERM: the second in which it still accepts requests, and the
/// longest deadline of a request, with a margin.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest stop (SIGSTOP) of a front after which other fronts must not report it gone.
const MAX_TOLERATED_STOP: Duration = Duration::from_millis(1_300);
/// How long a report that a front is gone may still spread after the front is reachable again.
const FAILURE_REPORT_SPREAD_TIME: Duration = Duration::from_secs(8);

/// The state of the process of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process runs.
    Running,
    /// The process was stopped by SIGSTOP.
    Stopped,
    /// The process was killed or has ended.
    Ended,
}

/// A front and its process.
pub struct Front {
    /// The name of the front, which it keeps after a restart.
    pub name: String,
    /// The index of its addresses and links. It changes when the front restarts at another address.
    pub endpoint: usize,
    /// The build that the front runs, or will run after its next start.
    pub build: Build,
    /// The state of its process.
    pub state: ProcessState,
    /// Whether requests that the front does not answer count as unanswered; if not, they count as lost.
    pub accountable: Arc<AtomicBool>,
    child: Option<Child>,
    /// The last time when no other front could reach it, because it had ended or had been stopped for long.
    last_unreachable: Option<Instant>,
    stopped_at: Option<Instant>,
    log: Arc<Mutex<Vec<LogLine>>>,
}

/// A line of the log of a front.
struct LogLine {
    /// Time from the creation of [`Fronts`] until the line was read.
    at: Duration,
    text: String,
}

/// A log line in which a front reports that another front is gone.
#[derive(Clone, Debug)]
pub struct FailureReport {
    /// The name of the front that is reported gone.
    pub subject: String,
    /// The name of the front that logged the report.
    pub reporter: String,
    /// When the rig read the line.
    pub at: Instant,
}

/// The CPU time and the memory that the process of a front has used.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// The index of the front.
    pub front: usize,
    /// CPU time since the start of the process, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
}

/// All fronts of a run, and the files, addresses and programs with which they are started.
pub struct Fronts {
    /// All fronts that were ever started. A front that restarts keeps its index.
    pub all: Vec<Front>,
    /// The links between the fronts.
    pub links: Arc<Links>,
    /// The cache nodes to which the fronts connect.
    pub cache_nodes: Arc<CacheNodes>,
    addresses: Arc<LoopbackAddresses>,
    dir: PathBuf,
    programs: Programs,
    key_file: PathBuf,
    started: Instant,
    /// The reports since the last call of [`Fronts::take_false_positives`].
    failure_reports: Arc<Mutex<Vec<FailureReport>>>,
    with_view: bool,
}

impl Fronts {
    /// Creates the gossip keys, but no front yet. The files of all fronts are written to `dir`; `with_view`
    /// sets whether fronts maintain a membership view.
    ///
    /// # Errors
    /// The key file can't be created.
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

    /// Returns the address at which clients reach a front.
    pub fn client_address(&self, index: usize) -> std::net::SocketAddr {
        self.addresses.client_listen_address(self.all[index].endpoint)
    }

    /// Returns the path of the file with the gossip keys of the fleet.
    pub fn key_file(&self) -> &Path {
        &self.key_file
    }

    fn control_socket(&self, endpoint: usize) -> PathBuf {
        self.dir.join(format!("{endpoint}.sock"))
    }

    /// Starts one more front and returns its index.
    ///
    /// # Errors
    /// An address can't be bound, a file can't be written, or the process can't be started.
    pub async fn start_new_front(&mut self) -> io::Result<usize> {
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
        let index = self.all.len() - 1;
        self.start_process(index)?;
        Ok(index)
    }

    fn start_process(&mut self, index: usize) -> io::Result<()> {
        let (name, endpoint) = (self.all[index].name.clone(), self.all[index].endpoint);
        let file = self.dir.join(format!("{endpoint}.kdl"));
        let program = self.programs.program(self.all[index].build);
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
            self.follow_log(index, stderr);
        }
        let front = &mut self.all[index];
        (front.child, front.state) = (Some(child), ProcessState::Running);
        front.accountable.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Reads the log of a front until its process ends, and collects its reports that other fronts are gone.
    fn follow_log(&self, index: usize, stderr: ChildStderr) {
        let (log, reports, started) =
            (self.all[index].log.clone(), self.failure_reports.clone(), self.started);
        let reporter = self.all[index].name.clone();
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

    fn send_signal(&self, index: usize, signal: Signal) -> io::Result<()> {
        let id = self.all[index].child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Kills a front with SIGKILL and waits until its process has ended.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub async fn kill(&mut self, index: usize) -> io::Result<()> {
        self.all[index].accountable.store(false, Ordering::Relaxed);
        if let Some(mut child) = self.all[index].child.take() {
            child.kill().await?;
        }
        (self.all[index].state, self.all[index].last_unreachable) =
            (ProcessState::Ended, Some(Instant::now()));
        Ok(())
    }

    /// Sends SIGTERM to a front and waits until its process has ended. Returns false, and kills it, if it
    /// does not end in time.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub async fn terminate(&mut self, index: usize) -> io::Result<bool> {
        self.send_signal(index, Signal::TERM)?;
        let Some(mut child) = self.all[index].child.take() else { return Ok(false) };
        let ended = timeout(TERMINATION_TIMEOUT, child.wait()).await.is_ok();
        if !ended {
            child.kill().await?;
        }
        self.all[index].accountable.store(false, Ordering::Relaxed);
        (self.all[index].state, self.all[index].last_unreachable) =
            (ProcessState::Ended, Some(Instant::now()));
        Ok(ended)
    }

    /// Stops a front with SIGSTOP.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn stop(&mut self, index: usize) -> io::Result<()> {
        self.send_signal(index, Signal::STOP)?;
        self.all[index].accountable.store(false, Ordering::Relaxed);
        (self.all[index].state, self.all[index].stopped_at) = (ProcessState::Stopped, Some(Instant::now()));
        Ok(())
    }

    /// Resumes a stopped front with SIGCONT.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn resume(&mut self, index: usize) -> io::Result<()> {
        self.send_signal(index, Signal::CONT)?;
        let front = &mut self.all[index];
        front.state = ProcessState::Running;
        if front.stopped_at.take().is_some_and(|at| at.elapsed() > MAX_TOLERATED_STOP) {
            front.last_unreachable = Some(Instant::now());
        }
        front.accountable.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Restarts a front that has ended, under its old name, and at another address if `new_address` is set.
    ///
    /// # Errors
    /// An address can't be bound, a file can't be written, or the process can't be started.
    pub async fn restart(&mut self, index: usize, new_address: bool) -> io::Result<()> {
        if new_address {
            let endpoint = self.links.add_endpoint().await?;
            self.cache_nodes.add_front(endpoint).await?;
            self.all[index].endpoint = endpoint;
        }
        self.start_process(index)
    }

    /// Returns the indices of the fronts in this state.
    pub fn in_state(&self, state: ProcessState) -> Vec<usize> {
        (0..self.all.len()).filter(|index| self.all[*index].state == state).collect()
    }

    /// Sends a command to the control socket of a front. Returns `None` if it does not answer with JSON in
    /// time.
    pub async fn query(&self, index: usize, command: &str) -> Option<Value> {
        let path = self.control_socket(self.all[index].endpoint);
        let answer = async move {
            let mut socket = UnixStream::connect(&path).await.ok()?;
            socket.write_all(format!("{command}\n").as_bytes()).await.ok()?;
            let mut text = String::new();
            socket.read_to_string(&mut text).await.ok()?;
            serde_json::from_str(&text).ok()
        };
        timeout(QUERY_TIMEOUT, answer).await.ok()?
    }

    /// Takes the reports since the last call and returns the false ones: the reported front was running, had
    /// not been stopped for long, and was reachable from the reporter. `is_cut(reporter, subject)` returns,
    /// for two endpoints, whether a link between them is cut now or was cut within the last few seconds.
    pub fn take_false_positives(&self, is_cut: impl Fn(usize, usize) -> bool) -> Vec<FailureReport> {
        let reports = std::mem::take(&mut *lock(&self.failure_reports));
        let is_false = |report: &FailureReport| {
            let Some(subject) = self.all.iter().find(|f| f.name == report.subject) else { return false };
            let Some(reporter) = self.all.iter().find(|f| f.name == report.reporter) else { return false };
            let was_unreachable = |front: &Front| {
                let since = |at| report.at.saturating_duration_since(at);
                front.last_unreachable.is_some_and(|at| since(at) < FAILURE_REPORT_SPREAD_TIME)
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

    /// Returns the last `max` lines of the log of a front, each preceded by its time in seconds since the run
    /// began.
    pub fn last_log_lines(&self, index: usize, max: usize) -> Vec<String> {
        let log = lock(&self.all[index].log);
        let from = log.len().saturating_sub(max);
        log[from..].iter().map(|line| format!("{:.3} {}", line.at.as_secs_f64(), line.text)).collect()
    }

    /// Reads the CPU time and the memory of every running front from `/proc`.
    pub fn resource_usage(&self) -> Vec<ResourceUsage> {
        let read = |front: usize| {
            let id = self.all[front].child.as_ref()?.id()?;
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            // The process name may hold any character, so the fields after its `)` are counted, beginning
            // with field 3. Fields 14 and 15 are user and system time in ticks of 10 ms.
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
            let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
            let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
            Some(ResourceUsage { front, cpu_seconds: ticks / 100.0, memory_mb: pages * 4096.0 / 1e6 })
        };
        self.in_state(ProcessState::Running).into_iter().filter_map(read).collect()
    }
}

/// Returns the name of the front that a log line reports gone, or `None` for any other line.
fn reported_failure(line: &str) -> Option<String> {
    if !line.contains("\"gone\"") {
        return None;
    }
    let v: Value = serde_json::from_str(line).ok()?;
    (v["message"] == "view" && v["is"] == "gone").then(|| v["peer"].as_str().map(str::to_string))?
}

#[cfg(test)]
mod tests;
