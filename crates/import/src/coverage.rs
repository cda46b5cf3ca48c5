//! What becomes of each directive and parameter, in tables: the importer takes its reasons from them, and the operators'
//! page `docs/operate/import.md` shows them. The names are those of the documentation of
//! [mod_proxy](https://httpd.apache.org/docs/2.4/mod/mod_proxy.html),
//! [mod_proxy_balancer](https://httpd.apache.org/docs/2.4/mod/mod_proxy_balancer.html) and the
//! [Tomcat connectors](https://tomcat.apache.org/connectors-doc/reference/workers.html).

use crate::report::Verdict;
use std::fmt::Write;

/// What becomes of one directive or parameter.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The directive or parameter.
    pub name: &'static str,
    /// Its verdict, where its value allows.
    pub verdict: Verdict,
    /// What it becomes in the site document, or why nothing.
    pub outcome: &'static str,
}

const fn mapped(name: &'static str, outcome: &'static str) -> Row {
    Row { name, verdict: Verdict::Mapped, outcome }
}

const fn approximated(name: &'static str, outcome: &'static str) -> Row {
    Row { name, verdict: Verdict::Approximated, outcome }
}

const fn omitted(name: &'static str, outcome: &'static str) -> Row {
    Row { name, verdict: Verdict::Omitted, outcome }
}

/// Why a directive that is in no table is omitted.
pub const NOT_ROUTING: &str = "of the web server itself: says nothing of where requests go";
const RESPONSES: &str = "changes answers on their way back: fernslip passes them on as they are";
const STICKY: &str = "no sticky sessions: a request's place is its object's home, whoever asks";
const HEALTH_CHECKS: &str = "fronts don't probe: health is what answers show";
const SOCKETS: &str = "of Apache's own buffers and sockets";
const FORWARD_PROXY: &str = "of a forward proxy; fernslip is none";
const LOGS: &str = "logs and shared memory of the web server";
const JVM: &str = "a JVM inside the web server has no equal";

