//! Faulty clients: they connect and send nothing, a part of a call, random bytes, or many calls, and never
//! read an answer.

use super::clients::{default_call, SoakClients, MAX_IN_FLIGHT, NEXT_TRACE, OBJECT_COUNT};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time limit for connecting and for writing.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// Head of a message with a string of 53,248 bytes, which is more than the client sends after it.
const TRUNCATED_STRING_HEAD: [u8; 6] = [0x94, 0x00, 0x01, 0xda, 0xd0, 0x00];
/// Number of bytes that the client sends of the string announced by `TRUNCATED_STRING_HEAD`.
const TRUNCATED_STRING_LEN: usize = 50_000;

impl SoakClients {
    /// Connects `count` faulty clients to a front and closes their connections after `duration`. They are
    /// not checked, and no answer is required for their requests, which may nevertheless reach nodes.
    pub async fn run_faulty_clients(&self, front: SocketAddr, count: u64, duration: Duration) {
        let until = Instant::now() + duration;
        let mut open = Vec::new();
        for _ in 0..count {
            let Ok(Ok(mut stream)) = timeout(IO_TIMEOUT, TcpStream::connect(front)).await else {
                continue;
            };
            let _ = timeout(IO_TIMEOUT, stream.write_all(&self.faulty_client_bytes())).await;
            if self.rng.random_bool(0.7) {
                open.push(stream);
            }
        }
        sleep(until.saturating_duration_since(Instant::now())).await;
    }

    /// Returns the bytes that one faulty client sends, chosen at random.
    fn faulty_client_bytes(&self) -> Vec<u8> {
        let rng = &self.rng;
        // Reserves one trace id for each of the calls below.
        let trace = NEXT_TRACE.fetch_add(MAX_IN_FLIGHT as u64, Ordering::Relaxed);
        let class = &rng.choose(&self.classes).name;
        let call = default_call(class, 1, trace, rng.random_range(0..OBJECT_COUNT)).encode();
        match rng.random_range(0..6) {
            0 => Vec::new(),
            1 => call[..rng.random_range(1..call.len() as u64) as usize].to_vec(),
            2 => (0..400).map(|_| rng.random_range(0..256) as u8).collect(),
            3 => [&TRUNCATED_STRING_HEAD[..], &vec![b'x'; TRUNCATED_STRING_LEN]].concat(),
            // The same call number is sent twice.
            4 => [&call[..], &call].concat(),
            // Many calls are sent in one write.
            _ => (1..30).flat_map(|n| default_call(class, n, trace + u64::from(n), 6).encode()).collect(),
        }
    }
}
