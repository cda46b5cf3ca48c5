//! Reads httpd's configuration files: directives, variables, includes and sections, as described in
//! [the documentation](https://httpd.apache.org/docs/2.4/configuring.html).
//!
//! - `sections`, `directives`, `includes`, `proxy` and `jk` read the directives into the servers defined in
//!   `model`.
//! - `pools`, `balancer`, `member` and `routes` convert these servers to the pools and routes of a site.

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
use crate::text::{expand_variables, read_lines, split_tokens, Continuations, Line, MAX_LINE_BYTES};
use model::{Argument, Directive, Section};
use std::collections::{HashMap, HashSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The greatest nesting depth of included files, and of sections.
const MAX_NESTING_DEPTH: usize = 64;

/// The modules whose directives the importer supports, for which `<IfModule>` therefore holds.
const SUPPORTED_MODULES: [&str; 14] = [
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

/// Reads httpd's files one after the other, and stores everything that was read.
pub(crate) struct HttpdReader<'f> {
    files: &'f dyn Files,
    pub ledger: Ledger,
    /// The main server, followed by the virtual hosts in the order of the files.
    pub servers: Vec<Server>,
    pub modjk: ModJk,
    /// The directory that relative file names start from; `None` until the first file is read.
    root: Option<PathBuf>,
    /// The values of variables, keyed by name.
    defines: HashMap<String, String>,
    /// The modules for which `<IfModule>` holds, without the suffix `_module`.
    modules: HashSet<String>,
    /// The open sections, the innermost last.
    sections: Vec<Section>,
    /// The index in `servers` of the server whose directives are being read.
    current_server: usize,
    /// The canonical paths of the files that are being read, the innermost last.
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
            modules: SUPPORTED_MODULES.iter().map(ToString::to_string).collect(),
            sections: Vec::new(),
            current_server: 0,
            include_stack: Vec::new(),
            files_included: 0,
        }
    }

    /// Reads an input file and all files that it includes.
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

    /// The reason why directives at this point are skipped; `None` if they take effect.
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
            let message = format!("<{}> is not closed in the file that opens it", unclosed.name);
            return Err(ImportError::Section { location: unclosed.location.clone(), message });
        }
        Ok(())
    }

    /// Reads one line. `depth` is the number of sections that were open at the start of the file.
    fn read_line(&mut self, file: &Arc<str>, line: &Line, depth: usize) -> Result<(), ImportError> {
        let location = line.location(file, 0);
        if let Some(name) = line.text.strip_prefix("</") {
            return self.close_section(name.trim_end_matches('>').trim(), location, depth);
        }
        let skip_reason = self.skip_reason().map(String::from);
        let (directive, is_section) = self.parse_directive(file, line, location, skip_reason.is_some())?;
        if line.invalid_utf8 {
            self.ledger.report_omitted(directive.item, "the line contains invalid UTF-8");
        }
        if is_section {
            return self.open_section(directive, skip_reason.is_some() || line.invalid_utf8);
        }
        if let Some(reason) = skip_reason {
            self.ledger.report_omitted(directive.item, reason.clone());
            for param in self.record_params(&directive, 0) {
                self.ledger.report_omitted(param.item, reason.clone());
            }
            return Ok(());
        }
        if line.invalid_utf8 {
            return Ok(());
        }
        self.read_directive(&directive)
    }

    /// Expands the variables of a line and splits it into a directive. The flag returned says whether it
    /// opens a section.
    fn parse_directive(
        &mut self,
        file: &Arc<str>,
        line: &Line,
        location: Location,
        skipped: bool,
    ) -> Result<(Directive, bool), ImportError> {
        let expanded = match skipped {
            // Variables in a skipped section may be defined only on another machine.
            true => expand_variables(&line.text, "${", '}', |_| None),
            false => expand_variables(&line.text, "${", '}', |n| self.defines.get(n).map(String::as_str)),
        };
        let Some(expanded) = expanded else {
            return Err(ImportError::LineTooLong { location, expanded: true, limit: MAX_LINE_BYTES });
        };
        let section = expanded.text.strip_prefix('<').map(|t| t.strip_suffix('>').unwrap_or(t));
        let is_section = section.is_some();
        let (text, shift) = section.map_or((expanded.text.as_str(), 0), |t| (t, 1));
        let mut tokens = split_tokens(text).into_iter();
        let name = tokens.next().map_or(String::new(), |t| t.text);
        let arguments = tokens.map(|t| Argument {
            text: t.text,
            location: line.location(file, expanded.source_offset(t.offset + shift)),
        });
        let label = if is_section { format!("<{name}>") } else { name.clone() };
        let item = self.ledger.record(&location, label);
        Ok((Directive { name, arguments: arguments.collect(), item, location }, is_section))
    }
}
