//! Messages between fronts: each front is told addresses that are the rig's, one a peer and one for all, and hears the others
//! from these. Some messages are lost.

use super::Dice;
use crate::addresses::LoopbackAddresses;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Part of the messages that is lost.
const LOST: f64 = 0.05;
const LONGEST: usize = 2048;

/// Sends what comes to a peer's address on to that peer, from its sender's own such address; starts that and returns. `for_all`
/// reaches all others.
///
/// # Errors
/// An address can't be had.
pub async fn start(
    ground: &Arc<LoopbackAddresses>,
    fronts: usize,
    for_all: SocketAddr,
    seed: u64,
) -> std::io::Result<()> {
    let mut sockets = Vec::new();
    for i in 0..fronts {
        sockets.push(UdpSocket::bind(ground.gossip_advertised(i)).await?);
    }
    let (sockets, all) = (Arc::new(sockets), UdpSocket::bind(for_all).await?);
    let own: HashMap<SocketAddr, usize> = (0..fronts).map(|i| (ground.gossip_listen(i), i)).collect();
    let (own, dice) = (Arc::new(own), Arc::new(Dice::new(seed, 3_000)));
    for to in 0..fronts {
        let (sockets, own, ground) = (sockets.clone(), own.clone(), ground.clone());
        let dice = dice.clone();
        tokio::spawn(async move {
            let mut data = [0; LONGEST];
            while let Ok((n, sender)) = sockets[to].recv_from(&mut data).await {
                if let Some(from) = own.get(&sender).filter(|_| !dice.hits(LOST)) {
                    let _ = sockets[*from].send_to(&data[..n], ground.gossip_listen(to)).await;
                }
            }
        });
    }
    let ground = ground.clone();
    tokio::spawn(async move {
        let mut data = [0; LONGEST];
        while let Ok((n, sender)) = all.recv_from(&mut data).await {
            let Some(from) = own.get(&sender) else { continue };
            for to in (0..fronts).filter(|to| to != from) {
                if !dice.hits(LOST) {
                    let _ = sockets[*from].send_to(&data[..n], ground.gossip_listen(to)).await;
                }
            }
        }
    });
    Ok(())
}
