//! The model of a site. Times are whole milliseconds, weights multiples of one machine's usual share.

use serde::Serialize;
use std::fmt;

/// A word of the document and the value that it stands for.
pub trait Word: Copy + PartialEq + 'static {
    /// All words, each with its value.
    const WORDS: &'static [(&'static str, Self)];

    /// The word for a value.
    fn word(self) -> &'static str {
        Self::WORDS.iter().find(|w| w.1 == self).map_or("", |w| w.0)
    }

    /// The value of a word.
    fn of(word: &str) -> Option<Self> {
        Self::WORDS.iter().find(|w| w.0 == word).map(|w| w.1)
    }
}

macro_rules! words {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $word:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
        pub enum $name { $($(#[$vdoc])* #[serde(rename = $word)] $variant,)* }

        impl Word for $name {
            const WORDS: &'static [(&'static str, Self)] = &[$(($word, $name::$variant)),*];
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.word())
            }
        }
    };
}

words! {
    /// Where the list of members comes from.
    MembersFrom {
        /// The event bus of the configuration: members of this document are not served from.
        Bus = "bus",
        /// This document.
        File = "file",
    }
}

words! {
    /// Where gossip's peers come from.
    GossipPeers {
        /// Its own membership.
        Own = "own",
        /// The view that the fronts keep, which the document must have.
        View = "view",
    }
}

words! {
    /// What is spoken with a member.
    Protocol {
        /// RESP arrays: the one that fernslip's front speaks.
        Resp = "resp",
        /// HTTP/1.1.
        Http = "http",
        /// HTTP/1.1 over TLS.
        Https = "https",
        /// HTTP/2 over TLS.
        H2 = "h2",
        /// HTTP/2 in the clear.
        H2c = "h2c",
        /// AJP 1.3.
        Ajp13 = "ajp13",
        /// AJP 1.4.
        Ajp14 = "ajp14",
        /// FastCGI.
        Fcgi = "fcgi",
        /// SCGI.
        Scgi = "scgi",
        /// uWSGI.
        Uwsgi = "uwsgi",
        /// WebSocket.
        Ws = "ws",
        /// WebSocket over TLS.
        Wss = "wss",
        /// FTP.
        Ftp = "ftp",
    }
}

impl Protocol {
    /// Whether fernslip's front can speak it; a member of another can be described and not served from.
    pub fn is_spoken(self) -> bool {
        self == Protocol::Resp
    }
}

words! {
    /// What a machine does in the network.
    Kind {
        /// Serves clients' requests from what it keeps.
        Cache = "cache",
        /// Fills caches from what it keeps.
        Parent = "parent",
        /// Has everything.
        Origin = "origin",
    }
}

words! {
    /// What the operators want of a member, whatever traffic shows.
    State {
        /// In service.
        Ready = "ready",
        /// Finishes what it has; nothing new.
        Draining = "draining",
        /// Out of service.
        Stopped = "stopped",
        /// In service only while neither a ready member nor a spare of its tier can be used.
        Standby = "standby",
        /// Takes the place of one member of its tier that can't be used.
        Spare = "spare",
    }
}

words! {
    /// What may be repeated of a class; see the decision module.
    Effect {
        /// Anything.
        Idempotent = "idempotent",
        /// Repeats are dropped for a while.
        Deduplicated = "deduplicated",
        /// Nothing that may have run.
        AtMostOnce = "at-most-once",
    }
}

words! {
    /// Which of several rules that match a path wins.
    Order {
        /// The first, as written.
        First = "first",
        /// The longest path; an exact one before a wildcard of the same length.
        Longest = "longest",
    }
}

words! {
    /// How a rule's pattern is compared with a path.
    Match {
        /// The path, or what lies below it: `/a` takes `/a` and `/a/b`, not `/ab`.
        Prefix = "prefix",
        /// The path alone.
        Exact = "exact",
        /// `*` stands for any text, `?` for one character.
        Wildcard = "wildcard",
        /// A regular expression, found anywhere unless anchored.
        Regex = "regex",
    }
}

/// A whole document.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// Where the list of members comes from; default: the bus.
    pub members_from: Option<MembersFrom>,
    /// The front that serves from it, where no other configuration tells.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub front: Option<Front>,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Machines.
    pub members: Vec<Member>,
    /// Groups of machines that do the same.
    pub pools: Vec<Pool>,
    /// Which requests go to which pool; a set for each group of virtual hosts.
    pub routes: Vec<RouteSet>,
    /// How fronts share suspicions; left out: not at all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gossip: Option<Gossip>,
    /// How fronts keep a view of each other; left out: they keep none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub view: Option<FleetView>,
}

