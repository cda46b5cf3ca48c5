//! One front's process: its configuration, its signals, its log, and what of its clients' losses is excused by them.

use super::judge::{Judge, Rule};
use super::lock;
use crate::shim::Faults;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// A front is ready so soon after its start.
const READY: Duration = Duration::from_secs(10);
/// Requests come for so long after SIGTERM, and what comes later is excused.
const STILL_COMING: Duration = Duration::from_millis(600);
/// New connections come for so long after SIGTERM.
const STILL_CONNECTING: Duration = Duration::from_millis(300);
/// Later requests than this are excused at the kill.
const COUNTS_UNTIL: Duration = Duration::from_millis(700);
/// A process has ended so long after SIGTERM and the longest deadline, and a busy machine's while.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const BUSY: Duration = Duration::from_millis(1500);
/// Lines of its log that are kept.
const MOST_LINES: usize = 300;

#[derive(Default)]
struct Stand {
    generation: u64,
    runs: bool,
    killed: bool,
    term_at: Option<Instant>,
}

/// What clients of a front may know of its process.
#[derive(Default)]
pub struct Standing(Mutex<Stand>);

impl Standing {
    /// Which process it is.
    pub fn generation(&self) -> u64 {
        lock(&self.0).generation
    }

    /// Whether new connections come.
    pub fn takes_clients(&self) -> bool {
        let stand = lock(&self.0);
        stand.runs && stand.term_at.is_none_or(|at| at.elapsed() < STILL_CONNECTING)
    }

    /// Whether requests come on connections to that process.
    pub fn takes_requests(&self, generation: u64) -> bool {
        let stand = lock(&self.0);
        let of_this = stand.runs && stand.generation == generation;
        of_this && stand.term_at.is_none_or(|at| at.elapsed() < STILL_COMING)
    }

    /// Why a request of that moment that has no answer is not held against that process, if it isn't.
    pub fn excuse(&self, generation: u64, asked: Instant) -> Option<&'static str> {
        let stand = lock(&self.0);
        let killed = stand.killed || stand.generation != generation && !stand.runs;
        let late = stand.term_at.is_some_and(|at| asked > at + COUNTS_UNTIL);
        match () {
            () if killed && stand.generation == generation => Some("lost to a kill"),
            () if stand.generation != generation => Some("lost to an earlier process"),
            () if late => Some("asked after the end"),
            () => None,
        }
    }
}

/// One front.
pub struct Process {
    /// Its number.
    pub number: usize,
    /// Its configuration file.
    pub config: PathBuf,
    /// Where clients reach it.
    pub clients: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// What clients may know of it.
    pub standing: Arc<Standing>,
    /// What fails under it.
    pub faults: Faults,
    /// Where its log is kept; `None`: nowhere.
    pub log_file: Option<PathBuf>,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<VecDeque<String>>>,
    judge: Arc<Judge>,
    longest: Duration,
}

impl Process {
    /// A front that is not started yet. `folder` is its own; `longest` the longest deadline of its classes.
    pub fn new(
        number: usize,
        [clients, admin]: [SocketAddr; 2],
        folder: PathBuf,
        program: PathBuf,
        faults: Faults,
        judge: Arc<Judge>,
        longest: Duration,
    ) -> Process {
        Process {
            number,
            config: folder.join("config.json"),
            clients,
            admin,
            standing: Arc::default(),
            faults,
            log_file: None,
            folder,
            program,
            child: None,
            log: Arc::default(),
            judge,
            longest,
        }
    }

    /// Whether it runs.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Starts it with the configuration that is in its file, and waits until it is well.
    ///
    /// # Errors
    /// The program can't be started.
    pub async fn start(&mut self) -> std::io::Result<()> {
        let tmp = self.folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        let mut command = Command::new(&self.program);
        command
            .env_remove("RELAY_PASSED_SOCKET")
            .env("RELAY_CONFIG", &self.config)
            .env("RELAY_OPS", self.admin.to_string())
            .env("TMPDIR", &tmp)
            .envs(self.faults.environment())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let (log, judge, number) = (self.log.clone(), self.judge.clone(), self.number);
        let options = std::fs::OpenOptions::new().append(true).create(true).clone();
        let mut file = self.log_file.as_ref().map(|f| options.open(f)).transpose()?;
        if let Some(err) = child.stderr.take() {
            tokio::spawn(async move {
                let mut lines = BufReader::new(err).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    if line.contains(" violation ") || line.contains("panicked") {
                        judge.breach(Rule::Counted, format!("front {number}: {line}"));
                    }
                    if let Some(file) = &mut file {
                        let _ = writeln!(file, "{line}");
                    }
                    let mut log = lock(&log);
                    if log.len() == MOST_LINES {
                        log.pop_front();
                    }
                    log.push_back(line);
                }
            });
        }
        self.child = Some(child);
        {
            let mut stand = lock(&self.standing.0);
            *stand = Stand { generation: stand.generation + 1, ..Stand::default() };
        }
        let begun = Instant::now();
        while !matches!(
            timeout(Duration::from_secs(1), super::clients::is_well(self.clients)).await,
            Ok(Ok(true))
        ) {
            if begun.elapsed() > READY || self.has_ended() {
                self.judge
                    .breach(Rule::Process, format!("front {number} is not ready: {:?}", self.last_lines()));
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        lock(&self.standing.0).runs = true;
        Ok(())
    }

    fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Looks whether it has crashed.
    pub fn look(&mut self) {
        if self.has_ended() {
            let code = self.child.take().and_then(|mut c| c.try_wait().ok().flatten());
            lock(&self.standing.0).runs = false;
            self.judge.breach(
                Rule::Process,
                format!("front {} crashed, {code:?}: {:?}", self.number, self.last_lines()),
            );
        }
    }

    /// The last lines of its log.
    pub fn last_lines(&self) -> Vec<String> {
        lock(&self.log).iter().rev().take(8).rev().cloned().collect()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it.
    pub async fn kill(&mut self) {
        {
            let mut stand = lock(&self.standing.0);
            (stand.killed, stand.runs) = (true, false);
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Ends it by SIGTERM, and waits until it has ended: in time, well, and holding nothing.
    pub async fn terminate(&mut self) {
        lock(&self.standing.0).term_at = Some(Instant::now());
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return };
        let number = self.number;
        let longest = self.longest.max(Duration::from_secs(3)) + KILLED_AFTER;
        match timeout(longest + BUSY, child.wait()).await {
            Ok(Ok(code)) if code.success() => {
                // Its last line is on its way still.
                sleep(Duration::from_millis(50)).await;
                let last = self.last_lines();
                if !last.iter().any(|l| l.contains(" left ") && l.contains("attempts=0 open=0")) {
                    self.judge
                        .breach(Rule::Process, format!("front {number} ended holding something: {last:?}"));
                }
            }
            Ok(code) => self.judge.breach(Rule::Process, format!("front {number} ended with {code:?}")),
            Err(_) => {
                self.judge.breach(Rule::Process, format!("front {number} goes on {longest:?} after SIGTERM"));
                let _ = child.kill().await;
            }
        }
        lock(&self.standing.0).runs = false;
    }

    /// A call at its admin interface; the first line of the answer.
    ///
    /// # Errors
    /// It can't be asked, or does not answer within a second.
    pub async fn call(&self, line: &str) -> std::io::Result<String> {
        let call = async {
            let mut stream = TcpStream::connect(self.admin).await?;
            stream.write_all(format!("{line}\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            Ok(answer)
        };
        timeout(Duration::from_secs(1), call).await.unwrap_or_else(|e| Err(std::io::Error::other(e)))
    }
}
