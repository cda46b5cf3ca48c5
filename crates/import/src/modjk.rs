//! mod_jk's files: properties of workers, and mounts of paths onto them.

use crate::build::{Builder, Machine};
use crate::coverage::{self, JK_GLOBAL, JK_MOUNT, JK_WORKER};
use crate::error::ImportError;
use crate::params::{flag, time_ms, Param, Params};
use crate::report::{Item, Ledger};
use crate::text::{expand, lines, MOST_LINE_BYTES};
use fernslip_site::{Match, MemberLimits, Pool, Protocol, Route, State, Target, Use};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::path::Path;
use std::sync::Arc;

/// A worker's template may have a template of its own, and so on, this deep.
const MOST_REFERENCES: usize = 20;
const MOST_WEIGHT: f64 = 1e6;

/// A path mounted onto a worker, or kept off it.
#[derive(Clone, Debug)]
pub(crate) struct Mount {
    pub item: Item,
    pub pattern: String,
    pub worker: String,
    pub exclude: bool,
    pub attributes: Vec<(String, Param)>,
}

impl Mount {
    /// The mounts of one line: `/a|/*` is two.
    pub fn of(
        ledger: &mut Ledger,
        path: &str,
        worker: &str,
        exclude: bool,
        item: Item,
        attributes: Vec<(String, Param)>,
    ) -> Vec<Mount> {
        let patterns = match path.split_once('|') {
            Some((stem, rest)) => vec![stem.to_string(), format!("{stem}{rest}")],
            None => vec![path.to_string()],
        };
        if patterns.iter().any(|p| !p.starts_with('/')) {
            ledger.left_out(item, "a mount's path begins with `/`");
            for (_, a) in attributes {
                ledger.left_out(a.item, "of a mount that is left out");
            }
            return Vec::new();
        }
        let mount = |pattern| Mount {
            item,
            pattern,
            worker: worker.to_string(),
            exclude,
            attributes: attributes.clone(),
        };
        patterns.into_iter().map(mount).collect()
    }
}

/// Cuts a comment off: from a `#` that no backslash precedes.
fn without_comment(text: &str) -> String {
    let mut out = String::new();
    let mut chars = text.chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '\\' if chars.peek() == Some(&'#') => out.extend(chars.next()),
            '#' => break,
            c => out.push(c),
        }
    }
    out.trim_end().to_string()
}

/// The members of a list: cut at blanks and commas.
fn list(value: &str) -> Vec<String> {
    value.split([',', ' ', '\t']).filter(|v| !v.is_empty()).map(String::from).collect()
}

fn state_of(word: &str) -> Option<State> {
    match word.to_ascii_lowercase().as_str() {
        "active" | "a" | "act" => Some(State::Ready),
        "disabled" | "d" | "dis" => Some(State::Draining),
        "stopped" | "s" | "sto" | "stop" => Some(State::Stopped),
        _ => None,
    }
}

/// What a pool has so far, and the stop of a value that its kind of worker gives it.
struct Worker {
    props: Params,
    /// From templates: not this worker's own lines, so no verdicts of theirs.
    inherited: BTreeMap<String, String>,
}

impl Worker {
    fn value(&self, name: &str) -> Option<&str> {
        let own = self.props.0.get(name).map(|p| p.value.as_str());
        own.or_else(|| self.inherited.get(name).map(String::as_str))
    }

    /// The first of several names that has a value: an old name gives way to the new.
    fn first(&self, names: &[&str]) -> Option<&str> {
        names.iter().find_map(|n| self.value(n))
    }
}

/// Everything read of workers files, and later the pools made of it.
#[derive(Default)]
pub(crate) struct Jk {
    /// By the worker's name, in the order of the first line of each.
    workers: HashMap<String, Params>,
    order: Vec<String>,
    listed: Vec<String>,
    /// Properties that lines below may use.
    values: HashMap<String, String>,
    /// Mounts that stand in the workers file.
    pub mounts: Vec<Mount>,
    members: HashMap<String, String>,
    pools: HashMap<String, String>,
    variants: HashMap<(String, String), String>,
}