/// Directives of httpd. What is in none of these tables is omitted too, as not about routing.
pub const HTTPD_DIRECTIVES: &[Row] = &[
    mapped("BalancerMember", "`member`, and `use` in the pool"),
    mapped("ProxyPass", "`route`; with `!` an exclusion; a single machine becomes a pool of its own"),
    mapped("ProxyPassMatch", "`route match=\"regex\"`, where the expression needs no look-around"),
    mapped("ProxySet", "its parameters, as if they stood at the member or balancer"),
    mapped("<Proxy>", "`pool`, for `balancer://`"),
    mapped("<Location>", "the path of a `route` inside"),
    mapped("<LocationMatch>", "the expression of a `route` inside"),
    approximated(
        "<VirtualHost>",
        "a set of `routes` by its names; addresses and ports don't tell sets apart",
    ),
    mapped("ServerName", "`host`"),
    mapped("ServerAlias", "`host`; `*` only as a whole first part"),
    mapped("ServerRoot", "where relative names of files begin"),
    approximated(
        "ProxyTimeout",
        "`answer-ms` of members without a `timeout`: of the whole answer, not of each read",
    ),
    mapped("ProxyPassInherit", "`inherit`"),
    mapped("BalancerInherit", "whether virtual hosts know the main server's balancers"),
    omitted("ProxyRequests", FORWARD_PROXY),
    mapped("Include", "the files' own directives"),
    mapped("IncludeOptional", "the files' own directives"),
    mapped("Define", "its value, wherever it is used"),
    mapped("UnDefine", "forgets a value"),
    mapped("<IfDefine>", "taken or not, by `Define` and `--define`"),
    mapped("<IfModule>", "taken for the proxy modules, mod_jk and what LoadModule names"),
    omitted("<IfVersion>", "the version is not known"),
    omitted("<IfFile>", "files of the web server's machine are not known"),
    omitted("<IfDirective>", "directives of the web server's build are not known"),
    omitted("<IfSection>", "sections of the web server's build are not known"),
    omitted("<If>", "depends on each request's own words"),
    omitted("<ElseIf>", "depends on each request's own words"),
    omitted("<Else>", "depends on each request's own words"),
    omitted("<Macro>", "macros are not played: write out what `Use` stands for"),
    omitted("Use", "macros are not played: write out what `Use` stands for"),
    omitted("LoadModule", "only shows which <IfModule> is taken"),
    omitted("RewriteRule", "a rewrite may proxy ([P]) or change the path first: write a ProxyPass for it"),
    omitted("RewriteCond", "belongs to a RewriteRule"),
    omitted("ProxyPassReverse", RESPONSES),
    omitted("ProxyPassReverseCookieDomain", RESPONSES),
    omitted("ProxyPassReverseCookiePath", RESPONSES),
    omitted("ProxyErrorOverride", RESPONSES),
    omitted("ProxyPassInterpolateEnv", "values that differ from request to request have no equal"),
    omitted("ProxyPreserveHost", "members are told no host"),
    omitted("ProxyAddHeaders", "members are told no headers"),
    omitted("ProxyVia", "members are told no headers"),
    omitted("ProxyStatus", "a status page of the web server"),
    omitted("ProxyBadHeader", "of HTTP to members, which the front does not speak yet"),
    omitted("ProxyIOBufferSize", SOCKETS),
    omitted("ProxyReceiveBufferSize", SOCKETS),
    omitted("ProxySourceAddress", SOCKETS),
    omitted("ProxyMaxForwards", FORWARD_PROXY),
    omitted("ProxyBlock", FORWARD_PROXY),
    omitted("NoProxy", FORWARD_PROXY),
    omitted("ProxyDomain", FORWARD_PROXY),
    omitted("ProxyRemote", FORWARD_PROXY),
    omitted("ProxyRemoteMatch", FORWARD_PROXY),
    omitted("BalancerGrowth", "room for members added at run time: SIGHUP needs none"),
    omitted(
        "BalancerPersist",
        "changes made by hand at run time don't outlive it: write them into the document",
    ),
    omitted("ProxyHCExpr", HEALTH_CHECKS),
    omitted("ProxyHCTemplate", HEALTH_CHECKS),
    omitted("ProxyHCTPsize", HEALTH_CHECKS),
    omitted("<ProxyMatch>", "settings for machines by expression have no equal"),
];

/// Parameters of a member: `BalancerMember`, `ProxySet`, `ProxyPass` to one machine.
pub const MEMBER_PARAMS: &[Row] = &[
    mapped("loadfactor", "`use weight`, fractions too"),
    mapped("lbset", "`use tier`"),
    mapped("status", "`use state`: D, N draining; S stopped; H standby; R spare; I, E and C have no equal"),
    approximated("max", "`limits connections`: of the front, not of each child process"),
    approximated("ttl", "`limits idle-ms`: of every idle connection"),
    approximated("timeout", "`limits answer-ms`: of the whole answer, not of each read"),
    mapped("connectiontimeout", "`limits connect-ms`"),
    approximated("acquire", "`limits wait-ms` of the pool: the least of its members'"),
    approximated(
        "retry",
        "`recovery first-ms` of the pool, the least of its members'; it grows with each failed trial",
    ),
    approximated("redirect", "`use instead`: the member with that route, for all requests, not a session's"),
    omitted("route", STICKY),
    omitted("min", "connections are made as they are needed"),
    omitted("smax", "connections are made as they are needed"),
    omitted("ping", HEALTH_CHECKS),
    omitted("disablereuse", "connections are always shared"),
    omitted("enablereuse", "connections are always shared"),
    omitted("keepalive", SOCKETS),
    omitted("flushpackets", SOCKETS),
    omitted("flushwait", SOCKETS),
    omitted("flusher", SOCKETS),
    omitted("iobuffersize", SOCKETS),
    omitted("receivebuffersize", SOCKETS),
    omitted("responsefieldsize", SOCKETS),
    omitted("addressttl", "addresses are looked up once"),
    omitted("secret", "a secret is not copied, and AJP is not spoken"),
    omitted("upgrade", "connections are not upgraded"),
    omitted("mapping", "paths are told apart by routes"),
    omitted("hcmethod", HEALTH_CHECKS),
    omitted("hcpasses", HEALTH_CHECKS),
    omitted("hcfails", HEALTH_CHECKS),
    omitted("hcinterval", HEALTH_CHECKS),
    omitted("hcuri", HEALTH_CHECKS),
    omitted("hcexpr", HEALTH_CHECKS),
    omitted("hctemplate", HEALTH_CHECKS),
];

