//! The fronts' processes: started with documents of their own, stopped, killed, asked and listened to.

use crate::boxes::{Boxes, WRITES};
use crate::links::Links;
use crate::Ground;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::process::{Child, Command};
use tokio::time::{timeout, Instant};

/// Lines kept of each front's log.
const MOST_LINES: usize = 400;
/// A front that runs answers within this time, even on a busy machine.
const ANSWER: Duration = Duration::from_secs(3);
/// A front that is told to end has ended after this time: a second of what is still coming, and its longest request.
const ENDS: Duration = Duration::from_secs(15);
/// What was stopped for less may not be taken for gone.
pub const SHORT_STOP: Duration = Duration::from_millis(1_300);
/// Words that a front is gone may be on their way for so long after it is back.
const ON_THE_WAY: Duration = Duration::from_secs(8);

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Runs {
    /// It does.
    Yes,
    /// It was stopped by SIGSTOP.
    Stopped,
    /// It was killed, or has ended.
    No,
}

/// One front.
pub struct Front {
    /// Its name.
    pub name: String,
    /// Its place among the links.
    pub place: usize,
    /// Which program it runs, or will run when it is started next.
    pub runs_other: bool,
    child: Option<Child>,
    /// Whether it runs.
    pub runs: Runs,
    /// When it was last not in reach of anybody: dead, or stopped for long.
    down: Option<Instant>,
    stopped: Option<Instant>,
    /// Whether requests that it leaves without an answer count.
    pub counts: Arc<AtomicBool>,
    log: Arc<Mutex<Vec<(Duration, String)>>>,
}

/// What a front wrote of another.
#[derive(Clone, Debug)]
pub struct Gone {
    /// Whom.
    pub of: String,
    /// Who wrote it.
    pub by: String,
    /// When.
    pub at: Instant,
}

/// The programs that fronts run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The one that is tried.
    pub own: PathBuf,
    /// Another build, for some of them, and whether it knows `store` in a document.
    pub other: Option<(PathBuf, bool)>,
    /// Which fronts begin with the other.
    pub mix: Mix,
}

/// Which fronts begin with the other program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mix {
    /// None.
    #[default]
    Own,
    /// All.
    Other,
    /// Each second one, from the second on: the first seed runs the own.
    Odd,
    /// Each second one, from the first on.
    Even,
}

impl Mix {
    fn is_other(self, place: usize) -> bool {
        match self {
            Mix::Own => false,
            Mix::Other => true,
            Mix::Odd => place % 2 == 1,
            Mix::Even => place % 2 == 0,
        }
    }
}

impl Programs {
    /// One program for all.
    pub fn one(own: PathBuf) -> Programs {
        Programs { own, other: None, mix: Mix::Own }
    }

    fn of(&self, other: bool) -> (&Path, bool) {
        match &self.other {
            Some((program, stores)) if other => (program, *stores),
            _ => (&self.own, true),
        }
    }
}

/// Where the fronts are and what they are started with.
pub struct Fronts {
    /// All that were ever started; one that was restarted stays in its place here.
    pub all: Vec<Front>,
    ground: Arc<Ground>,
    dir: PathBuf,
    programs: Programs,
    keys: PathBuf,
    /// Links between them.
    pub links: Arc<Links>,
    /// Their boxes.
    pub boxes: Arc<Boxes>,
    begun: Instant,
    /// Words that a front is gone, as they were written.
    gone: Arc<Mutex<Vec<Gone>>>,
    /// Whether they keep a view.
    pub with_view: bool,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fronts {
    /// None yet; files go to `dir`.
    ///
    /// # Errors
    /// The keys can't be made.
    pub fn new(
        ground: Arc<Ground>,
        dir: &Path,
        programs: Programs,
        links: Arc<Links>,
        boxes: Arc<Boxes>,
        with_view: bool,
    ) -> io::Result<Fronts> {
        let keys = dir.join("keys");
        fernslip_front::keyfile::create(&keys).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Fronts {
            all: Vec::new(),
            ground,
            dir: dir.into(),
            programs,
            keys,
            links,
            boxes,
            begun: Instant::now(),
            gone: Arc::default(),
            with_view,
        })
    }

    /// Where clients reach a front.
    pub fn clients(&self, i: usize) -> std::net::SocketAddr {
        self.ground.clients(self.all[i].place)
    }

    /// The key file.
    pub fn keys(&self) -> &Path {
        &self.keys
    }

    fn control(&self, place: usize) -> PathBuf {
        self.dir.join(format!("{place}.sock"))
    }

