//! A relay for gossip between fronts, which drops some of the messages. Each front is configured with the
//! relay's addresses, one for each peer and one for all peers, and receives the messages of others from
//! them.

use super::seeded_rng::SeededRng;
use crate::addresses::LoopbackAddresses;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Fraction of the messages that the relay drops.
const MESSAGE_LOSS_RATE: f64 = 0.05;
/// Maximum length of a message, in bytes.
const MAX_MESSAGE_LEN: usize = 2048;

/// The gossip relay between the fronts.
struct GossipRelay {
    addresses: Arc<LoopbackAddresses>,
    /// Sockets on the relay addresses, by front.
    sockets: Vec<UdpSocket>,
    /// Index of the front that sends from each address.
    senders: HashMap<SocketAddr, usize>,
    rng: SeededRng,
}

impl GossipRelay {
    /// Forwards a message from the relay address of its sender, unless the message is dropped at random.
    async fn forward_message(&self, from: usize, to: usize, message: &[u8]) {
        if !self.rng.random_bool(MESSAGE_LOSS_RATE) {
            let _ = self.sockets[from].send_to(message, self.addresses.gossip_listen_address(to)).await;
        }
    }

    /// Forwards messages that are sent to the relay address of a front.
    async fn relay_to_front(&self, to: usize) {
        let mut data = [0; MAX_MESSAGE_LEN];
        while let Ok((n, sender)) = self.sockets[to].recv_from(&mut data).await {
            if let Some(from) = self.senders.get(&sender) {
                self.forward_message(*from, to, &data[..n]).await;
            }
        }
    }

    /// Forwards messages that are sent to the address for all fronts to each front except the sender.
    async fn relay_to_all_fronts(&self, all: &UdpSocket) {
        let mut data = [0; MAX_MESSAGE_LEN];
        while let Ok((n, sender)) = all.recv_from(&mut data).await {
            let Some(from) = self.senders.get(&sender) else { continue };
            for to in (0..self.sockets.len()).filter(|to| to != from) {
                self.forward_message(*from, to, &data[..n]).await;
            }
        }
    }
}

/// Starts the relay between `fronts` fronts. A message to `all_peers` is forwarded to all fronts except its
/// sender.
///
/// # Errors
/// Returns an error if an address can't be bound.
pub async fn start_gossip_relay(
    addresses: &Arc<LoopbackAddresses>,
    fronts: usize,
    all_peers: SocketAddr,
    seed: u64,
) -> io::Result<()> {
    let mut sockets = Vec::new();
    for front in 0..fronts {
        sockets.push(UdpSocket::bind(addresses.advertised_gossip_address(front)).await?);
    }
    let all = UdpSocket::bind(all_peers).await?;
    let relay = Arc::new(GossipRelay {
        addresses: addresses.clone(),
        sockets,
        senders: (0..fronts).map(|front| (addresses.gossip_listen_address(front), front)).collect(),
        rng: SeededRng::new(seed, 3_000),
    });
    for to in 0..fronts {
        let relay = relay.clone();
        tokio::spawn(async move { relay.relay_to_front(to).await });
    }
    tokio::spawn(async move { relay.relay_to_all_fronts(&all).await });
    Ok(())
}
