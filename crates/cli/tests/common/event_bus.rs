//! An event bus that runs beside the test: it sends the events that the test publishes to every front that
//! connects, and can be made unreachable for all fronts or for further ones.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often the bus sends its last offset.
const LAST_OFFSET_INTERVAL: Duration = Duration::from_secs(1);
/// How often the bus looks for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Which fronts reach the bus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachable {
    /// Every front.
    Everyone,
    /// Only the fronts that are connected already.
    ConnectedFronts,
    /// No front; connections are closed.
    Nobody,
}

struct BusState {
    /// The offset of the first event in `events`.
    first_offset: u64,
    /// The events after the known ones, each without its braces and offset.
    events: Vec<String>,
    reachable: Reachable,
}

/// An event bus on a loopback port.
#[derive(Clone)]
pub struct EventBus {
    pub addr: SocketAddr,
    state: Arc<Mutex<BusState>>,
}

impl EventBus {
    /// Starts a bus whose events up to the offset `known` are in the fronts' configuration.
    pub fn start(known: u64) -> EventBus {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("the socket is bound");
        let state = BusState { first_offset: known + 1, events: Vec::new(), reachable: Reachable::Everyone };
        let bus = EventBus { addr, state: Arc::new(Mutex::new(state)) };
        let accepting = bus.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.lock().reachable == Reachable::Everyone {
                    let serving = accepting.clone();
                    std::thread::spawn(move || serving.serve(&stream));
                }
            }
        });
        bus
    }

    fn lock(&self) -> MutexGuard<'_, BusState> {
        self.state.lock().expect("the mutex is not poisoned")
    }

    /// Publishes an event, given without its braces and offset, and returns the time.
    pub fn publish(&self, event: &str) -> Instant {
        self.lock().events.push(event.to_string());
        Instant::now()
    }

    /// Changes which fronts reach the bus.
    pub fn set_reachable(&self, reachable: Reachable) {
        self.lock().reachable = reachable;
    }

    /// Starts the numbering of the bus anew with these events, as a bus does that has lost its state.
    pub fn restart_numbering(&self, events: &[String]) {
        let mut state = self.lock();
        state.first_offset = 1;
        state.events = events.to_vec();
    }

    /// Serves a front until it leaves or the bus becomes unreachable.
    fn serve(&self, stream: &TcpStream) -> Option<()> {
        let mut request = String::new();
        BufReader::new(stream).read_line(&mut request).ok()?;
        let mut next: u64 = request.trim().strip_prefix("from ")?.parse::<u64>().ok()? + 1;
        let mut last_offset_sent = Instant::now();
        loop {
            let mut lines = String::new();
            {
                let state = self.lock();
                if state.reachable == Reachable::Nobody {
                    break;
                }
                let end = state.first_offset + state.events.len() as u64;
                for offset in next.max(state.first_offset)..end {
                    let event = &state.events[(offset - state.first_offset) as usize];
                    lines += &format!("{{\"offset\":{offset},{event}}}\n");
                }
                next = next.max(end);
                if last_offset_sent.elapsed() >= LAST_OFFSET_INTERVAL {
                    last_offset_sent = Instant::now();
                    lines += &format!("{}\n", end - 1);
                }
            }
            let mut writer = stream;
            writer.write_all(lines.as_bytes()).ok()?;
            std::thread::sleep(POLL_INTERVAL);
        }
        let _ = stream.shutdown(Shutdown::Both);
        None
    }
}