impl Jk {
    /// Reads a workers file.
    pub fn workers_file(
        &mut self,
        ledger: &mut Ledger,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), ImportError> {
        let file: Arc<str> = path.display().to_string().into();
        for line in lines(&file, bytes, false)? {
            if line.text.starts_with('#') {
                continue;
            }
            let at = line.place(&file, 0);
            let name = line.text.split('=').next().unwrap_or("").trim();
            let item = ledger.note(&at, name);
            if line.broken {
                ledger.left_out(item, "bytes that are no UTF-8");
                continue;
            }
            let text = without_comment(&line.text);
            let too_long = || ImportError::TooLong { at: at.clone(), expanded: true, most: MOST_LINE_BYTES };
            let text = expand(&text, "$(", ')', |n| self.values.get(n).map(String::as_str));
            self.property(ledger, &text.ok_or_else(too_long)?.text, item);
        }
        Ok(())
    }

    /// Takes one line, its variables put in.
    pub fn property(&mut self, ledger: &mut Ledger, line: &str, item: Item) {
        let Some((name, value)) = line.split_once('=') else {
            return ledger.left_out(item, "no `name=value`");
        };
        let (name, value) = (name.trim(), value.trim());
        self.values.insert(name.to_string(), value.to_string());
        if name == "worker.list" {
            for w in list(value) {
                if !self.listed.contains(&w) {
                    self.listed.push(w);
                }
            }
            return ledger.mapped(item, "which workers can be mounted");
        }
        if let Some((_, _, why)) = coverage::row(JK_GLOBAL, name) {
            return ledger.left_out(item, *why);
        }
        let parts = name.strip_prefix("worker.").and_then(|rest| rest.rsplit_once('.'));
        let Some((worker, property)) = parts.filter(|(w, _)| !w.is_empty()) else {
            // A name of the file's own: lines below may use its value.
            return ledger.mapped(item, "its value, where it is used");
        };
        if coverage::row(JK_WORKER, property).is_none() {
            return ledger.left_out(item, "not known to the importer");
        }
        if !self.workers.contains_key(worker) {
            self.order.push(worker.to_string());
        }
        let props = self.workers.entry(worker.to_string()).or_default();
        if property == "mount" {
            let paths = list(value);
            let mounts = paths.iter().flat_map(|p| Mount::of(ledger, p, worker, false, item, Vec::new()));
            self.mounts.extend(mounts);
            return;
        }
        props.set(ledger, property, value.to_string(), item);
    }

    /// Reads a file of mounts.
    pub fn mounts_file(
        &mut self,
        ledger: &mut Ledger,
        path: &Path,
        bytes: &[u8],
    ) -> Result<Vec<Mount>, ImportError> {
        let file: Arc<str> = path.display().to_string().into();
        let mut mounts = Vec::new();
        let mut values: HashMap<String, String> = HashMap::new();
        for line in lines(&file, bytes, false)? {
            if line.text.starts_with('#') {
                continue;
            }
            let at = line.place(&file, 0);
            let name = line.text.split('=').next().unwrap_or("").trim().to_string();
            let item = ledger.note(&at, name);
            if line.broken {
                ledger.left_out(item, "bytes that are no UTF-8");
                continue;
            }
            let source = without_comment(&line.text);
            let expanded = expand(&source, "$(", ')', |n| values.get(n).map(String::as_str));
            let too_long = || ImportError::TooLong { at: at.clone(), expanded: true, most: MOST_LINE_BYTES };
            let expanded = expanded.ok_or_else(too_long)?;
            let Some((path, rest)) = expanded.text.split_once('=') else {
                ledger.left_out(item, "no `path=worker`");
                continue;
            };
            let path = path.trim();
            let mut pieces = rest.split(';');
            let worker = pieces.next().unwrap_or("").trim().to_string();
            let mut offset = path.len() + 1 + rest.find(';').unwrap_or(rest.len()) + 1;
            let mut attributes = Vec::new();
            for piece in pieces {
                let (name, value) = piece.split_once('=').unwrap_or((piece, ""));
                let name = name.trim();
                let lead = piece.len() - piece.trim_start().len();
                let place = line.place(&file, expanded.source((offset + lead).min(expanded.text.len())));
                if !name.is_empty() {
                    let item = ledger.note(&place, format!("mount {name}"));
                    attributes.push((name.to_string(), Param { value: value.trim().to_string(), item }));
                }
                offset += piece.len() + 1;
            }
            if !path.starts_with(['/', '!', '-']) {
                // A name of the file's own, which lines below may use.
                values.insert(path.to_string(), rest.trim().to_string());
                ledger.mapped(item, "its value, where it is used");
                continue;
            }
            if path.starts_with('-') {
                ledger.left_out(item, "switched off by its `-`");
                for (_, a) in attributes {
                    ledger.left_out(a.item, "of a mount that is switched off");
                }
                continue;
            }
            let (exclude, path) = path.strip_prefix('!').map_or((false, path), |p| (true, p));
            mounts.extend(Mount::of(ledger, path, &worker, exclude, item, attributes));
        }
        Ok(mounts)
    }

