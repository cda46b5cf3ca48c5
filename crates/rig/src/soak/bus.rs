//! The discovery bus: for each front a feed of numbered events, streamed over TCP, and the bus's own faults.

use super::checker::{RuleChecker, ASSUMED_KNOWN_AFTER};
use super::seeded_rng::SeededRng;
use crate::sync::lock;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A line is written at least so often.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// That a front has closed a connection is seen within this time.
const CLOSE_DETECTION: Duration = Duration::from_millis(30);
/// Addresses of the bus for each front, so that a new configuration can name another one.
pub const ADDRESSES_PER_FRONT: usize = 2;

/// How the bus behaves towards a front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BusMode {
    /// It works.
    #[default]
    Healthy,
    /// It closes connections, also new ones.
    Down,
    /// It accepts connections and writes nothing.
    Silent,
    /// It writes everything so much later, in two pieces.
    Delayed(Duration),
}

/// What an event obliges a front to once it knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obligation {
    /// Nothing.
    None,
    /// Sends nothing new to that node.
    Drain {
        /// The node.
        node: usize,
    },
    /// May send to that node again.
    Restore {
        /// The node.
        node: usize,
    },
    /// Names no copy of the object from before the purge as good enough.
    Purge {
        /// The object.
        object: u64,
        /// When it was purged.
        at: Instant,
    },
}

struct Event {
    text: String,
    obligation: Obligation,
    /// Whether the front knows it, or has to be assumed to.
    known: bool,
}

/// The events of a front's current process.
#[derive(Default)]
struct Feed {
    /// Counts the processes: numbers of events begin anew with each.
    generation: u64,
    events: Vec<Event>,
}

impl Feed {
    /// The events after the first `offset` ones, a line each.
    fn lines_after(&self, offset: usize) -> Vec<&str> {
        self.events.iter().skip(offset).map(|event| event.text.as_str()).collect()
    }
}

/// The bus as one front sees it.
pub struct Bus {
    front: usize,
    feed: Mutex<Feed>,
    /// Changes with each published event.
    published: watch::Sender<u64>,
    mode: watch::Sender<BusMode>,
    checker: Arc<RuleChecker>,
    rng: SeededRng,
    /// Where it listens.
    pub addresses: [SocketAddr; ADDRESSES_PER_FRONT],
}

impl Bus {
    /// Starts the bus of a front.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(front: usize, seed: u64, checker: Arc<RuleChecker>) -> io::Result<Arc<Bus>> {
        let listeners = [TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        let bus = Arc::new(Bus {
            front,
            feed: Mutex::default(),
            published: watch::Sender::new(0),
            mode: watch::Sender::new(BusMode::Healthy),
            checker,
            rng: SeededRng::new(seed, 1_000 + front as u64),
            addresses,
        });
        for listener in listeners {
            tokio::spawn(bus.clone().accept(listener));
        }
        Ok(bus)
    }

