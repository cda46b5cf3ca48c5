//! Reads mod_jk's files: the [properties of
//! workers](https://tomcat.apache.org/connectors-doc/reference/workers.html), and mounts of paths onto
//! workers, from [mounts files](https://tomcat.apache.org/connectors-doc/reference/uriworkermap.html) or from
//! httpd's files.
//!
//! - `workers` and `mounts` read the files.
//! - `members`, `pools` and `routes` build the members, pools and routes of a site, each when it is first
//!   needed.

mod members;
mod mounts;
mod pools;
mod routes;
mod syntax;
mod workers;

pub(crate) use mounts::{read_mounts_file, Mount};

use crate::params::Params;
use std::collections::HashMap;

/// Everything that was read from workers files, and the names of the members and pools built so far.
#[derive(Default)]
pub(crate) struct ModJk {
    /// The properties of workers, keyed by the worker's name.
    workers: HashMap<String, Params>,
    /// The names of workers, in the order in which they first appear.
    worker_order: Vec<String>,
    /// The names in `worker.list`.
    listed: Vec<String>,
    /// The values of all properties read so far, which later lines can use as variables.
    variables: HashMap<String, String>,
    /// The mounts that the `mount` properties of workers make.
    pub mounts: Vec<Mount>,
    /// Member ids, keyed by the worker's name.
    member_by_worker: HashMap<String, String>,
    /// Pool names, keyed by the worker's name.
    pool_by_worker: HashMap<String, String>,
    /// The names of pools that mount attributes make, keyed by the worker's pool and by those attributes.
    pool_by_variation: HashMap<(String, String), String>,
}
