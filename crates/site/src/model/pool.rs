//! The model of pools: which members serve together, with which limits.

use super::keyword::State;
use serde::Serialize;
use std::fmt;

/// The membership of one member in a pool (KDL node `use`).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Use {
    /// The id of the member.
    pub member: String,
    /// The member's weight in this pool; the default is the member's own weight.
    pub weight: Option<f64>,
    /// The member's administrative state in this pool; the default is the member's own. The stricter of the
    /// two takes effect.
    pub state: Option<State>,
    /// The member's failover tier in this pool; only the lowest tier with a usable member serves.
    pub tier: Option<u64>,
    /// The failover group: if a tier has no usable member, members of its groups in the next tier serve
    /// first.
    pub group: Option<String>,
    /// The id of the member that replaces this one while it is unusable.
    pub instead: Option<String>,
}

/// The limits that apply to all members of a pool together (KDL node `limits` in a `pool`).
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolLimits {
    /// The greatest number of requests in flight in the pool.
    pub in_flight: Option<u64>,
    /// The greatest number of connections to all members of the pool together.
    pub connections: Option<u64>,
    /// The longest time that a request may wait for a permit, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The greatest number of requests that may be queued for a permit.
    pub waiting: Option<u64>,
    /// The time-out for a complete response, in milliseconds.
    pub answer_ms: Option<u64>,
}

/// The retry policy of a pool (KDL node `retry`).
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Retry {
    /// The greatest number of attempts at a request, the first included.
    pub attempts: Option<u64>,
    /// The number of retries, usually a fraction, that each request adds to the pool's retry budget.
    pub budget: Option<f64>,
    /// The greatest number of retries that the retry budget can accumulate.
    pub burst: Option<u64>,
}

/// The rules by which members of a pool are ejected and recover (KDL node `recovery`).
#[derive(Clone, Default, PartialEq, Serialize)]
pub struct Recovery {
    /// The number of consecutive failures after which a member is ejected.
    pub failures: Option<u64>,
    /// The backoff from the ejection to the first half-open probe, in milliseconds (KDL key `first-ms`).
    #[serde(rename = "first_ms")]
    pub first_backoff_ms: Option<u64>,
    /// The limit up to which the backoff doubles with each failed probe, in milliseconds (KDL key `most-ms`).
    #[serde(rename = "most_ms")]
    pub max_backoff_ms: Option<u64>,
    /// The HTTP status codes of responses that count as failures, each from 100 to 599.
    pub fail_on: Vec<u16>,
}

/// Written by hand with the document's keys as field names. Fronts hash this form to compare their
/// configurations, also with fronts of earlier versions, so it must not change.
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

/// A group of interchangeable members (KDL node `pool`).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pool {
    /// The name of the pool, unique in the site.
    pub name: String,
    /// The memberships of the pool, in the order of the document.
    pub members: Vec<Use>,
    /// The limits of the pool.
    pub limits: PoolLimits,
    /// The retry policy of the pool.
    pub retry: Retry,
    /// The rules for ejection and recovery of the pool's members.
    pub recovery: Recovery,
}

/// Parses an HTTP status code; `None` if the text is not a number from 100 to 599.
pub fn parse_status_code(text: &str) -> Option<u16> {
    text.parse().ok().filter(|code| (100..=599).contains(code))
}