/// Parameters of a balancer: `ProxySet` and `ProxyPass` to `balancer://`.
pub const BALANCER_PARAMS: &[Row] = &[
    approximated(
        "lbmethod",
        "byrequests only: a member's share is its weight, by the objects' homes, not in turn",
    ),
    mapped("maxattempts", "`retry attempts`: the first attempt counted in"),
    mapped("failonstatus", "`recovery fail-on`"),
    approximated("timeout", "`limits wait-ms` of the pool: how long for a free member"),
    approximated("failontimeout", "a member that is silent counts as failed, whatever stands here"),
    omitted("stickysession", STICKY),
    omitted("stickysessionsep", STICKY),
    omitted("scolonpathdelim", STICKY),
    omitted("nofailover", STICKY),
    omitted("nonce", "of the web server's own manager page"),
    omitted("growth", "room for members added at run time: SIGHUP needs none"),
    omitted("forcerecovery", "trials come one at a time, also when all have failed"),
    omitted("lbset", "a balancer's own set has no equal; its members' have"),
];

/// Keywords of `ProxyPass` without a value.
pub const PROXY_PASS_KEYWORDS: &[Row] = &[
    omitted("nocanon", "paths go on as they came"),
    omitted("interpolate", "values that differ from request to request have no equal"),
    omitted("noquery", "queries go on as they came"),
];

