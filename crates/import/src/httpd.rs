//! httpd's files, played as httpd reads them: lines to directives, variables, includes, sections.

use crate::coverage::{self, BALANCER, HTTPD, JK_HTTPD, KEYWORDS, WORKER};
use crate::error::ImportError;
use crate::files::Files;
use crate::modjk::{Jk, Mount};
use crate::params::{flag, time_ms, Params};
use crate::report::{Item, Ledger, Place};
use crate::text::{expand, lines, words, Line, MOST_LINE_BYTES};
use fernslip_site::Match;
use std::collections::{HashMap, HashSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Files that include each other, and sections within sections, nest this deep at the most.
const MOST_DEPTH: usize = 64;
/// Files read in one import.
const MOST_FILES: usize = 10_000;
/// Modules whose directives the importer knows; `<IfModule>` is taken for them.
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

/// A word behind a directive.
#[derive(Clone, Debug)]
pub(crate) struct Arg {
    pub text: String,
    pub at: Place,
}

/// A directive as it was read, its variables put in.
#[derive(Clone, Debug)]
pub(crate) struct Directive {
    pub name: String,
    pub args: Vec<Arg>,
    pub item: Item,
    pub at: Place,
}

impl Directive {
    pub fn arg(&self, n: usize) -> Option<&str> {
        self.args.get(n).map(|a| a.text.as_str())
    }
}

/// A machine of a balancer, or one that a ProxyPass names.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub url: String,
    pub items: Vec<Item>,
    pub params: Params,
}

/// A balancer of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer {
    pub name: String,
    pub items: Vec<Item>,
    pub params: Params,
    pub members: Vec<Worker>,
    by_url: HashMap<String, usize>,
}

/// Where a ProxyPass leads.
#[derive(Clone, Debug)]
pub(crate) enum Leads {
    /// To a balancer, by its name.
    Balancer(String),
    /// To one machine, by its URL.
    Machine(String),
    /// Nowhere.
    Away,
}

/// A ProxyPass.
#[derive(Clone, Debug)]
pub(crate) struct Rule {
    pub item: Item,
    pub pattern: String,
    pub matching: Match,
    pub leads: Leads,
    pub rewrite: Option<String>,
}

/// The main server, or a virtual host.
#[derive(Default)]
pub(crate) struct Server {
    pub hosts: Vec<String>,
    /// As they stand; those of `<Location>`, the last first, come before the others.
    pub rules: Vec<Rule>,
    pub in_locations: Vec<Rule>,
    pub balancers: Vec<Balancer>,
    by_name: HashMap<String, usize>,
    /// Machines by their URLs.
    pub machines: Vec<Worker>,
    machine_by_url: HashMap<String, usize>,
    pub timeout: Option<(u64, Item)>,
    pub inherit: Option<bool>,
    pub inherit_balancers: Option<bool>,
    pub mounts: Vec<Mount>,
    pub copies_mounts: bool,
}

impl Server {
    pub fn balancer(&mut self, name: &str) -> &mut Balancer {
        let at = *self.by_name.entry(name.to_string()).or_insert_with(|| {
            self.balancers.push(Balancer { name: name.into(), ..Balancer::default() });
            self.balancers.len() - 1
        });
        &mut self.balancers[at]
    }

    fn machine(&mut self, url: &str) -> &mut Worker {
        let at = *self.machine_by_url.entry(url.to_string()).or_insert_with(|| {
            self.machines.push(Worker { url: url.into(), items: Vec::new(), params: Params::default() });
            self.machines.len() - 1
        });
        &mut self.machines[at]
    }
}

enum Scope {
    VirtualHost { outer: usize },
    Location { path: String, regex: bool },
    Proxy { url: String },
    Other,
}

struct Section {
    name: String,
    scope: Scope,
    at: Place,
    /// Why nothing in it is taken.
    skipped: Option<String>,
}

