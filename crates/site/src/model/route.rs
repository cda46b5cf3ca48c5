//! Routing rules.

use super::keyword::{Match, Order};
use serde::Serialize;

/// Where a rule sends what it matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Target {
    /// To a pool.
    #[serde(rename = "pool")]
    Pool(String),
    /// Excluded: what is matched is not routed by this set. With a pool's name, only what would go to that pool
    /// is excluded.
    #[serde(rename = "exclude")]
    Exclude(Option<String>),
}

/// One routing rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// What it is compared with: a path, or a regular expression.
    pub pattern: String,
    /// How it is compared; default: as a prefix.
    pub matching: Option<Match>,
    /// Where matching requests go.
    pub target: Target,
    /// What the matched part becomes at the member; `$1` is a group of a regular expression.
    pub rewrite: Option<String>,
}

/// The rules of a group of virtual hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteSet {
    /// The hosts; `*.` at the front stands for any subdomain. None: every host that no other set names.
    pub hosts: Vec<String>,
    /// Which rule wins; default: the first.
    pub order: Option<Order>,
    /// Whether the set without hosts applies where this one has no matching rule; default: no.
    pub inherit: Option<bool>,
    /// The rules.
    pub rules: Vec<Route>,
}