/// Properties of a mod_jk worker, `worker.NAME.…`.
pub const JK_WORKER_PROPERTIES: &[Row] = &[
    mapped("type", "ajp13, ajp14: `member`; lb: `pool`; others have no equal"),
    mapped("host", "`member address`"),
    mapped("port", "`member address`"),
    mapped("reference", "the properties of that worker, where it has none of its own"),
    mapped("balance_workers", "`use` in the pool"),
    mapped("balanced_workers", "the old name of balance_workers"),
    mapped("lbfactor", "`use weight`"),
    mapped("distance", "`use tier`"),
    mapped("domain", "`use group`"),
    approximated("redirect", "`use instead`: for all requests, not a session's"),
    mapped(
        "activation",
        "`use state`: disabled is draining, stopped is stopped; what can't be read is draining",
    ),
    mapped("disabled", "the old form of activation"),
    mapped("stopped", "the old form of activation"),
    approximated(
        "method",
        "Request only: a member's share is its weight, by the objects' homes, not in turn",
    ),
    omitted("lock", "counters are not shared among processes"),
    approximated("connection_pool_size", "`limits connections`: of the front, not of each process"),
    approximated("cachesize", "the old name of connection_pool_size"),
    mapped("connection_pool_timeout", "`limits idle-ms`"),
    mapped("cache_timeout", "the old name of connection_pool_timeout"),
    approximated("connection_acquire_timeout", "`limits wait-ms` of the pool: the least of its members'"),
    mapped("socket_connect_timeout", "`limits connect-ms`"),
    approximated("socket_timeout", "`limits answer-ms`, where reply_timeout tells none: of the whole answer"),
    approximated("reply_timeout", "`limits answer-ms`: of the whole answer, not between two packets"),
    approximated("retries", "`retry attempts`: at any members, not at the same one"),
    approximated("recover_time", "`recovery first-ms`; it grows with each failed trial"),
    approximated("max_reply_timeouts", "`recovery failures`: of any kind, in a row"),
    mapped("fail_on_status", "`recovery fail-on`; those with a minus have no equal"),
    mapped("busy_limit", "`limits in-flight`"),
    mapped("mount", "`route`"),
    omitted("sticky_session", STICKY),
    omitted("sticky_session_force", STICKY),
    omitted("session_cookie", STICKY),
    omitted("session_path", STICKY),
    omitted("set_session_cookie", STICKY),
    omitted("session_cookie_path", STICKY),
    omitted("route", STICKY),
    omitted("jvm_route", STICKY),
    omitted("retry_interval", "a further attempt is made at once"),
    omitted("recovery_options", "what may be repeated is a matter of the request's class"),
    omitted("error_escalation_time", "failures in a row count, not their time"),
    omitted("connect_timeout", HEALTH_CHECKS),
    omitted("prepost_timeout", HEALTH_CHECKS),
    omitted("ping_timeout", HEALTH_CHECKS),
    omitted("ping_mode", HEALTH_CHECKS),
    omitted("connection_ping_interval", HEALTH_CHECKS),
    omitted("connection_pool_minsize", "connections are made as they are needed"),
    omitted("recycle_timeout", "connections are made as they are needed"),
    omitted("socket_keepalive", SOCKETS),
    omitted("socket_buffer", SOCKETS),
    omitted("max_packet_size", "of AJP, which the front does not speak yet"),
    omitted("source", SOCKETS),
    omitted("prefer_ipv6", "addresses are used as they are written"),
    omitted("secret", "a secret is not copied, and AJP is not spoken"),
    omitted("secretkey", "a secret is not copied, and AJP is not spoken"),
    omitted("class_path", JVM),
    omitted("cmd_line", JVM),
    omitted("jvm_lib", JVM),
    omitted("native_lib", JVM),
    omitted("bridge", JVM),
    omitted("mx", JVM),
    omitted("ms", JVM),
    omitted("sysprops", JVM),
    omitted("stdout", JVM),
    omitted("stderr", JVM),
    omitted("css", "of a status page"),
    omitted("read_only", "of a status page"),
    omitted("user", "of a status page"),
    omitted("user_case_insensitive", "of a status page"),
    omitted("good", "of a status page"),
    omitted("bad", "of a status page"),
    omitted("prefix", "of a status page"),
    omitted("ns", "of a status page"),
    omitted("xmlns", "of a status page"),
    omitted("doctype", "of a status page"),
];

/// Properties of a workers file as a whole.
pub const JK_GLOBAL_PROPERTIES: &[Row] = &[
    mapped("worker.list", "which workers can be mounted"),
    omitted("worker.maintain", "trials come by the recovery's own clock"),
    omitted("workers.tomcat_home", JVM),
    omitted("workers.java_home", JVM),
    omitted("ps", JVM),
];

/// Attributes of a mount, `;NAME=VALUE`.
pub const JK_MOUNT_ATTRIBUTES: &[Row] = &[
    mapped("active", "`use state` in a pool of this mount's own"),
    mapped("disabled", "`use state` in a pool of this mount's own: draining"),
    mapped("stopped", "`use state` in a pool of this mount's own"),
    approximated("reply_timeout", "`limits answer-ms` of a pool of this mount's own: of the whole answer"),
    mapped("fail_on_status", "`recovery fail-on` of a pool of this mount's own"),
    omitted("use_server_errors", RESPONSES),
    omitted("sticky_ignore", STICKY),
    omitted("stateless", STICKY),
    omitted("session_cookie", STICKY),
    omitted("session_path", STICKY),
    omitted("set_session_cookie", STICKY),
    omitted("session_cookie_path", STICKY),
];

