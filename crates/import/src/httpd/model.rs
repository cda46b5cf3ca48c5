//! What was read of httpd's files: directives, servers, balancers, workers and rules.

use crate::ledger::Item;
use crate::location::Location;
use crate::modjk::Mount;
use crate::params::Params;
use fernslip_site::Match;
use std::collections::HashMap;

/// An argument of a directive.
#[derive(Clone, Debug)]
pub(super) struct Argument {
    pub text: String,
    pub location: Location,
}

/// A directive, or the opening of a section, with its variables expanded.
#[derive(Clone, Debug)]
pub(super) struct Directive {
    pub name: String,
    pub arguments: Vec<Argument>,
    pub item: Item,
    pub location: Location,
}

impl Directive {
    pub fn argument(&self, n: usize) -> Option<&str> {
        self.arguments.get(n).map(|a| a.text.as_str())
    }

    /// Whether it has this name; case does not matter in names.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// An open section.
pub(super) struct Section {
    pub name: String,
    pub scope: Scope,
    pub location: Location,
    /// Why nothing in it takes effect, if so.
    pub skip_reason: Option<String>,
}

/// What a section means for the directives inside.
pub(super) enum Scope {
    /// They belong to a virtual host; `outer` is the server around it.
    VirtualHost { outer: usize },
    /// Their path is this one.
    Location { path: String, regex: bool },
    /// They belong to the balancer or worker of this URL.
    Proxy { url: String },
    /// Nothing.
    Other,
}

/// A backend server: a member of a balancer, or one that a ProxyPass names. httpd calls both workers.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub url: String,
    /// The directives that name it.
    pub items: Vec<Item>,
    pub params: Params,
}

impl Worker {
    fn new(url: &str) -> Worker {
        Worker { url: url.into(), items: Vec::new(), params: Params::default() }
    }
}

/// A balancer of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Balancer {
    pub name: String,
    /// The sections that name it.
    pub items: Vec<Item>,
    pub params: Params,
    pub members: Vec<Worker>,
    member_by_url: HashMap<String, usize>,
}

impl Balancer {
    /// The member with this URL, added if it is not there.
    pub fn member(&mut self, url: &str) -> &mut Worker {
        let index = *self.member_by_url.entry(url.to_string()).or_insert_with(|| {
            self.members.push(Worker::new(url));
            self.members.len() - 1
        });
        &mut self.members[index]
    }
}

/// Where a ProxyPass leads.
#[derive(Clone, Debug)]
pub(super) enum ProxyTarget {
    /// To a balancer, by its name.
    Balancer(String),
    /// To one worker, by its URL.
    Worker(String),
    /// Nowhere: the path is excluded.
    Excluded,
}

/// A ProxyPass.
#[derive(Clone, Debug)]
pub(super) struct ProxyRule {
    pub item: Item,
    pub pattern: String,
    pub matching: Match,
    pub target: ProxyTarget,
    pub rewrite: Option<String>,
}

/// A ProxyTimeout.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProxyTimeout {
    pub ms: u64,
    pub item: Item,
}

/// The main server, or a virtual host.
#[derive(Default)]
pub(crate) struct Server {
    pub hosts: Vec<String>,
    /// Rules outside of `<Location>`, in their order.
    pub(super) rules: Vec<ProxyRule>,
    /// Rules of `<Location>`, the last first; they come before the others.
    pub(super) location_rules: Vec<ProxyRule>,
    pub(super) balancers: Vec<Balancer>,
    balancer_by_name: HashMap<String, usize>,
    /// Workers outside of balancers.
    pub(super) workers: Vec<Worker>,
    worker_by_url: HashMap<String, usize>,
    pub(super) timeout: Option<ProxyTimeout>,
    pub inherits_routes: Option<bool>,
    pub(super) inherits_balancers: Option<bool>,
    pub mounts: Vec<Mount>,
    pub copies_mounts: bool,
}

impl Server {
    /// The balancer of this name, added if it is not there.
    pub(super) fn balancer(&mut self, name: &str) -> &mut Balancer {
        let index = *self.balancer_by_name.entry(name.to_string()).or_insert_with(|| {
            self.balancers.push(Balancer { name: name.into(), ..Balancer::default() });
            self.balancers.len() - 1
        });
        &mut self.balancers[index]
    }

    /// The worker outside of balancers with this URL, added if it is not there.
    pub(super) fn worker(&mut self, url: &str) -> &mut Worker {
        let index = *self.worker_by_url.entry(url.to_string()).or_insert_with(|| {
            self.workers.push(Worker::new(url));
            self.workers.len() - 1
        });
        &mut self.workers[index]
    }
}
