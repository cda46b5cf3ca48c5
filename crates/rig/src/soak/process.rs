//! One front's process: its configuration, its signals, its log and its admin interface.

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

/// A front is ready within this time of its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// A process ends within its longest deadline and this time of SIGTERM.
const TERMINATION_GRACE: Duration = Duration::from_millis(700);
/// The least that the longest deadline counts for.
const MIN_TERMINATION_DEADLINE: Duration = Duration::from_secs(3);
/// A busy machine may take so much longer.
const BUSY_MACHINE_SLACK: Duration = Duration::from_millis(1500);
/// After a process has ended, its last log line is read within this time.
const LAST_LINE_DELAY: Duration = Duration::from_millis(50);
/// An admin command is answered within this time.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Lines of the log that are retained.
const MAX_LOG_LINES: usize = 300;

/// What a front's process is started with.
pub struct ProcessSettings {
    /// The front's number.
    pub number: usize,
    /// Where clients reach it.
    pub clients: SocketAddr,
    /// Where its admin interface listens.
    pub admin: SocketAddr,
    /// Its own folder.
    pub folder: PathBuf,
    /// The program.
    pub program: PathBuf,
    /// The machine faults under it.
    pub faults: ProcessFaults,
    /// The file that its log is appended to, if any.
    pub log_file: Option<PathBuf>,
    /// The longest deadline of its classes.
    pub longest_deadline: Duration,
}

/// One front.
pub struct Process {
    /// What it is started with.
    pub settings: ProcessSettings,
    /// Its configuration file.
    pub config: PathBuf,
    /// What clients may know of it.
    pub availability: Arc<FrontAvailability>,
    child: Option<Child>,
    log: Arc<Mutex<VecDeque<String>>>,
    checker: Arc<RuleChecker>,
}

impl Process {
    /// A front that is not started yet.
    pub fn new(settings: ProcessSettings, checker: Arc<RuleChecker>) -> Process {
        let config = settings.folder.join("config.json");
        Process { settings, config, availability: Arc::default(), child: None, log: Arc::default(), checker }
    }

    /// Whether it was started and has not been ended.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Starts it with the configuration that is in its file, and waits until it is ready.
    ///
    /// # Errors
    /// The program can't be started, or a file can't be written.
    pub async fn start(&mut self) -> io::Result<()> {
        let mut child = self.spawn()?;
        let options = std::fs::OpenOptions::new().append(true).create(true).clone();
        let file = self.settings.log_file.as_ref().map(|path| options.open(path)).transpose()?;
        if let Some(stderr) = child.stderr.take() {
            self.follow_log(stderr, file);
        }
        self.child = Some(child);
        self.availability.process_started();
        let started = Instant::now();
        let number = self.settings.number;
        while !matches!(timeout(Duration::from_secs(1), is_ready(self.settings.clients)).await, Ok(Ok(true)))
        {
            if started.elapsed() > READY_TIMEOUT || self.has_ended() {
                let text = format!("front {number} is not ready: {:?}", self.last_log_lines());
                self.checker.breach(Rule::Process, text);
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.availability.set_ready(true);
        Ok(())
    }

    fn spawn(&self) -> io::Result<Child> {
        let tmp = self.settings.folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        Command::new(&self.settings.program)
            .env_remove("RELAY_PASSED_SOCKET")
            .env("RELAY_CONFIG", &self.config)
            .env("RELAY_OPS", self.settings.admin.to_string())
            .env("TMPDIR", &tmp)
            .envs(self.settings.faults.environment())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
    }

    /// Reads the log until the process ends; violations and panics in it are breaches.
    fn follow_log(&self, stderr: ChildStderr, mut file: Option<File>) {
        let (log, checker, number) = (self.log.clone(), self.checker.clone(), self.settings.number);
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains(" violation ") || line.contains("panicked") {
                    checker.breach(Rule::Counted, format!("front {number}: {line}"));
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

    /// Reports a breach if the process has ended by itself.
    pub fn check_crashed(&mut self) {
        if self.has_ended() {
            let code = self.child.take().and_then(|mut c| c.try_wait().ok().flatten());
            self.availability.set_ready(false);
            let number = self.settings.number;
            let text = format!("front {number} crashed, {code:?}: {:?}", self.last_log_lines());
            self.checker.breach(Rule::Process, text);
        }
    }

    /// The last lines of its log.
    pub fn last_log_lines(&self) -> Vec<String> {
        lock(&self.log).iter().rev().take(8).rev().cloned().collect()
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it.
    pub async fn kill(&mut self) {
        self.availability.process_killed();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM and waits for the end. It must come in time, with success, and with no attempt or connection open.
    pub async fn terminate(&mut self) {
        self.availability.term_sent();
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return };
        let number = self.settings.number;
        let limit = self.settings.longest_deadline.max(MIN_TERMINATION_DEADLINE) + TERMINATION_GRACE;
        match timeout(limit + BUSY_MACHINE_SLACK, child.wait()).await {
            Ok(Ok(code)) if code.success() => {
                sleep(LAST_LINE_DELAY).await;
                let last = self.last_log_lines();
                if !last.iter().any(|l| l.contains(" left ") && l.contains("attempts=0 open=0")) {
                    let text = format!("front {number} ended holding something: {last:?}");
                    self.checker.breach(Rule::Process, text);
                }
            }
            Ok(code) => self.checker.breach(Rule::Process, format!("front {number} ended with {code:?}")),
            Err(_) => {
                let text = format!("front {number} goes on {limit:?} after SIGTERM");
                self.checker.breach(Rule::Process, text);
                let _ = child.kill().await;
            }
        }
        self.availability.set_ready(false);
    }

    /// Sends a command to its admin interface; the answer.
    ///
    /// # Errors
    /// The connection fails, or no answer comes within a second.
    pub async fn admin_command(&self, line: &str) -> io::Result<String> {
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
