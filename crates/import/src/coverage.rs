//! What becomes of each directive and parameter, in tables: the importer takes its reasons from them, and the
//! operators' page shows them.

use crate::report::Verdict::{self, Approximated as Near, LeftOut as Out, Mapped as Same};
use std::fmt::Write;

/// A name, what becomes of it where its value allows, and what or why.
pub type Row = (&'static str, Verdict, &'static str);

const NOT_ROUTING: &str = "of the web server itself: says nothing of where requests go";
const ANSWERS: &str = "changes answers on their way back: fernslip passes them on as they are";
const STICKY: &str = "no sticky sessions: a request's place is its object's home, whoever asks";
const PROBES: &str = "fronts don't probe: health is what answers show";
const SOCKET: &str = "of Apache's own buffers and sockets";
const FORWARD: &str = "of a forward proxy; fernslip is none";
const LOGS: &str = "logs and shared memory of the web server";
const JVM: &str = "a JVM inside the web server has no equal";

/// Directives of httpd. What is in none of these tables is left out too, as not about routing.
pub const HTTPD: &[Row] = &[
    ("BalancerMember", Same, "`member`, and `use` in the pool"),
    ("ProxyPass", Same, "`route`; with `!` an exclusion; a single machine becomes a pool of its own"),
    ("ProxyPassMatch", Same, "`route match=\"regex\"`, where the expression needs no look-around"),
    ("ProxySet", Same, "its parameters, as if they stood at the member or balancer"),
    ("<Proxy>", Same, "`pool`, for `balancer://`"),
    ("<Location>", Same, "the path of a `route` inside"),
    ("<LocationMatch>", Same, "the expression of a `route` inside"),
    ("<VirtualHost>", Near, "a set of `routes` by its names; addresses and ports don't tell sets apart"),
    ("ServerName", Same, "`host`"),
    ("ServerAlias", Same, "`host`; `*` only as a whole first part"),
    ("ServerRoot", Same, "where relative names of files begin"),
    (
        "ProxyTimeout",
        Near,
        "`answer-ms` of members without a `timeout`: of the whole answer, not of each read",
    ),
    ("ProxyPassInherit", Same, "`inherit`"),
    ("BalancerInherit", Same, "whether virtual hosts know the main server's balancers"),
    ("ProxyRequests", Out, FORWARD),
    ("Include", Same, "the files' own directives"),
    ("IncludeOptional", Same, "the files' own directives"),
    ("Define", Same, "its value, wherever it is used"),
    ("UnDefine", Same, "forgets a value"),
    ("<IfDefine>", Same, "taken or not, by `Define` and `--define`"),
    ("<IfModule>", Same, "taken for the proxy modules, mod_jk and what LoadModule names"),
    ("<IfVersion>", Out, "the version is not known"),
    ("<IfFile>", Out, "files of the web server's machine are not known"),
    ("<IfDirective>", Out, "directives of the web server's build are not known"),
    ("<IfSection>", Out, "sections of the web server's build are not known"),
    ("<If>", Out, "depends on each request's own words"),
    ("<ElseIf>", Out, "depends on each request's own words"),
    ("<Else>", Out, "depends on each request's own words"),
    ("<Macro>", Out, "macros are not played: write out what `Use` stands for"),
    ("Use", Out, "macros are not played: write out what `Use` stands for"),
    ("LoadModule", Out, "only shows which <IfModule> is taken"),
    ("RewriteRule", Out, "a rewrite may proxy ([P]) or change the path first: write a ProxyPass for it"),
    ("RewriteCond", Out, "belongs to a RewriteRule"),
    ("ProxyPassReverse", Out, ANSWERS),
    ("ProxyPassReverseCookieDomain", Out, ANSWERS),
    ("ProxyPassReverseCookiePath", Out, ANSWERS),
    ("ProxyErrorOverride", Out, ANSWERS),
    ("ProxyPassInterpolateEnv", Out, "values that differ from request to request have no equal"),
    ("ProxyPreserveHost", Out, "members are told no host"),
    ("ProxyAddHeaders", Out, "members are told no headers"),
    ("ProxyVia", Out, "members are told no headers"),
    ("ProxyStatus", Out, "a status page of the web server"),
    ("ProxyBadHeader", Out, "of HTTP to members, which the front does not speak yet"),
    ("ProxyIOBufferSize", Out, SOCKET),
    ("ProxyReceiveBufferSize", Out, SOCKET),
    ("ProxySourceAddress", Out, SOCKET),
    ("ProxyMaxForwards", Out, FORWARD),
    ("ProxyBlock", Out, FORWARD),
    ("NoProxy", Out, FORWARD),
    ("ProxyDomain", Out, FORWARD),
    ("ProxyRemote", Out, FORWARD),
    ("ProxyRemoteMatch", Out, FORWARD),
    ("BalancerGrowth", Out, "room for members added at run time: SIGHUP needs none"),
    (
        "BalancerPersist",
        Out,
        "changes made by hand at run time don't outlive it: write them into the document",
    ),
    ("ProxyHCExpr", Out, PROBES),
    ("ProxyHCTemplate", Out, PROBES),
    ("ProxyHCTPsize", Out, PROBES),
    ("<ProxyMatch>", Out, "settings for machines by expression have no equal"),
];

