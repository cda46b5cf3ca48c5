//! Faulty clients: they connect and send nothing, half a call, random bytes, or much that they never read an answer to.

use super::clients::{soak_call, Clients, MAX_IN_FLIGHT, NEXT_TRACE, OBJECTS};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Connecting and writing are given up after this time.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// The head of a message with a string of 53,248 bytes, more than the client then sends.
const TRUNCATED_STRING_HEAD: [u8; 6] = [0x94, 0x00, 0x01, 0xda, 0xd0, 0x00];
const TRUNCATED_STRING_LEN: usize = 50_000;

impl Clients {
    /// Runs `count` faulty clients against a front for a while. Nothing is owed to them and they are not checked, though
    /// their requests may reach nodes.
    pub async fn run_faulty(&self, front: SocketAddr, count: u64, duration: Duration) {
        let until = Instant::now() + duration;
        let mut open = Vec::new();
        for _ in 0..count {
            let Ok(Ok(mut stream)) = timeout(IO_TIMEOUT, TcpStream::connect(front)).await else {
                continue;
            };
            let _ = timeout(IO_TIMEOUT, stream.write_all(&self.faulty_bytes())).await;
            if self.rng.chance(0.7) {
                open.push(stream);
            }
        }
        sleep(until.saturating_duration_since(Instant::now())).await;
    }

    /// What one faulty client sends.
    fn faulty_bytes(&self) -> Vec<u8> {
        let rng = &self.rng;
        // Reserves a trace for each of the calls below.
        let trace = NEXT_TRACE.fetch_add(MAX_IN_FLIGHT as u64, Ordering::Relaxed);
        let class = &rng.pick(&self.classes).name;
        let call = soak_call(class, 1, trace, rng.number(0..OBJECTS)).encode();
        match rng.number(0..6) {
            0 => Vec::new(),
            1 => call[..rng.number(1..call.len() as u64) as usize].to_vec(),
            2 => (0..400).map(|_| rng.number(0..256) as u8).collect(),
            3 => [&TRUNCATED_STRING_HEAD[..], &vec![b'x'; TRUNCATED_STRING_LEN]].concat(),
            // The same number twice.
            4 => [&call[..], &call].concat(),
            // Many calls at once.
            _ => (1..30).flat_map(|n| soak_call(class, n, trace + u64::from(n), 6).encode()).collect(),
        }
    }
}
