//! httpd's balancers and machines to pools and members, and its ProxyPass lines to rules.

use crate::build::{Builder, Machine};
use crate::httpd::{reason, Balancer, Leads, Rule, Server, Worker};
use crate::params::{flag, time_ms, Param};
use crate::report::{Item, Ledger};
use fernslip_site::{Match, MemberLimits, Pool, Route, State, Target, Use};
use std::collections::HashMap;

/// The pools that rules can lead to: by the server, and the balancer's name or the machine's URL.
#[derive(Default)]
pub(crate) struct Pools {
    balancers: HashMap<(usize, String), String>,
    machines: HashMap<(usize, String), Result<String, String>>,
}

/// A member's own limits, and what it says on its part in a pool.
struct Part {
    limits: MemberLimits,
    weight: Option<f64>,
    tier: Option<u64>,
    state: Option<State>,
    acquire: Option<(u64, Item)>,
    retry: Option<(u64, Item)>,
    route: Option<String>,
    redirect: Option<Param>,
}

/// Makes every pool.
pub(crate) fn make(ledger: &mut Ledger, builder: &mut Builder, servers: &mut [Server]) -> Pools {
    let mut pools = Pools::default();
    let main_timeout = servers[0].timeout.map(|t| t.0);
    let mut empty: Vec<(usize, Balancer)> = Vec::new();
    for (n, server) in servers.iter_mut().enumerate() {
        let timeout = server.timeout.map(|t| t.0).or(main_timeout);
        for b in std::mem::take(&mut server.balancers) {
            if b.members.is_empty() {
                empty.push((n, b));
                continue;
            }
            let name = b.name.clone();
            let pool = balancer(ledger, builder, b, timeout);
            pools.balancers.insert((n, name), pool);
        }
        for m in std::mem::take(&mut server.machines) {
            let url = m.url.clone();
            let pool = machine(ledger, builder, m, timeout);
            pools.machines.insert((n, url), pool);
        }
    }
    for (n, b) in empty {
        // Perhaps the main server's, with settings of a virtual host's own.
        let inherits = servers[n].inherit_balancers.unwrap_or(true);
        let home = pools.balancers.get(&(0, b.name.clone())).filter(|_| n > 0 && inherits).cloned();
        for item in &b.items {
            match &home {
                Some(pool) => ledger.mapped(*item, format!("pool \"{pool}\"")),
                None => ledger.left_out(*item, "a balancer without members"),
            }
        }
        for (name, p) in b.params.0 {
            let why = match &home {
                Some(pool) => format!("a virtual host's own `{name}` for the pool \"{pool}\" of all"),
                None => "of a balancer that has no members".into(),
            };
            ledger.left_out(p.item, why);
        }
    }
    pools
}

