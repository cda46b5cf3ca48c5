//! Stand-ins for cache nodes and the origin. They serve every request, and check from outside that no request is at two
//! nodes at once and that no write is executed twice.

use crate::addresses::LoopbackAddresses;
use crate::sync::lock;
use fernslip_front::resp;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long a node takes for an answer.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);
/// Violations that are recorded with their text; further ones are only counted.
const MAX_VIOLATION_TEXTS: usize = 100;
/// Objects from here up are requested once only: two requests for one of them at once are two attempts of one request.
pub const FIRST_UNIQUE_OBJECT: u64 = 1 << 63;
/// The class whose requests may be executed once only.
pub const WRITE_CLASS: &str = "change";

/// Rules broken at the cache nodes.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// How many.
    pub count: usize,
    /// The first of them as text.
    pub texts: Vec<String>,
}

impl Violations {
    fn record(&mut self, text: String) {
        self.count += 1;
        if self.texts.len() < MAX_VIOLATION_TEXTS {
            self.texts.push(text);
        }
    }
}

/// What the nodes have seen of requests for unique objects.
#[derive(Default)]
struct Observed {
    /// Requests in flight, by object, with the node that each is at.
    in_flight: HashMap<String, usize>,
    /// How often each write was executed.
    executions: HashMap<String, usize>,
    violations: Violations,
}

/// All stand-in nodes.
pub struct CacheNodes {
    addresses: Arc<LoopbackAddresses>,
    observed: Mutex<Observed>,
    /// By front: whether its nodes refuse to serve it.
    disconnected: Mutex<Vec<watch::Sender<bool>>>,
    /// How many nodes there are; the last one is the origin.
    pub count: usize,
}

impl CacheNodes {
    /// Creates `count` nodes that serve no front yet.
    pub fn new(addresses: Arc<LoopbackAddresses>, count: usize) -> Arc<CacheNodes> {
        Arc::new(CacheNodes { addresses, observed: Mutex::default(), disconnected: Mutex::default(), count })
    }

    /// Listens for one more front, at an address of its own on every node.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn add_front(self: &Arc<CacheNodes>, front: usize) -> std::io::Result<()> {
        let (sender, is_disconnected) = watch::channel(false);
        lock(&self.disconnected).push(sender);
        for node in 0..self.count {
            let listener = TcpListener::bind(self.addresses.cache_node(front, node)).await?;
            tokio::spawn(self.clone().accept(node, listener, is_disconnected.clone()));
        }
        Ok(())
    }

    async fn accept(
        self: Arc<CacheNodes>,
        node: usize,
        listener: TcpListener,
        is_disconnected: watch::Receiver<bool>,
    ) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            let (nodes, mut is_disconnected) = (self.clone(), is_disconnected.clone());
            tokio::spawn(async move {
                let disconnected = async move { is_disconnected.wait_for(|c| *c).await.map(|_| ()) };
                // The branch that loses is dropped, which closes the connection.
                tokio::select! {
                    _ = disconnected => {}
                    _ = nodes.serve(node, stream) => {}
                }
            });
        }
    }

    /// Disconnects a front from its nodes, or connects it again.
    pub fn set_disconnected(&self, front: usize, disconnected: bool) {
        if let Some(sender) = lock(&self.disconnected).get(front) {
            let _ = sender.send(disconnected);
        }
    }

    /// Serves one connection until it ends.
    async fn serve(self: Arc<CacheNodes>, node: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut read, write) = stream.into_split();
        let write = Arc::new(tokio::sync::Mutex::new(write));
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16_384]);
        loop {
            let n = read.read(&mut chunk).await?;
            if n == 0 {
                return Ok(());
            }
            buffer.extend_from_slice(&chunk[..n]);
            let mut used = 0;
            while let Ok(Some((len, parts))) = resp::parse_array(&buffer[used..]) {
                used += len;
                let arguments: Vec<String> =
                    parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
                self.handle(node, &arguments, &write);
            }
            buffer.drain(..used);
        }
    }

    /// Starts to serve one command; anything but a request is ignored.
    fn handle(
        self: &Arc<CacheNodes>,
        node: usize,
        arguments: &[String],
        write: &Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
    ) {
        let [command, id, fields, _] = arguments else { return };
        if command != "ASK" {
            return;
        }
        let field = |name: &str| {
            let all = fields.split(',').filter_map(|f| f.split_once('='));
            all.into_iter().find(|f| f.0 == name).map_or(String::new(), |f| f.1.to_string())
        };
        let (object, class) = (field("item"), field("cls"));
        let unique = u64::from_str_radix(&object, 16).is_ok_and(|n| n >= FIRST_UNIQUE_OBJECT);
        if unique {
            self.request_started(node, &object);
        }
        let (nodes, write, id) = (self.clone(), write.clone(), id.clone());
        tokio::spawn(async move {
            tokio::time::sleep(SERVICE_TIME).await;
            if unique {
                nodes.request_ended(node, &object, class == WRITE_CLASS);
            }
            let answer = resp::encode_array(&[id.as_bytes(), b"served", b"tell=warm", b"body"]);
            let _ = write.lock().await.write_all(&answer).await;
        });
    }

    fn request_started(&self, node: usize, object: &str) {
        let mut observed = lock(&self.observed);
        if let Some(other) = observed.in_flight.insert(object.to_string(), node) {
            observed.violations.record(format!("{object} is at box {other} and at box {node} at once"));
        }
    }

    fn request_ended(&self, node: usize, object: &str, is_write: bool) {
        let mut observed = lock(&self.observed);
        observed.in_flight.remove(object);
        if is_write {
            let executions = observed.executions.entry(object.to_string()).or_default();
            *executions += 1;
            if *executions > 1 {
                observed.violations.record(format!("the write {object} ran again, at box {node}"));
            }
        }
    }

    /// The rules broken so far.
    pub fn violations(&self) -> Violations {
        lock(&self.observed).violations.clone()
    }
}

#[cfg(test)]
mod tests;
