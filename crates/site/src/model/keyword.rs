//! Enumerations of the model whose values are written as keywords in the document.

use serde::Serialize;
use std::fmt;

/// A type whose values are written in the document as one of a fixed set of keywords.
pub trait Keyword: Copy + PartialEq + 'static {
    /// All keywords with their values, in the order in which error messages list them.
    const KEYWORDS: &'static [(&'static str, Self)];

    /// The keyword that stands for this value.
    fn keyword(self) -> &'static str {
        Self::KEYWORDS.iter().find(|(_, value)| *value == self).map_or("", |(keyword, _)| keyword)
    }

    /// The value that `keyword` stands for; `None` if it is not in the set.
    fn from_keyword(keyword: &str) -> Option<Self> {
        Self::KEYWORDS.iter().find(|(known, _)| *known == keyword).map(|(_, value)| *value)
    }
}

/// Declares an enum with its keywords; the keyword is also the JSON form of a value.
macro_rules! keywords {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $keyword:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
        pub enum $name { $($(#[$variant_doc])* #[serde(rename = $keyword)] $variant,)* }

        impl Keyword for $name {
            const KEYWORDS: &'static [(&'static str, Self)] = &[$(($keyword, $name::$variant)),*];
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.keyword())
            }
        }
    };
}

keywords! {
    /// Where a front gets the list of the members that it serves from.
    MembersFrom {
        /// The discovery bus that the front's configuration names; the members of the site document are not
        /// used.
        Bus = "bus",
        /// The site document itself.
        File = "file",
    }
}

keywords! {
    /// Where the list of gossip peers comes from.
    GossipPeers {
        /// The membership that gossip maintains itself.
        Own = "own",
        /// The membership view, which the document must then configure.
        View = "view",
    }
}

keywords! {
    /// The protocol in which a member accepts requests.
    Protocol {
        /// RESP arrays, the only protocol that fernslip's front supports.
        Resp = "resp",
        /// HTTP/1.1 without encryption.
        Http = "http",
        /// HTTP/1.1 over TLS.
        Https = "https",
        /// HTTP/2 over TLS.
        H2 = "h2",
        /// HTTP/2 without encryption.
        H2c = "h2c",
        /// Apache JServ Protocol, version 1.3.
        Ajp13 = "ajp13",
        /// Apache JServ Protocol, version 1.4.
        Ajp14 = "ajp14",
        /// The FastCGI protocol.
        Fcgi = "fcgi",
        /// The Simple Common Gateway Interface (SCGI).
        Scgi = "scgi",
        /// The binary uwsgi protocol.
        Uwsgi = "uwsgi",
        /// WebSocket without encryption.
        Ws = "ws",
        /// WebSocket over TLS.
        Wss = "wss",
        /// The File Transfer Protocol.
        Ftp = "ftp",
    }
}

impl Protocol {
    /// Whether fernslip's front can send requests in this protocol. A document may describe members of other
    /// protocols, but a front can't use them.
    pub fn is_supported(self) -> bool {
        self == Protocol::Resp
    }
}

keywords! {
    /// The role of a member in the network of caches.
    Kind {
        /// A cache node that serves the requests of clients.
        Cache = "cache",
        /// A cache that fills other caches.
        Parent = "parent",
        /// The origin, which has every object.
        Origin = "origin",
    }
}

keywords! {
    /// The administrative state of a member, independent of its observed health.
    State {
        /// The member is in service.
        Ready = "ready",
        /// The member completes requests in flight and receives no new ones.
        Draining = "draining",
        /// The member is out of service.
        Stopped = "stopped",
        /// The member serves only while neither a ready member nor a spare of its tier is usable.
        Standby = "standby",
        /// The member replaces one ready member of its tier that is unusable.
        Spare = "spare",
    }
}

keywords! {
    /// Which requests of a class the decision module may retry.
    Effect {
        /// Any request may be retried.
        Idempotent = "idempotent",
        /// Requests may be retried within the time window in which repeated ones are recognised and dropped.
        Deduplicated = "deduplicated",
        /// A request that may have been executed is not retried.
        AtMostOnce = "at-most-once",
    }
}

keywords! {
    /// Which of several rules that match a path applies.
    Order {
        /// The first matching rule in the order of the document.
        First = "first",
        /// The matching rule with the longest pattern; an exact one before a wildcard of the same length.
        Longest = "longest",
    }
}

keywords! {
    /// How the pattern of a rule is compared with a path.
    Match {
        /// Matches the path and all paths below it: `/a` matches `/a` and `/a/b`, but not `/ab`.
        Prefix = "prefix",
        /// Matches only the path itself.
        Exact = "exact",
        /// Matches the whole path, where `*` stands for any text and `?` for one character.
        Wildcard = "wildcard",
        /// Matches a regular expression anywhere in the path, unless it is anchored.
        Regex = "regex",
    }
}

impl State {
    /// The one of two states that admits less traffic, so that a member whose own state is draining is not
    /// ready in any pool.
    pub fn stricter(self, other: State) -> State {
        if other.strictness() > self.strictness() {
            other
        } else {
            self
        }
    }

    /// The rank of a state; a higher one admits less traffic.
    fn strictness(self) -> u8 {
        match self {
            State::Ready => 0,
            State::Spare => 1,
            State::Standby => 2,
            State::Draining => 3,
            State::Stopped => 4,
        }
    }
}
