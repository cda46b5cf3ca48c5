//! The site under construction: members that several pools share, names that are told apart, sets of routes.

use crate::report::{Item, Ledger};
use fernslip_site::{
    host_port, Match, Member, MemberLimits, MembersFrom, Order, Pool, PoolLimits, Protocol, Recovery, Retry,
    Route, RouteSet, Site, State, Target,
};
use std::collections::{HashMap, HashSet};

/// Where a machine is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Machine {
    pub protocol: Protocol,
    pub address: String,
    pub path: Option<String>,
}

const SCHEMES: [(&str, Protocol, u16); 11] = [
    ("http", Protocol::Http, 80),
    ("https", Protocol::Https, 443),
    ("h2", Protocol::H2, 443),
    ("h2c", Protocol::H2c, 80),
    ("ajp", Protocol::Ajp13, 8009),
    ("fcgi", Protocol::Fcgi, 8000),
    ("scgi", Protocol::Scgi, 4000),
    ("uwsgi", Protocol::Uwsgi, 3031),
    ("ws", Protocol::Ws, 80),
    ("wss", Protocol::Wss, 443),
    ("ftp", Protocol::Ftp, 21),
];

impl Machine {
    /// From `scheme://host:port/path`; why it is none.
    pub fn of(url: &str) -> Result<Machine, String> {
        if url.starts_with("unix:") {
            return Err("a Unix socket has no address that other machines reach".into());
        }
        let (scheme, rest) = url.split_once("://").ok_or("no URL")?;
        let known = SCHEMES.iter().find(|s| s.0.eq_ignore_ascii_case(scheme));
        let (_, protocol, port) = known.ok_or_else(|| format!("the scheme `{scheme}` is not known"))?;
        let (host, path) = rest.find('/').map_or((rest, ""), |i| rest.split_at(i));
        let host = host.to_ascii_lowercase();
        let has_port = host.rsplit_once(':').is_some_and(|(h, _)| !h.starts_with('[') || h.ends_with(']'));
        let address = if has_port { host } else { format!("{host}:{port}") };
        if host_port(&address).is_none() {
            return Err(format!("`{address}` is no host and port"));
        }
        let path = Some(path.trim_end_matches('/')).filter(|p| !p.is_empty()).map(String::from);
        Ok(Machine { protocol: *protocol, address, path })
    }

    fn id(&self) -> String {
        format!("{}{}", self.address, self.path.as_deref().unwrap_or(""))
    }
}

/// Names that are given once.
#[derive(Default)]
pub(crate) struct Names(HashSet<String>);

impl Names {
    /// The name, or with a number behind it where it is taken.
    pub fn give(&mut self, wanted: &str) -> String {
        let wanted = if wanted.is_empty() { "unnamed" } else { wanted };
        let mut name = wanted.to_string();
        let mut n = 1;
        while !self.0.insert(name.clone()) {
            n += 1;
            name = format!("{wanted}#{n}");
        }
        name
    }
}

/// A set of routes under construction, with the directive behind each rule.
#[derive(Default)]
pub(crate) struct Rules {
    pub hosts: Vec<String>,
    pub inherit: bool,
    pub first: Vec<(Route, Item)>,
    pub longest: Vec<(Route, Item)>,
}

/// The site under construction.
#[derive(Default)]
pub(crate) struct Builder {
    pub site: Site,
    pub member_names: Names,
    pub pool_names: Names,
    members: HashMap<(Machine, String), String>,
}

impl Builder {
    pub fn new(name: &str) -> Builder {
        let site = Site { name: name.into(), members_from: Some(MembersFrom::File), ..Site::default() };
        Builder { site, ..Builder::default() }
    }

    /// The member for a machine with these limits; balancers that name it alike share it.
    pub fn member(&mut self, machine: &Machine, limits: MemberLimits) -> String {
        let key = (machine.clone(), format!("{limits:?}"));
        if let Some(id) = self.members.get(&key) {
            return id.clone();
        }
        let id = self.named_member(&machine.id(), machine, limits);
        self.members.insert(key, id.clone());
        id
    }

