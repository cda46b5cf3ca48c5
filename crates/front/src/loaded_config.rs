//! Reads and checks the configuration files of a front, at the start and at each reload.

use crate::config::{Config, ConfigError};
use crate::plan::{self, Plan};
use crate::{gossip, view};
use fernslip_site::Site;
use std::path::PathBuf;

/// The checked content of a front's configuration files.
pub struct LoadedConfig {
    /// The platform's configuration, or the one derived from the site document.
    pub config: Config,
    /// The pools, routes and members of the site document; `None` without a document.
    pub plan: Option<Plan>,
    /// The gossip settings; `None` if the site document configures no gossip.
    pub gossip: Option<gossip::GossipPlan>,
    /// The settings of the fleet's membership view; `None` if the site document configures none.
    pub view: Option<view::ViewPlan>,
    /// The path of the site document, which is read again on SIGHUP.
    pub(crate) site: Option<PathBuf>,
}

impl LoadedConfig {
    /// Reads the configuration and the site document. Without a `config` path the file that `RELAY_CONFIG`
    /// names is read; a site document that describes the front itself needs neither.
    ///
    /// # Errors
    /// Fails if a file cannot be read or is invalid, or if the front cannot serve from the document.
    pub fn read(config: Option<PathBuf>, site: Option<PathBuf>) -> Result<LoadedConfig, ConfigError> {
        let document = site.as_ref().map(read_document).transpose()?;
        let file = config.or_else(|| std::env::var_os("RELAY_CONFIG").map(PathBuf::from));
        let config = match (&file, &document) {
            (Some(file), _) => Config::read(file)?,
            (None, Some(document)) => {
                crate::control::standalone::config_from_site(document).map_err(ConfigError::Plan)?
            }
            (None, None) => return Err(ConfigError::NoFile),
        };
        let plan = match &document {
            Some(d) => {
                Some(Plan::from_document(d, &config.names, &config.settings).map_err(ConfigError::Plan)?)
            }
            None => None,
        };
        let gossip = match document.as_ref().and_then(|d| d.with_defaults().gossip) {
            Some(g) => Some(gossip::GossipPlan::from_document(&g, &config.name).map_err(ConfigError::Plan)?),
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

/// The settings of the membership view, with a hash of the configuration that other fronts compare with their
/// own.
fn view_plan(
    document: &Site,
    config: &Config,
    file: Option<&PathBuf>,
) -> Result<Option<view::ViewPlan>, ConfigError> {
    let Some(settings) = document.with_defaults().view else { return Ok(None) };
    let zone = document.front.as_ref().and_then(|f| f.zone.clone()).unwrap_or_default();
    // The hash leaves out what describes this front alone, so that all fronts of one configuration have the
    // same hash.
    let config_text = file.and_then(|file| std::fs::read_to_string(file).ok());
    let texts = format!("{:?}{:?}", config_text, Some(plan::common_to_all_fronts(document)));
    let hash = fernslip_view::Id::from_name(&texts).0 as u32;
    view::ViewPlan::from_document(&settings, &config.name, &zone, hash).map(Some).map_err(ConfigError::Plan)
}
