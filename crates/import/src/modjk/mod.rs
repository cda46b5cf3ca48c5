//! mod_jk's files: [properties of workers](https://tomcat.apache.org/connectors-doc/reference/workers.html), and mounts
//! of paths onto them, in [files of mounts](https://tomcat.apache.org/connectors-doc/reference/uriworkermap.html) or
//! httpd's own.
//!
//! - `workers` and `mounts` read the files;
//! - `members`, `pools` and `routes` make members, pools and routes of what was read, each when it is first needed.

mod members;
mod mounts;
mod pools;
mod routes;
mod syntax;
mod workers;

pub(crate) use mounts::{read_mounts_file, Mount};

use crate::params::Params;
use std::collections::HashMap;

/// Everything that was read of workers files, and what was made of it so far.
#[derive(Default)]
pub(crate) struct ModJk {
    /// Properties by the worker's name.
    workers: HashMap<String, Params>,
    /// The workers' names in the order of the first line of each.
    worker_order: Vec<String>,
    /// The workers of `worker.list`.
    listed: Vec<String>,
    /// Properties as variables of the lines below them.
    variables: HashMap<String, String>,
    /// Mounts of the workers files themselves.
    pub mounts: Vec<Mount>,
    /// Ids of members by their worker's name.
    member_by_worker: HashMap<String, String>,
    /// Names of pools by their worker's name.
    pool_by_worker: HashMap<String, String>,
    /// Names of pools by the one they vary and the mount's attributes that they vary it by.
    pool_by_variation: HashMap<(String, String), String>,
}
