//! The step that sends fronts datagrams that no front would send: replayed ones, random bytes, and random
//! messages with a valid signature.

use super::Run;
use fernslip_gossip::Keyring;
use fernslip_view::{Id, Item, Message};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The upper bound (exclusive) of the length of a datagram of random bytes.
const MAX_RANDOM_LEN: usize = 1400;

impl Run<'_> {
    /// Sends `per_second` invalid or replayed datagrams between random fronts until `duration` has passed.
    pub(super) async fn send_garbage(&mut self, per_second: f64, duration: Duration) {
        self.record_event("garbage", true);
        let keys = fernslip_front::keyfile::read_key_file(self.fronts.key_file()).ok();
        let recorded = self.fronts.links.recorded_datagrams();
        let end = Instant::now() + duration;
        let endpoints: Vec<usize> = self.fronts.all.iter().map(|f| f.endpoint).collect();
        while Instant::now() < end {
            let (Some(from), Some(to)) = (endpoints.choose(&mut self.rng), endpoints.choose(&mut self.rng))
            else {
                break;
            };
            let bytes = match (self.rng.random_range(0..3), &keys) {
                (0, _) if !recorded.is_empty() => {
                    recorded[self.rng.random_range(0..recorded.len())].bytes.clone()
                }
                (1, Some(keys)) => signed_random_message(keys, &mut self.rng),
                _ => (0..self.rng.random_range(0..MAX_RANDOM_LEN)).map(|_| self.rng.random()).collect(),
            };
            self.fronts.links.deliver_datagram(*from, *to, bytes, Duration::ZERO);
            sleep(Duration::from_secs_f64(1.0 / per_second)).await;
        }
        self.record_event("garbage over", false);
    }
}

/// Returns a message with a valid signature and random items.
fn signed_random_message(keys: &Keyring, rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut message = Message::new(
        keys.signing_key(),
        Id(rng.random()),
        rng.random(),
        rng.random(),
        rng.random(),
        vec![255; 13],
    );
    message.items = vec![
        Item::Ack(rng.random()),
        Item::FactRequest((0..20).map(|_| Id(rng.random())).collect()),
        Item::DifferingBuckets(rng.random()),
        Item::PingRequest(Id(rng.random()), rng.random(), rng.random()),
        Item::Suspicion {
            of: Id::from_name(&format!("f{}", rng.random_range(0..100))),
            process_id: rng.random(),
            incarnation: rng.random(),
            number: u32::MAX,
            ping: rng.random(),
            is_active: true,
            is_only_silent: true,
        },
    ];
    message.seal(keys)
}