/// `max=`, `timeout=` and the like of one machine, each with its verdict.
fn part(ledger: &mut Ledger, params: crate::params::Params, timeout: Option<u64>, who: &str) -> Part {
    let mut part = Part {
        limits: MemberLimits { answer_ms: timeout.filter(|ms| *ms > 0), ..MemberLimits::default() },
        weight: None,
        tier: None,
        state: None,
        acquire: None,
        retry: None,
        route: None,
        redirect: None,
    };
    for (name, p) in params.0 {
        let to = |what: &str| format!("member \"{who}\" {what}");
        let v = p.value.as_str();
        let ms = |unit| time_ms(v, unit).filter(|ms| *ms > 0);
        match name.as_str() {
            "loadfactor" => {
                part.weight = v.parse().ok().filter(|w: &f64| (1.0..=100.0).contains(w));
                match part.weight {
                    Some(_) => ledger.mapped(p.item, to("use weight")),
                    None => ledger.left_out(p.item, "not from 1 to 100, which httpd refuses too"),
                }
            }
            "lbset" => {
                part.tier = v.parse().ok().filter(|t| *t <= 99);
                match part.tier {
                    Some(_) => ledger.mapped(p.item, to("use tier")),
                    None => ledger.left_out(p.item, "not from 0 to 99, which httpd refuses too"),
                }
            }
            "status" => {
                let (state, verdict) = status(v);
                part.state = state;
                match verdict {
                    Ok(()) => ledger.mapped(p.item, to("use state")),
                    Err((why, true)) => ledger.near(p.item, to("use state"), why),
                    Err((why, false)) => ledger.left_out(p.item, why),
                }
            }
            "max" => {
                part.limits.connections = v.parse().ok().filter(|n| (1..=1 << 24).contains(n));
                match part.limits.connections {
                    Some(_) => ledger.near(p.item, to("limits connections"), reason(false, "max")),
                    None => ledger.left_out(p.item, "no number of connections"),
                }
            }
            "ttl" | "timeout" => match ms(1000) {
                Some(t) if name == "ttl" => {
                    part.limits.idle_ms = Some(t);
                    ledger.near(p.item, to("limits idle-ms"), "of every idle connection");
                }
                Some(t) => {
                    part.limits.answer_ms = Some(t);
                    ledger.near(p.item, to("limits answer-ms"), "of the whole answer, not of each read");
                }
                None => ledger.left_out(p.item, "no time of a day or less"),
            },
            "connectiontimeout" => match ms(1000) {
                Some(t) => {
                    part.limits.connect_ms = Some(t);
                    ledger.mapped(p.item, to("limits connect-ms"));
                }
                None => ledger.left_out(p.item, "no time of a day or less"),
            },
            "acquire" => match time_ms(v, 1) {
                Some(t) => part.acquire = Some((t, p.item)),
                None => ledger.left_out(p.item, "no time of a day or less"),
            },
            "retry" => match time_ms(v, 1000) {
                Some(t) => part.retry = Some((t, p.item)),
                None => ledger.left_out(p.item, "no time of a day or less"),
            },
            "route" => {
                part.route = Some(p.value.clone());
                ledger.left_out(p.item, reason(false, "route"));
            }
            "redirect" => part.redirect = Some(p),
            _ => ledger.left_out(p.item, reason(false, &name)),
        }
    }
    part
}

/// The state that status flags stand for; why they are not, or (true) not wholly, taken.
fn status(flags: &str) -> (Option<State>, Result<(), (String, bool)>) {
    let mut set: Vec<char> = Vec::new();
    let mut on = true;
    let mut unknown = String::new();
    for c in flags.chars() {
        match c.to_ascii_uppercase() {
            '+' => on = true,
            '-' => on = false,
            f @ ('D' | 'S' | 'I' | 'R' | 'H' | 'E' | 'N' | 'C') => {
                set.retain(|s| *s != f);
                if on {
                    set.push(f);
                }
            }
            other => unknown.push(other),
        }
    }
    if !unknown.is_empty() {
        // httpd would not start; whatever was meant, the member is not taken as live.
        let why = format!("`{unknown}` is no status flag, and httpd refuses it: taken as stopped");
        return (Some(State::Stopped), Err((why, true)));
    }
    let states = set.iter().filter_map(|f| match f {
        'D' | 'N' => Some(State::Draining),
        'S' => Some(State::Stopped),
        'H' => Some(State::Standby),
        'R' => Some(State::Spare),
        _ => None,
    });
    let state = states.reduce(State::stricter);
    let other: String = set.iter().filter(|f| matches!(f, 'I' | 'E' | 'C')).collect();
    let why =
        |c: String| format!("{c}: errors can't be ignored, and what traffic or probes showed is not kept");
    let verdict = match (other.is_empty(), state) {
        (true, _) => Ok(()),
        (false, Some(_)) => Err((why(other), true)),
        (false, None) => Err((why(other), false)),
    };
    (state, verdict)
}

