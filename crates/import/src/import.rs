//! The entry points for importing httpd and mod_jk files.

use crate::builder::{RouteRules, SiteBuilder, SourcedRoute};
use crate::error::ImportError;
use crate::files::{read_input, Files};
use crate::httpd::{build_pools, proxy_routes, HttpdReader};
use crate::modjk::{read_mounts_file, Mount};
use crate::report::Report;
use fernslip_site::Site;
use std::path::PathBuf;

/// Settings that apply to both kinds of import.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of the site in the document.
    pub name: String,
    /// The directory that relative file names in httpd's files start from, until a `ServerRoot` that exists
    /// here replaces it. `None` stands for the directory of the first file.
    pub root: Option<PathBuf>,
    /// Variables that are set as if by `Define`, as pairs of name and value. A value may be empty.
    pub defines: Vec<(String, String)>,
}

impl Default for Options {
    fn default() -> Self {
        Options { name: "imported".into(), root: None, defines: Vec::new() }
    }
}

/// The result of an import.
#[derive(Clone, Debug)]
pub struct Imported {
    /// The site that the input describes.
    pub site: Site,
    /// One entry for every directive and parameter of the input.
    pub report: Report,
}

/// Imports httpd's configuration files in order, as if they were one file.
///
/// # Errors
/// Returns an [`ImportError`] with the location of the cause, for unreadable files, include cycles, unclosed
/// sections and exceeded limits.
pub fn import_httpd(
    files: &dyn Files,
    inputs: &[PathBuf],
    options: &Options,
) -> Result<Imported, ImportError> {
    let mut reader = HttpdReader::new(files, options.root.clone(), &options.defines);
    for path in inputs {
        reader.read_file(path)?;
    }
    Ok(build_import(reader, options))
}

/// Imports mod_jk's workers files and mounts files, and the httpd files in `inputs` that contain mod_jk's
/// directives.
///
/// # Errors
/// The same as for [`import_httpd`].
pub fn import_modjk(
    files: &dyn Files,
    workers: &[PathBuf],
    mounts: &[PathBuf],
    inputs: &[PathBuf],
    options: &Options,
) -> Result<Imported, ImportError> {
    let mut reader = HttpdReader::new(files, options.root.clone(), &options.defines);
    for path in workers {
        let bytes = read_input(files, path)?;
        reader.modjk.read_workers_file(&mut reader.ledger, path, &bytes)?;
    }
    for path in inputs {
        reader.read_file(path)?;
    }
    for path in mounts {
        let bytes = read_input(files, path)?;
        let mounts = read_mounts_file(&mut reader.ledger, path, &bytes)?;
        reader.servers[0].mounts.extend(mounts);
    }
    Ok(build_import(reader, options))
}

/// Builds the site and the report from the directives and properties that were read.
fn build_import(reader: HttpdReader<'_>, options: &Options) -> Imported {
    let HttpdReader { mut ledger, mut servers, mut modjk, .. } = reader;
    let mut builder = SiteBuilder::new(&options.name);
    let pools = build_pools(&mut ledger, &mut builder, &mut servers);
    let workers_file_mounts = std::mem::take(&mut modjk.mounts);
    servers[0].mounts.extend(workers_file_mounts);
    let copied_everywhere = servers[0].copies_mounts;
    let main_mounts: Vec<Mount> = match servers.iter().any(|s| s.copies_mounts) {
        true => servers[0].mounts.clone(),
        false => Vec::new(),
    };
    let mut rule_sets = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        let is_main = index == 0;
        let mut rules = RouteRules {
            hosts: if is_main { Vec::new() } else { server.hosts.clone() },
            first_match: proxy_routes(&mut ledger, server, index, &pools),
            ..RouteRules::default()
        };
        let copies = !is_main && (copied_everywhere || server.copies_mounts);
        let main_mounts_here = main_mounts.iter().filter(|_| copies);
        for mount in server.mounts.iter().chain(main_mounts_here) {
            let route = modjk.build_route(&mut ledger, &mut builder, mount);
            rules.longest_match.extend(route.map(|route| SourcedRoute { route, item: mount.item }));
        }
        // Only `ProxyPass` rules are inherited: mounts of the main server apply to a virtual host only if
        // `JkMountCopy` copies them.
        rules.inherit = server.inherits_routes.unwrap_or(true) && !rules.first_match.is_empty();
        rule_sets.push(rules);
    }
    modjk.add_unmounted(&mut ledger, &mut builder);
    builder.add_routes(&mut ledger, rule_sets);
    Imported { site: builder.site, report: ledger.into_report() }
}
