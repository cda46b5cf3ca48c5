//! Simulated cache nodes and origin. They serve every request and check, independently of the fronts, that no
//! request is at two nodes at once and that no write is executed twice.

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

/// The time that a node takes to answer a request.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Delay after a failed `accept` before the next one.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);
/// The number of violations that are recorded with their text; further ones are only counted.
const MAX_VIOLATION_TEXTS: usize = 100;
/// The first object number that is requested only once. Two simultaneous requests for such an object are two
/// attempts of one client request.
pub const FIRST_UNIQUE_OBJECT: u64 = 1 << 63;
/// The request class of writes, which must not be executed more than once.
pub const WRITE_CLASS: &str = "change";

/// The violations that the cache nodes detected: simultaneous attempts of one request, and repeated
/// executions of a write.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// The number of violations.
    pub count: usize,
    /// Descriptions of the first violations.
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

/// The requests for unique objects that the nodes have received.
#[derive(Default)]
struct ObservedRequests {
    /// The node that is serving each object at present.
    in_flight: HashMap<String, usize>,
    /// The number of times that each write was executed, by object.
    executions: HashMap<String, usize>,
    violations: Violations,
}

/// All simulated cache nodes of a run, and the origin.
pub struct CacheNodes {
    addresses: Arc<LoopbackAddresses>,
    observed: Mutex<ObservedRequests>,
    /// Whether each front is disconnected from its nodes, by the index of its endpoint.
    disconnected: Mutex<Vec<watch::Sender<bool>>>,
    /// The number of nodes; the last one is the origin.
    pub count: usize,
}

impl CacheNodes {
    /// Creates `count` nodes, which don't listen for any front yet.
    pub fn new(addresses: Arc<LoopbackAddresses>, count: usize) -> Arc<CacheNodes> {
        Arc::new(CacheNodes { addresses, observed: Mutex::default(), disconnected: Mutex::default(), count })
    }

    /// Listens for one more front, at a separate address for each node.
    ///
    /// # Errors
    /// An address of a node can't be bound.
    pub async fn add_front(self: &Arc<CacheNodes>, front: usize) -> std::io::Result<()> {
        let (sender, is_disconnected) = watch::channel(false);
        lock(&self.disconnected).push(sender);
        for node in 0..self.count {
            let listener = TcpListener::bind(self.addresses.cache_node(front, node)).await?;
            tokio::spawn(self.clone().accept_connections(node, listener, is_disconnected.clone()));
        }
        Ok(())
    }

    async fn accept_connections(
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
                // The branch that has not completed is dropped, which closes the connection.
                tokio::select! {
                    _ = disconnected => {}
                    _ = nodes.serve_connection(node, stream) => {}
                }
            });
        }
    }

    /// Closes all connections of a front to its nodes, and each new one at once; or accepts connections
    /// again.
    pub fn set_disconnected(&self, front: usize, disconnected: bool) {
        if let Some(sender) = lock(&self.disconnected).get(front) {
            let _ = sender.send(disconnected);
        }
    }

    /// Serves one connection until the front closes it.
    async fn serve_connection(self: Arc<CacheNodes>, node: usize, stream: TcpStream) -> std::io::Result<()> {
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
                self.handle_command(node, &arguments, &write);
            }
            buffer.drain(..used);
        }
    }

    /// Starts to serve a request; all other commands are ignored.
    fn handle_command(
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
            observed.violations.record(format!(
                "object {object} was at cache node {other} and at cache node {node} at once"
            ));
        }
    }

    fn request_ended(&self, node: usize, object: &str, is_write: bool) {
        let mut observed = lock(&self.observed);
        observed.in_flight.remove(object);
        if is_write {
            let executions = observed.executions.entry(object.to_string()).or_default();
            *executions += 1;
            if *executions > 1 {
                observed
                    .violations
                    .record(format!("the write of object {object} was executed again, at cache node {node}"));
            }
        }
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> Violations {
        lock(&self.observed).violations.clone()
    }
}

#[cfg(test)]
mod tests;