    /// A member under a name of its own.
    pub fn named_member(&mut self, name: &str, m: &Machine, limits: MemberLimits) -> String {
        let id = self.member_names.give(name);
        self.site.members.push(Member {
            id: id.clone(),
            address: m.address.clone(),
            protocol: Some(m.protocol),
            path: m.path.clone(),
            kind: None,
            weight: None,
            state: State::Ready,
            zone: None,
            link_kb_per_s: None,
            limits,
        });
        id
    }

    /// An empty pool.
    pub fn pool(&mut self, name: &str) -> Pool {
        Pool {
            name: self.pool_names.give(name),
            members: Vec::new(),
            limits: PoolLimits::default(),
            retry: Retry::default(),
            recovery: Recovery::default(),
        }
    }

    /// Puts the sets of routes in: sets that share a host become one, since a site tells them apart by hosts alone.
    pub fn routes(&mut self, ledger: &mut Ledger, sets: Vec<Rules>) {
        let mut joined: Vec<Rules> = Vec::new();
        for mut set in sets.into_iter().filter(|s| !s.first.is_empty() || !s.longest.is_empty()) {
            set.hosts.sort();
            set.hosts.dedup();
            let same = |j: &&mut Rules| {
                j.hosts.is_empty() && set.hosts.is_empty() || j.hosts.iter().any(|h| set.hosts.contains(h))
            };
            let Some(into) = joined.iter_mut().find(same) else {
                joined.push(set);
                continue;
            };
            for host in set.hosts {
                if !into.hosts.contains(&host) {
                    into.hosts.push(host);
                }
            }
            into.inherit |= set.inherit;
            merge(ledger, &mut into.first, set.first);
            merge(ledger, &mut into.longest, set.longest);
        }
        // A host that a set gained by joining may stand in a third: the first keeps it.
        let mut taken = HashSet::new();
        for set in joined {
            let hosts: Vec<String> =
                set.hosts.iter().filter(|h| taken.insert((*h).clone())).cloned().collect();
            if hosts.is_empty() && !set.hosts.is_empty() {
                for (_, item) in set.first.iter().chain(&set.longest) {
                    ledger.left_out(*item, "its hosts have other routes already");
                }
                continue;
            }
            self.site.routes.push(route_set(ledger, hosts, set));
        }
    }
}

fn merge(ledger: &mut Ledger, into: &mut Vec<(Route, Item)>, more: Vec<(Route, Item)>) {
    let mut held: HashMap<(String, Option<Match>), Target> =
        into.iter().map(|(r, _)| ((r.pattern.clone(), r.matching), r.target.clone())).collect();
    for (route, item) in more {
        let key = (route.pattern.clone(), route.matching);
        match held.get(&key) {
            Some(t) if *t == route.target => {}
            Some(_) if !matches!(route.target, Target::Exclude(Some(_))) => {
                let why = "the same host has this path already, on another address, leading elsewhere";
                ledger.left_out(item, why);
            }
            _ => {
                held.insert(key, route.target.clone());
                into.push((route, item));
            }
        }
    }
}

/// One set; where rules of both orders meet, those of the longest are sorted, which makes them rules of the first.
fn route_set(ledger: &mut Ledger, hosts: Vec<String>, set: Rules) -> RouteSet {
    let inherit = (!hosts.is_empty() && set.inherit).then_some(true);
    let (order, rules) = match (set.first.is_empty(), set.longest.is_empty()) {
        (true, _) => (Order::Longest, set.longest),
        (_, true) => (Order::First, set.first),
        _ => {
            let mut rules = set.first;
            let mut longest = set.longest;
            longest.sort_by_key(|(r, _)| {
                let wild = r.matching == Some(Match::Wildcard);
                (matches!(r.target, Target::Pool(_)), std::cmp::Reverse(r.pattern.len()), wild)
            });
            for (r, item) in &longest {
                ledger.near(
                    *item,
                    format!("route \"{}\"", r.pattern),
                    "asked after every ProxyPass of its host",
                );
            }
            rules.extend(longest);
            (Order::First, rules)
        }
    };
    RouteSet { hosts, order: Some(order), inherit, rules: rules.into_iter().map(|r| r.0).collect() }
}