    /// A worker with what its templates give it.
    fn worker(&self, ledger: &mut Ledger, name: &str) -> Option<Worker> {
        let props = self.workers.get(name)?.clone();
        let mut inherited = BTreeMap::new();
        let mut seen = HashSet::from([name.to_string()]);
        let mut at = props.0.get("reference").cloned();
        let own = at.clone();
        for depth in 0.. {
            let Some(reference) = at else { break };
            let template = reference.value.strip_prefix("worker.").unwrap_or(&reference.value).to_string();
            let own = own.as_ref().map_or(reference.item, |o| o.item);
            let Some(held) = self.workers.get(&template) else {
                ledger.left_out(own, format!("no worker is called `{template}`"));
                break;
            };
            if !seen.insert(template.clone()) || depth >= MOST_REFERENCES {
                ledger.left_out(own, format!("`{template}` refers back to itself, or too far"));
                break;
            }
            for (k, p) in &held.0 {
                inherited.entry(k.clone()).or_insert_with(|| p.value.clone());
            }
            at = held.0.get("reference").cloned();
        }
        inherited.remove("reference");
        if let Some(own) = own {
            ledger.mapped(own.item, "the template's properties");
        }
        Some(Worker { props, inherited })
    }

    /// A member for a worker of a machine, once.
    fn member(&mut self, ledger: &mut Ledger, builder: &mut Builder, name: &str) -> Result<String, String> {
        if let Some(id) = self.members.get(name) {
            return Ok(id.clone());
        }
        let w = self.worker(ledger, name).ok_or_else(|| format!("no worker is called `{name}`"))?;
        self.machine_member(ledger, builder, name, &w).inspect_err(|why| {
            for p in w.props.0.values() {
                ledger.left_out(p.item, why.clone());
            }
        })
    }

    fn machine_member(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut Builder,
        name: &str,
        w: &Worker,
    ) -> Result<String, String> {
        let kind = w.value("type").unwrap_or("ajp13").to_ascii_lowercase();
        let (protocol, port) = match kind.as_str() {
            "ajp13" => (Protocol::Ajp13, "8009"),
            "ajp14" => (Protocol::Ajp14, "8011"),
            other => return Err(format!("`{name}` is of the type `{other}`, which has no machine")),
        };
        let host = w.value("host").unwrap_or("localhost");
        let address = format!("{host}:{}", w.value("port").unwrap_or(port));
        if fernslip_site::host_port(&address).is_none() {
            return Err(format!("`{name}` has no address: `{address}` is no host and port"));
        }
        let machine = Machine { protocol, address, path: None };
        let number = |names: &[&str]| w.first(names).and_then(|v| v.parse::<u64>().ok()).filter(|n| *n > 0);
        let time = |names: &[&str], unit| w.first(names).and_then(|v| time_ms(v, unit)).filter(|n| *n > 0);
        let limits = MemberLimits {
            connections: number(&["connection_pool_size", "cachesize"]).filter(|n| *n <= 1 << 24),
            in_flight: number(&["busy_limit"]).filter(|n| *n <= 1 << 24),
            connect_ms: time(&["socket_connect_timeout"], 1),
            answer_ms: time(&["reply_timeout"], 1).or_else(|| time(&["socket_timeout"], 1000)),
            idle_ms: time(&["connection_pool_timeout", "cache_timeout"], 1000),
        };
        let id = builder.named_member(name, &machine, limits.clone());
        self.members.insert(name.to_string(), id.clone());
        self.member_verdicts(ledger, w, &id, &limits);
        Ok(id)
    }

