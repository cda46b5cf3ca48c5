//! Tables of what each directive and parameter becomes in the site document. The importer takes the reasons
//! of its report from them, and the operators' page `docs/operate/import.md` shows them. The names are those
//! used by the documentation of [mod_proxy](https://httpd.apache.org/docs/2.4/mod/mod_proxy.html),
//! [mod_proxy_balancer](https://httpd.apache.org/docs/2.4/mod/mod_proxy_balancer.html) and the [Tomcat
//! connectors](https://tomcat.apache.org/connectors-doc/reference/workers.html).

use crate::report::Verdict;
use std::fmt::Write;

/// One row of a table: what the import makes of a directive or parameter.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The name of the directive or parameter; a section's name is in angle brackets.
    pub name: &'static str,
    /// The verdict, unless the value requires a more severe one.
    pub verdict: Verdict,
    /// What the directive or parameter becomes in the site document, or why it is omitted.
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

/// The reason given for a directive that is in no table.
pub const NOT_ROUTING: &str = "a setting of the web server that does not affect where requests are routed";
const RESPONSES_UNCHANGED: &str = "changes responses; fernslip forwards responses unchanged";
const NO_STICKY_SESSIONS: &str =
    "sticky sessions are not supported: the object of a request determines its member";
const NO_HEALTH_CHECKS: &str = "fronts send no health checks: they judge a member's health by its answers";
const WEB_SERVER_ONLY_SETTING: &str = "a buffer or socket setting that only the web server has";
const NO_FORWARD_PROXY: &str = "a setting of a forward proxy, which fernslip is not";
const WEB_SERVER_LOG_SETTING: &str = "a setting of the web server's logs or shared memory";
const EMBEDDED_JVM_SETTING: &str =
    "configures a JVM inside the web server, which a site document cannot describe";

/// Directives of httpd. A directive that is in no table is omitted for the reason [`NOT_ROUTING`].
pub const HTTPD_DIRECTIVES: &[Row] = &[
    mapped("BalancerMember", "`member`, and `use` in the balancer's `pool`"),
    mapped(
        "ProxyPass",
        "`route`, with `!` an exclusion; a single backend server becomes a pool of one member",
    ),
    mapped("ProxyPassMatch", "`route match=\"regex\"`, if the regular expression has no look-around"),
    mapped("ProxySet", "its parameters are read as parameters of the member or balancer"),
    mapped("<Proxy>", "`pool`, for `balancer://`"),
    mapped("<Location>", "the path of the routes inside the section"),
    mapped("<LocationMatch>", "the regular expression of the routes inside the section"),
    approximated(
        "<VirtualHost>",
        "a set of `routes` with the section's host names; its addresses and ports are dropped",
    ),
    mapped("ServerName", "`host`"),
    mapped("ServerAlias", "`host`; `*` is accepted only as the whole first label"),
    mapped("ServerRoot", "the directory that relative file names start from"),
    approximated(
        "ProxyTimeout",
        "`answer-ms` of members without a `timeout`: limits the whole answer, not each read",
    ),
    mapped("ProxyPassInherit", "`inherit`"),
    mapped("BalancerInherit", "whether virtual hosts can use the main server's balancers"),
    omitted("ProxyRequests", NO_FORWARD_PROXY),
    mapped("Include", "the directives of the included files"),
    mapped("IncludeOptional", "the directives of the included files"),
    mapped("Define", "the value is inserted wherever the variable is used"),
    mapped("UnDefine", "the variable has no value from here on"),
    mapped("<IfDefine>", "included or skipped, depending on `Define` and `--define`"),
    mapped("<IfModule>", "included for the proxy modules, mod_jk and the modules named by LoadModule"),
    omitted("<IfVersion>", "the importer does not know the version of the web server"),
    omitted("<IfFile>", "the importer does not know which files exist on the web server's machine"),
    omitted("<IfDirective>", "the importer does not know which directives the web server's build has"),
    omitted("<IfSection>", "the importer does not know which sections the web server's build has"),
    omitted("<If>", "depends on the contents of each request, which routes cannot test"),
    omitted("<ElseIf>", "depends on the contents of each request, which routes cannot test"),
    omitted("<Else>", "depends on the contents of each request, which routes cannot test"),
    omitted("<Macro>", "macros are not expanded; replace each `Use` with the directives that it stands for"),
    omitted("Use", "macros are not expanded; replace each `Use` with the directives that it stands for"),
    omitted("LoadModule", "only decides which <IfModule> sections are included"),
    omitted("RewriteRule", "a rewrite rule may proxy ([P]) or change the path; replace it with a ProxyPass"),
    omitted("RewriteCond", "a condition of a RewriteRule, which is not imported"),
    omitted("ProxyPassReverse", RESPONSES_UNCHANGED),
    omitted("ProxyPassReverseCookieDomain", RESPONSES_UNCHANGED),
    omitted("ProxyPassReverseCookiePath", RESPONSES_UNCHANGED),
    omitted("ProxyErrorOverride", RESPONSES_UNCHANGED),
    omitted("ProxyPassInterpolateEnv", "values that vary by request cannot be expressed in a site document"),
    omitted("ProxyPreserveHost", "the request's host name is not forwarded to members"),
    omitted("ProxyAddHeaders", "no headers are forwarded to members"),
    omitted("ProxyVia", "no headers are forwarded to members"),
    omitted("ProxyStatus", "a setting of the web server's status page"),
    omitted("ProxyBadHeader", "a setting of HTTP to members, which the front does not support yet"),
    omitted("ProxyIOBufferSize", WEB_SERVER_ONLY_SETTING),
    omitted("ProxyReceiveBufferSize", WEB_SERVER_ONLY_SETTING),
    omitted("ProxySourceAddress", WEB_SERVER_ONLY_SETTING),
    omitted("ProxyMaxForwards", NO_FORWARD_PROXY),
    omitted("ProxyBlock", NO_FORWARD_PROXY),
    omitted("NoProxy", NO_FORWARD_PROXY),
    omitted("ProxyDomain", NO_FORWARD_PROXY),
    omitted("ProxyRemote", NO_FORWARD_PROXY),
    omitted("ProxyRemoteMatch", NO_FORWARD_PROXY),
    omitted("BalancerGrowth", "reserves space for members added at run time; a reload by SIGHUP needs none"),
    omitted(
        "BalancerPersist",
        "manual changes at run time do not survive a restart; write them into the site document",
    ),
    omitted("ProxyHCExpr", NO_HEALTH_CHECKS),
    omitted("ProxyHCTemplate", NO_HEALTH_CHECKS),
    omitted("ProxyHCTPsize", NO_HEALTH_CHECKS),
    omitted(
        "<ProxyMatch>",
        "settings for backend servers that match a regular expression cannot be expressed",
    ),
];

