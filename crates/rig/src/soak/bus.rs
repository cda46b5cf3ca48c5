//! The discovery bus: numbered events for each front, told over TCP; and its own troubles.

use super::judge::Judge;
use super::{lock, Dice};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A line comes at least so often.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// The end of a connection that its front has closed shows within this.
const ON_ITS_WAY: Duration = Duration::from_millis(30);
/// What the bus has to tell counts as told after this.
const TOLD_ANYWAY: Duration = Duration::from_secs(7);
/// Addresses of the bus for each front: a new configuration names another.
pub const ADDRESSES: usize = 2;

/// How the bus behaves towards a front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Well,
    /// It ends connections and takes no new ones up.
    Down,
    /// It takes connections and says nothing.
    Mute,
    /// It is late by so long with what it has to say, and writes it in two pieces.
    Late(Duration),
}

/// What a front knows once it was told an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing that binds it.
    Nothing,
    /// Nothing new may go to that node.
    Drain(usize),
    /// It may again.
    Back(usize),
    /// An object was purged.
    Purge(u64, Instant),
}

struct Event {
    text: String,
    told: Told,
    is_told: bool,
}

#[derive(Default)]
struct Feed {
    /// A front that starts anew has numbers that begin anew.
    generation: u64,
    events: Vec<Event>,
}

/// The bus as one front sees it.
pub struct Bus {
    front: usize,
    feed: Mutex<Feed>,
    news: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    judge: Arc<Judge>,
    dice: Dice,
    /// Where it listens.
    pub addresses: [SocketAddr; ADDRESSES],
}

impl Bus {
    /// The bus of that front, from now on.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(front: usize, seed: u64, judge: Arc<Judge>) -> std::io::Result<Arc<Bus>> {
        let listeners = [TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        let (news, mode) = (watch::Sender::new(0), watch::Sender::new(Mode::Well));
        let bus = Arc::new(Bus {
            front,
            feed: Mutex::default(),
            news,
            mode,
            judge,
            dice: Dice::new(seed, 1_000 + front as u64),
            addresses,
        });
        for listener in listeners {
            let bus = bus.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let bus = bus.clone();
                    tokio::spawn(async move {
                        let mut mode = bus.mode.subscribe();
                        let down = async move { drop(mode.wait_for(|m| *m == Mode::Down).await) };
                        // Dropped in the middle, the connection ends.
                        tokio::select! {
                            _ = down => {}
                            _ = bus.tell(stream) => {}
                        }
                    });
                }
            });
        }
        Ok(bus)
    }

    /// How it behaves from now on.
    pub fn behave(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// The front starts anew: its numbers begin with this event, which its configuration tells.
    pub fn begin(&self, list: &Value) -> Value {
        let mut feed = lock(&self.feed);
        feed.generation += 1;
        let mut first = list.clone();
        first["offset"] = 1.into();
        feed.events = vec![Event { text: first.to_string(), told: Told::Nothing, is_told: true }];
        self.judge.started(self.front);
        first
    }

    /// One more event.
    pub fn publish(self: &Arc<Bus>, mut event: Value, told: Told) {
        let (generation, number) = {
            let mut feed = lock(&self.feed);
            let number = feed.events.len() + 1;
            event["offset"] = number.into();
            feed.events.push(Event { text: event.to_string(), told, is_told: false });
            (feed.generation, number)
        };
        if let Told::Purge(object, at) = told {
            self.judge.purged(self.front, object, at, None);
        }
        self.news.send_modify(|n| *n += 1);
        let bus = self.clone();
        tokio::spawn(async move {
            sleep(TOLD_ANYWAY).await;
            bus.is_told(generation, number);
        });
    }

    /// The front has been told that event and all before it, or counts as told.
    fn is_told(&self, generation: u64, number: usize) {
        let news: Vec<Told> = {
            let mut feed = lock(&self.feed);
            if feed.generation != generation {
                return;
            }
            let told = feed.events.iter_mut().take(number).filter(|e| !e.is_told);
            told.map(|event| {
                event.is_told = true;
                event.told
            })
            .collect()
        };
        let now = Instant::now();
        for told in news {
            match told {
                Told::Nothing => {}
                Told::Drain(node) => self.judge.drains(self.front, node, Some(now)),
                Told::Back(node) => self.judge.drains(self.front, node, None),
                Told::Purge(object, at) => self.judge.purged(self.front, object, at, Some(now)),
            }
        }
    }

    /// Tells one connection all that comes after what it has.
    async fn tell(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (mut asked, mut read) = (String::new(), BufReader::new(read));
        read.read_line(&mut asked).await?;
        let from = asked.trim().strip_prefix("from ").and_then(|n| n.parse::<usize>().ok());
        let mut next = from.ok_or_else(|| std::io::Error::other("not `from N`"))?;
        let (mut news, mut mode) = (self.news.subscribe(), self.mode.subscribe());
        let asked_in = lock(&self.feed).generation;
        loop {
            let behaves = *mode.borrow_and_update();
            if behaves == Mode::Mute {
                let _ = mode.changed().await;
                continue;
            }
            news.mark_unchanged();
            let (generation, lines) = {
                let feed = lock(&self.feed);
                let lines = feed.events.iter().enumerate().skip(next).map(|(i, e)| (i + 1, e.text.clone()));
                (feed.generation, lines.collect::<Vec<_>>())
            };
            // Its front has started anew: what is written here reaches nobody.
            if generation != asked_in {
                return Ok(());
            }
            // All at once: a bus that is late with each of many events would be late by far more than the rules allow it.
            let (before, text) =
                (next, lines.iter().map(|(_, line)| line.as_str()).collect::<Vec<_>>().join("\n"));
            if let Some((last, _)) = lines.last() {
                self.write_line(&mut write, &text, behaves).await?;
                next = *last;
            }
            // What was written to a connection that its front has closed was told to nobody.
            if next > before {
                if timeout(ON_ITS_WAY, read.read_line(&mut asked)).await.is_ok() {
                    return Ok(());
                }
                self.is_told(generation, next);
            }
            tokio::select! {
                _ = news.changed() => {}
                _ = mode.changed() => {}
                _ = sleep(HEARTBEAT) => {
                    let last = lock(&self.feed).events.len();
                    if last == next {
                        self.write_line(&mut write, &last.to_string(), behaves).await?;
                    }
                }
            }
        }
    }

    async fn write_line(
        &self,
        write: &mut (impl AsyncWriteExt + Unpin),
        line: &str,
        mode: Mode,
    ) -> std::io::Result<()> {
        let bytes = format!("{line}\n").into_bytes();
        let Mode::Late(late) = mode else { return write.write_all(&bytes).await };
        let cut = self.dice.number(0..bytes.len() as u64) as usize;
        sleep(late / 2).await;
        write.write_all(&bytes[..cut]).await?;
        sleep(late / 2).await;
        write.write_all(&bytes[cut..]).await
    }
}
