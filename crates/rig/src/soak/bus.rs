//! The simulated discovery bus, which streams a feed of numbered events to each front over TCP and can be
//! faulty.

use super::checker::{RuleChecker, EVENT_ASSUMED_KNOWN_AFTER};
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

/// Maximum time between two lines on a connection in healthy mode.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which the bus notices that a front has closed a connection.
const CLOSE_DETECTION_PERIOD: Duration = Duration::from_millis(30);
/// Number of addresses of the bus for each front, so that a new configuration can name a different one.
pub const BUS_ADDRESSES_PER_FRONT: usize = 2;

/// Behaviour of the bus towards a front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BusMode {
    /// The bus works normally.
    #[default]
    Healthy,
    /// The bus closes all connections, new ones included.
    Down,
    /// The bus accepts connections and writes nothing.
    Silent,
    /// The bus delays everything that it writes by this time, and splits it into two parts.
    Delayed(Duration),
}

/// What an event obliges a front to do once the front knows of the event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontObligation {
    /// The event requires nothing of the front.
    None,
    /// The front sends no new attempts to a node.
    Drain {
        /// Index of the node.
        node: usize,
    },
    /// The front may send attempts to a node again.
    Restore {
        /// Index of the node.
        node: usize,
    },
    /// The front accepts no copy of an object from before its purge.
    Purge {
        /// Number of the object.
        object: u64,
        /// Time at which the object was purged.
        at: Instant,
    },
}

/// An event in the feed of a front.
struct BusEvent {
    text: String,
    obligation: FrontObligation,
    /// Whether the front knows of the event or is assumed to know.
    known: bool,
}

/// The events for the current process of a front.
#[derive(Default)]
struct EventFeed {
    /// Number of the front's process; event numbers start again at 1 with each process.
    generation: u64,
    events: Vec<BusEvent>,
}

impl EventFeed {
    /// Returns the lines of the events after the first `offset` events.
    fn event_lines_after(&self, offset: usize) -> Vec<&str> {
        self.events.iter().skip(offset).map(|event| event.text.as_str()).collect()
    }
}

/// The discovery bus as it appears to one front.
pub struct DiscoveryBus {
    front: usize,
    feed: Mutex<EventFeed>,
    /// Number of published events; its changes wake up the connections.
    published: watch::Sender<u64>,
    mode: watch::Sender<BusMode>,
    checker: Arc<RuleChecker>,
    rng: SeededRng,
    /// Addresses at which the bus listens for this front.
    pub addresses: [SocketAddr; BUS_ADDRESSES_PER_FRONT],
}

impl DiscoveryBus {
    /// Starts the bus for one front.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(front: usize, seed: u64, checker: Arc<RuleChecker>) -> io::Result<Arc<DiscoveryBus>> {
        let listeners = [TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        let bus = Arc::new(DiscoveryBus {
            front,
            feed: Mutex::default(),
            published: watch::Sender::new(0),
            mode: watch::Sender::new(BusMode::Healthy),
            checker,
            rng: SeededRng::new(seed, 1_000 + front as u64),
            addresses,
        });
        for listener in listeners {
            tokio::spawn(bus.clone().accept_connections(listener));
        }
        Ok(bus)
    }

    async fn accept_connections(self: Arc<DiscoveryBus>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let bus = self.clone();
            tokio::spawn(async move {
                let mut mode = bus.mode.subscribe();
                let down = async move { drop(mode.wait_for(|m| *m == BusMode::Down).await) };
                // When the bus goes down, the streaming branch is dropped, which closes the connection.
                tokio::select! {
                    _ = down => {}
                    _ = bus.stream_events(stream) => {}
                }
            });
        }
    }

    /// Sets the behaviour of the bus from now on.
    pub fn set_mode(&self, mode: BusMode) {
        self.mode.send_replace(mode);
    }

    /// Begins the feed for a new process of the front. The endpoint list becomes its first event, which is
    /// returned for the front's configuration.
    pub fn begin_feed(&self, list: &Value) -> Value {
        let mut feed = lock(&self.feed);
        feed.generation += 1;
        let mut first = list.clone();
        first["offset"] = 1.into();
        feed.events =
            vec![BusEvent { text: first.to_string(), obligation: FrontObligation::None, known: true }];
        self.checker.on_front_started(self.front);
        first
    }

    /// Publishes an event to the front. After a fixed time the front is assumed to know it.
    pub fn publish_event(self: &Arc<DiscoveryBus>, mut event: Value, obligation: FrontObligation) {
        let (generation, number) = {
            let mut feed = lock(&self.feed);
            let number = feed.events.len() + 1;
            event["offset"] = number.into();
            feed.events.push(BusEvent { text: event.to_string(), obligation, known: false });
            (feed.generation, number)
        };
        if let FrontObligation::Purge { object, at } = obligation {
            self.checker.on_object_purged(self.front, object, at, None);
        }
        self.published.send_modify(|n| *n += 1);
        let bus = self.clone();
        tokio::spawn(async move {
            sleep(EVENT_ASSUMED_KNOWN_AFTER).await;
            bus.mark_events_known(generation, number);
        });
    }

    /// Records that the front knows the first `count` events of its feed or is assumed to know them.
    fn mark_events_known(&self, generation: u64, count: usize) {
        let obligations: Vec<FrontObligation> = {
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
                FrontObligation::None => {}
                FrontObligation::Drain { node } => self.checker.on_drain_known(self.front, node, now),
                FrontObligation::Restore { node } => self.checker.on_node_restored(self.front, node),
                FrontObligation::Purge { object, at } => {
                    self.checker.on_object_purged(self.front, object, at, Some(now));
                }
            }
        }
    }

    /// Serves one connection: writes all events after the offset that the front names, and heartbeats.
    async fn stream_events(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (mut line, mut read) = (String::new(), BufReader::new(read));
        read.read_line(&mut line).await?;
        let offset = line.trim().strip_prefix("from ").and_then(|n| n.parse::<usize>().ok());
        let mut offset = offset
            .ok_or_else(|| io::Error::other(format!("expected the line `from N`, received {line:?}")))?;
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
                let lines = feed.event_lines_after(offset);
                (feed.generation, lines.len(), lines.join("\n"))
            };
            // The front was started again, and so this connection of its previous process is not read any
            // more.
            if feed_generation != generation {
                return Ok(());
            }
            if count > 0 {
                // All lines are written at once. With a separate delay for each line, many events would
                // arrive later than the rules allow.
                self.write_line(&mut write, &text, current_mode).await?;
                offset += count;
                // The front does not know events that were written to a connection which it has closed.
                if timeout(CLOSE_DETECTION_PERIOD, read.read_line(&mut line)).await.is_ok() {
                    return Ok(());
                }
                self.mark_events_known(generation, offset);
            }
            tokio::select! {
                _ = published.changed() => {}
                _ = mode.changed() => {}
                _ = sleep(HEARTBEAT_INTERVAL) => {
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
        let cut = self.rng.random_range(0..bytes.len() as u64) as usize;
        sleep(delay / 2).await;
        write.write_all(&bytes[..cut]).await?;
        sleep(delay / 2).await;
        write.write_all(&bytes[cut..]).await
    }
}
