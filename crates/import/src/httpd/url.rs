//! URLs of balancers and workers, and the path rewrites that they imply.

/// A URL of the form `balancer://NAME/PATH`.
pub(super) struct BalancerUrl {
    /// The name of the balancer, in lower case.
    pub name: String,
    /// The path with its leading `/`; empty if the URL has none.
    pub path: String,
}

const BALANCER_SCHEME: &str = "balancer://";

impl BalancerUrl {
    /// Parses a URL; `None` if it has another scheme.
    pub fn parse(url: &str) -> Option<BalancerUrl> {
        let scheme = url.get(..BALANCER_SCHEME.len())?;
        let after_scheme =
            scheme.eq_ignore_ascii_case(BALANCER_SCHEME).then(|| &url[BALANCER_SCHEME.len()..])?;
        let (name, path) = after_scheme.find('/').map_or((after_scheme, ""), |i| after_scheme.split_at(i));
        Some(BalancerUrl { name: name.to_ascii_lowercase(), path: path.to_string() })
    }
}

/// The byte position in a URL of the first reference (`$0` to `$9`) to a group of the regular expression.
fn group_position(url: &str) -> Option<usize> {
    url.as_bytes().windows(2).position(|w| w[0] == b'$' && w[1].is_ascii_digit())
}

/// The part of a worker's URL that precedes the first group reference.
pub(super) fn before_first_group(url: &str) -> String {
    group_position(url).map_or(url, |i| &url[..i]).to_string()
}

/// The part of a worker's URL from the first group reference on; `None` if there is none.
pub(super) fn from_first_group(url: &str) -> Option<String> {
    group_position(url).map(|i| url[i..].to_string())
}

/// The text that replaces the matched part of a path; `None` if the path is forwarded unchanged.
pub(super) fn rewrite_of(path: &str, target_path: &str, regex: bool) -> Option<String> {
    // httpd appends the part of the path after the match to the path of the target.
    let is_same = !regex && target_path.trim_end_matches('/') == path.trim_end_matches('/');
    (!is_same).then(|| target_path.to_string())
}
