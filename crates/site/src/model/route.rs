//! The model of routing rules.

use super::keyword::{Match, Order};
use serde::Serialize;

/// What a rule does with the requests that it matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Target {
    /// Routes matching requests to the pool of this name.
    #[serde(rename = "pool")]
    Pool(String),
    /// Excludes matching requests from routing by this set. With the name of a pool, only requests that would
    /// be routed to that pool are excluded.
    #[serde(rename = "exclude")]
    Exclude(Option<String>),
}

/// One routing rule (KDL node `route`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// The pattern that the path of a request is compared with: a path, a wildcard pattern or a regular
    /// expression.
    pub pattern: String,
    /// How the pattern is compared with a path; the default is as a prefix.
    pub matching: Option<Match>,
    /// What the rule does with matching requests.
    pub target: Target,
    /// The text that replaces the matched part of the path at the member; `$1` stands for a group of a
    /// regular expression.
    pub rewrite: Option<String>,
}

/// The routing rules of a group of virtual hosts (KDL node `routes`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteSet {
    /// The host names, where a leading `*.` stands for any subdomain. If empty, the set applies to every host
    /// that no other set names.
    pub hosts: Vec<String>,
    /// Which of several matching rules applies; the default is the first one.
    pub order: Option<Order>,
    /// Whether the set without hosts applies to requests that no rule of this set matches; the default is no.
    pub inherit: Option<bool>,
    /// The rules of the set, in the order of the document.
    pub rules: Vec<Route>,
}
