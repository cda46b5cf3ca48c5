//! Where in the text the parts of a model stand, for the checks that need the complete document.

use miette::SourceSpan;
use std::collections::HashMap;

/// Spans of names by name, and of uses in the order of the model.
#[derive(Default)]
pub(crate) struct SourceSpans {
    pub zones: HashMap<String, SourceSpan>,
    pub classes: HashMap<String, SourceSpan>,
    pub members: HashMap<String, SourceSpan>,
    pub pools: HashMap<String, SourceSpan>,
    pub front_zone: Option<SourceSpan>,
    /// By member.
    pub addresses: Vec<SourceSpan>,
    /// By member.
    pub member_zones: Vec<Option<SourceSpan>>,
    /// By pool, by membership.
    pub uses: Vec<Vec<UseSpans>>,
    /// By route set.
    pub route_sets: Vec<SourceSpan>,
    /// By route set, by rule.
    pub routes: Vec<Vec<RouteSpans>>,
}

/// Where a `use` names its member, and the one that replaces it.
pub(crate) struct UseSpans {
    pub member: SourceSpan,
    pub instead: Option<SourceSpan>,
}

/// Where a `route` has its pattern and its target.
#[derive(Clone, Copy)]
pub(crate) struct RouteSpans {
    pub pattern: SourceSpan,
    pub target: SourceSpan,
}