    async fn accept(self: Arc<Bus>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let bus = self.clone();
            tokio::spawn(async move {
                let mut mode = bus.mode.subscribe();
                let down = async move { drop(mode.wait_for(|m| *m == BusMode::Down).await) };
                // The branch that loses is dropped, which closes the connection.
                tokio::select! {
                    _ = down => {}
                    _ = bus.stream_events(stream) => {}
                }
            });
        }
    }

    /// How it behaves from now on.
    pub fn set_mode(&self, mode: BusMode) {
        self.mode.send_replace(mode);
    }

    /// Begins the feed of a new process with the event that its configuration holds; that event.
    pub fn begin_feed(&self, list: &Value) -> Value {
        let mut feed = lock(&self.feed);
        feed.generation += 1;
        let mut first = list.clone();
        first["offset"] = 1.into();
        feed.events = vec![Event { text: first.to_string(), obligation: Obligation::None, known: true }];
        self.checker.front_started(self.front);
        first
    }

    /// Publishes an event.
    pub fn publish(self: &Arc<Bus>, mut event: Value, obligation: Obligation) {
        let (generation, number) = {
            let mut feed = lock(&self.feed);
            let number = feed.events.len() + 1;
            event["offset"] = number.into();
            feed.events.push(Event { text: event.to_string(), obligation, known: false });
            (feed.generation, number)
        };
        if let Obligation::Purge { object, at } = obligation {
            self.checker.object_purged(self.front, object, at, None);
        }
        self.published.send_modify(|n| *n += 1);
        let bus = self.clone();
        tokio::spawn(async move {
            sleep(ASSUMED_KNOWN_AFTER).await;
            bus.mark_known(generation, number);
        });
    }

    /// The front knows the first `count` events of its feed, or has to be assumed to.
    fn mark_known(&self, generation: u64, count: usize) {
        let obligations: Vec<Obligation> = {
            let mut feed = lock(&self.feed);
            if feed.generation != generation {
                return;
            }
            let new = feed.events.iter_mut().take(count).filter(|event| !event.known);
            new.map(|event| {
                event.known = true;
                event.obligation
            })
            .collect()
        };
        let now = Instant::now();
        for obligation in obligations {
            match obligation {
                Obligation::None => {}
                Obligation::Drain { node } => self.checker.drain_known(self.front, node, now),
                Obligation::Restore { node } => self.checker.restored(self.front, node),
                Obligation::Purge { object, at } => {
                    self.checker.object_purged(self.front, object, at, Some(now));
                }
            }
        }
    }

    /// Serves one connection: every event after the offset that the front names, and heartbeats.
    async fn stream_events(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (mut line, mut read) = (String::new(), BufReader::new(read));
        read.read_line(&mut line).await?;
        let offset = line.trim().strip_prefix("from ").and_then(|n| n.parse::<usize>().ok());
        let mut offset = offset.ok_or_else(|| io::Error::other("not `from N`"))?;
        let (mut published, mut mode) = (self.published.subscribe(), self.mode.subscribe());
        let generation = lock(&self.feed).generation;
        loop {
            let current_mode = *mode.borrow_and_update();
            if current_mode == BusMode::Silent {
                let _ = mode.changed().await;
                continue;
            }
            published.mark_unchanged();
            let (feed_generation, count, text) = {
                let feed = lock(&self.feed);
                let lines = feed.lines_after(offset);
                (feed.generation, lines.len(), lines.join("\n"))
            };
            // The front has started anew: nobody reads this connection.
            if feed_generation != generation {
                return Ok(());
            }
            if count > 0 {
                // All in one write: delayed one by one, many events would be later than the rules allow the bus to be.
                self.write_line(&mut write, &text, current_mode).await?;
                offset += count;
                // What was written to a connection that the front has closed is not known to it.
                if timeout(CLOSE_DETECTION, read.read_line(&mut line)).await.is_ok() {
                    return Ok(());
                }
                self.mark_known(generation, offset);
            }
            tokio::select! {
                _ = published.changed() => {}
                _ = mode.changed() => {}
                _ = sleep(HEARTBEAT) => {
                    let last = lock(&self.feed).events.len();
                    if last == offset {
                        self.write_line(&mut write, &last.to_string(), current_mode).await?;
                    }
                }
            }
        }
    }

    async fn write_line(
        &self,
        write: &mut (impl AsyncWriteExt + Unpin),
        line: &str,
        mode: BusMode,
    ) -> io::Result<()> {
        let bytes = format!("{line}\n").into_bytes();
        let BusMode::Delayed(delay) = mode else { return write.write_all(&bytes).await };
        let cut = self.rng.number(0..bytes.len() as u64) as usize;
        sleep(delay / 2).await;
        write.write_all(&bytes[..cut]).await?;
        sleep(delay / 2).await;
        write.write_all(&bytes[cut..]).await
    }
}