    fn member_state(&self, w: &Worker) -> State {
        let old = |name, state| w.value(name).and_then(flag).unwrap_or(false).then_some(state);
        let old = old("stopped", State::Stopped).or(old("disabled", State::Draining));
        let new = w.value("activation").map(|v| {
            // What can't be read is not taken as live.
            state_of(v).unwrap_or(State::Draining)
        });
        new.unwrap_or(State::Ready).stricter(old.unwrap_or(State::Ready))
    }

    fn member_verdicts(&self, ledger: &mut Ledger, w: &Worker, id: &str, limits: &MemberLimits) {
        let target = |what: &str| format!("member \"{id}\" {what}");
        for (name, p) in &w.props.0 {
            let row = coverage::row(JK_WORKER, name).map_or("", |r| r.2);
            let limit = |v: Option<u64>, what: &str| v.map(|_| target(what));
            match name.as_str() {
                "type" | "host" | "port" => ledger.mapped(p.item, target("address")),
                "reference" => {}
                "activation" if state_of(&p.value).is_none() => {
                    let why = "neither active, disabled nor stopped: taken as draining";
                    ledger.near(p.item, target("use state"), why);
                }
                "disabled" | "stopped" if flag(&p.value).is_none() => {
                    ledger.left_out(p.item, "neither true nor false");
                }
                "activation" | "disabled" | "stopped" => ledger.mapped(p.item, target("use state")),
                "connection_pool_size"
                | "cachesize"
                | "busy_limit"
                | "socket_connect_timeout"
                | "connection_pool_timeout"
                | "cache_timeout"
                | "reply_timeout"
                | "socket_timeout" => {
                    let (to, near) = match name.as_str() {
                        "connection_pool_size" | "cachesize" => (
                            limit(limits.connections, "limits connections"),
                            "of the front, not of each process",
                        ),
                        "busy_limit" => (limit(limits.in_flight, "limits in-flight"), ""),
                        "socket_connect_timeout" => (limit(limits.connect_ms, "limits connect-ms"), ""),
                        "reply_timeout" | "socket_timeout" => {
                            (limit(limits.answer_ms, "limits answer-ms"), "of the whole answer")
                        }
                        _ => (limit(limits.idle_ms, "limits idle-ms"), ""),
                    };
                    let newer = match name.as_str() {
                        "cachesize" => w.value("connection_pool_size").is_some(),
                        "cache_timeout" => w.value("connection_pool_timeout").is_some(),
                        "socket_timeout" => w.value("reply_timeout").is_some(),
                        _ => false,
                    };
                    match to {
                        _ if newer => ledger.left_out(p.item, "a newer or nearer property says the same"),
                        None if p.value.trim() == "0" => ledger.mapped(p.item, "no limit"),
                        None => ledger.left_out(p.item, "no number of its range"),
                        Some(to) if near.is_empty() => ledger.mapped(p.item, to),
                        Some(to) => ledger.near(p.item, to, near),
                    }
                }
                // What is of a member's part in a pool is judged with the pool.
                "lbfactor"
                | "distance"
                | "domain"
                | "redirect"
                | "recover_time"
                | "retries"
                | "fail_on_status"
                | "max_reply_timeouts"
                | "connection_acquire_timeout" => {}
                _ => ledger.left_out(p.item, row),
            }
        }
    }