/// Parameters of a member, in `BalancerMember`, `ProxySet`, or `ProxyPass` to a single backend server.
pub const MEMBER_PARAMS: &[Row] = &[
    mapped("loadfactor", "`use weight`; fractions are accepted"),
    mapped("lbset", "`use tier`"),
    mapped(
        "status",
        "`use state`: D and N are draining, S stopped, H standby, R spare; I, E and C are dropped",
    ),
    approximated("max", "`limits connections`: counted for the whole front, not for each child process"),
    approximated("ttl", "`limits idle-ms`: applies to every idle connection"),
    approximated("timeout", "`limits answer-ms`: limits the whole answer, not each read"),
    mapped("connectiontimeout", "`limits connect-ms`"),
    approximated("acquire", "`limits wait-ms` of the pool: the lowest value of its members"),
    approximated(
        "retry",
        "`recovery first-ms` of the pool: the lowest value of its members; it grows with each failed attempt",
    ),
    approximated(
        "redirect",
        "`use instead`: the member with that route, for all requests, not only those of a session",
    ),
    omitted("route", NO_STICKY_SESSIONS),
    omitted("min", "connections are opened on demand"),
    omitted("smax", "connections are opened on demand"),
    omitted("ping", NO_HEALTH_CHECKS),
    omitted("disablereuse", "connections are always kept open and shared among requests"),
    omitted("enablereuse", "connections are always kept open and shared among requests"),
    omitted("keepalive", WEB_SERVER_ONLY_SETTING),
    omitted("flushpackets", WEB_SERVER_ONLY_SETTING),
    omitted("flushwait", WEB_SERVER_ONLY_SETTING),
    omitted("flusher", WEB_SERVER_ONLY_SETTING),
    omitted("iobuffersize", WEB_SERVER_ONLY_SETTING),
    omitted("receivebuffersize", WEB_SERVER_ONLY_SETTING),
    omitted("responsefieldsize", WEB_SERVER_ONLY_SETTING),
    omitted("addressttl", "host names are resolved only once"),
    omitted("secret", "secrets are not copied, and AJP is not supported"),
    omitted("upgrade", "connections to members are not upgraded to other protocols"),
    omitted("mapping", "paths are assigned to members by routes only"),
    omitted("hcmethod", NO_HEALTH_CHECKS),
    omitted("hcpasses", NO_HEALTH_CHECKS),
    omitted("hcfails", NO_HEALTH_CHECKS),
    omitted("hcinterval", NO_HEALTH_CHECKS),
    omitted("hcuri", NO_HEALTH_CHECKS),
    omitted("hcexpr", NO_HEALTH_CHECKS),
    omitted("hctemplate", NO_HEALTH_CHECKS),
];