#[allow(
    clippy::too_many_lines,
    reason = "one directive of the balancer a few lines, in the order of the Apache page"
)]
fn balancer(ledger: &mut Ledger, builder: &mut Builder, b: Balancer, timeout: Option<u64>) -> String {
    let mut pool = builder.pool(&b.name);
    let to = format!("pool \"{}\"", pool.name);
    for item in &b.items {
        ledger.mapped(*item, to.clone());
    }
    let mut redirects = Vec::new();
    let mut routes: HashMap<String, String> = HashMap::new();
    let mut seen: HashMap<String, usize> = HashMap::new();
    let mut timing: Vec<Part> = Vec::new();
    for Worker { url, items, params } in b.members {
        let machine = match Machine::of(&url) {
            Ok(m) => m,
            Err(why) => {
                items.iter().for_each(|i| ledger.left_out(*i, why.clone()));
                params
                    .0
                    .into_values()
                    .for_each(|p| ledger.left_out(p.item, format!("of a member left out: {why}")));
                continue;
            }
        };
        let part = part(ledger, params, timeout, &url);
        let id = builder.member(&machine, part.limits.clone());
        for i in &items {
            ledger.mapped(*i, format!("{to} use \"{id}\""));
        }
        if let Some(route) = &part.route {
            routes.entry(route.clone()).or_insert(id.clone());
        }
        if let Some(r) = &part.redirect {
            redirects.push((pool.members.len(), r.clone()));
        }
        let u = Use {
            member: id.clone(),
            weight: part.weight,
            state: part.state,
            tier: part.tier,
            group: None,
            instead: None,
        };
        // Two URLs of one machine, such as with and without a closing slash, are one member.
        match seen.get(&id) {
            Some(at) => {
                let state = |u: &Use| u.state.unwrap_or(State::Ready);
                let strict = state(&pool.members[*at]).stricter(state(&u));
                pool.members[*at].state = Some(strict).filter(|s| *s != State::Ready);
                for i in &items {
                    ledger.near(
                        *i,
                        format!("{to} use \"{id}\""),
                        "the same machine is in this balancer already",
                    );
                }
            }
            None => {
                seen.insert(id, pool.members.len());
                pool.members.push(u);
            }
        }
        timing.push(part);
    }
    for (at, r) in redirects {
        let id = routes.get(&r.value).filter(|id| pool.members.get(at).is_some_and(|u| u.member != **id));
        match id {
            Some(id) => {
                ledger.near(
                    r.item,
                    format!("{to} use instead=\"{id}\""),
                    "for all requests, not a session's",
                );
                pool.members[at].instead = Some(id.clone());
            }
            None => ledger.left_out(r.item, format!("no other member of it has the route `{}`", r.value)),
        }
    }
    pool_timing(ledger, &mut pool, &timing, &to);
    for (name, p) in b.params.0 {
        balancer_param(ledger, &mut pool, &name, &p, &to);
    }
    let name = pool.name.clone();
    builder.site.pools.push(pool);
    name
}

/// What members say that is their pool's matter here: of several values the least holds.
fn pool_timing(ledger: &mut Ledger, pool: &mut Pool, parts: &[Part], to: &str) {
    let waits: Vec<(u64, Item)> = parts.iter().filter_map(|p| p.acquire).collect();
    let retries: Vec<(u64, Item)> = parts.iter().filter_map(|p| p.retry).collect();
    pool.limits.wait_ms = waits.iter().map(|w| w.0).min();
    pool.recovery.first_backoff_ms = retries.iter().map(|r| r.0).min();
    for (_, item) in waits {
        ledger.near(item, format!("{to} limits wait-ms"), reason(false, "acquire"));
    }
    for (_, item) in retries {
        ledger.near(item, format!("{to} recovery first-ms"), reason(false, "retry"));
    }
}

fn balancer_param(ledger: &mut Ledger, pool: &mut Pool, name: &str, p: &Param, to: &str) {
    let v = p.value.as_str();
    match name {
        "lbmethod" => match v.to_ascii_lowercase().as_str() {
            "byrequests" => {
                let why = "a member's share is its weight, by the objects' homes, not in turn";
                ledger.near(p.item, format!("{to} use weight"), why);
            }
            other => ledger.left_out(p.item, format!("`{other}` has no equal: shares are weights")),
        },
        "maxattempts" => match v.parse::<u64>().ok().filter(|n| *n < 1000) {
            Some(n) => {
                pool.retry.attempts = Some(n + 1);
                ledger.mapped(p.item, format!("{to} retry attempts"));
            }
            None => ledger.left_out(p.item, "no number of attempts"),
        },
        "failonstatus" => {
            let read = |s: &str| s.trim().parse().ok().filter(|c: &u16| (100..=599).contains(c));
            match v.split(',').map(read).collect::<Option<Vec<u16>>>() {
                Some(codes) => {
                    pool.recovery.fail_on = codes;
                    ledger.mapped(p.item, format!("{to} recovery fail-on"));
                }
                None => ledger.left_out(p.item, "no status codes"),
            }
        }
        "timeout" => match time_ms(v, 1000) {
            Some(ms) => {
                pool.limits.wait_ms = Some(ms);
                ledger.near(p.item, format!("{to} limits wait-ms"), "how long for a free member");
            }
            None => ledger.left_out(p.item, "no time of a day or less"),
        },
        "failontimeout" => {
            let why = "a member that is silent counts as failed, whatever stands here";
            match flag(v) {
                Some(true) => ledger.near(p.item, format!("{to} recovery"), why),
                _ => ledger.left_out(p.item, why),
            }
        }
        _ => ledger.left_out(p.item, reason(true, name)),
    }
}