impl Default for Site {
    fn default() -> Self {
        Site {
            name: "site".into(),
            members_from: None,
            front: None,
            zones: Vec::new(),
            classes: Vec::new(),
            members: Vec::new(),
            pools: Vec::new(),
            routes: Vec::new(),
            gossip: None,
            view: None,
        }
    }
}

/// Gossip among fronts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gossip {
    /// Where datagrams come in, and come from: an IP address and a port.
    pub listen: String,
    /// The file with the keys.
    pub key_file: String,
    /// The local socket for `fernslip gossip status`.
    pub control: Option<String>,
    /// Fronts to begin with: IP addresses and ports.
    pub seeds: Vec<String>,
    /// Names of all fronts that may take part; none: whoever has the key.
    pub fronts: Vec<String>,
    /// Bytes of datagrams a second.
    pub bytes_per_s: Option<u64>,
    /// Bytes that may be saved up.
    pub burst_bytes: Option<u64>,
    /// How far others' clocks may be off.
    pub skew_ms: Option<u64>,
    /// Where its peers come from.
    pub peers: Option<GossipPeers>,
    /// Where others are told to reach it, and see it come from; left out: where it listens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<String>,
}

/// A view of the fleet that the fronts keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetView {
    /// Where datagrams come in: an IP address and a port.
    pub listen: String,
    /// Where others are told to reach it, and see it come from; left out: where it listens.
    pub advertise: Option<String>,
    /// The file with the keys.
    pub key_file: String,
    /// The local socket for `fernslip fleet`.
    pub control: Option<String>,
    /// The file in which the front keeps what it knows across its restarts; left out: it keeps nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store: Option<String>,
    /// Fronts to begin with: IP addresses and ports.
    pub seeds: Vec<String>,
    /// Fronts that watch each one.
    pub watchers: Option<u64>,
    /// Bytes of datagrams a second.
    pub bytes_per_s: Option<u64>,
    /// Bytes that may be saved up.
    pub burst_bytes: Option<u64>,
}

/// One front's own settings.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Front {
    /// Its name.
    pub name: String,
    /// Where clients connect: an IP address and a port.
    pub listen: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Memory it may use, MB.
    pub memory_mb: Option<u64>,
    /// Descriptors it may hold.
    pub sockets: Option<u64>,
    /// Pace of one answer, KB a second.
    pub stream_kb_per_s: Option<f64>,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// What its link for fills carries, KB a second; left out: not known.
    pub link_in_kb_per_s: Option<f64>,
    /// How many fronts serve it.
    pub fronts: Option<u64>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Answers within this earn the full worth.
    pub aim_ms: u64,
    /// The aim grows by this multiple of a request's own sending time.
    pub aim_stretch: Option<f64>,
    /// How long a client waits at most.
    pub deadline_ms: u64,
    /// Worth of a request.
    pub worth: Option<f64>,
    /// Share of it that a late answer earns.
    pub late_worth: Option<f64>,
    /// What may be repeated.
    pub effect: Option<Effect>,
    /// Runs at the origin and is never kept.
    pub write: Option<bool>,
    /// How long a copy is fresh; 0: until purged.
    pub fresh_ms: Option<u64>,
    /// How long past fresh it may be served.
    pub grace_ms: Option<u64>,
}

/// Limits and time-outs of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberLimits {
    /// Connections to it.
    pub connections: Option<u64>,
    /// Requests at it at the same time.
    pub in_flight: Option<u64>,
    /// A connection that is not up by then is taken as refused.
    pub connect_ms: Option<u64>,
    /// Longest wait for an answer.
    pub answer_ms: Option<u64>,
    /// An idle connection is closed after this.
    pub idle_ms: Option<u64>,
}

impl MemberLimits {
    /// Whether it can be full.
    pub fn is_bounded(&self) -> bool {
        self.in_flight.is_some() || self.connections.is_some()
    }
}

/// A machine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// Its id, unique in the site.
    pub id: String,
    /// Host and port; an IPv6 address in brackets.
    pub address: String,
    /// What is spoken with it; default: RESP.
    pub protocol: Option<Protocol>,
    /// Below which path it serves, for protocols with paths.
    pub path: Option<String>,
    /// What it does; default: a cache.
    pub kind: Option<Kind>,
    /// Its share, compared with the others'; default: 1.
    pub weight: Option<f64>,
    /// What the operators want of it.
    pub state: State,
    /// Its zone.
    pub zone: Option<String>,
    /// What its link out carries, KB a second. A pool's weights share the mean of its members' links.
    pub link_kb_per_s: Option<f64>,
    /// Its limits.
    pub limits: MemberLimits,
}