/// Directives of mod_jk in httpd's files.
pub const JK_DIRECTIVES: &[Row] = &[
    mapped("JkMount", "`route` in the longest order"),
    mapped("JkUnMount", "an exclusion for that pool, or for all with `*`"),
    mapped("JkMountFile", "that file's mounts"),
    mapped("JkWorkersFile", "that file's workers"),
    mapped("JkWorkerProperty", "a line of the workers file"),
    mapped("JkMountCopy", "`inherit`"),
    omitted("JkMountFileReload", "files are read again on SIGHUP"),
    omitted("JkAutoAlias", "files are not served"),
    omitted("JkOptions", "how paths are written and what is told to members; paths go on as they came"),
    omitted("JkEnvVar", "members are told no variables"),
    omitted("JkStripSession", STICKY),
    omitted("JkExtractSSL", "members are told nothing of TLS"),
    omitted("JkHTTPSIndicator", "members are told nothing of TLS"),
    omitted("JkCERTSIndicator", "members are told nothing of TLS"),
    omitted("JkCIPHERIndicator", "members are told nothing of TLS"),
    omitted("JkSESSIONIndicator", "members are told nothing of TLS"),
    omitted("JkKEYSIZEIndicator", "members are told nothing of TLS"),
    omitted("JkCERTCHAINPrefix", "members are told nothing of TLS"),
    omitted("JkRemoteHostIndicator", "members are told no host"),
    omitted("JkRemotePortIndicator", "members are told no host"),
    omitted("JkRemoteAddrIndicator", "members are told no host"),
    omitted("JkRemoteUserIndicator", "members are told no host"),
    omitted("JkAuthTypeIndicator", "members are told no host"),
    omitted("JkLocalNameIndicator", "members are told no host"),
    omitted("JkLocalPortIndicator", "members are told no host"),
    omitted("JkIgnoreCLIndicator", "members are told no host"),
    omitted("JkLogFile", LOGS),
    omitted("JkLogLevel", LOGS),
    omitted("JkLogStampFormat", LOGS),
    omitted("JkRequestLogFormat", LOGS),
    omitted("JkShmFile", LOGS),
    omitted("JkShmSize", LOGS),
    omitted("JkWatchdogInterval", "trials come by the recovery's own clock"),
];

/// The row of a name, whatever its case.
pub fn find(table: &'static [Row], name: &str) -> Option<&'static Row> {
    table.iter().find(|row| row.name.eq_ignore_ascii_case(name))
}

/// What becomes of a name, or that it is not known.
pub fn outcome(table: &'static [Row], name: &str) -> &'static str {
    find(table, name).map_or("not known to the importer", |row| row.outcome)
}

/// The tables as the operators' page shows them.
pub fn markdown() -> String {
    let mut out = String::new();
    for (title, table) in [
        ("Directives of httpd", HTTPD_DIRECTIVES),
        ("Parameters of a member (BalancerMember, ProxySet, ProxyPass)", MEMBER_PARAMS),
        ("Parameters of a balancer (ProxySet, ProxyPass)", BALANCER_PARAMS),
        ("Words of ProxyPass", PROXY_PASS_KEYWORDS),
        ("Properties of a mod_jk worker", JK_WORKER_PROPERTIES),
        ("Other properties of a workers file", JK_GLOBAL_PROPERTIES),
        ("Attributes of a mount", JK_MOUNT_ATTRIBUTES),
        ("Directives of mod_jk", JK_DIRECTIVES),
    ] {
        let _ = writeln!(
            out,
            "### {title}\n\n| name | verdict | what becomes of it, or why nothing |\n| --- | --- | --- |"
        );
        for Row { name, verdict, outcome } in table {
            let _ = writeln!(out, "| `{name}` | {} | {outcome} |", verdict.as_str());
        }
        out.push('\n');
    }
    let _ = writeln!(out, "Any other directive: left_out, {NOT_ROUTING}.");
    out
}