/// Everything that was read.
pub(crate) struct Httpd<'f> {
    files: &'f dyn Files,
    pub ledger: Ledger,
    pub servers: Vec<Server>,
    pub jk: Jk,
    root: Option<PathBuf>,
    defines: HashMap<String, String>,
    modules: HashSet<String>,
    sections: Vec<Section>,
    server: usize,
    stack: Vec<PathBuf>,
    read: usize,
}

impl<'f> Httpd<'f> {
    pub fn new(files: &'f dyn Files, root: Option<PathBuf>, defines: &[(String, String)]) -> Httpd<'f> {
        Httpd {
            files,
            ledger: Ledger::default(),
            servers: vec![Server::default()],
            jk: Jk::default(),
            root,
            defines: defines.iter().cloned().collect(),
            modules: MODULES.iter().map(|m| m.to_string()).collect(),
            sections: Vec::new(),
            server: 0,
            stack: Vec::new(),
            read: 0,
        }
    }

    /// Reads a file that was named from outside.
    pub fn file(&mut self, path: &Path) -> Result<(), ImportError> {
        if self.root.is_none() {
            self.root = path.parent().map(Path::to_path_buf);
        }
        let bytes = self
            .files
            .read(path)
            .map_err(|e| ImportError::Read { file: path.display().to_string(), why: e.to_string() })?;
        self.play(path, &bytes)
    }

    fn server(&mut self) -> &mut Server {
        &mut self.servers[self.server]
    }

    fn skipped(&self) -> Option<&str> {
        self.sections.iter().rev().find_map(|s| s.skipped.as_deref())
    }

    fn play(&mut self, path: &Path, bytes: &[u8]) -> Result<(), ImportError> {
        let file: Arc<str> = path.display().to_string().into();
        let depth = self.sections.len();
        self.stack.push(self.files.canonical(path));
        for line in lines(&file, bytes, true)? {
            if !line.text.starts_with('#') {
                self.line(&file, &line, depth)?;
            }
        }
        self.stack.pop();
        if let Some(open) = self.sections.get(depth) {
            let what = format!("<{}> is not closed in its file", open.name);
            return Err(ImportError::Section { at: open.at.clone(), what });
        }
        Ok(())
    }

    fn line(&mut self, file: &Arc<str>, line: &Line, depth: usize) -> Result<(), ImportError> {
        let at = line.place(file, 0);
        if let Some(name) = line.text.strip_prefix("</") {
            return self.close(name.trim_end_matches('>').trim(), at, depth);
        }
        let skipped = self.skipped().map(String::from);
        let expanded = match &skipped {
            // What is not taken is not played: its variables may be those of another machine.
            Some(_) => expand(&line.text, "${", '}', |_| None),
            None => expand(&line.text, "${", '}', |n| self.defines.get(n).map(String::as_str)),
        };
        let too_long = || ImportError::TooLong { at: at.clone(), expanded: true, most: MOST_LINE_BYTES };
        let expanded = expanded.ok_or_else(too_long)?;
        let section = expanded.text.strip_prefix('<').map(|t| t.strip_suffix('>').unwrap_or(t));
        let (text, shift) = section.map_or((expanded.text.as_str(), 0), |t| (t, 1));
        let mut all = words(text).into_iter();
        let name = all.next().map_or(String::new(), |w| w.text);
        let args =
            all.map(|w| Arg { text: w.text, at: line.place(file, expanded.source(w.at + shift)) }).collect();
        let label = if section.is_some() { format!("<{name}>") } else { name.clone() };
        let item = self.ledger.note(&at, label);
        let d = Directive { name, args, item, at };
        if line.broken {
            self.ledger.left_out(item, "bytes that are no UTF-8");
        }
        if section.is_some() {
            return self.open(d, skipped.is_some() || line.broken);
        }
        if let Some(why) = skipped {
            self.ledger.left_out(item, why.clone());
            for (_, _, param) in self.params(&d, 0) {
                self.ledger.left_out(param, why.clone());
            }
            return Ok(());
        }
        if line.broken {
            return Ok(());
        }
        self.directive(&d)
    }

    // ---- sections ----

    fn close(&mut self, name: &str, at: Place, depth: usize) -> Result<(), ImportError> {
        let fits = self.sections.len() > depth
            && self.sections.last().is_some_and(|s| s.name.eq_ignore_ascii_case(name));
        if !fits {
            let open = self.sections.get(depth..).and_then(|s| s.last());
            let what = match open {
                Some(s) => format!("</{name}> closes <{}> of line {}", s.name, s.at.line),
                None => format!("</{name}> closes nothing"),
            };
            return Err(ImportError::Section { at, what });
        }
        if let Some(Section { scope: Scope::VirtualHost { outer }, .. }) = self.sections.pop() {
            self.server = outer;
        }
        Ok(())
    }

    fn open(&mut self, d: Directive, skipped: bool) -> Result<(), ImportError> {
        if self.sections.len() >= MOST_DEPTH {
            let what = "sections within sections";
            return Err(ImportError::TooMany { at: d.at, what, most: MOST_DEPTH });
        }
        let mut why = None;
        let mut scope = Scope::Other;
        let label = format!("<{}>", d.name);
        if skipped {
            why = Some("inside of what is not taken".to_string());
            let outer = self.skipped().map_or(why.clone().unwrap_or_default(), String::from);
            self.ledger.left_out(d.item, outer.clone());
            why = why.map(|_| outer);
        } else {
            match d.name.to_ascii_lowercase().as_str() {
                "virtualhost" => {
                    scope = Scope::VirtualHost { outer: self.server };
                    self.servers.push(Server::default());
                    self.server = self.servers.len() - 1;
                    let plain =
                        d.args.iter().all(|a| a.text.starts_with('*') || a.text.starts_with("_default_"));
                    match plain {
                        true => self.ledger.mapped(d.item, "routes"),
                        false => {
                            let why = "hosts tell sets of routes apart, addresses and ports don't";
                            self.ledger.near(d.item, "routes", why);
                        }
                    }
                }
                "location" | "locationmatch" => (scope, why) = self.location(&d),
                "proxy" => match d.arg(0).map(String::from) {
                    Some(url) if url.contains("://") && !url.contains('*') => {
                        scope = Scope::Proxy { url: url.to_string() };
                        self.proxy_block(&d, &url.to_string());
                    }
                    _ => {
                        self.ledger.left_out(d.item, "settings for machines by pattern have no equal");
                    }
                },
                "ifdefine" | "ifmodule" => why = self.condition(&d),
                _ => match coverage::row(HTTPD, &label) {
                    Some((_, _, reason)) => {
                        self.ledger.left_out(d.item, *reason);
                        why = Some(format!("inside of {label}: {reason}"));
                    }
                    // A section of another kind holds no routes of its own, but may hold sections that do.
                    None => self.ledger.left_out(d.item, coverage::not_routing()),
                },
            }
        }
        self.sections.push(Section { name: d.name, scope, at: d.at, skipped: why });
        Ok(())
    }

    fn condition(&mut self, d: &Directive) -> Option<String> {
        let arg = d.arg(0).unwrap_or("");
        let (not, name) = arg.strip_prefix('!').map_or((false, arg), |n| (true, n));
        let holds = if d.name.eq_ignore_ascii_case("ifdefine") {
            self.defines.contains_key(name)
        } else {
            let bare = name.strip_prefix("mod_").unwrap_or(name);
            let bare = bare.strip_suffix(".c").or(bare.strip_suffix("_module")).unwrap_or(bare);
            self.modules.contains(bare)
        };
        let taken = holds != not;
        self.ledger.mapped(d.item, if taken { "taken" } else { "not taken" });
        (!taken).then(|| format!("inside of <{} {arg}>, which is not taken", d.name))
    }

    fn location(&mut self, d: &Directive) -> (Scope, Option<String>) {
        let tilde = d.arg(0) == Some("~");
        let regex = tilde || d.name.eq_ignore_ascii_case("locationmatch");
        let path = d.arg(usize::from(tilde)).unwrap_or("").to_string();
        if !regex && (path.contains(['*', '?', '[']) || !path.starts_with('/')) {
            let why = "a <Location> with wildcards or without a path has no equal";
            self.ledger.left_out(d.item, why);
            return (Scope::Other, Some(format!("inside of <{} {path}>: {why}", d.name)));
        }
        self.ledger.mapped(d.item, "path of the routes inside");
        (Scope::Location { path, regex }, None)
    }

    fn proxy_block(&mut self, d: &Directive, url: &str) {
        match balancer_name(url) {
            Some((name, _)) => {
                let balancer = self.server().balancer(&name);
                balancer.items.push(d.item);
            }
            None => self.server().machine(url).items.push(d.item),
        }
    }

    // ---- directives ----

    /// `NAME=VALUE` words from the `from`th on, each noted.
    fn params(&mut self, d: &Directive, from: usize) -> Vec<(String, String, Item)> {
        let with_params = ["balancermember", "proxypass", "proxypassmatch", "proxyset"];
        let is_param = with_params.contains(&d.name.to_ascii_lowercase().as_str());
        let mut out = Vec::new();
        for a in d.args.iter().skip(from).filter(|_| is_param) {
            let keyword = coverage::row(KEYWORDS, &a.text).map(|r| r.0);
            let (name, value) = match (a.text.split_once('='), keyword) {
                (Some((n, v)), _) if !n.contains(['/', ':', '^', '(']) => (n.to_ascii_lowercase(), v),
                (_, Some(k)) => (k.to_string(), ""),
                _ if from > 0 => (a.text.clone(), ""),
                _ => continue,
            };
            let item = self.ledger.note(&a.at, format!("{} {name}", d.name));
            out.push((name, value.to_string(), item));
        }
        out
    }

    fn directive(&mut self, d: &Directive) -> Result<(), ImportError> {
        match d.name.to_ascii_lowercase().as_str() {
            "include" => self.include(d, false)?,
            "includeoptional" => self.include(d, true)?,
            "define" => match d.arg(0) {
                Some(name) if !name.contains(':') => {
                    let value = d.arg(1).unwrap_or("").to_string();
                    self.defines.insert(name.to_string(), value);
                    self.ledger.mapped(d.item, "its value, where it is used");
                }
                _ => self.ledger.left_out(d.item, "no name for a variable"),
            },
            "undefine" => {
                self.defines.remove(d.arg(0).unwrap_or(""));
                self.ledger.mapped(d.item, "its value, where it is used");
            }
            "loadmodule" => {
                let name = d.arg(0).unwrap_or("");
                self.modules.insert(name.strip_suffix("_module").unwrap_or(name).to_string());
                self.ledger.left_out(d.item, "only shows which <IfModule> is taken");
            }
            "serverroot" => self.server_root(d),
            "servername" | "serveralias" => self.host(d),
            "proxytimeout" => match d.arg(0).and_then(|t| time_ms(t, 1000)) {
                Some(ms) => {
                    let item = d.item;
                    if let Some((_, old)) = self.server().timeout.replace((ms, item)) {
                        let at = self.ledger.place(item).clone();
                        self.ledger.left_out(old, format!("overridden at {at}"));
                    }
                    self.ledger.near(item, "limits answer-ms", "of the whole answer, not of each read");
                }
                None => self.ledger.left_out(d.item, "no time of a day or less"),
            },
            "proxypassinherit" | "balancerinherit" => match d.arg(0).and_then(flag) {
                Some(on) if d.name.eq_ignore_ascii_case("proxypassinherit") => {
                    self.server().inherit = Some(on);
                    self.ledger.mapped(d.item, "routes inherit");
                }
                Some(on) => {
                    self.server().inherit_balancers = Some(on);
                    self.ledger.mapped(d.item, "which pools the routes know");
                }
                None => self.ledger.left_out(d.item, "neither On nor Off"),
            },
            "balancermember" => self.balancer_member(d),
            "proxyset" => self.proxy_set(d),
            "proxypass" => self.proxy_pass(d, false),
            "proxypassmatch" => self.proxy_pass(d, true),
            _ if d.name.to_ascii_lowercase().starts_with("jk") => self.jk_directive(d)?,
            _ => {
                let why = coverage::row(HTTPD, &d.name).map_or(coverage::not_routing(), |r| r.2);
                self.ledger.left_out(d.item, why);
            }
        }
        Ok(())
    }

    fn server_root(&mut self, d: &Directive) {
        let root = PathBuf::from(d.arg(0).unwrap_or(""));
        // The files may be a copy from another machine: then names begin where the first file lies.
        if !self.files.matching(&root.display().to_string()).is_empty() {
            self.root = Some(root);
            return self.ledger.mapped(d.item, "where names of files begin");
        }
        let why = "that folder is not here: names of files begin at the first file's folder, or at --root";
        self.ledger.near(d.item, "where names of files begin", why);
    }

    fn host(&mut self, d: &Directive) {
        let mut taken = 0;
        for a in &d.args {
            let name = a.text.split_once("://").map_or(a.text.as_str(), |n| n.1);
            let name = name.rsplit_once(':').filter(|(_, p)| p.parse::<u16>().is_ok()).map_or(name, |n| n.0);
            let name = name.to_ascii_lowercase();
            let rest = name.strip_prefix("*.").unwrap_or(&name);
            if !rest.is_empty() && !rest.contains(['*', '?']) {
                taken += 1;
                self.servers[self.server].hosts.push(name);
            }
        }
        if self.server == 0 {
            return self.ledger.left_out(d.item, "the main server's routes are for every host that has none");
        }
        let why = "`*` only stands for a whole first part";
        match taken {
            0 => self.ledger.left_out(d.item, why),
            n if n == d.args.len() => self.ledger.mapped(d.item, "host"),
            n => self.ledger.near(d.item, "host", format!("{} left out: {why}", d.args.len() - n)),
        }
    }

    fn include(&mut self, d: &Directive, optional: bool) -> Result<(), ImportError> {
        let pattern = d.arg(0).unwrap_or("").to_string();
        let path = self.resolved(&pattern);
        let found = match pattern.contains(['*', '?', '[']) {
            true => self.files.matching(&path.display().to_string()),
            false => match self.files.read(&path) {
                Ok(_) => vec![path],
                Err(_) => self.files.matching(&path.display().to_string()),
            },
        };
        if found.is_empty() && !optional {
            return Err(ImportError::NoFile { at: d.at.clone(), pattern });
        }
        let n = found.len();
        self.ledger.mapped(d.item, format!("{n} file{}", if n == 1 { "" } else { "s" }));
        for path in found {
            self.included(&path, &d.at)?;
        }
        Ok(())
    }

    fn included(&mut self, path: &Path, at: &Place) -> Result<(), ImportError> {
        let file = path.display().to_string();
        if self.stack.contains(&self.files.canonical(path)) {
            return Err(ImportError::Cycle { at: at.clone(), file });
        }
        self.read += 1;
        for (n, what, most) in
            [(self.stack.len(), "files within files", MOST_DEPTH), (self.read, "files", MOST_FILES)]
        {
            if n > most {
                return Err(ImportError::TooMany { at: at.clone(), what, most });
            }
        }
        let bytes = self.named(path, at)?;
        self.play(path, &bytes)
    }

    fn named(&self, path: &Path, at: &Place) -> Result<Vec<u8>, ImportError> {
        self.files.read(path).map_err(|e| ImportError::Named {
            at: at.clone(),
            file: path.display().to_string(),
            why: e.to_string(),
        })
    }

    fn resolved(&self, name: &str) -> PathBuf {
        self.root.clone().unwrap_or_default().join(name)
    }

    // ---- balancers and machines ----

    /// Sets parameters of the balancer or machine at that URL.
    fn set_params(&mut self, url: &str, d: &Directive, from: usize) {
        let params = self.params(d, from);
        let server = &mut self.servers[self.server];
        let held = match balancer_name(url) {
            Some((name, _)) => &mut server.balancer(&name).params,
            None => &mut server.machine(url).params,
        };
        for (name, value, item) in params {
            held.set(&mut self.ledger, &name, value, item);
        }
    }

    fn balancer_member(&mut self, d: &Directive) {
        let inside = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Proxy { url } => Some(url.clone()),
            _ => None,
        });
        let first = d.arg(0).unwrap_or("");
        let (balancer, at) = match (balancer_name(first), inside) {
            (Some((name, _)), _) => (Some(name), 1),
            (None, Some(url)) => (balancer_name(&url).map(|b| b.0), 0),
            (None, None) => (None, 0),
        };
        let params = self.params(d, at + 1);
        let (Some(balancer), Some(url)) = (balancer, d.arg(at)) else {
            self.ledger.left_out(d.item, "stands in no balancer");
            for (_, _, item) in params {
                self.ledger.left_out(item, "of a member of no balancer");
            }
            return;
        };
        let url = url.to_string();
        let balancer = self.servers[self.server].balancer(&balancer);
        let known = balancer.by_url.len();
        let n = *balancer.by_url.entry(url.clone()).or_insert(known);
        if n == balancer.members.len() {
            balancer.members.push(Worker { url, items: Vec::new(), params: Params::default() });
        }
        let member = &mut balancer.members[n];
        if !member.items.contains(&d.item) {
            member.items.push(d.item);
        }
        for (name, value, item) in params {
            member.params.set(&mut self.ledger, &name, value, item);
        }
    }

    /// ProxySet changes a balancer, a machine of its own, or a member of the balancer around it, also one that
    /// came before.
    fn proxy_set(&mut self, d: &Directive) {
        let inside = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Proxy { url } => Some(url.clone()),
            _ => None,
        });
        let named =
            d.arg(0).filter(|a| a.contains("://") && !a.split("://").next().unwrap_or("").contains('='));
        let (url, from) = match (named, inside) {
            (Some(url), _) => (url.to_string(), 1),
            (None, Some(url)) => (url, 0),
            (None, None) => {
                self.ledger.left_out(d.item, "of no balancer or machine");
                for (_, _, item) in self.params(d, 0) {
                    self.ledger.left_out(item, "of no balancer or machine");
                }
                return;
            }
        };
        self.ledger.mapped(d.item, "its parameters");
        self.set_params(&url, d, from);
    }

    fn proxy_pass(&mut self, d: &Directive, is_match: bool) {
        let location = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Location { path, regex } => Some((path.clone(), *regex)),
            _ => None,
        });
        let in_location = location.is_some();
        let (path, regex, at) = match location {
            Some((path, regex)) => (path, regex || is_match, 0),
            None => (d.arg(0).unwrap_or("").to_string(), is_match, 1),
        };
        let target = d.arg(at).unwrap_or("").to_string();
        let matching = if regex { Match::Regex } else { Match::Prefix };
        let (leads, rewrite) = match (target.as_str(), balancer_name(&target)) {
            ("!", _) => (Leads::Away, None),
            (_, Some((name, rest))) => (Leads::Balancer(name), rewritten(&path, &rest, regex)),
            (url, None) if regex => (Leads::Machine(url.to_string()), groups(url)),
            (url, None) => (Leads::Machine(url.to_string()), rewritten(&path, "", false)),
        };
        match &leads {
            Leads::Away => {
                for (_, _, item) in self.params(d, at + 1) {
                    self.ledger.left_out(item, "of an exclusion");
                }
            }
            Leads::Balancer(_) => self.set_params(&target, d, at + 1),
            Leads::Machine(url) => {
                let url = machine_part(url);
                self.set_params(&url, d, at + 1);
            }
        }
        let leads = match leads {
            Leads::Machine(url) => Leads::Machine(machine_part(&url)),
            other => other,
        };
        let rule = Rule { item: d.item, pattern: path, matching, leads, rewrite };
        let server = self.server();
        if in_location {
            server.in_locations.insert(0, rule);
        } else {
            server.rules.push(rule);
        }
    }

    // ---- mod_jk ----

    fn jk_directive(&mut self, d: &Directive) -> Result<(), ImportError> {
        let location = self.sections.iter().rev().find_map(|s| match &s.scope {
            Scope::Location { path, regex: false } => Some(path.clone()),
            _ => None,
        });
        match d.name.to_ascii_lowercase().as_str() {
            name @ ("jkmount" | "jkunmount") => {
                let (path, worker) = match (d.arg(0), d.arg(1), location) {
                    (Some(path), Some(worker), _) => (path.to_string(), worker.to_string()),
                    (Some(worker), None, Some(path)) => {
                        (format!("{}/*", path.trim_end_matches('/')), worker.to_string())
                    }
                    _ => {
                        self.ledger.left_out(d.item, "needs a path and a worker");
                        return Ok(());
                    }
                };
                let mounts =
                    Mount::of(&mut self.ledger, &path, &worker, name == "jkunmount", d.item, Vec::new());
                self.server().mounts.extend(mounts);
            }
            "jkmountfile" | "jkworkersfile" => {
                let path = self.resolved(d.arg(0).unwrap_or(""));
                let bytes = self.named(&path, &d.at)?;
                self.ledger.mapped(d.item, "that file's lines");
                if d.name.eq_ignore_ascii_case("jkworkersfile") {
                    self.jk.workers_file(&mut self.ledger, &path, &bytes)?;
                } else {
                    let mounts = self.jk.mounts_file(&mut self.ledger, &path, &bytes)?;
                    self.server().mounts.extend(mounts);
                }
            }
            "jkworkerproperty" => {
                let line = d.args.iter().map(|a| a.text.as_str()).collect::<Vec<_>>().join(" ");
                self.jk.property(&mut self.ledger, &line, d.item);
            }
            "jkmountcopy" => {
                let word = d.arg(0).unwrap_or("").to_ascii_lowercase();
                match (word.as_str(), self.server) {
                    ("all", 0) => self.servers[0].copies_mounts = true,
                    ("on", n) if n > 0 => self.server().copies_mounts = true,
                    ("off", _) => self.server().copies_mounts = false,
                    _ => {
                        self.ledger
                            .left_out(d.item, "On and Off stand in a virtual host, All in the main server");
                        return Ok(());
                    }
                }
                self.ledger.mapped(d.item, "routes inherit");
            }
            name => {
                let why = coverage::row(JK_HTTPD, &d.name).map_or("not known to the importer", |r| r.2);
                self.ledger.left_out(d.item, why);
                for a in d.args.iter().filter(|_| name == "jkoptions") {
                    let item = self.ledger.note(&a.at, format!("{} {}", d.name, a.text));
                    self.ledger.left_out(item, why);
                }
            }
        }
        Ok(())
    }
}

