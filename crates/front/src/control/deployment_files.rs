//! The files under `$TMPDIR` that the processes of one front in one deployment share.
//!
//! Fronts of several customers may run on one host under the same names and share that folder, so each file
//! name ends with a digest of the front's name and address and of the zones, kinds and classes in its
//! settings.

use fernslip::json::Names;
use fernslip_view::Id;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Names the files of one front in one deployment.
#[derive(Clone, Debug)]
pub struct DeploymentFiles {
    folder: PathBuf,
    /// The front's name, with `_` in place of characters that a file name should not have.
    front: String,
    /// The digest that identifies the front in its deployment, in hexadecimal.
    digest: String,
}

impl DeploymentFiles {
    /// Names the files in `folder` of the front with this name and listen address, in the deployment with
    /// these names of zones, kinds and classes.
    pub fn new(folder: &Path, name: &str, listen: SocketAddr, names: &Names) -> DeploymentFiles {
        let Names { zones, kinds, classes, .. } = names;
        let identity = format!("{:?}", (name, listen, zones, kinds, classes));
        let is_usual = |c: char| c.is_ascii_alphanumeric() || c == '-';
        DeploymentFiles {
            folder: folder.into(),
            front: name.chars().map(|c| if is_usual(c) { c } else { '_' }).collect(),
            digest: format!("{:016x}", Id::from_name(&identity).0),
        }
    }

    /// The folder of the files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The digest that identifies the front in its deployment, in hexadecimal.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The path of this front's file with that extension.
    pub fn own(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("fernslip-{}-{}.{extension}", self.front, self.digest))
    }

    /// The path of this front's hidden file with that extension.
    pub fn hidden(&self, extension: &str) -> PathBuf {
        self.folder.join(format!(".fernslip-{}-{}.{extension}", self.front, self.digest))
    }

    /// The path of the file with that extension that all fronts of this name share, in any deployment.
    pub fn shared_by_name(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("fernslip-{}.{extension}", self.front))
    }
}
