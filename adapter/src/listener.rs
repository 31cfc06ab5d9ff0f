//! Listeners that the entry and voter loops of a discovered tier open at startup.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::meter;
use crate::meter::Exporter;
use crate::node::BindSnafu;
use crate::node::MeterSnafu;
use crate::node::Result;

/// Binds a TCP listener; an error names the address.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.context(BindSnafu { address })
}

/// Creates the metrics exporter and serves it at `address`, if one is set.
pub(crate) async fn serve_metrics(address: Option<SocketAddr>) -> Result<Arc<Exporter>> {
    let exporter = Arc::new(Exporter::new().context(MeterSnafu)?);
    if let Some(address) = address {
        let listener = bind(address).await?;
        tokio::spawn(meter::listen(listener, exporter.clone()));
    }
    Ok(exporter)
}