/// A balancer's name, and the path behind it.
pub(crate) fn balancer_name(url: &str) -> Option<(String, String)> {
    let rest = url.get(..11).filter(|s| s.eq_ignore_ascii_case("balancer://")).map(|_| &url[11..])?;
    let (name, path) = rest.find('/').map_or((rest, ""), |i| rest.split_at(i));
    Some((name.to_ascii_lowercase(), path.to_string()))
}

/// Where a group of an expression (`$0` to `$9`) stands first.
fn group(url: &str) -> Option<usize> {
    url.as_bytes().windows(2).position(|w| w[0] == b'$' && w[1].is_ascii_digit())
}

/// The URL of a machine without what an expression's groups put into it.
fn machine_part(url: &str) -> String {
    group(url).map_or(url, |i| &url[..i]).to_string()
}

/// The groups that an expression puts behind a machine's own path.
fn groups(url: &str) -> Option<String> {
    group(url).map(|i| url[i..].to_string())
}

/// What a path becomes at a balancer's members; `None`: it stays.
fn rewritten(path: &str, rest: &str, regex: bool) -> Option<String> {
    // httpd puts what follows the matched part behind the target's path.
    let same = !regex && rest.trim_end_matches('/') == path.trim_end_matches('/');
    (!same).then(|| rest.to_string())
}

/// The tables' reason for a parameter.
pub(crate) fn reason(balancer: bool, name: &str) -> &'static str {
    let table = if balancer { BALANCER } else { WORKER };
    let row = coverage::row(table, name).or_else(|| coverage::row(KEYWORDS, name));
    row.map_or("not known to the importer", |r| r.2)
}
