//! The process of one front: its configuration file, signals, log and admin interface.

use super::availability::FrontAvailability;
use super::checker::{Rule, RuleChecker};
use crate::client_protocol::is_ready;
use crate::shim::ProcessFaults;
use crate::sync::lock;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{sleep, timeout};

/// Time after its start within which a front has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time beyond its longest class deadline within which a process has to end after SIGTERM.
const TERMINATION_GRACE: Duration = Duration::from_millis(700);
/// Lower bound of the longest class deadline in computing the time within which a process has to end.
const MIN_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// Additional time that a process may take to end, since the machine may be busy.
const BUSY_MACHINE_SLACK: Duration = Duration::from_millis(1500);
/// Time allowed for reading the last log line after a process has ended.
const LAST_LOG_LINE_DELAY: Duration = Duration::from_millis(50);
/// Time within which an admin command has to be answered.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of log lines that are held in memory.
const MAX_LOG_LINES: usize = 300;

/// Settings that the process of a front is started with.
pub struct FrontProcessSettings {
    /// Index of the front.
    pub number: usize,
    /// Address at which the front accepts clients.
    pub clients: SocketAddr,
    /// Address of the front's admin interface.
    pub admin: SocketAddr,
    /// Folder of this front's files.
    pub folder: PathBuf,
    /// Path of the front program.
    pub program: PathBuf,
    /// Faults of system calls and of the wall clock, which can be changed while the process runs.
    pub faults: ProcessFaults,
    /// File that the front's log is appended to, if any.
    pub log_file: Option<PathBuf>,
    /// Longest deadline of all request classes.
    pub longest_deadline: Duration,
}

/// The process of one front; it can be started again after it has ended.
pub struct FrontProcess {
    /// Settings that each start uses.
    pub settings: FrontProcessSettings,
    /// Path of the front's configuration file.
    pub config: PathBuf,
    /// Availability of the front, shared with its clients.
    pub availability: Arc<FrontAvailability>,
    child: Option<Child>,
    log: Arc<Mutex<VecDeque<String>>>,
    checker: Arc<RuleChecker>,
}

impl FrontProcess {
    /// Creates a front without starting its process.
    pub fn new(settings: FrontProcessSettings, checker: Arc<RuleChecker>) -> FrontProcess {
        let config = settings.folder.join("config.json");
        FrontProcess {
            settings,
            config,
            availability: Arc::default(),
            child: None,
            log: Arc::default(),
            checker,
        }
    }

    /// Returns whether the process was started and has not been ended.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Starts the process with its configuration file and waits until it is ready. If it does not become
    /// ready in time, a breach is recorded.
    ///
    /// # Errors
    /// Returns an error if the program can't be started or a file can't be written.
    pub async fn start(&mut self) -> io::Result<()> {
        let mut child = self.spawn_process()?;
        let options = std::fs::OpenOptions::new().append(true).create(true).clone();
        let file = self.settings.log_file.as_ref().map(|path| options.open(path)).transpose()?;
        if let Some(stderr) = child.stderr.take() {
            self.spawn_log_reader(stderr, file);
        }
        self.child = Some(child);
        self.availability.on_process_started();
        let started = Instant::now();
        let number = self.settings.number;
        while !matches!(timeout(Duration::from_secs(1), is_ready(self.settings.clients)).await, Ok(Ok(true)))
        {
            if started.elapsed() > READY_TIMEOUT || self.has_ended() {
                let text = format!(
                    "front {number} ended or was not ready within {READY_TIMEOUT:?}; last log lines: {:?}",
                    self.last_log_lines()
                );
                self.checker.record_breach(Rule::Process, text);
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.availability.set_ready(true);
        Ok(())
    }

    fn spawn_process(&self) -> io::Result<Child> {
        let tmp = self.settings.folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        Command::new(&self.settings.program)
            .env_remove("RELAY_PASSED_SOCKET")
            .env("RELAY_CONFIG", &self.config)
            .env("RELAY_OPS", self.settings.admin.to_string())
            .env("TMPDIR", &tmp)
            .envs(self.settings.faults.environment_variables())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
    }

    /// Reads the log until the process ends. Each violation or panic in it is recorded as a breach.
    fn spawn_log_reader(&self, stderr: ChildStderr, mut file: Option<File>) {
        let (log, checker, number) = (self.log.clone(), self.checker.clone(), self.settings.number);
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains(" violation ") || line.contains("panicked") {
                    checker.record_breach(Rule::Counted, format!("front {number}: {line}"));
                }
                if let Some(file) = &mut file {
                    let _ = writeln!(file, "{line}");
                }
                let mut log = lock(&log);
                if log.len() == MAX_LOG_LINES {
                    log.pop_front();
                }
                log.push_back(line);
            }
        });
    }

    fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Records a breach if the process has ended although it was neither killed nor terminated.
    pub fn check_for_crash(&mut self) {
        if self.has_ended() {
            let code = self.child.take().and_then(|mut c| c.try_wait().ok().flatten());
            self.availability.set_ready(false);
            let number = self.settings.number;
            let text = format!(
                "front {number} ended unexpectedly with status {code:?}; last log lines: {:?}",
                self.last_log_lines()
            );
            self.checker.record_breach(Rule::Process, text);
        }
    }

    /// Returns the last 8 lines of the front's log.
    pub fn last_log_lines(&self) -> Vec<String> {
        lock(&self.log).iter().rev().take(8).rev().cloned().collect()
    }

    /// Sends a signal to the process, if it runs.
    pub fn send_signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub async fn kill(&mut self) {
        self.availability.on_process_killed();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM and waits until the process has ended. A breach is recorded unless it ends in time,
    /// with success, and without open attempts or connections.
    pub async fn terminate(&mut self) {
        self.availability.on_sigterm_sent();
        self.send_signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return };
        let number = self.settings.number;
        let limit = self.settings.longest_deadline.max(MIN_LONGEST_DEADLINE) + TERMINATION_GRACE;
        match timeout(limit + BUSY_MACHINE_SLACK, child.wait()).await {
            Ok(Ok(code)) if code.success() => {
                sleep(LAST_LOG_LINE_DELAY).await;
                let last = self.last_log_lines();
                if !last.iter().any(|l| l.contains(" left ") && l.contains("attempts=0 open=0")) {
                    let text = format!(
                        "front {number} ended without logging `attempts=0 open=0`; last log lines: {last:?}"
                    );
                    self.checker.record_breach(Rule::Process, text);
                }
            }
            Ok(code) => self.checker.record_breach(
                Rule::Process,
                format!("expected front {number} to exit with success, got {code:?}"),
            ),
            Err(_) => {
                let text = format!("front {number} did not exit within {limit:?} of SIGTERM");
                self.checker.record_breach(Rule::Process, text);
                let _ = child.kill().await;
            }
        }
        self.availability.set_ready(false);
    }

    /// Sends a command to the front's admin interface and returns the answer.
    ///
    /// # Errors
    /// Returns an error if the connection fails or no answer comes within one second.
    pub async fn send_admin_command(&self, line: &str) -> io::Result<String> {
        let call = async {
            let mut stream = TcpStream::connect(self.settings.admin).await?;
            stream.write_all(format!("{line}\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            Ok(answer)
        };
        timeout(ADMIN_TIMEOUT, call).await.unwrap_or_else(|e| Err(io::Error::other(e)))
    }
}