/// A member's part in a pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Use {
    /// The member's id.
    pub member: String,
    /// Its share in this pool; default: the member's.
    pub weight: Option<f64>,
    /// What is wanted of it in this pool; default: the member's. Whichever of the two is the stricter holds.
    pub state: Option<State>,
    /// Members of the lowest tier that has one in use are used.
    pub tier: Option<u64>,
    /// The group of members that stand in for each other first.
    pub group: Option<String>,
    /// The member that takes its place while it can't be used.
    pub instead: Option<String>,
}

/// Limits of a pool as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolLimits {
    /// Requests in the pool at the same time.
    pub in_flight: Option<u64>,
    /// Connections to its members together.
    pub connections: Option<u64>,
    /// How long a request may wait for a place.
    pub wait_ms: Option<u64>,
    /// Requests that may wait at the same time.
    pub waiting: Option<u64>,
    /// Longest wait for an answer.
    pub answer_ms: Option<u64>,
}

/// Further attempts in a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Retry {
    /// Attempts at a request, the first included.
    pub attempts: Option<u64>,
    /// Further attempts that each request earns for all.
    pub budget: Option<f64>,
    /// Further attempts that can be saved up.
    pub burst: Option<u64>,
}

/// When a member counts as failed, and how it comes back.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Recovery {
    /// Failures in a row after which it counts as failed.
    pub failures: Option<u64>,
    /// From then to its first trial.
    pub first_ms: Option<u64>,
    /// The wait doubles with each failed trial up to this.
    pub most_ms: Option<u64>,
    /// Answers with these status codes count as failures.
    pub fail_on: Vec<u16>,
}

/// Members that do the same.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Its members.
    pub members: Vec<Use>,
    /// Its limits.
    pub limits: PoolLimits,
    /// Further attempts.
    pub retry: Retry,
    /// Failure and recovery.
    pub recovery: Recovery,
}

/// Where a rule sends what it matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Target {
    /// To a pool.
    #[serde(rename = "pool")]
    Pool(String),
    /// Nowhere: what is matched is not routed by this set. With a pool's name, only what would go there is kept
    /// back.
    #[serde(rename = "exclude")]
    Exclude(Option<String>),
}

/// One rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// What it is compared with: a path, or a regular expression.
    pub pattern: String,
    /// How; default: as a prefix.
    pub matching: Option<Match>,
    /// Where to.
    pub target: Target,
    /// What the matched part becomes at the member; `$1` is a group of a regular expression.
    pub rewrite: Option<String>,
}

/// The rules of a group of virtual hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteSet {
    /// The hosts; `*.` at the front stands for any subdomain. None: every host that no other set names.
    pub hosts: Vec<String>,
    /// Which rule wins; default: the first.
    pub order: Option<Order>,
    /// Whether the set without hosts is asked where this one has no rule; default: no.
    pub inherit: Option<bool>,
    /// The rules.
    pub rules: Vec<Route>,
}

/// Defaults, each where [`Site::effective`] takes it from.
pub mod defaults {
    /// `front memory-mb`.
    pub const MEMORY_MB: u64 = 192;
    /// `front sockets`.
    pub const SOCKETS: u64 = 1024;
    /// `front stream-kb-per-s`: the middle of what the first deployment's clients were sent at.
    pub const STREAM_KB_PER_S: f64 = 3400.0;
    /// `member link-kb-per-s`: some twelve answers at the pace above, a small machine of the first deployment. Too
    /// low a figure refuses what could be served; too high a one lets a machine be crowded, which its answers show.
    pub const MEMBER_KB_PER_S: f64 = 40_000.0;
    /// `limits connect-ms`.
    pub const CONNECT_MS: u64 = 400;
    /// `limits idle-ms`.
    pub const IDLE_MS: u64 = 15_000;
    /// `retry attempts`.
    pub const ATTEMPTS: u64 = 6;
    /// `retry budget`: a quarter of an attempt a request, as in the decision module.
    pub const RETRY_BUDGET: f64 = 0.25;
    /// `retry burst`.
    pub const RETRY_BURST: u64 = 20;
    /// `recovery failures`: one broken connection is not a broken machine.
    pub const FAILURES: u64 = 3;
    /// `recovery first-ms`.
    pub const FIRST_MS: u64 = 600;
    /// `recovery most-ms`.
    pub const MOST_MS: u64 = 60_000;
    /// `limits wait-ms` of a pool with an `in-flight` limit: longer than most answers, far shorter than clients wait.
    pub const WAIT_MS: u64 = 200;
    /// `gossip bytes-per-s`: a word reaches 200 fronts within four seconds.
    pub const BYTES_PER_S: u64 = 4096;
    /// `gossip burst-bytes`.
    pub const BURST_BYTES: u64 = 4096;
    /// `gossip skew-ms`: clocks that nobody keeps are off by seconds.
    pub const SKEW_MS: u64 = 30_000;
    /// `view watchers`: where a third of all crashes at once, two are left of nearly each one's to say so.
    pub const WATCHERS: u64 = 7;
    /// `view bytes-per-s`: a hundred fronts that join at once settle within seconds.
    pub const VIEW_BYTES_PER_S: u64 = 32_768;
    /// `view burst-bytes`.
    pub const VIEW_BURST_BYTES: u64 = 131_072;
    /// `limits waiting` of a pool with an `in-flight` limit.
    pub const WAITING: u64 = 256;
}

