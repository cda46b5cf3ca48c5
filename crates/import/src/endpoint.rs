//! Network addresses of backend servers.

use fernslip_site::{split_host_port, Protocol};

/// The protocol, address and path at which a backend server is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Endpoint {
    pub protocol: Protocol,
    /// The host and port.
    pub address: String,
    /// The path without a trailing slash; `None` if it is empty.
    pub path: Option<String>,
}

/// The supported URL schemes, with the protocol and default port of each.
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

impl Endpoint {
    /// Parses a URL of the form `scheme://host:port/path`, in which the port and path are optional.
    ///
    /// # Errors
    /// Returns the reason why the URL is not accepted, as a text for the report.
    pub fn parse(url: &str) -> Result<Endpoint, String> {
        if url.starts_with("unix:") {
            return Err(
                "a Unix socket cannot be reached from other machines; a member needs a host and port".into(),
            );
        }
        let (scheme, after_scheme) =
            url.split_once("://").ok_or("not a URL of the form scheme://host:port/path")?;
        let row = SCHEMES.iter().find(|s| s.0.eq_ignore_ascii_case(scheme));
        let (_, protocol, port) = row.ok_or_else(|| format!("the URL scheme `{scheme}` is not supported"))?;
        let (host, path) = after_scheme.find('/').map_or((after_scheme, ""), |i| after_scheme.split_at(i));
        let host = host.to_ascii_lowercase();
        let has_port = host.rsplit_once(':').is_some_and(|(h, _)| !h.starts_with('[') || h.ends_with(']'));
        let address = if has_port { host } else { format!("{host}:{port}") };
        if split_host_port(&address).is_none() {
            return Err(format!("`{address}` is not a valid host and port"));
        }
        let path = Some(path.trim_end_matches('/')).filter(|p| !p.is_empty()).map(String::from);
        Ok(Endpoint { protocol: *protocol, address, path })
    }

    /// The id of the member with this endpoint: the address followed by the path.
    pub fn id(&self) -> String {
        format!("{}{}", self.address, self.path.as_deref().unwrap_or(""))
    }
}