    /// A member's part in a pool.
    fn part(&mut self, ledger: &mut Ledger, name: &str, id: &str, pool: &str) -> Use {
        let mut u =
            Use { member: id.into(), weight: None, state: None, tier: None, group: None, instead: None };
        let Some(w) = self.worker(ledger, name) else { return u };
        let to = |what: &str| format!("pool \"{pool}\" use \"{id}\" {what}");
        if let Some(v) = w.value("lbfactor") {
            u.weight = v.parse().ok().filter(|n: &f64| *n > 0.0 && *n <= MOST_WEIGHT);
            if let Some(p) = w.props.0.get("lbfactor") {
                match u.weight {
                    Some(_) => ledger.mapped(p.item, to("weight")),
                    None => ledger.left_out(p.item, "no number above 0"),
                }
            }
        }
        if let Some(v) = w.value("distance") {
            u.tier = v.parse().ok().filter(|n| *n <= u64::from(u32::MAX));
            if let Some(p) = w.props.0.get("distance") {
                match u.tier {
                    Some(_) => ledger.mapped(p.item, to("tier")),
                    None => ledger.left_out(p.item, "no whole number"),
                }
            }
        }
        // Of its part in the pool, not of the member as a whole: a mount may say otherwise for itself alone.
        u.state = Some(self.member_state(&w)).filter(|s| *s != State::Ready);
        u.group = w.value("domain").map(String::from);
        if let Some(p) = w.props.0.get("domain") {
            ledger.mapped(p.item, to("group"));
        }
        u
    }

    /// Makes a pool of a worker that paths are mounted onto, once; its name, or why there is none.
    fn pool(&mut self, ledger: &mut Ledger, builder: &mut Builder, name: &str) -> Result<String, String> {
        if let Some(pool) = self.pools.get(name) {
            return Ok(pool.clone());
        }
        let w = self.worker(ledger, name).ok_or_else(|| format!("no worker is called `{name}`"))?;
        let kind = w.value("type").unwrap_or("ajp13").to_ascii_lowercase();
        let balances = match kind.as_str() {
            "lb" => true,
            "ajp13" | "ajp14" => false,
            other => {
                for p in w.props.0.values() {
                    ledger.left_out(p.item, format!("a worker of the type `{other}` has no equal"));
                }
                return Err(format!("`{name}` is of the type `{other}`, which has no equal"));
            }
        };
        let mut pool = builder.pool(name);
        let mut names = vec![name.to_string()];
        if balances {
            names = Vec::new();
            for key in ["balance_workers", "balanced_workers"] {
                let Some(v) = w.value(key) else { continue };
                names.extend(list(v));
            }
        }
        let mut lost = Vec::new();
        let mut used: Vec<(String, String)> = Vec::new();
        let mut seen = HashSet::new();
        names.retain(|n| seen.insert(n.clone()));
        for member in &names {
            match self.member(ledger, builder, member) {
                Ok(id) => {
                    pool.members.push(self.part(ledger, member, &id, &pool.name));
                    used.push((member.clone(), id));
                }
                Err(why) => lost.push(why),
            }
        }
        self.redirects(ledger, &mut pool, &used);
        for member in &names {
            if let Some(w) = self.worker(ledger, member) {
                self.pool_values(ledger, &w, &mut pool, false);
            }
        }
        if balances {
            self.pool_values(ledger, &w, &mut pool, true);
            self.balancer_verdicts(ledger, &w, &pool, &lost);
        }
        let made = pool.name.clone();
        builder.site.pools.push(pool);
        self.pools.insert(name.to_string(), made.clone());
        Ok(made)
    }

