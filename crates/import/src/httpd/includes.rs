//! Reads the files that `Include`, `IncludeOptional` and other directives name.

use super::model::Directive;
use super::{HttpdReader, MAX_NESTING_DEPTH};
use crate::error::ImportError;
use crate::location::Location;
use std::path::{Path, PathBuf};

/// The greatest number of files that one import includes.
const MAX_INCLUDED_FILES: usize = 10_000;

impl HttpdReader<'_> {
    pub(super) fn include_files(&mut self, directive: &Directive, optional: bool) -> Result<(), ImportError> {
        let pattern = directive.argument(0).unwrap_or("").to_string();
        let path = self.resolve(&pattern);
        let found = match pattern.contains(['*', '?', '[']) {
            true => self.files.matching(&path.display().to_string()),
            false => match self.files.read(&path) {
                Ok(_) => vec![path],
                Err(_) => self.files.matching(&path.display().to_string()),
            },
        };
        if found.is_empty() && !optional {
            return Err(ImportError::NoMatchingFile { location: directive.location.clone(), pattern });
        }
        let count = found.len();
        self.ledger
            .report_mapped(directive.item, format!("{count} file{}", if count == 1 { "" } else { "s" }));
        for path in found {
            self.include_file(&path, &directive.location)?;
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
            (self.include_stack.len(), "levels of included files", MAX_NESTING_DEPTH),
            (self.files_included, "included files", MAX_INCLUDED_FILES),
        ] {
            if count > limit {
                return Err(ImportError::LimitExceeded { location: location.clone(), subject, limit });
            }
        }
        let bytes = self.read_referenced(path, location)?;
        self.read_bytes(path, &bytes)
    }

    /// Reads a file that the directive at `location` names.
    pub(super) fn read_referenced(&self, path: &Path, location: &Location) -> Result<Vec<u8>, ImportError> {
        self.files.read(path).map_err(|e| ImportError::ReadReferenced {
            location: location.clone(),
            file: path.display().to_string(),
            cause: e.to_string(),
        })
    }

    /// Resolves a file name in a directive against the root directory.
    pub(super) fn resolve(&self, name: &str) -> PathBuf {
        self.root.clone().unwrap_or_default().join(name)
    }
}
