//! Keywords: the closed sets of values that a property of the document takes, each with its spelling in KDL.

use serde::Serialize;
use std::fmt;

/// A value that the document spells as one of a fixed set of keywords.
pub trait Keyword: Copy + PartialEq + 'static {
    /// Every keyword and the value it stands for, in the order in which messages list them.
    const KEYWORDS: &'static [(&'static str, Self)];

    /// The keyword for this value.
    fn keyword(self) -> &'static str {
        Self::KEYWORDS.iter().find(|(_, value)| *value == self).map_or("", |(keyword, _)| keyword)
    }

    /// The value of a keyword; `None`: it is none of this set.
    fn from_keyword(keyword: &str) -> Option<Self> {
        Self::KEYWORDS.iter().find(|(known, _)| *known == keyword).map(|(_, value)| *value)
    }
}

/// Declares an enum, its keywords and their JSON form, which is the keyword too.
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
    /// Where the list of members comes from.
    MembersFrom {
        /// The event bus of the configuration: members of this document are not served from.
        Bus = "bus",
        /// This document.
        File = "file",
    }
}

keywords! {
    /// Where gossip's peers come from.
    GossipPeers {
        /// Its own membership.
        Own = "own",
        /// The fleet view, which the document must configure.
        View = "view",
    }
}

keywords! {
    /// The protocol that a member speaks.
    Protocol {
        /// RESP arrays: the only one that fernslip's front supports.
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
    /// Whether fernslip's front can use it; a member of another protocol can be described but not served from.
    pub fn is_supported(self) -> bool {
        self == Protocol::Resp
    }
}

keywords! {
    /// The role of a member in the network of caches.
    Kind {
        /// Serves clients' requests from its cache.
        Cache = "cache",
        /// Fills caches from its own cache.
        Parent = "parent",
        /// Has every object.
        Origin = "origin",
    }
}

keywords! {
    /// The administrative state of a member, independent of its observed health.
    State {
        /// In service.
        Ready = "ready",
        /// Finishes requests in flight and receives no new ones.
        Draining = "draining",
        /// Out of service.
        Stopped = "stopped",
        /// In service only while neither a ready member nor a spare of its tier can be used.
        Standby = "standby",
        /// Takes the place of one member of its tier that can't be used.
        Spare = "spare",
    }
}

keywords! {
    /// Which requests of a class may be retried; see the decision module.
    Effect {
        /// Any request.
        Idempotent = "idempotent",
        /// Repeats are recognised and dropped within a window.
        Deduplicated = "deduplicated",
        /// None that may have been executed.
        AtMostOnce = "at-most-once",
    }
}

keywords! {
    /// Which of several rules that match a path wins.
    Order {
        /// The first, as written.
        First = "first",
        /// The longest path; an exact one before a wildcard of the same length.
        Longest = "longest",
    }
}

keywords! {
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

impl State {
    /// The one of two states that admits less traffic, so that a member that is draining everywhere is not ready in
    /// one of its pools.
    pub fn stricter(self, other: State) -> State {
        if other.strictness() > self.strictness() {
            other
        } else {
            self
        }
    }

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