    /// `used` are the pool's members, in its order: the worker's name and the member's id.
    fn redirects(&self, ledger: &mut Ledger, pool: &mut Pool, used: &[(String, String)]) {
        let workers: Vec<Option<Worker>> = used.iter().map(|(n, _)| self.worker(ledger, n)).collect();
        // A redirect names a route, which is the worker's name where nothing else is told.
        let mut by_route: HashMap<&str, &str> = HashMap::new();
        for (w, (name, id)) in workers.iter().zip(used) {
            let route = w.as_ref().and_then(|w| w.first(&["route", "jvm_route"])).unwrap_or(name);
            by_route.entry(route).or_insert(id);
        }
        for (w, u) in workers.iter().zip(&mut pool.members) {
            let Some((w, v)) = w.as_ref().and_then(|w| Some((w, w.value("redirect")?))) else { continue };
            u.instead = by_route.get(v).filter(|id| **id != u.member).map(|id| id.to_string());
            let Some(p) = w.props.0.get("redirect") else { continue };
            match &u.instead {
                Some(id) => {
                    let to = format!("pool \"{}\" use instead=\"{id}\"", pool.name);
                    ledger.near(p.item, to, "for all requests, not a session's");
                }
                None => {
                    ledger.left_out(p.item, format!("no other member of its balancer has the route `{v}`"))
                }
            }
        }
    }

