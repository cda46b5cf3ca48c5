//! `Include` and `IncludeOptional`, and other files that a directive names.

use super::model::Directive;
use super::{HttpdReader, MAX_DEPTH};
use crate::error::ImportError;
use crate::location::Location;
use std::path::{Path, PathBuf};

/// How many files an import includes at the most.
const MAX_FILES: usize = 10_000;

impl HttpdReader<'_> {
    pub(super) fn include(&mut self, d: &Directive, optional: bool) -> Result<(), ImportError> {
        let pattern = d.argument(0).unwrap_or("").to_string();
        let path = self.resolve(&pattern);
        let found = match pattern.contains(['*', '?', '[']) {
            true => self.files.matching(&path.display().to_string()),
            false => match self.files.read(&path) {
                Ok(_) => vec![path],
                Err(_) => self.files.matching(&path.display().to_string()),
            },
        };
        if found.is_empty() && !optional {
            return Err(ImportError::NoMatchingFile { location: d.location.clone(), pattern });
        }
        let count = found.len();
        self.ledger.mapped(d.item, format!("{count} file{}", if count == 1 { "" } else { "s" }));
        for path in found {
            self.include_file(&path, &d.location)?;
        }
        Ok(())
    }

    fn include_file(&mut self, path: &Path, location: &Location) -> Result<(), ImportError> {
        if self.include_stack.contains(&self.files.canonical(path)) {
            let file = path.display().to_string();
            return Err(ImportError::IncludeCycle { location: location.clone(), file });
        }
        self.files_included += 1;
        for (count, subject, limit) in [
            (self.include_stack.len(), "files within files", MAX_DEPTH),
            (self.files_included, "files", MAX_FILES),
        ] {
            if count > limit {
                return Err(ImportError::LimitExceeded { location: location.clone(), subject, limit });
            }
        }
        let bytes = self.read_referenced(path, location)?;
        self.read_bytes(path, &bytes)
    }

    /// The bytes of a file that is named at `location`.
    pub(super) fn read_referenced(&self, path: &Path, location: &Location) -> Result<Vec<u8>, ImportError> {
        self.files.read(path).map_err(|e| ImportError::ReadReferenced {
            location: location.clone(),
            file: path.display().to_string(),
            cause: e.to_string(),
        })
    }

    /// The path of a file as a directive names it.
    pub(super) fn resolve(&self, name: &str) -> PathBuf {
        self.root.clone().unwrap_or_default().join(name)
    }
}
