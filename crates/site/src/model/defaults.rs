//! Defaults that [`Site::effective`](crate::Site::effective) fills in, each named by the property it stands for.

/// `front memory-mb`.
pub const MEMORY_MB: u64 = 192;
/// `front sockets`.
pub const SOCKETS: u64 = 1024;
/// `front stream-kb-per-s`: the median rate at which the first deployment's clients were sent to.
pub const STREAM_KB_PER_S: f64 = 3400.0;
/// `member link-kb-per-s`: some twelve responses at the pace above, a small cache node of the first deployment. Too
/// low a figure rejects what could be served; too high a one overloads a node, which its response times show.
pub const MEMBER_KB_PER_S: f64 = 40_000.0;
/// `limits connect-ms`.
pub const CONNECT_MS: u64 = 400;
/// `limits idle-ms`.
pub const IDLE_MS: u64 = 15_000;
/// `retry attempts`.
pub const ATTEMPTS: u64 = 6;
/// `retry budget`: a quarter of an attempt a request, as in the decision module.
pub const RETRY_BUDGET: f64 = 0.25;
/// `retry burst`.
pub const RETRY_BURST: u64 = 20;
/// `recovery failures`: one broken connection is not a failed member.
pub const FAILURES: u64 = 3;
/// `recovery first-ms`.
pub const FIRST_BACKOFF_MS: u64 = 600;
/// `recovery most-ms`.
pub const MAX_BACKOFF_MS: u64 = 60_000;
/// `limits wait-ms` of a pool with an `in-flight` limit: longer than most responses, far shorter than clients wait.
pub const WAIT_MS: u64 = 200;
/// `gossip bytes-per-s`: a message reaches 200 fronts within four seconds.
pub const GOSSIP_BYTES_PER_S: u64 = 4096;
/// `gossip burst-bytes`.
pub const GOSSIP_BURST_BYTES: u64 = 4096;
/// `gossip skew-ms`: unsynchronised clocks are off by seconds.
pub const SKEW_MS: u64 = 30_000;
/// `view watchers`: when a third of all fronts crash at once, nearly each one has two watchers remaining to report
/// it.
pub const WATCHERS: u64 = 7;
/// `view bytes-per-s`: a hundred fronts that join at once settle within seconds.
pub const VIEW_BYTES_PER_S: u64 = 32_768;
/// `view burst-bytes`.
pub const VIEW_BURST_BYTES: u64 = 131_072;
/// `limits waiting` of a pool with an `in-flight` limit.
pub const QUEUED: u64 = 256;