/// Parameters of a balancer, in `ProxySet` or `ProxyPass` to `balancer://`.
pub const BALANCER_PARAMS: &[Row] = &[
    approximated(
        "lbmethod",
        "only the value `byrequests`: a member's weight sets its share of the objects; requests are \
         not sent in rotation",
    ),
    mapped("maxattempts", "`retry attempts`, which includes the first attempt"),
    mapped("failonstatus", "`recovery fail-on`"),
    approximated("timeout", "`limits wait-ms` of the pool: how long a request waits for a free member"),
    approximated("failontimeout", "a member that does not answer in time always counts as failed"),
    omitted("stickysession", NO_STICKY_SESSIONS),
    omitted("stickysessionsep", NO_STICKY_SESSIONS),
    omitted("scolonpathdelim", NO_STICKY_SESSIONS),
    omitted("nofailover", NO_STICKY_SESSIONS),
    omitted("nonce", "a setting of the web server's balancer manager page"),
    omitted("growth", "reserves space for members added at run time; a reload by SIGHUP needs none"),
    omitted("forcerecovery", "failed members are tried one at a time, even if all have failed"),
    omitted("lbset", "the set of a balancer cannot be expressed, only those of its members"),
];

/// Keywords of `ProxyPass`, which are parameters without a value.
pub const PROXY_PASS_KEYWORDS: &[Row] = &[
    omitted("nocanon", "paths are always forwarded without canonicalization"),
    omitted("interpolate", "values that vary by request cannot be expressed in a site document"),
    omitted("noquery", "query strings are always forwarded"),
];

