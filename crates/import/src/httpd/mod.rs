//! httpd's files, interpreted as httpd reads them: lines to directives, variables, includes and sections, as
//! [the documentation](https://httpd.apache.org/docs/2.4/configuring.html) describes them.
//!
//! - `sections`, `directives`, `includes`, `proxy` and `jk` read directives into the servers of `model`;
//! - `pools`, with `balancer` and `member`, and `routes` make the pools and routes of a site of these.

mod balancer;
mod directives;
mod includes;
mod jk;
mod member;
mod model;
mod pools;
mod proxy;
mod routes;
mod sections;
mod url;

pub(crate) use model::Server;
pub(crate) use pools::build_pools;
pub(crate) use routes::proxy_routes;

use crate::error::ImportError;
use crate::files::{read_input, Files};
use crate::ledger::Ledger;
use crate::location::Location;
use crate::modjk::ModJk;
use crate::text::{expand, read_lines, tokens, Continuations, Line, MAX_LINE_BYTES};
use model::{Argument, Directive, Section};
use std::collections::{HashMap, HashSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// How deep files that include each other, and sections within sections, nest at the most.
const MAX_DEPTH: usize = 64;

/// Modules whose directives the importer knows; `<IfModule>` holds for them.
const MODULES: [&str; 14] = [
    "proxy",
    "proxy_balancer",
    "proxy_http",
    "proxy_http2",
    "proxy_ajp",
    "proxy_fcgi",
    "proxy_scgi",
    "proxy_uwsgi",
    "proxy_wstunnel",
    "proxy_connect",
    "proxy_ftp",
    "lbmethod_byrequests",
    "slotmem_shm",
    "jk",
];

/// Reads httpd's files one after the other, and holds everything that was read.
pub(crate) struct HttpdReader<'f> {
    files: &'f dyn Files,
    pub ledger: Ledger,
    /// The main server, then the virtual hosts in their order.
    pub servers: Vec<Server>,
    pub modjk: ModJk,
    /// Where relative names of files begin.
    root: Option<PathBuf>,
    defines: HashMap<String, String>,
    modules: HashSet<String>,
    /// Open sections, the innermost last.
    sections: Vec<Section>,
    current_server: usize,
    /// The canonical names of the files being read, the innermost last.
    include_stack: Vec<PathBuf>,
    files_included: usize,
}

impl<'f> HttpdReader<'f> {
    pub fn new(files: &'f dyn Files, root: Option<PathBuf>, defines: &[(String, String)]) -> HttpdReader<'f> {
        HttpdReader {
            files,
            ledger: Ledger::default(),
            servers: vec![Server::default()],
            modjk: ModJk::default(),
            root,
            defines: defines.iter().cloned().collect(),
            modules: MODULES.iter().map(ToString::to_string).collect(),
            sections: Vec::new(),
            current_server: 0,
            include_stack: Vec::new(),
            files_included: 0,
        }
    }

    /// Reads a file that the caller named.
    pub fn read_file(&mut self, path: &Path) -> Result<(), ImportError> {
        if self.root.is_none() {
            self.root = path.parent().map(Path::to_path_buf);
        }
        let bytes = read_input(self.files, path)?;
        self.read_bytes(path, &bytes)
    }

    fn server(&mut self) -> &mut Server {
        &mut self.servers[self.current_server]
    }

    /// Why what stands here does not take effect, if so.
    fn skip_reason(&self) -> Option<&str> {
        self.sections.iter().rev().find_map(|s| s.skip_reason.as_deref())
    }

    fn read_bytes(&mut self, path: &Path, bytes: &[u8]) -> Result<(), ImportError> {
        let file: Arc<str> = path.display().to_string().into();
        let depth = self.sections.len();
        self.include_stack.push(self.files.canonical(path));
        for line in read_lines(&file, bytes, Continuations::Joined)? {
            if !line.text.starts_with('#') {
                self.read_line(&file, &line, depth)?;
            }
        }
        self.include_stack.pop();
        if let Some(unclosed) = self.sections.get(depth) {
            let message = format!("<{}> is not closed in its file", unclosed.name);
            return Err(ImportError::Section { location: unclosed.location.clone(), message });
        }
        Ok(())
    }

    /// Reads a line of a file that began within `depth` sections.
    fn read_line(&mut self, file: &Arc<str>, line: &Line, depth: usize) -> Result<(), ImportError> {
        let location = line.location(file, 0);
        if let Some(name) = line.text.strip_prefix("</") {
            return self.close_section(name.trim_end_matches('>').trim(), location, depth);
        }
        let skip_reason = self.skip_reason().map(String::from);
        let (directive, is_section) = self.parse_directive(file, line, location, skip_reason.is_some())?;
        if line.invalid_utf8 {
            self.ledger.omitted(directive.item, "bytes that are no UTF-8");
        }
        if is_section {
            return self.open_section(directive, skip_reason.is_some() || line.invalid_utf8);
        }
        if let Some(reason) = skip_reason {
            self.ledger.omitted(directive.item, reason.clone());
            for param in self.params(&directive, 0) {
                self.ledger.omitted(param.item, reason.clone());
            }
            return Ok(());
        }
        if line.invalid_utf8 {
            return Ok(());
        }
        self.directive(&directive)
    }

    /// Expands a line's variables and splits it; and whether it opens a section.
    fn parse_directive(
        &mut self,
        file: &Arc<str>,
        line: &Line,
        location: Location,
        skipped: bool,
    ) -> Result<(Directive, bool), ImportError> {
        let expanded = match skipped {
            // Variables of a skipped section may be those of another machine.
            true => expand(&line.text, "${", '}', |_| None),
            false => expand(&line.text, "${", '}', |n| self.defines.get(n).map(String::as_str)),
        };
        let Some(expanded) = expanded else {
            return Err(ImportError::LineTooLong { location, expanded: true, limit: MAX_LINE_BYTES });
        };
        let section = expanded.text.strip_prefix('<').map(|t| t.strip_suffix('>').unwrap_or(t));
        let is_section = section.is_some();
        let (text, shift) = section.map_or((expanded.text.as_str(), 0), |t| (t, 1));
        let mut tokens = tokens(text).into_iter();
        let name = tokens.next().map_or(String::new(), |t| t.text);
        let arguments = tokens.map(|t| Argument {
            text: t.text,
            location: line.location(file, expanded.source_offset(t.offset + shift)),
        });
        let label = if is_section { format!("<{name}>") } else { name.clone() };
        let item = self.ledger.note(&location, label);
        Ok((Directive { name, arguments: arguments.collect(), item, location }, is_section))
    }
}
