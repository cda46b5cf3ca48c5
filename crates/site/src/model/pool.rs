//! Pools: which members serve together, and within which limits.

use super::keyword::State;
use serde::Serialize;
use std::fmt;

/// The membership of one member in a pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Use {
    /// The member's id.
    pub member: String,
    /// Its weight in this pool; default: the member's.
    pub weight: Option<f64>,
    /// Its administrative state in this pool; default: the member's. The stricter of the two takes effect.
    pub state: Option<State>,
    /// Its failover tier: only the lowest tier with a usable member is used.
    pub tier: Option<u64>,
    /// The failover group: members of one group replace each other first.
    pub group: Option<String>,
    /// The member that replaces it while it is unavailable.
    pub instead: Option<String>,
}

/// Limits of all members of a pool together.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolLimits {
    /// Requests in flight in the pool.
    pub in_flight: Option<u64>,
    /// Connections to all its members.
    pub connections: Option<u64>,
    /// How long a request may wait for a permit.
    pub wait_ms: Option<u64>,
    /// Requests that may be queued for a permit.
    pub waiting: Option<u64>,
    /// Time-out of a complete response.
    pub answer_ms: Option<u64>,
}

/// The retry policy of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Retry {
    /// Attempts at a request, the first included.
    pub attempts: Option<u64>,
    /// The retry budget: retries that each request adds for the pool.
    pub budget: Option<f64>,
    /// The largest budget that can accumulate.
    pub burst: Option<u64>,
}

/// When a member is ejected, and how it recovers.
#[derive(Clone, Default, PartialEq, Serialize)]
pub struct Recovery {
    /// Consecutive failures after which it is ejected.
    pub failures: Option<u64>,
    /// The backoff from then to the first half-open probe (`first-ms`).
    #[serde(rename = "first_ms")]
    pub first_backoff_ms: Option<u64>,
    /// The backoff doubles with each failed probe up to this (`most-ms`).
    #[serde(rename = "most_ms")]
    pub max_backoff_ms: Option<u64>,
    /// Responses with these status codes count as failures.
    pub fail_on: Vec<u16>,
}

/// With the document's keys as field names: fronts hash this form to compare their configurations, also with fronts of
/// earlier versions.
impl fmt::Debug for Recovery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Recovery")
            .field("failures", &self.failures)
            .field("first_ms", &self.first_backoff_ms)
            .field("most_ms", &self.max_backoff_ms)
            .field("fail_on", &self.fail_on)
            .finish()
    }
}

/// A group of interchangeable members.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Its members.
    pub members: Vec<Use>,
    /// Its limits.
    pub limits: PoolLimits,
    /// Its retry policy.
    pub retry: Retry,
    /// Ejection and recovery of its members.
    pub recovery: Recovery,
}

/// An HTTP status code from 100 to 599.
pub fn status_code(text: &str) -> Option<u16> {
    text.parse().ok().filter(|code| (100..=599).contains(code))
}
