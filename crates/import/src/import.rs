//! The two imports, from files to a site and its report.

use crate::builder::{RouteRules, SiteBuilder, SourcedRoute};
use crate::error::ImportError;
use crate::files::{read_input, Files};
use crate::httpd::{build_pools, proxy_routes, HttpdReader};
use crate::modjk::{read_mounts_file, Mount};
use crate::report::Report;
use fernslip_site::Site;
use std::path::PathBuf;

/// Settings of an import.
#[derive(Clone, Debug)]
pub struct Options {
    /// The site's name.
    pub name: String,
    /// Where relative names in httpd's files begin; `None`: at the first file's directory, or at ServerRoot.
    pub root: Option<PathBuf>,
    /// Variables as `Define` sets them; the value may be empty.
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
    /// The site.
    pub site: Site,
    /// What became of every directive and parameter.
    pub report: Report,
}

/// Imports httpd's files, one after the other as if they were one.
///
/// # Errors
/// Files that can't be read, include cycles, sections that don't close, and exceeded limits: each with its location.
pub fn httpd(files: &dyn Files, inputs: &[PathBuf], options: &Options) -> Result<Imported, ImportError> {
    let mut reader = HttpdReader::new(files, options.root.clone(), &options.defines);
    for path in inputs {
        reader.read_file(path)?;
    }
    Ok(assemble(reader, options))
}

/// Imports mod_jk's files: workers, mounts, and the httpd files that hold `JkMount` and its kin.
///
/// # Errors
/// As [`httpd`].
pub fn modjk(
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
    Ok(assemble(reader, options))
}

/// Makes the site of what was read.
fn assemble(reader: HttpdReader<'_>, options: &Options) -> Imported {
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
            let route = modjk.route(&mut ledger, &mut builder, mount);
            rules.longest_match.extend(route.map(|route| SourcedRoute { route, item: mount.item }));
        }
        // Mounts of the main server are a virtual host's own only where they are copied, which is done above.
        rules.inherit = server.inherits_routes.unwrap_or(true) && !rules.first_match.is_empty();
        rule_sets.push(rules);
    }
    modjk.add_unmounted(&mut ledger, &mut builder);
    builder.add_routes(&mut ledger, rule_sets);
    Imported { site: builder.site, report: ledger.into_report() }
}
