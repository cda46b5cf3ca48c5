//! The relay for gossip between fronts: each front is configured with relay addresses, one a peer and one for all, and
//! receives the others' messages from these. A part of the messages is lost.

use super::seeded_rng::SeededRng;
use crate::addresses::LoopbackAddresses;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Fraction of the messages that is lost.
const LOSS: f64 = 0.05;
/// The longest message, in bytes.
const MAX_MESSAGE_LEN: usize = 2048;

/// Relays between the fronts.
struct Relay {
    addresses: Arc<LoopbackAddresses>,
    /// By front: the socket on its relay address.
    sockets: Vec<UdpSocket>,
    /// The front that sends from each address.
    senders: HashMap<SocketAddr, usize>,
    rng: SeededRng,
}

impl Relay {
    /// Forwards a message from the relay address of its sender, unless it is lost.
    async fn forward(&self, from: usize, to: usize, message: &[u8]) {
        if !self.rng.chance(LOSS) {
            let _ = self.sockets[from].send_to(message, self.addresses.gossip_listen(to)).await;
        }
    }

    /// Forwards what is sent to a front's relay address.
    async fn relay_to(&self, to: usize) {
        let mut data = [0; MAX_MESSAGE_LEN];
        while let Ok((n, sender)) = self.sockets[to].recv_from(&mut data).await {
            if let Some(from) = self.senders.get(&sender) {
                self.forward(*from, to, &data[..n]).await;
            }
        }
    }

    /// Forwards what is sent to the address of all fronts to each but the sender.
    async fn relay_to_all(&self, all: &UdpSocket) {
        let mut data = [0; MAX_MESSAGE_LEN];
        while let Ok((n, sender)) = all.recv_from(&mut data).await {
            let Some(from) = self.senders.get(&sender) else { continue };
            for to in (0..self.sockets.len()).filter(|to| to != from) {
                self.forward(*from, to, &data[..n]).await;
            }
        }
    }
}

/// Starts the relay between `fronts` fronts; a message to `all_peers` reaches all but its sender.
///
/// # Errors
/// An address can't be bound.
pub async fn start_relay(
    addresses: &Arc<LoopbackAddresses>,
    fronts: usize,
    all_peers: SocketAddr,
    seed: u64,
) -> io::Result<()> {
    let mut sockets = Vec::new();
    for front in 0..fronts {
        sockets.push(UdpSocket::bind(addresses.gossip_advertised(front)).await?);
    }
    let all = UdpSocket::bind(all_peers).await?;
    let relay = Arc::new(Relay {
        addresses: addresses.clone(),
        sockets,
        senders: (0..fronts).map(|front| (addresses.gossip_listen(front), front)).collect(),
        rng: SeededRng::new(seed, 3_000),
    });
    for to in 0..fronts {
        let relay = relay.clone();
        tokio::spawn(async move { relay.relay_to(to).await });
    }
    tokio::spawn(async move { relay.relay_to_all(&all).await });
    Ok(())
}