/// Properties of a mod_jk worker, set by `worker.NAME.PROPERTY`.
pub const JK_WORKER_PROPERTIES: &[Row] = &[
    mapped("type", "ajp13 and ajp14: `member`; lb: `pool`; other types are omitted"),
    mapped("host", "`member address`"),
    mapped("port", "`member address`"),
    mapped("reference", "the properties of that worker, unless the referring worker sets its own"),
    mapped("balance_workers", "`use` in the pool"),
    mapped("balanced_workers", "the old name of balance_workers"),
    mapped("lbfactor", "`use weight`"),
    mapped("distance", "`use tier`"),
    mapped("domain", "`use group`"),
    approximated("redirect", "`use instead`: for all requests, not only those of a session"),
    mapped(
        "activation",
        "`use state`: disabled becomes draining, stopped stays stopped; an invalid value becomes draining",
    ),
    mapped("disabled", "the old form of activation"),
    mapped("stopped", "the old form of activation"),
    approximated(
        "method",
        "only the value `Request`: a member's weight sets its share of the objects; requests are \
         not sent in rotation",
    ),
    omitted("lock", "fernslip shares no counters among processes"),
    approximated(
        "connection_pool_size",
        "`limits connections`: counted for the whole front, not for each process",
    ),
    approximated("cachesize", "the old name of connection_pool_size"),
    mapped("connection_pool_timeout", "`limits idle-ms`"),
    mapped("cache_timeout", "the old name of connection_pool_timeout"),
    approximated(
        "connection_acquire_timeout",
        "`limits wait-ms` of the pool: the lowest value of its members",
    ),
    mapped("socket_connect_timeout", "`limits connect-ms`"),
    approximated(
        "socket_timeout",
        "`limits answer-ms`, unless reply_timeout is set: limits the whole answer",
    ),
    approximated(
        "reply_timeout",
        "`limits answer-ms`: limits the whole answer, not the time between two packets",
    ),
    approximated("retries", "`retry attempts`: at any member, not only at the same one"),
    approximated("recover_time", "`recovery first-ms`; it grows with each failed attempt"),
    approximated("max_reply_timeouts", "`recovery failures`: counts consecutive failures of any kind"),
    mapped("fail_on_status", "`recovery fail-on`; status codes with a minus sign are dropped"),
    mapped("busy_limit", "`limits in-flight`"),
    mapped("mount", "`route`"),
    omitted("sticky_session", NO_STICKY_SESSIONS),
    omitted("sticky_session_force", NO_STICKY_SESSIONS),
    omitted("session_cookie", NO_STICKY_SESSIONS),
    omitted("session_path", NO_STICKY_SESSIONS),
    omitted("set_session_cookie", NO_STICKY_SESSIONS),
    omitted("session_cookie_path", NO_STICKY_SESSIONS),
    omitted("route", NO_STICKY_SESSIONS),
    omitted("jvm_route", NO_STICKY_SESSIONS),
    omitted("retry_interval", "further attempts are made without delay"),
    omitted("recovery_options", "the class of a request determines whether it may be retried"),
    omitted(
        "error_escalation_time",
        "only the number of consecutive failures matters, not how long they last",
    ),
    omitted("connect_timeout", NO_HEALTH_CHECKS),
    omitted("prepost_timeout", NO_HEALTH_CHECKS),
    omitted("ping_timeout", NO_HEALTH_CHECKS),
    omitted("ping_mode", NO_HEALTH_CHECKS),
    omitted("connection_ping_interval", NO_HEALTH_CHECKS),
    omitted("connection_pool_minsize", "connections are opened on demand"),
    omitted("recycle_timeout", "connections are opened on demand"),
    omitted("socket_keepalive", WEB_SERVER_ONLY_SETTING),
    omitted("socket_buffer", WEB_SERVER_ONLY_SETTING),
    omitted("max_packet_size", "a setting of AJP, which the front does not support yet"),
    omitted("source", WEB_SERVER_ONLY_SETTING),
    omitted("prefer_ipv6", "addresses are used exactly as they are written"),
    omitted("secret", "secrets are not copied, and AJP is not supported"),
    omitted("secretkey", "secrets are not copied, and AJP is not supported"),
    omitted("class_path", EMBEDDED_JVM_SETTING),
    omitted("cmd_line", EMBEDDED_JVM_SETTING),
    omitted("jvm_lib", EMBEDDED_JVM_SETTING),
    omitted("native_lib", EMBEDDED_JVM_SETTING),
    omitted("bridge", EMBEDDED_JVM_SETTING),
    omitted("mx", EMBEDDED_JVM_SETTING),
    omitted("ms", EMBEDDED_JVM_SETTING),
    omitted("sysprops", EMBEDDED_JVM_SETTING),
    omitted("stdout", EMBEDDED_JVM_SETTING),
    omitted("stderr", EMBEDDED_JVM_SETTING),
    omitted("css", "a setting of a status worker, which is not imported"),
    omitted("read_only", "a setting of a status worker, which is not imported"),
    omitted("user", "a setting of a status worker, which is not imported"),
    omitted("user_case_insensitive", "a setting of a status worker, which is not imported"),
    omitted("good", "a setting of a status worker, which is not imported"),
    omitted("bad", "a setting of a status worker, which is not imported"),
    omitted("prefix", "a setting of a status worker, which is not imported"),
    omitted("ns", "a setting of a status worker, which is not imported"),
    omitted("xmlns", "a setting of a status worker, which is not imported"),
    omitted("doctype", "a setting of a status worker, which is not imported"),
];

/// Properties that apply to a workers file as a whole.
pub const JK_GLOBAL_PROPERTIES: &[Row] = &[
    mapped("worker.list", "the workers that paths can be mounted onto"),
    omitted("worker.maintain", "failed members are tried again at the times that `recovery` sets"),
    omitted("workers.tomcat_home", EMBEDDED_JVM_SETTING),
    omitted("workers.java_home", EMBEDDED_JVM_SETTING),
    omitted("ps", EMBEDDED_JVM_SETTING),
];

/// Attributes of a mount, written as `;NAME=VALUE`.
pub const JK_MOUNT_ATTRIBUTES: &[Row] = &[
    mapped("active", "`use state` in a separate pool for this mount"),
    mapped("disabled", "`use state` in a separate pool for this mount: draining"),
    mapped("stopped", "`use state` in a separate pool for this mount"),
    approximated(
        "reply_timeout",
        "`limits answer-ms` of a separate pool for this mount: limits the whole answer",
    ),
    mapped("fail_on_status", "`recovery fail-on` of a separate pool for this mount"),
    omitted("use_server_errors", RESPONSES_UNCHANGED),
    omitted("sticky_ignore", NO_STICKY_SESSIONS),
    omitted("stateless", NO_STICKY_SESSIONS),
    omitted("session_cookie", NO_STICKY_SESSIONS),
    omitted("session_path", NO_STICKY_SESSIONS),
    omitted("set_session_cookie", NO_STICKY_SESSIONS),
    omitted("session_cookie_path", NO_STICKY_SESSIONS),
];