/// One machine that a ProxyPass names, or that has settings of its own: a pool with one member.
fn machine(
    ledger: &mut Ledger,
    builder: &mut Builder,
    m: Worker,
    timeout: Option<u64>,
) -> Result<String, String> {
    let machine = match Machine::of(&m.url) {
        Ok(machine) => machine,
        Err(why) => {
            m.items.iter().for_each(|i| ledger.left_out(*i, why.clone()));
            m.params.0.into_values().for_each(|p| ledger.left_out(p.item, why.clone()));
            return Err(why);
        }
    };
    let part = part(ledger, m.params, timeout, &m.url);
    let id = builder.member(&machine, part.limits.clone());
    let mut pool = builder.pool(&id);
    let to = format!("pool \"{}\"", pool.name);
    for i in &m.items {
        ledger.mapped(*i, to.clone());
    }
    pool.members.push(Use {
        member: id,
        weight: part.weight,
        state: part.state,
        tier: part.tier,
        group: None,
        instead: None,
    });
    if let Some(r) = &part.redirect {
        ledger.left_out(r.item, "a single machine has no other to stand in for it");
    }
    pool_timing(ledger, &mut pool, &[part], &to);
    let name = pool.name.clone();
    builder.site.pools.push(pool);
    Ok(name)
}

/// A server's rules, those of its locations first.
pub(crate) fn rules(ledger: &mut Ledger, server: &Server, n: usize, pools: &Pools) -> Vec<(Route, Item)> {
    let all = server.in_locations.iter().chain(&server.rules);
    all.filter_map(|r| rule(ledger, r, server, n, pools).map(|route| (route, r.item))).collect()
}

fn rule(ledger: &mut Ledger, r: &Rule, server: &Server, n: usize, pools: &Pools) -> Option<Route> {
    let regex = r.matching == Match::Regex;
    if regex && regex::RegexBuilder::new(&r.pattern).size_limit(1 << 20).build().is_err() {
        ledger.left_out(r.item, "its expression needs what only a backtracking matcher has, or is too large");
        return None;
    }
    if !regex && !r.pattern.starts_with('/') {
        ledger.left_out(r.item, "its path does not begin with `/`");
        return None;
    }
    let route = |target, rewrite| Route {
        pattern: r.pattern.clone(),
        matching: regex.then_some(Match::Regex),
        target,
        rewrite,
    };
    let found = match &r.leads {
        Leads::Away => {
            ledger.mapped(r.item, "route exclude");
            return Some(route(Target::Exclude(None), None));
        }
        Leads::Balancer(name) => {
            let inherits = server.inherit_balancers.unwrap_or(true);
            let own = pools.balancers.get(&(n, name.clone()));
            let main = || pools.balancers.get(&(0, name.clone())).filter(|_| inherits);
            own.or_else(main).cloned().ok_or_else(|| format!("no balancer `{name}` has members"))
        }
        Leads::Machine(url) => {
            let none = || Err("leads nowhere".to_string());
            pools.machines.get(&(n, url.clone())).cloned().unwrap_or_else(none)
        }
    };
    match found {
        Ok(pool) => {
            ledger.mapped(r.item, format!("route pool=\"{pool}\""));
            Some(route(Target::Pool(pool), r.rewrite.clone()))
        }
        Err(why) => {
            // httpd would fail these requests; a later route must not take them instead.
            ledger.near(r.item, "route exclude", format!("{why}: the path is kept from other routes"));
            Some(route(Target::Exclude(None), None))
        }
    }
}
