//! The data read from httpd's files: directives, servers, balancers, workers and rules.

use crate::ledger::Item;
use crate::location::Location;
use crate::modjk::Mount;
use crate::params::Params;
use fernslip_site::Match;
use std::collections::HashMap;

/// An argument of a directive, without quotes.
#[derive(Clone, Debug)]
pub(super) struct Argument {
    pub text: String,
    pub location: Location,
}

/// A directive, or the opening tag of a section, after variable expansion.
#[derive(Clone, Debug)]
pub(super) struct Directive {
    pub name: String,
    pub arguments: Vec<Argument>,
    pub item: Item,
    pub location: Location,
}

impl Directive {
    pub fn argument(&self, index: usize) -> Option<&str> {
        self.arguments.get(index).map(|a| a.text.as_str())
    }

    /// Whether the directive has this name, compared without regard to case.
    pub fn is_named(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// A section that has been opened and not yet closed.
pub(super) struct Section {
    pub name: String,
    pub scope: Scope,
    pub location: Location,
    /// The reason why the directives inside are skipped; `None` if they take effect.
    pub skip_reason: Option<String>,
}

/// The effect of a section on the directives inside it.
pub(super) enum Scope {
    /// The directives inside belong to a virtual host; `outer` is the index of the server that becomes
    /// current again when the section closes.
    VirtualHost { outer: usize },
    /// The routes inside have the path `path`, which is a regular expression if `regex` is set.
    Location { path: String, regex: bool },
    /// The directives inside belong to the balancer or worker with this URL.
    Proxy { url: String },
    /// The section has no effect on the directives inside.
    Other,
}

/// A backend server: a member of a balancer, or one that a `ProxyPass` names directly. httpd calls both
/// workers.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub url: String,
    /// The directives that add the worker or set its parameters.
    pub items: Vec<Item>,
    pub params: Params,
}

impl Worker {
    fn new(url: &str) -> Worker {
        Worker { url: url.into(), items: Vec::new(), params: Params::default() }
    }
}

/// A balancer that one server defines.
#[derive(Clone, Debug, Default)]
pub(super) struct Balancer {
    pub name: String,
    /// The opening tags of the balancer's `<Proxy>` sections.
    pub items: Vec<Item>,
    pub params: Params,
    pub members: Vec<Worker>,
    /// Indexes in `members`, keyed by URL.
    member_by_url: HashMap<String, usize>,
}

impl Balancer {
    /// The member with this URL, which is added if it is new.
    pub fn member(&mut self, url: &str) -> &mut Worker {
        let index = *self.member_by_url.entry(url.to_string()).or_insert_with(|| {
            self.members.push(Worker::new(url));
            self.members.len() - 1
        });
        &mut self.members[index]
    }
}

/// The target of a `ProxyPass`.
#[derive(Clone, Debug)]
pub(super) enum ProxyTarget {
    /// The balancer with this name.
    Balancer(String),
    /// The worker with this URL.
    Worker(String),
    /// No target: the path is excluded from proxying.
    Excluded,
}

/// The rule of one `ProxyPass` or `ProxyPassMatch`.
#[derive(Clone, Debug)]
pub(super) struct ProxyRule {
    pub item: Item,
    pub pattern: String,
    pub matching: Match,
    pub target: ProxyTarget,
    /// The text that replaces the matched part of the path; `None` if the path is forwarded unchanged.
    pub rewrite: Option<String>,
}

/// The value of a `ProxyTimeout`.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProxyTimeout {
    pub ms: u64,
    pub item: Item,
}

/// The configuration of the main server or of a virtual host.
#[derive(Default)]
pub(crate) struct Server {
    /// The names from `ServerName` and `ServerAlias`, in lower case.
    pub hosts: Vec<String>,
    /// The rules outside `<Location>` sections, in the order of the files.
    pub(super) rules: Vec<ProxyRule>,
    /// The rules of `<Location>` sections, in reverse order; they precede the other rules.
    pub(super) location_rules: Vec<ProxyRule>,
    pub(super) balancers: Vec<Balancer>,
    /// Indexes in `balancers`, keyed by name.
    balancer_by_name: HashMap<String, usize>,
    /// The workers that belong to no balancer.
    pub(super) workers: Vec<Worker>,
    /// Indexes in `workers`, keyed by URL.
    worker_by_url: HashMap<String, usize>,
    pub(super) timeout: Option<ProxyTimeout>,
    /// The value of `ProxyPassInherit`, which is on by default.
    pub inherits_routes: Option<bool>,
    /// The value of `BalancerInherit`, which is on by default.
    pub(super) inherits_balancers: Option<bool>,
    pub mounts: Vec<Mount>,
    /// Whether `JkMountCopy` copies the main server's mounts: to this virtual host, or to all if this is the
    /// main server.
    pub copies_mounts: bool,
}

impl Server {
    /// The balancer with this name, which is added if it is new.
    pub(super) fn balancer(&mut self, name: &str) -> &mut Balancer {
        let index = *self.balancer_by_name.entry(name.to_string()).or_insert_with(|| {
            self.balancers.push(Balancer { name: name.into(), ..Balancer::default() });
            self.balancers.len() - 1
        });
        &mut self.balancers[index]
    }

    /// The worker with this URL that belongs to no balancer, which is added if it is new.
    pub(super) fn worker(&mut self, url: &str) -> &mut Worker {
        let index = *self.worker_by_url.entry(url.to_string()).or_insert_with(|| {
            self.workers.push(Worker::new(url));
            self.workers.len() - 1
        });
        &mut self.workers[index]
    }
}
