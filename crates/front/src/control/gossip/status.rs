//! The gossip status text for operators, and the local socket that serves it to `fernslip gossip status`.

use super::{current_time, GossipService};
use crate::sync::lock;
use fernslip_gossip::CacheNodeKey;
use std::fmt::Write as _;
use std::io::Write;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The timeout for writing the status text to a client of the local socket that does not read.
const STATUS_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

impl GossipService {
    /// Returns the status text. Called on a separate thread, and the locks are held only while the data is
    /// copied, so that the worker thread does not wait while the text is written.
    fn status_text(&self) -> String {
        let at = current_time(&self.clock);
        let (config, id, counters, members, suspicions, scores) = {
            let gossip = lock(&self.gossip);
            let members: Vec<_> = gossip.members().map(|m| (gossip.trust(m.id, at), m)).collect();
            let suspicions: Vec<_> = gossip.suspicions(at).collect();
            let scores: Vec<(CacheNodeKey, f64)> = gossip.peer_scores().collect();
            (gossip.config().clone(), gossip.id(), gossip.counters().clone(), members, suspicions, scores)
        };
        let nodes = lock(&self.nodes).by_key.clone();
        let name = |key: &CacheNodeKey| nodes.get(key).map_or("?", |id| &id.0);
        let mut out = String::new();
        let _ = writeln!(out, "front {} {:08x} at {}", config.name, id.0, config.addr);
        let _ = writeln!(
            out,
            "sent datagrams={} bytes={} held_back={}",
            counters.sent, counters.sent_bytes, counters.over_budget
        );
        let _ = writeln!(out, "taken datagrams={} refuted={}", counters.accepted, counters.refuted);
        for (reason, count) in &counters.rejected {
            let _ = writeln!(out, "rejected {} {count}", reason.label());
        }
        for (trust, m) in members {
            let state = m.state.label();
            let _ = writeln!(out, "member {} {:08x} {} {state} trust={trust:.2}", m.name, m.id.0, m.addr);
        }
        for suspicion in suspicions {
            let report = suspicion.report;
            let (node, observation) = (name(&report.node), report.observation.label());
            let (witness, strength, count) = (suspicion.witness.0, report.strength, report.count);
            let age_s = report.age_ms / 1000.0;
            let _ = writeln!(
                out,
                "word {node} {observation} by {witness:08x} strength={strength:.2} answers={count} age={age_s:.1}s"
            );
        }
        for (key, score) in scores {
            let _ = writeln!(out, "hearsay {} {score:.2}", name(&key));
        }
        out
    }

    /// Serves the status text on a local socket at `path`, on a separate thread, as it may wait for its
    /// clients.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be bound or another process already listens on it.
    pub fn serve_status(self: &Arc<GossipService>, path: &Path) -> std::io::Result<()> {
        if std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket()) {
            // A front that still runs accepts the connection; the socket file of one that ended is replaced.
            if UnixStream::connect(path).is_ok() {
                return Err(std::io::ErrorKind::AddrInUse.into());
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        let service = self.clone();
        std::thread::spawn(move || {
            for mut client in listener.incoming().flatten() {
                let _ = client.set_write_timeout(Some(STATUS_WRITE_TIMEOUT));
                let _ = client.write_all(service.status_text().as_bytes());
            }
        });
        Ok(())
    }
}