    fn document(&self, name: &str, place: usize, stores: bool) -> String {
        let mut text = format!(
            "site \"rig\" members-from=\"file\"\nfront {name:?} listen=\"{}\" zone=\"z{}\"\n",
            self.ground.clients(place),
            place % 3
        );
        for z in 0..3 {
            text += &format!("zone \"z{z}\"\n");
        }
        text += "class \"docs\" aim-ms=600 deadline-ms=5000\n";
        text +=
            &format!("class {WRITES:?} aim-ms=600 deadline-ms=5000 effect=\"at-most-once\" write=#true\n");
        for b in 0..self.boxes.count {
            let kind = if b + 1 == self.boxes.count { " kind=\"origin\"" } else { "" };
            text += &format!(
                "member \"box-{b}\" address=\"{}\" zone=\"z{}\"{kind}\n",
                self.ground.at_box(place, b),
                b % 3
            );
        }
        if self.with_view {
            let (key, control) = (self.keys.display().to_string(), self.control(place).display().to_string());
            let (listen, told) = (self.ground.own(place), self.ground.told(place));
            let store = self.dir.join(format!("{name}.store")).display().to_string();
            let store = if stores { format!(" store={store:?}") } else { String::new() };
            text += &format!(
                "view listen=\"{listen}\" advertise=\"{told}\" key-file={key:?} control={control:?}{store} {{\n"
            );
            text += &format!("    seed \"{}\" \"{}\"\n}}\n", self.ground.told(0), self.ground.told(1));
        }
        text
    }

    /// Starts one more front; its index.
    ///
    /// # Errors
    /// An address, a file or the process can't be had.
    pub async fn add(&mut self) -> io::Result<usize> {
        let place = self.links.add().await?;
        self.boxes.add(place).await?;
        let front = Front {
            name: format!("f{place}"),
            place,
            runs_other: self.programs.mix.is_other(place),
            child: None,
            runs: Runs::No,
            down: None,
            stopped: None,
            counts: Arc::new(AtomicBool::new(true)),
            log: Arc::default(),
        };
        self.all.push(front);
        let i = self.all.len() - 1;
        self.start(i)?;
        Ok(i)
    }

