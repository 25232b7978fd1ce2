//! Clients with which commands reach the platform and the routers.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use crate::backend::{ControlHttp, ListClient, LogClient, RouterClient};
use crate::cli::CliError;
use crate::cli::check::read;
use crate::wire::Role;

/// Clients of the platform and of the routers.
pub(crate) struct Client {
    pub(crate) log: LogClient,
    pub(crate) routers: RouterClient,
    /// Address for callers of the router that the settings file describes.
    listen: SocketAddr,
    list: ListClient,
    seeds: Vec<(String, SocketAddr)>,
}

impl Client {
    /// Clients for the addresses in the settings file.
    pub(crate) fn new(settings: &Path) -> Result<Client, CliError> {
        let settings = read(settings)?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .build()
            .map_err(|e| CliError::Failed(format!("cannot set up HTTP: {e}")))?;
        let http = ControlHttp::new(http, Arc::default());
        let mut seeds = vec![(settings.name.clone(), settings.control)];
        seeds.extend(settings.seeds.iter().map(|it| (it.name.clone(), it.control)));
        Ok(Client {
            listen: settings.listen,
            log: LogClient::new(http.clone(), settings.log),
            list: ListClient::new(http.clone(), settings.list),
            routers: RouterClient::new(http, &settings.token),
            seeds,
        })
    }

    /// Names and control addresses of all routers: from the instance list, or
    /// from the settings file while the list is unreachable or names no router.
    pub(crate) async fn routers(&self) -> Vec<(String, SocketAddr)> {
        let listed = self.list.read().await.unwrap_or_else(|e| {
            eprintln!("warning: cannot read the instance list: {e}; using the routers of the settings file");
            Vec::new()
        });
        let entries = listed.into_iter().filter(|it| it.role == Role::Entry);
        let found: Vec<_> = entries.filter_map(|it| Some((it.name, it.control?))).collect();
        if found.is_empty() { self.seeds.clone() } else { found }
    }

    /// Addresses for callers of all routers: from the instance list, or the one of
    /// the settings file while the list is unreachable or names no router.
    pub(crate) async fn entry_addresses(&self) -> Vec<SocketAddr> {
        let listed = self.list.read().await.unwrap_or_default();
        let entries = listed.into_iter().filter(|it| it.role == Role::Entry);
        let found: Vec<_> = entries.map(|it| it.address).collect();
        if found.is_empty() { vec![self.listen] } else { found }
    }
}
