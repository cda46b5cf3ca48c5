//! The defaults that [`Site::with_defaults`](crate::Site::with_defaults) fills in for settings that
//! the document does not contain.

/// The default of `front memory-mb`, in MB.
pub const MEMORY_MB: u64 = 192;
/// The default of `front sockets`, the greatest number of open descriptors.
pub const MAX_SOCKETS: u64 = 1024;
/// The default of `front stream-kb-per-s`: the median rate at which responses were sent to clients in the
/// first deployment.
pub const STREAM_KB_PER_S: f64 = 3400.0;
/// The default of `member link-kb-per-s`: enough for about twelve responses at [`STREAM_KB_PER_S`], as with a
/// small cache node of the first deployment. With too low a value fronts reject requests that could be
/// served; with too high a value they overload the node, which its response times show.
pub const MEMBER_LINK_KB_PER_S: f64 = 40_000.0;
/// The default of `limits connect-ms`, the connect time-out.
pub const CONNECT_TIMEOUT_MS: u64 = 400;
/// The default of `limits idle-ms`, after which an idle connection is closed.
pub const IDLE_TIMEOUT_MS: u64 = 15_000;
/// The default of `retry attempts`, with the first attempt included.
pub const MAX_ATTEMPTS: u64 = 6;
/// The default of `retry budget`: a quarter of a retry for each request, as in the decision module.
pub const RETRY_BUDGET: f64 = 0.25;
/// The default of `retry burst`, the greatest number of retries that the budget accumulates.
pub const RETRY_BURST: u64 = 20;
/// The default of `recovery failures`: a member is not ejected for a single broken connection.
pub const EJECT_AFTER_FAILURES: u64 = 3;
/// The default of `recovery first-ms`, the backoff before the first half-open probe.
pub const FIRST_BACKOFF_MS: u64 = 600;
/// The default of `recovery most-ms`, the longest backoff before a half-open probe.
pub const MAX_BACKOFF_MS: u64 = 60_000;
/// The default of `limits wait-ms` in a pool where the pool or a member has a limit: longer than most
/// responses take, and far shorter than clients wait.
pub const QUEUE_WAIT_MS: u64 = 200;
/// The default of `gossip bytes-per-s`: at this rate a message reaches 200 fronts within four seconds.
pub const GOSSIP_BYTES_PER_S: u64 = 4096;
/// The default of `gossip burst-bytes`, the size of the token bucket.
pub const GOSSIP_BURST_BYTES: u64 = 4096;
/// The default of `gossip skew-ms`: more than the seconds by which unsynchronised clocks differ.
pub const GOSSIP_SKEW_MS: u64 = 30_000;
/// The default of `view watchers`: when a third of all fronts crash at once, almost every crashed front still
/// has two watchers to report it.
pub const WATCHERS_PER_FRONT: u64 = 7;
/// The default of `view bytes-per-s`: at this rate the views of a hundred fronts that join at once converge
/// within seconds.
pub const VIEW_BYTES_PER_S: u64 = 32_768;
/// The default of `view burst-bytes`, the size of the token bucket.
pub const VIEW_BURST_BYTES: u64 = 131_072;
/// The default of `limits waiting`, the length of the queue, in a pool where the pool or a member has a
/// limit.
pub const MAX_QUEUED: u64 = 256;