/// Parameters of a member: `BalancerMember`, `ProxySet`, `ProxyPass` to one machine.
pub const WORKER: &[Row] = &[
    ("loadfactor", Same, "`use weight`, fractions too"),
    ("lbset", Same, "`use tier`"),
    ("status", Same, "`use state`: D, N draining; S stopped; H standby; R spare; I, E and C have no equal"),
    ("max", Near, "`limits connections`: of the front, not of each child process"),
    ("ttl", Near, "`limits idle-ms`: of every idle connection"),
    ("timeout", Near, "`limits answer-ms`: of the whole answer, not of each read"),
    ("connectiontimeout", Same, "`limits connect-ms`"),
    ("acquire", Near, "`limits wait-ms` of the pool: the least of its members'"),
    (
        "retry",
        Near,
        "`recovery first-ms` of the pool, the least of its members'; it grows with each failed trial",
    ),
    ("redirect", Near, "`use instead`: the member with that route, for all requests, not a session's"),
    ("route", Out, STICKY),
    ("min", Out, "connections are made as they are needed"),
    ("smax", Out, "connections are made as they are needed"),
    ("ping", Out, PROBES),
    ("disablereuse", Out, "connections are always shared"),
    ("enablereuse", Out, "connections are always shared"),
    ("keepalive", Out, SOCKET),
    ("flushpackets", Out, SOCKET),
    ("flushwait", Out, SOCKET),
    ("flusher", Out, SOCKET),
    ("iobuffersize", Out, SOCKET),
    ("receivebuffersize", Out, SOCKET),
    ("responsefieldsize", Out, SOCKET),
    ("addressttl", Out, "addresses are looked up once"),
    ("secret", Out, "a secret is not copied, and AJP is not spoken"),
    ("upgrade", Out, "connections are not upgraded"),
    ("mapping", Out, "paths are told apart by routes"),
    ("hcmethod", Out, PROBES),
    ("hcpasses", Out, PROBES),
    ("hcfails", Out, PROBES),
    ("hcinterval", Out, PROBES),
    ("hcuri", Out, PROBES),
    ("hcexpr", Out, PROBES),
    ("hctemplate", Out, PROBES),
];

/// Parameters of a balancer: `ProxySet` and `ProxyPass` to `balancer://`.
pub const BALANCER: &[Row] = &[
    ("lbmethod", Near, "byrequests only: a member's share is its weight, by the objects' homes, not in turn"),
    ("maxattempts", Same, "`retry attempts`: the first attempt counted in"),
    ("failonstatus", Same, "`recovery fail-on`"),
    ("timeout", Near, "`limits wait-ms` of the pool: how long for a free member"),
    ("failontimeout", Near, "a member that is silent counts as failed, whatever stands here"),
    ("stickysession", Out, STICKY),
    ("stickysessionsep", Out, STICKY),
    ("scolonpathdelim", Out, STICKY),
    ("nofailover", Out, STICKY),
    ("nonce", Out, "of the web server's own manager page"),
    ("growth", Out, "room for members added at run time: SIGHUP needs none"),
    ("forcerecovery", Out, "trials come one at a time, also when all have failed"),
    ("lbset", Out, "a balancer's own set has no equal; its members' have"),
];

/// Words of `ProxyPass` without a value.
pub const KEYWORDS: &[Row] = &[
    ("nocanon", Out, "paths go on as they came"),
    ("interpolate", Out, "values that differ from request to request have no equal"),
    ("noquery", Out, "queries go on as they came"),
];