    fn start(&mut self, i: usize) -> io::Result<()> {
        let (name, place) = (self.all[i].name.clone(), self.all[i].place);
        let file = self.dir.join(format!("{place}.kdl"));
        let (program, stores) = self.programs.of(self.all[i].runs_other);
        std::fs::write(&file, self.document(&name, place, stores))?;
        let mut child = Command::new(program)
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
        let (log, gone, begun) = (self.all[i].log.clone(), self.gone.clone(), self.begun);
        if let Some(err) = child.stderr.take() {
            let by = name.clone();
            tokio::spawn(async move {
                let mut lines = BufReader::new(err).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    if let Some(of) = found_gone(&line) {
                        lock(&gone).push(Gone { of, by: by.clone(), at: Instant::now() });
                    }
                    let mut log = lock(&log);
                    if log.len() >= MOST_LINES {
                        log.remove(0);
                    }
                    log.push((begun.elapsed(), line));
                }
            });
        }
        let f = &mut self.all[i];
        (f.child, f.runs) = (Some(child), Runs::Yes);
        f.counts.store(true, Ordering::Relaxed);
        Ok(())
    }

    fn signal(&self, i: usize, signal: Signal) -> io::Result<()> {
        let id = self.all[i].child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// SIGKILL, and waits for its end.
    ///
    /// # Errors
    /// It can't be sent.
    pub async fn kill(&mut self, i: usize) -> io::Result<()> {
        self.all[i].counts.store(false, Ordering::Relaxed);
        if let Some(mut child) = self.all[i].child.take() {
            child.kill().await?;
        }
        (self.all[i].runs, self.all[i].down) = (Runs::No, Some(Instant::now()));
        Ok(())
    }

    /// SIGTERM, and waits for its end; whether it ended by itself in time.
    ///
    /// # Errors
    /// It can't be sent.
    pub async fn term(&mut self, i: usize) -> io::Result<bool> {
        self.signal(i, Signal::TERM)?;
        let Some(mut child) = self.all[i].child.take() else { return Ok(false) };
        let ended = timeout(ENDS, child.wait()).await.is_ok();
        if !ended {
            child.kill().await?;
        }
        self.all[i].counts.store(false, Ordering::Relaxed);
        (self.all[i].runs, self.all[i].down) = (Runs::No, Some(Instant::now()));
        Ok(ended)
    }

    /// SIGSTOP.
    ///
    /// # Errors
    /// It can't be sent.
    pub fn stop(&mut self, i: usize) -> io::Result<()> {
        self.signal(i, Signal::STOP)?;
        self.all[i].counts.store(false, Ordering::Relaxed);
        (self.all[i].runs, self.all[i].stopped) = (Runs::Stopped, Some(Instant::now()));
        Ok(())
    }

    /// SIGCONT.
    ///
    /// # Errors
    /// It can't be sent.
    pub fn go_on(&mut self, i: usize) -> io::Result<()> {
        self.signal(i, Signal::CONT)?;
        let f = &mut self.all[i];
        f.runs = Runs::Yes;
        if f.stopped.take().is_some_and(|at| at.elapsed() > SHORT_STOP) {
            f.down = Some(Instant::now());
        }
        f.counts.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Starts one that does not run under its name; at another address where it is moved.
    ///
    /// # Errors
    /// An address, a file or the process can't be had.
    pub async fn restart(&mut self, i: usize, moved: bool) -> io::Result<()> {
        if moved {
            let place = self.links.add().await?;
            self.boxes.add(place).await?;
            self.all[i].place = place;
        }
        self.start(i)
    }

    /// Indices of those that are in that state.
    pub fn those(&self, runs: Runs) -> Vec<usize> {
        (0..self.all.len()).filter(|i| self.all[*i].runs == runs).collect()
    }

    /// A call to a front's local socket; `None` where it does not answer.
    pub async fn ask(&self, i: usize, what: &str) -> Option<Value> {
        let path = self.control(self.all[i].place);
        let asked = async move {
            let mut s = UnixStream::connect(&path).await.ok()?;
            s.write_all(format!("{what}\n").as_bytes()).await.ok()?;
            let mut text = String::new();
            s.read_to_string(&mut text).await.ok()?;
            serde_json::from_str(&text).ok()
        };
        timeout(ANSWER, asked).await.ok()?
    }

    /// Words, written since the last call, that a front is gone which nothing kept from answering: whom, by whom.
    /// `cut` tells whether the two were cut from each other, now or within the last seconds.
    pub fn false_gone(&self, cut: impl Fn(usize, usize) -> bool) -> Vec<Gone> {
        let written = std::mem::take(&mut *lock(&self.gone));
        let is_false = |g: &Gone| {
            let Some(of) = self.all.iter().find(|f| f.name == g.of) else { return false };
            let Some(by) = self.all.iter().find(|f| f.name == g.by) else { return false };
            let down = |f: &Front| f.down.is_some_and(|at| g.at.saturating_duration_since(at) < ON_THE_WAY);
            let long = of.stopped.is_some_and(|at| g.at.saturating_duration_since(at) > SHORT_STOP);
            of.runs != Runs::No && !long && !down(of) && !down(by) && !cut(by.place, of.place)
        };
        written.into_iter().filter(is_false).collect()
    }

    /// The last lines of a front's log.
    pub fn lines(&self, i: usize, most: usize) -> Vec<String> {
        let log = lock(&self.all[i].log);
        let from = log.len().saturating_sub(most);
        log[from..].iter().map(|(at, l)| format!("{:.3} {l}", at.as_secs_f64())).collect()
    }

    /// CPU that each running front has used, in seconds, and its memory in MB.
    pub fn used(&self) -> Vec<(usize, f64, f64)> {
        let read = |i: usize| {
            let id = self.all[i].child.as_ref()?.id()?;
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            // Behind the name, which may hold anything, fields count from 3; 14 and 15 are ticks of 10 ms.
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
            let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
            let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
            Some((i, ticks / 100.0, pages * 4096.0 / 1e6))
        };
        self.those(Runs::Yes).into_iter().filter_map(read).collect()
    }
}

/// Whom a line of a front's log tells to be gone.
fn found_gone(line: &str) -> Option<String> {
    if !line.contains("\"gone\"") {
        return None;
    }
    let v: Value = serde_json::from_str(line).ok()?;
    (v["message"] == "view" && v["is"] == "gone").then(|| v["peer"].as_str().map(str::to_string))?
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_that_tell_of_an_end_are_found() {
        let line = r#"{"level":"INFO","message":"view","peer":"f3","was":"ready","is":"gone","by":"f1"}"#;
        assert_eq!(found_gone(line).as_deref(), Some("f3"));
        for other in [
            line.replace("\"is\":\"gone\"", "\"is\":\"left\""),
            line.replace("\"view\"", "\"gone\""),
            "gone".into(),
        ] {
            assert_eq!(found_gone(&other), None, "{other}");
        }
    }
}
