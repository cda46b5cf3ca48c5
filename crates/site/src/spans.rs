//! The positions in the text of the parts of a model, for the checks that need the complete document.

use miette::SourceSpan;
use std::collections::HashMap;

/// The positions in the text of names, by name, and of references to names, in the order of the model.
#[derive(Default)]
pub(crate) struct SourceSpans {
    pub zones: HashMap<String, SourceSpan>,
    pub classes: HashMap<String, SourceSpan>,
    pub members: HashMap<String, SourceSpan>,
    pub pools: HashMap<String, SourceSpan>,
    pub front_zone: Option<SourceSpan>,
    /// The position of each member's address, or of the member's node if it has no address.
    pub addresses: Vec<SourceSpan>,
    /// The position of each member's zone; `None` if the member has no zone.
    pub member_zones: Vec<Option<SourceSpan>>,
    /// The positions in the `use` nodes of each pool.
    pub uses: Vec<Vec<UseSpans>>,
    /// The position of the name of each `routes` node.
    pub route_sets: Vec<SourceSpan>,
    /// The positions in the `route` nodes of each `routes` node.
    pub routes: Vec<Vec<RouteSpans>>,
}

/// The positions at which a `use` node names its member and the replacement (`instead`).
pub(crate) struct UseSpans {
    pub member: SourceSpan,
    pub instead: Option<SourceSpan>,
}

/// The positions of the pattern and the target of a `route` node.
#[derive(Clone, Copy)]
pub(crate) struct RouteSpans {
    pub pattern: SourceSpan,
    pub target: SourceSpan,
}
