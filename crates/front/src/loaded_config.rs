//! What a front runs with, read from its files and checked: at the start, and again at each reload.

use crate::config::{Config, ConfigError};
use crate::plan::{self, Plan};
use crate::{gossip, view};
use fernslip_site::Site;
use std::path::PathBuf;

/// The files that a front runs with, read and checked.
pub struct LoadedConfig {
    /// The configuration.
    pub config: Config,
    /// What the site document describes, if there is one.
    pub plan: Option<Plan>,
    /// Gossip with other fronts, if the document has it.
    pub gossip: Option<gossip::Plan>,
    /// The membership view of the fleet, if the document has it.
    pub view: Option<view::Plan>,
    /// The site document's file, to be read again on SIGHUP.
    pub(crate) site: Option<PathBuf>,
}

impl LoadedConfig {
    /// Reads the files: the configuration, which is the one that `RELAY_CONFIG` names where none is given, and the
    /// site document. A document that describes the front itself needs no configuration.
    ///
    /// # Errors
    /// Files that can't be read, mistakes in them, and all that keeps a front from serving from the document.
    pub fn read(config: Option<PathBuf>, site: Option<PathBuf>) -> Result<LoadedConfig, ConfigError> {
        let document = site.as_ref().map(read_document).transpose()?;
        let file = config.or_else(|| std::env::var_os("RELAY_CONFIG").map(PathBuf::from));
        let config = match (&file, &document) {
            (Some(file), _) => Config::read(file)?,
            (None, Some(document)) => {
                crate::control::standalone::config(document).map_err(ConfigError::Plan)?
            }
            (None, None) => return Err(ConfigError::NoFile),
        };
        let plan = match &document {
            Some(d) => Some(Plan::of(d, &config.names, &config.settings).map_err(ConfigError::Plan)?),
            None => None,
        };
        let gossip = match document.as_ref().and_then(|d| d.effective().gossip) {
            Some(g) => Some(gossip::Plan::of(&g, &config.name).map_err(ConfigError::Plan)?),
            None => None,
        };
        let view = match &document {
            Some(document) => view_plan(document, &config, file.as_ref())?,
            None => None,
        };
        Ok(LoadedConfig { config, plan, gossip, view, site })
    }
}

fn read_document(file: &PathBuf) -> Result<Site, ConfigError> {
    let text = std::fs::read_to_string(file).map_err(ConfigError::Read)?;
    Ok(Site::parse(&file.display().to_string(), &text).map_err(ConfigError::Site)?.site)
}

/// The membership view's settings, with a hash of the configuration that other fronts compare with theirs.
fn view_plan(
    document: &Site,
    config: &Config,
    file: Option<&PathBuf>,
) -> Result<Option<view::Plan>, ConfigError> {
    let Some(settings) = document.effective().view else { return Ok(None) };
    let zone = document.front.as_ref().and_then(|f| f.zone.clone()).unwrap_or_default();
    // The documents, not what they say of this front alone: fronts of one configuration show the same.
    let config_text = file.and_then(|file| std::fs::read_to_string(file).ok());
    let texts = format!("{:?}{:?}", config_text, Some(plan::common_to_all_fronts(document)));
    let hash = fernslip_view::Id::of(&texts).0 as u32;
    view::Plan::of(&settings, &config.name, &zone, hash).map(Some).map_err(ConfigError::Plan)
}