    /// What workers say that is a pool's matter here. Of several members' values the least holds.
    fn pool_values(&self, ledger: &mut Ledger, w: &Worker, pool: &mut Pool, balancer: bool) {
        let integer = |name: &str| w.value(name).and_then(|v| v.parse::<u64>().ok());
        let least = |held: &mut Option<u64>, v: Option<u64>| {
            *held = match (*held, v) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            }
        };
        least(&mut pool.recovery.first_backoff_ms, w.value("recover_time").and_then(|v| time_ms(v, 1000)));
        least(&mut pool.retry.attempts, integer("retries").filter(|n| (1..=1000).contains(n)));
        least(&mut pool.recovery.failures, integer("max_reply_timeouts").filter(|n| (1..=1000).contains(n)));
        least(&mut pool.limits.wait_ms, w.value("connection_acquire_timeout").and_then(|v| time_ms(v, 1)));
        if let Some(v) = w.value("fail_on_status") {
            let (codes, rest) = statuses(v);
            for c in codes {
                if !pool.recovery.fail_on.contains(&c) {
                    pool.recovery.fail_on.push(c);
                }
            }
            if let Some(p) = w.props.0.get("fail_on_status") {
                let to = format!("pool \"{}\" recovery fail-on", pool.name);
                match rest.is_empty() {
                    true => ledger.mapped(p.item, to),
                    false => {
                        ledger.near(p.item, to, format!("without {}, which have no equal", rest.join(", ")))
                    }
                }
            }
        }
        let whose = if balancer { "" } else { "the least of the pool's members'; " };
        for (name, what, held, why) in [
            (
                "recover_time",
                "recovery first-ms",
                pool.recovery.first_backoff_ms,
                "it grows with each failed trial",
            ),
            ("retries", "retry attempts", pool.retry.attempts, "at any members, not at the same one"),
            (
                "max_reply_timeouts",
                "recovery failures",
                pool.recovery.failures,
                "failures of any kind, in a row",
            ),
            ("connection_acquire_timeout", "limits wait-ms", pool.limits.wait_ms, "for a free member"),
        ] {
            let Some(p) = w.props.0.get(name) else { continue };
            match held {
                Some(_) => {
                    ledger.near(p.item, format!("pool \"{}\" {what}", pool.name), format!("{whose}{why}"))
                }
                None => ledger.left_out(p.item, "no number of its range"),
            }
        }
    }

    fn balancer_verdicts(&self, ledger: &mut Ledger, w: &Worker, pool: &Pool, lost: &[String]) {
        let to = format!("pool \"{}\"", pool.name);
        for (name, p) in &w.props.0 {
            match name.as_str() {
                "type" => {
                    let why = "sessions don't stick to members, which mod_jk's do unless told otherwise";
                    match w.value("sticky_session").and_then(flag) {
                        Some(false) => ledger.mapped(p.item, to.clone()),
                        _ => ledger.near(p.item, to.clone(), why),
                    }
                }
                "balance_workers" | "balanced_workers" if lost.is_empty() => {
                    ledger.mapped(p.item, format!("{to} use"));
                }
                "balance_workers" | "balanced_workers" => {
                    ledger.near(p.item, format!("{to} use"), lost.join("; "));
                }
                "sticky_session" if flag(&p.value) == Some(false) => {
                    ledger.mapped(p.item, "nothing sticks anyway");
                }
                "method" => match p.value.to_ascii_uppercase().chars().next() {
                    Some('R') => {
                        let why = "a member's share is its weight, by the objects' homes, not in turn";
                        ledger.near(p.item, format!("{to} use weight"), why);
                    }
                    _ => ledger.left_out(p.item, "only counting requests has a near equal"),
                },
                "reference"
                | "recover_time"
                | "retries"
                | "max_reply_timeouts"
                | "fail_on_status"
                | "connection_acquire_timeout" => {}
                _ => {
                    let why = coverage::row(JK_WORKER, name).map_or("not known to the importer", |r| r.2);
                    let own = matches!(
                        coverage::row(JK_WORKER, name),
                        Some((_, crate::Verdict::Mapped | crate::Verdict::Approximated, _))
                    );
                    ledger.left_out(p.item, if own { "of a machine; a balancer has none" } else { why });
                }
            }
        }
    }

    /// The pool of a mount: the worker's own, or one that differs by the mount's attributes.
    fn mounted(&mut self, ledger: &mut Ledger, builder: &mut Builder, m: &Mount) -> Result<String, String> {
        let base = self.pool(ledger, builder, &m.worker)?;
        let own = ["active", "disabled", "stopped", "reply_timeout", "fail_on_status"];
        let mut key: Vec<String> = m
            .attributes
            .iter()
            .filter(|(n, _)| own.contains(&n.as_str()))
            .map(|(n, p)| format!("{n}={}", p.value))
            .collect();
        if key.is_empty() {
            return Ok(base);
        }
        key.sort();
        let key = (base.clone(), key.join(";"));
        let Some(mut pool) = builder.site.pools.iter().find(|p| p.name == base).cloned() else {
            return Ok(base);
        };
        let known = self.variants.get(&key).cloned();
        pool.name = known.clone().unwrap_or_else(|| builder.pool_names.give(&base));
        let to = format!("pool \"{}\"", pool.name);
        // Named in two lists, the stricter holds: they are taken in the order of `own`.
        for (name, p) in own.iter().flat_map(|o| m.attributes.iter().filter(move |(n, _)| n == o)) {
            match name.as_str() {
                "reply_timeout" => match time_ms(&p.value, 1) {
                    Some(ms) => {
                        pool.limits.answer_ms = Some(ms).filter(|ms| *ms > 0);
                        ledger.near(p.item, format!("{to} limits answer-ms"), "of the whole answer");
                    }
                    None => ledger.left_out(p.item, "no time of a day or less"),
                },
                "fail_on_status" => {
                    let (codes, rest) = statuses(&p.value);
                    pool.recovery.fail_on = codes;
                    match rest.is_empty() {
                        true => ledger.mapped(p.item, format!("{to} recovery fail-on")),
                        false => {
                            let why = format!("without {}, which have no equal", rest.join(", "));
                            ledger.near(p.item, format!("{to} recovery fail-on"), why);
                        }
                    }
                }
                word => {
                    let state = state_of(word).unwrap_or(State::Draining);
                    let missing = self.set_states(&mut pool, &p.value, state);
                    match missing.is_empty() {
                        true => ledger.mapped(p.item, format!("{to} use state")),
                        false => {
                            let why = format!("without {}: no member of it", missing.join(", "));
                            ledger.near(p.item, format!("{to} use state"), why);
                        }
                    }
                }
            }
        }
        let name = pool.name.clone();
        if known.is_none() {
            builder.site.pools.push(pool);
            self.variants.insert(key, name.clone());
        }
        Ok(name)
    }

    /// Sets the state of these members in a pool; those that are none of it.
    fn set_states(&self, pool: &mut Pool, value: &str, state: State) -> Vec<String> {
        let mut missing = Vec::new();
        for name in list(value) {
            let id = self.members.get(&name);
            match id.and_then(|id| pool.members.iter_mut().find(|u| u.member == *id)) {
                Some(u) => u.state = Some(state).filter(|s| *s != State::Ready),
                None => missing.push(format!("`{name}`")),
            }
        }
        missing
    }

    /// The rule of a mount.
    pub fn rule(&mut self, ledger: &mut Ledger, builder: &mut Builder, m: &Mount) -> Option<Route> {
        let wild = m.pattern.contains(['*', '?']);
        let matching = Some(if wild { Match::Wildcard } else { Match::Exact });
        for (name, p) in &m.attributes {
            match coverage::row(JK_MOUNT, name) {
                Some((_, crate::Verdict::LeftOut, why)) => ledger.left_out(p.item, *why),
                Some(_) if m.exclude => ledger.left_out(p.item, "of an exclusion"),
                Some(_) => {}
                None => ledger.left_out(p.item, "not known to the importer"),
            }
        }
        let route = |target| Route { pattern: m.pattern.clone(), matching, target, rewrite: None };
        if m.exclude {
            if m.worker == "*" {
                ledger.mapped(m.item, "route exclude");
                return Some(route(Target::Exclude(None)));
            }
            return match self.pool(ledger, builder, &m.worker) {
                Ok(pool) => {
                    ledger.mapped(m.item, format!("route exclude pool=\"{pool}\""));
                    Some(route(Target::Exclude(Some(pool))))
                }
                Err(why) => {
                    ledger.left_out(m.item, format!("keeps nothing back: {why}"));
                    None
                }
            };
        }
        match self.mounted(ledger, builder, m) {
            Ok(pool) => {
                ledger.mapped(m.item, format!("route pool=\"{pool}\""));
                Some(route(Target::Pool(pool)))
            }
            Err(why) => {
                // mod_jk would fail these requests; another route must not take them instead.
                for (_, p) in &m.attributes {
                    ledger.left_out(p.item, "of a mount that leads nowhere");
                }
                ledger.near(m.item, "route exclude", format!("{why}: the path is kept from other routes"));
                Some(route(Target::Exclude(None)))
            }
        }
    }

    /// Makes what no path is mounted onto: listed workers become pools, the rest is told as unused.
    pub fn finish(&mut self, ledger: &mut Ledger, builder: &mut Builder) {
        for name in self.listed.clone() {
            let _ = self.pool(ledger, builder, &name);
        }
        for name in self.order.clone() {
            let balancer = self.worker(ledger, &name).is_some_and(|w| w.value("type") == Some("lb"));
            if balancer && !self.pools.contains_key(&name) {
                let _ = self.pool(ledger, builder, &name);
            }
        }
        let templates: HashSet<String> = self
            .workers
            .values()
            .filter_map(|p| p.0.get("reference"))
            .map(|r| r.value.strip_prefix("worker.").unwrap_or(&r.value).to_string())
            .collect();
        for name in &self.order {
            if self.members.contains_key(name) || self.pools.contains_key(name) {
                continue;
            }
            for p in self.workers.get(name).into_iter().flat_map(|w| w.0.values()) {
                if templates.contains(name) {
                    ledger.mapped(p.item, "the workers that refer to it");
                } else {
                    ledger.left_out(p.item, "of a worker that is in no list and no balancer");
                }
            }
        }
    }
}

/// Status codes, and what among them is none that a site document takes.
fn statuses(value: &str) -> (Vec<u16>, Vec<String>) {
    let (mut codes, mut rest) = (Vec::new(), Vec::new());
    for word in list(value) {
        match word.parse::<u16>().ok().filter(|c| (100..=599).contains(c)) {
            Some(c) => codes.push(c),
            None => rest.push(word),
        }
    }
    (codes, rest)
}