/// Properties of a mod_jk worker, `worker.NAME.…`.
pub const JK_WORKER: &[Row] = &[
    ("type", Same, "ajp13, ajp14: `member`; lb: `pool`; others have no equal"),
    ("host", Same, "`member address`"),
    ("port", Same, "`member address`"),
    ("reference", Same, "the properties of that worker, where it has none of its own"),
    ("balance_workers", Same, "`use` in the pool"),
    ("balanced_workers", Same, "the old name of balance_workers"),
    ("lbfactor", Same, "`use weight`"),
    ("distance", Same, "`use tier`"),
    ("domain", Same, "`use group`"),
    ("redirect", Near, "`use instead`: for all requests, not a session's"),
    (
        "activation",
        Same,
        "`use state`: disabled is draining, stopped is stopped; what can't be read is draining",
    ),
    ("disabled", Same, "the old form of activation"),
    ("stopped", Same, "the old form of activation"),
    ("method", Near, "Request only: a member's share is its weight, by the objects' homes, not in turn"),
    ("lock", Out, "counters are not shared among processes"),
    ("connection_pool_size", Near, "`limits connections`: of the front, not of each process"),
    ("cachesize", Near, "the old name of connection_pool_size"),
    ("connection_pool_timeout", Same, "`limits idle-ms`"),
    ("cache_timeout", Same, "the old name of connection_pool_timeout"),
    ("connection_acquire_timeout", Near, "`limits wait-ms` of the pool: the least of its members'"),
    ("socket_connect_timeout", Same, "`limits connect-ms`"),
    ("socket_timeout", Near, "`limits answer-ms`, where reply_timeout tells none: of the whole answer"),
    ("reply_timeout", Near, "`limits answer-ms`: of the whole answer, not between two packets"),
    ("retries", Near, "`retry attempts`: at any members, not at the same one"),
    ("recover_time", Near, "`recovery first-ms`; it grows with each failed trial"),
    ("max_reply_timeouts", Near, "`recovery failures`: of any kind, in a row"),
    ("fail_on_status", Same, "`recovery fail-on`; those with a minus have no equal"),
    ("busy_limit", Same, "`limits in-flight`"),
    ("mount", Same, "`route`"),
    ("sticky_session", Out, STICKY),
    ("sticky_session_force", Out, STICKY),
    ("session_cookie", Out, STICKY),
    ("session_path", Out, STICKY),
    ("set_session_cookie", Out, STICKY),
    ("session_cookie_path", Out, STICKY),
    ("route", Out, STICKY),
    ("jvm_route", Out, STICKY),
    ("retry_interval", Out, "a further attempt is made at once"),
    ("recovery_options", Out, "what may be repeated is a matter of the request's class"),
    ("error_escalation_time", Out, "failures in a row count, not their time"),
    ("connect_timeout", Out, PROBES),
    ("prepost_timeout", Out, PROBES),
    ("ping_timeout", Out, PROBES),
    ("ping_mode", Out, PROBES),
    ("connection_ping_interval", Out, PROBES),
    ("connection_pool_minsize", Out, "connections are made as they are needed"),
    ("recycle_timeout", Out, "connections are made as they are needed"),
    ("socket_keepalive", Out, SOCKET),
    ("socket_buffer", Out, SOCKET),
    ("max_packet_size", Out, "of AJP, which the front does not speak yet"),
    ("source", Out, SOCKET),
    ("prefer_ipv6", Out, "addresses are used as they are written"),
    ("secret", Out, "a secret is not copied, and AJP is not spoken"),
    ("secretkey", Out, "a secret is not copied, and AJP is not spoken"),
    ("class_path", Out, JVM),
    ("cmd_line", Out, JVM),
    ("jvm_lib", Out, JVM),
    ("native_lib", Out, JVM),
    ("bridge", Out, JVM),
    ("mx", Out, JVM),
    ("ms", Out, JVM),
    ("sysprops", Out, JVM),
    ("stdout", Out, JVM),
    ("stderr", Out, JVM),
    ("css", Out, "of a status page"),
    ("read_only", Out, "of a status page"),
    ("user", Out, "of a status page"),
    ("user_case_insensitive", Out, "of a status page"),
    ("good", Out, "of a status page"),
    ("bad", Out, "of a status page"),
    ("prefix", Out, "of a status page"),
    ("ns", Out, "of a status page"),
    ("xmlns", Out, "of a status page"),
    ("doctype", Out, "of a status page"),
];

/// Properties of a workers file as a whole.
pub const JK_GLOBAL: &[Row] = &[
    ("worker.list", Same, "which workers can be mounted"),
    ("worker.maintain", Out, "trials come by the recovery's own clock"),
    ("workers.tomcat_home", Out, JVM),
    ("workers.java_home", Out, JVM),
    ("ps", Out, JVM),
];

