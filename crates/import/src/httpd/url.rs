//! URLs of balancers and workers, and what paths become there.

/// `balancer://NAME/PATH`.
pub(super) struct BalancerUrl {
    /// The balancer's name, in lower case.
    pub name: String,
    /// The path behind it, with its `/`.
    pub path: String,
}

const BALANCER_SCHEME: &str = "balancer://";

impl BalancerUrl {
    /// `None`: the URL is of another scheme.
    pub fn parse(url: &str) -> Option<BalancerUrl> {
        let scheme = url.get(..BALANCER_SCHEME.len())?;
        let after_scheme =
            scheme.eq_ignore_ascii_case(BALANCER_SCHEME).then(|| &url[BALANCER_SCHEME.len()..])?;
        let (name, path) = after_scheme.find('/').map_or((after_scheme, ""), |i| after_scheme.split_at(i));
        Some(BalancerUrl { name: name.to_ascii_lowercase(), path: path.to_string() })
    }
}

/// The position of the first group (`$0` to `$9`) of an expression in a URL.
fn group_position(url: &str) -> Option<usize> {
    url.as_bytes().windows(2).position(|w| w[0] == b'$' && w[1].is_ascii_digit())
}

/// The URL of a worker without what the groups of an expression add to it.
pub(super) fn without_groups(url: &str) -> String {
    group_position(url).map_or(url, |i| &url[..i]).to_string()
}

/// What the groups of an expression add to a worker's own path.
pub(super) fn groups_of(url: &str) -> Option<String> {
    group_position(url).map(|i| url[i..].to_string())
}

/// What the matched part of a path becomes at the members; `None`: it stays.
pub(super) fn rewrite_of(path: &str, target_path: &str, regex: bool) -> Option<String> {
    // httpd appends what follows the matched part to the target's path.
    let is_same = !regex && target_path.trim_end_matches('/') == path.trim_end_matches('/');
    (!is_same).then(|| target_path.to_string())
}