impl Site {
    /// The site with every default filled in. What has no default (a limit left out is no limit) stays out.
    pub fn effective(&self) -> Site {
        use defaults::*;
        let mut s = self.clone();
        s.members_from.get_or_insert(MembersFrom::Bus);
        if let Some(f) = &mut s.front {
            f.memory_mb.get_or_insert(MEMORY_MB);
            f.sockets.get_or_insert(SOCKETS);
            f.stream_kb_per_s.get_or_insert(STREAM_KB_PER_S);
        }
        for z in &mut s.zones {
            z.fronts.get_or_insert(1);
        }
        for c in &mut s.classes {
            c.aim_stretch.get_or_insert(0.0);
            c.worth.get_or_insert(1.0);
            c.late_worth.get_or_insert(0.0);
            c.effect.get_or_insert(Effect::Idempotent);
            c.write.get_or_insert(false);
            c.fresh_ms.get_or_insert(0);
            c.grace_ms.get_or_insert(0);
        }
        for m in &mut s.members {
            m.protocol.get_or_insert(Protocol::Resp);
            m.kind.get_or_insert(Kind::Cache);
            m.weight.get_or_insert(1.0);
            m.link_kb_per_s.get_or_insert(MEMBER_KB_PER_S);
            m.limits.connect_ms.get_or_insert(CONNECT_MS);
            m.limits.idle_ms.get_or_insert(IDLE_MS);
        }
        let own: std::collections::HashMap<&str, &Member> =
            s.members.iter().map(|m| (m.id.as_str(), m)).collect();
        for p in &mut s.pools {
            for u in &mut p.members {
                let member = own.get(u.member.as_str());
                u.weight = u.weight.or(member.and_then(|m| m.weight));
                let theirs = member.map_or(State::Ready, |m| m.state);
                u.state = Some(u.state.map_or(theirs, |mine| mine.stricter(theirs)));
                u.tier.get_or_insert(0);
            }
            let bounded = |u: &Use| own.get(u.member.as_str()).is_some_and(|m| m.limits.is_bounded());
            if p.limits.in_flight.or(p.limits.connections).is_some() || p.members.iter().any(bounded) {
                p.limits.wait_ms.get_or_insert(WAIT_MS);
                p.limits.waiting.get_or_insert(WAITING);
            }
            p.retry.attempts.get_or_insert(ATTEMPTS);
            p.retry.budget.get_or_insert(RETRY_BUDGET);
            p.retry.burst.get_or_insert(RETRY_BURST);
            p.recovery.failures.get_or_insert(FAILURES);
            // Filled in, the two still stand in their order: what is shown must be readable.
            let first =
                *p.recovery.first_ms.get_or_insert(p.recovery.most_ms.unwrap_or(FIRST_MS).min(FIRST_MS));
            p.recovery.most_ms.get_or_insert(MOST_MS.max(first));
        }
        if let Some(g) = &mut s.gossip {
            g.bytes_per_s.get_or_insert(BYTES_PER_S);
            g.burst_bytes.get_or_insert(BURST_BYTES);
            g.skew_ms.get_or_insert(SKEW_MS);
            g.peers.get_or_insert(GossipPeers::Own);
        }
        if let Some(v) = &mut s.view {
            v.watchers.get_or_insert(WATCHERS);
            v.bytes_per_s.get_or_insert(VIEW_BYTES_PER_S);
            v.burst_bytes.get_or_insert(VIEW_BURST_BYTES);
        }
        for r in &mut s.routes {
            r.order.get_or_insert(Order::First);
            r.inherit.get_or_insert(false);
            for rule in &mut r.rules {
                rule.matching.get_or_insert(Match::Prefix);
            }
        }
        s
    }
}

impl State {
    /// The one of two that lets less through. Guards against a member that is drained as a whole and would be
    /// live in one of its pools.
    pub fn stricter(self, other: State) -> State {
        let rank = |s| match s {
            State::Ready => 0,
            State::Spare => 1,
            State::Standby => 2,
            State::Draining => 3,
            State::Stopped => 4,
        };
        if rank(other) > rank(self) {
            other
        } else {
            self
        }
    }
}
