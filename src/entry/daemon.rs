//! Starts and stops a node on the platform: binds its listeners, starts its tasks and drains it
//! on SIGTERM. Called by `dragonflyferryd --platform`. Settings take effect only at the start; a
//! reload checks the file but does not apply it.

use {
    crate::{
        entry::{
            EntryError, EventLog, Shared, caller_api, config_watch, log_drain, membership,
            operator_api, owner_link, peer_server,
        },
        fleet::FleetEvent,
        platform::{NodeSettings, SETTINGS_VARIABLE},
        server::{self, Connections, HttpServer, ServerLimits},
    },
    axum::Router,
    std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::watch,
    },
};

/// Time between reporting "not ready" and closing the callers' listener. The load balancer
/// needs two probes, one per second, to notice.
const NOT_READY_DELAY: Duration = Duration::from_millis(2_500);

/// Time between the end of the graceful stop and the platform's SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);

/// Runs a node until SIGTERM, then drains it.
///
/// # Errors
///
/// If the settings cannot be used, an address cannot be bound or signals cannot be received.
pub async fn run() -> Result<(), EntryError> {
    let settings = read_settings()?;
    let node: Arc<str> = Arc::from(format!("{}-{:08x}", settings.vm, rand::random::<u32>()));
    let (log, dropped) = log_drain::logger(&node, std::io::stdout());
    let event_log = EventLog::new(log, dropped);
    let callers = listen(settings.caller_address)?;
    let readiness = listen(settings.readiness_address)?;
    let peers = TcpListener::bind(settings.peer_address).await;
    let peers = peers.map_err(|source| EntryError::Bind {
        address: settings.peer_address,
        source,
    })?;
    let metrics = listen(settings.metrics_address)?;
    let shared = Arc::new(Shared::new(settings, node, event_log));
    shared.log_event(
        FleetEvent::NodeStarted,
        &format!("zone={}", shared.settings.zone),
    );
    tokio::spawn(config_watch::run(shared.clone()));
    tokio::spawn(membership::keep_lease(shared.clone()));
    tokio::spawn(membership::watch_members(shared.clone()));
    tokio::spawn(peer_server::run(shared.clone(), peers));
    tokio::spawn(owner_link::run(shared.clone()));
    let owner = tokio::spawn(membership::run_election(shared.clone()));
    tokio::spawn(serve(
        readiness,
        caller_api::readiness_router(shared.clone()),
    ));
    tokio::spawn(serve(metrics, operator_api::router(shared.clone())));
    let (stop_tx, stop_rx) = watch::channel(false);
    let caller_server = HttpServer::new(
        callers,
        caller_api::router(shared.clone()),
        shared.callers.clone(),
    );
    let log = shared.clone();
    let caller_server = caller_server.stop_on(stop_rx).report_to(move |news| {
        log.log_event(FleetEvent::CallersRejected, &news.to_string());
    });
    let caller_server = tokio::spawn(caller_server.run());
    wait_for_sigterm(&shared).await?;
    shared.start_drain();
    shared.log_event(FleetEvent::NodeStopping, "");
    tokio::time::sleep(NOT_READY_DELAY).await;
    stop_tx.send_replace(true);
    let termination_grace = Duration::from_millis(shared.settings.bounds.termination_grace_ms);
    let drain_timeout = termination_grace.saturating_sub(NOT_READY_DELAY + SIGKILL_MARGIN);
    // After the timeout the process exits even if requests are still open.
    let _ = tokio::time::timeout(drain_timeout, caller_server).await;
    owner.abort();
    Ok(())
}

/// Reads the settings file that the environment names and returns the error, if it has one.
pub fn check_settings() -> Result<(), EntryError> {
    read_settings().map(|_| ())
}

fn read_settings() -> Result<NodeSettings, EntryError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(EntryError::NoSettings)?;
    NodeSettings::read(&PathBuf::from(path)).map_err(|source| EntryError::Platform { source })
}

/// Waits for SIGTERM. SIGHUP reads the settings again and logs whether they are valid.
async fn wait_for_sigterm(shared: &Shared) -> Result<(), EntryError> {
    let signal_error = |source| EntryError::Signals { source };
    let mut term = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut hup = signal(SignalKind::hangup()).map_err(signal_error)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = hup.recv() => {
                let detail = match read_settings() {
                    Ok(_) => "read; addresses and bounds hold until the next start".to_owned(),
                    Err(e) => e.to_string(),
                };
                shared.log_event(FleetEvent::SettingsReloaded, &detail);
            }
        }
    }
}

/// Binds an address for HTTP.
fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    server::listen(address).map_err(|source| EntryError::Bind { address, source })
}

/// Serves the load balancer or operators until the process exits.
async fn serve(listener: TcpListener, router: Router) {
    let connections = Connections::new(ServerLimits::for_operators());
    HttpServer::new(listener, router, Arc::new(connections))
        .run()
        .await;
}