/// Directives of mod_jk in the configuration files of httpd.
pub const JK_DIRECTIVES: &[Row] = &[
    mapped("JkMount", "`route` in a set of routes whose order is `longest`"),
    mapped("JkUnMount", "an exclusion for the worker's pool, or for all pools with `*`"),
    mapped("JkMountFile", "the mounts in that file"),
    mapped("JkWorkersFile", "the workers in that file"),
    mapped("JkWorkerProperty", "read as a line of a workers file"),
    mapped("JkMountCopy", "`inherit`"),
    omitted("JkMountFileReload", "configuration files are read again only on SIGHUP"),
    omitted("JkAutoAlias", "fernslip does not serve static files"),
    omitted(
        "JkOptions",
        "controls path encoding and the values forwarded to members; paths are forwarded unchanged",
    ),
    omitted("JkEnvVar", "environment variables are not forwarded to members"),
    omitted("JkStripSession", NO_STICKY_SESSIONS),
    omitted("JkExtractSSL", "TLS details are not forwarded to members"),
    omitted("JkHTTPSIndicator", "TLS details are not forwarded to members"),
    omitted("JkCERTSIndicator", "TLS details are not forwarded to members"),
    omitted("JkCIPHERIndicator", "TLS details are not forwarded to members"),
    omitted("JkSESSIONIndicator", "TLS details are not forwarded to members"),
    omitted("JkKEYSIZEIndicator", "TLS details are not forwarded to members"),
    omitted("JkCERTCHAINPrefix", "TLS details are not forwarded to members"),
    omitted("JkRemoteHostIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkRemotePortIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkRemoteAddrIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkRemoteUserIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkAuthTypeIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkLocalNameIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkLocalPortIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkIgnoreCLIndicator", "details of the client and its connection are not forwarded to members"),
    omitted("JkLogFile", WEB_SERVER_LOG_SETTING),
    omitted("JkLogLevel", WEB_SERVER_LOG_SETTING),
    omitted("JkLogStampFormat", WEB_SERVER_LOG_SETTING),
    omitted("JkRequestLogFormat", WEB_SERVER_LOG_SETTING),
    omitted("JkShmFile", WEB_SERVER_LOG_SETTING),
    omitted("JkShmSize", WEB_SERVER_LOG_SETTING),
    omitted("JkWatchdogInterval", "failed members are tried again at the times that `recovery` sets"),
];

/// The row for a name, compared without regard to case.
pub fn find_row(table: &'static [Row], name: &str) -> Option<&'static Row> {
    table.iter().find(|row| row.name.eq_ignore_ascii_case(name))
}

/// The outcome in the row for a name, or a text that says the importer does not support the name.
pub fn outcome_of(table: &'static [Row], name: &str) -> &'static str {
    find_row(table, name).map_or("not supported by the importer", |row| row.outcome)
}

/// All tables in Markdown, exactly as the page `docs/operate/import.md` contains them.
pub fn markdown_tables() -> String {
    let mut out = String::new();
    for (title, table) in [
        ("Directives of httpd", HTTPD_DIRECTIVES),
        ("Parameters of a member (BalancerMember, ProxySet, ProxyPass)", MEMBER_PARAMS),
        ("Parameters of a balancer (ProxySet, ProxyPass)", BALANCER_PARAMS),
        ("Keywords of ProxyPass", PROXY_PASS_KEYWORDS),
        ("Properties of a mod_jk worker", JK_WORKER_PROPERTIES),
        ("Other properties of a workers file", JK_GLOBAL_PROPERTIES),
        ("Attributes of a mount", JK_MOUNT_ATTRIBUTES),
        ("Directives of mod_jk in httpd's files", JK_DIRECTIVES),
    ] {
        let _ = writeln!(
            out,
            "### {title}\n\n| name | verdict | result, or reason for omission |\n| --- | --- | --- |"
        );
        for Row { name, verdict, outcome } in table {
            let _ = writeln!(out, "| `{name}` | {} | {outcome} |", verdict.as_str());
        }
        out.push('\n');
    }
    let _ = writeln!(out, "Any other directive: left_out, because it is {NOT_ROUTING}.");
    out
}
