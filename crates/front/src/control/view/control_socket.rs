//! The control socket of a front's membership view: a Unix socket that answers one call of one line per
//! connection. The command `fernslip fleet` uses it.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;

/// The timeout for a caller to send its call, and the timeout for it to read the answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum length of a call, in bytes.
const MAX_CALL_BYTES: u64 = 256;

/// Serves calls on a Unix socket at `path`, one at a time, on a separate thread, as it may wait for callers.
/// `answer` returns the answer to a call.
///
/// # Errors
/// Returns an error if the socket cannot be created or another process listens on it.
pub fn serve_calls(path: &Path, answer: impl Fn(&str) -> String + Send + 'static) -> std::io::Result<()> {
    if std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket()) {
        // A process that still runs accepts the connection; the socket file of one that ended is replaced.
        if UnixStream::connect(path).is_ok() {
            return Err(ErrorKind::AddrInUse.into());
        }
        std::fs::remove_file(path)?;
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    std::thread::Builder::new().name("view-calls".into()).spawn(move || {
        for mut caller in listener.incoming().flatten() {
            let _ = caller.set_read_timeout(Some(CALLER_TIMEOUT));
            let _ = caller.set_write_timeout(Some(CALLER_TIMEOUT));
            let mut call = String::new();
            if BufReader::new((&caller).take(MAX_CALL_BYTES)).read_line(&mut call).is_ok() {
                let _ = caller.write_all(answer(&call).as_bytes());
            }
        }
    })?;
    Ok(())
}