/// What stands behind a mount, `;NAME=VALUE`.
pub const JK_MOUNT: &[Row] = &[
    ("active", Same, "`use state` in a pool of this mount's own"),
    ("disabled", Same, "`use state` in a pool of this mount's own: draining"),
    ("stopped", Same, "`use state` in a pool of this mount's own"),
    ("reply_timeout", Near, "`limits answer-ms` of a pool of this mount's own: of the whole answer"),
    ("fail_on_status", Same, "`recovery fail-on` of a pool of this mount's own"),
    ("use_server_errors", Out, ANSWERS),
    ("sticky_ignore", Out, STICKY),
    ("stateless", Out, STICKY),
    ("session_cookie", Out, STICKY),
    ("session_path", Out, STICKY),
    ("set_session_cookie", Out, STICKY),
    ("session_cookie_path", Out, STICKY),
];

/// Directives of mod_jk in httpd's files.
pub const JK_HTTPD: &[Row] = &[
    ("JkMount", Same, "`route` in the longest order"),
    ("JkUnMount", Same, "an exclusion for that pool, or for all with `*`"),
    ("JkMountFile", Same, "that file's mounts"),
    ("JkWorkersFile", Same, "that file's workers"),
    ("JkWorkerProperty", Same, "a line of the workers file"),
    ("JkMountCopy", Same, "`inherit`"),
    ("JkMountFileReload", Out, "files are read again on SIGHUP"),
    ("JkAutoAlias", Out, "files are not served"),
    ("JkOptions", Out, "how paths are written and what is told to members; paths go on as they came"),
    ("JkEnvVar", Out, "members are told no variables"),
    ("JkStripSession", Out, STICKY),
    ("JkExtractSSL", Out, "members are told nothing of TLS"),
    ("JkHTTPSIndicator", Out, "members are told nothing of TLS"),
    ("JkCERTSIndicator", Out, "members are told nothing of TLS"),
    ("JkCIPHERIndicator", Out, "members are told nothing of TLS"),
    ("JkSESSIONIndicator", Out, "members are told nothing of TLS"),
    ("JkKEYSIZEIndicator", Out, "members are told nothing of TLS"),
    ("JkCERTCHAINPrefix", Out, "members are told nothing of TLS"),
    ("JkRemoteHostIndicator", Out, "members are told no host"),
    ("JkRemotePortIndicator", Out, "members are told no host"),
    ("JkRemoteAddrIndicator", Out, "members are told no host"),
    ("JkRemoteUserIndicator", Out, "members are told no host"),
    ("JkAuthTypeIndicator", Out, "members are told no host"),
    ("JkLocalNameIndicator", Out, "members are told no host"),
    ("JkLocalPortIndicator", Out, "members are told no host"),
    ("JkIgnoreCLIndicator", Out, "members are told no host"),
    ("JkLogFile", Out, LOGS),
    ("JkLogLevel", Out, LOGS),
    ("JkLogStampFormat", Out, LOGS),
    ("JkRequestLogFormat", Out, LOGS),
    ("JkShmFile", Out, LOGS),
    ("JkShmSize", Out, LOGS),
    ("JkWatchdogInterval", Out, "trials come by the recovery's own clock"),
];

/// The row of a name, in any case.
pub fn row(table: &'static [Row], name: &str) -> Option<&'static Row> {
    table.iter().find(|r| r.0.eq_ignore_ascii_case(name))
}

/// Why a directive that nothing is known of is left out.
pub fn not_routing() -> &'static str {
    NOT_ROUTING
}

/// The tables as the operators' page shows them.
pub fn markdown() -> String {
    let mut out = String::new();
    for (title, table) in [
        ("Directives of httpd", HTTPD),
        ("Parameters of a member (BalancerMember, ProxySet, ProxyPass)", WORKER),
        ("Parameters of a balancer (ProxySet, ProxyPass)", BALANCER),
        ("Words of ProxyPass", KEYWORDS),
        ("Properties of a mod_jk worker", JK_WORKER),
        ("Other properties of a workers file", JK_GLOBAL),
        ("Attributes of a mount", JK_MOUNT),
        ("Directives of mod_jk", JK_HTTPD),
    ] {
        let _ = writeln!(
            out,
            "### {title}\n\n| name | verdict | what becomes of it, or why nothing |\n| --- | --- | --- |"
        );
        for (name, verdict, what) in table {
            let _ = writeln!(out, "| `{name}` | {} | {what} |", verdict.word());
        }
        out.push('\n');
    }
    let _ = writeln!(out, "Any other directive: left_out, {NOT_ROUTING}.");
    out
}
