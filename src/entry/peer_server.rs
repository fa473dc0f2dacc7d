//! Accepts connections of other entry nodes and serves them while this node is the owner. Started
//! by the daemon. It only converts messages to inputs of the owner task and never waits for it;
//! connections to a node that is not the owner are closed at once.

use {
    crate::{
        core::Millis,
        entry::{
            CellQuery, OwnerInput, PeerMessage, Shared, clock,
            peer_message::{frame_codec, send_queued},
        },
        fleet::FleetEvent,
    },
    futures_util::StreamExt,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
    tokio_util::codec::Framed,
};

/// Max number of messages queued for a peer that does not read them.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Timeout of writing one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a message after which a connection is closed, in ms; peers ping every 300 ms.
const IDLE_TIMEOUT_MS: Millis = 1_500;

/// Time between readings of a peer's clock, in ms.
const CLOCK_INTERVAL_MS: Millis = 2_000;

/// Time between checks for an idle connection, and the wait after a failed accept.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts connections of other nodes; runs until the process exits.
pub async fn run(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), stream));
            }
            // Out of file descriptors: waits for some to be closed.
            Err(_) => tokio::time::sleep(IDLE_CHECK_INTERVAL).await,
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let Some(owner) = shared.local_owner() else {
        return;
    };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut sink, mut source) = Framed::new(stream, frame_codec()).split();
    let (tx, mut rx) = mpsc::channel::<PeerMessage>(MAX_QUEUED_MESSAGES);
    let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    let mut received_at = clock::mono();
    let mut peer: Option<Arc<str>> = None;
    let mut clock_requested_at = received_at;
    loop {
        tokio::select! {
            Some(message) = rx.recv() => {
                if send_queued(&mut sink, message, &mut rx, SEND_TIMEOUT).await.is_none() { break }
            }
            frame = source.next() => {
                let Some(Ok(frame)) = frame else { break };
                received_at = clock::mono();
                let Some(message) = PeerMessage::decode(&frame) else {
                    log_unreadable(&shared, peer.as_deref().unwrap_or("unknown"), frame.len());
                    continue;
                };
                match message {
                    PeerMessage::Hello { node } => {
                        peer = Some(node.clone());
                        let _ = owner.send(OwnerInput::PeerUp { node, tx: tx.clone() });
                        let _ = tx.try_send(PeerMessage::ClockRequest);
                        clock_requested_at = clock::mono();
                    }
                    PeerMessage::ClockReply { node_ms, offer } => {
                        let Some(node) = peer.clone() else { break };
                        let _ = owner.send(OwnerInput::DispatchOffer { node, node_ms, offer });
                    }
                    message => {
                        if on_message(&shared, &owner, &tx, message).is_none() {
                            break;
                        }
                    }
                }
            }
            _ = idle_check.tick() => {
                let now = clock::mono();
                if now > received_at + IDLE_TIMEOUT_MS || owner.is_closed() { break }
                if peer.is_some() && now > clock_requested_at + CLOCK_INTERVAL_MS {
                    clock_requested_at = now;
                    let _ = tx.try_send(PeerMessage::ClockRequest);
                }
            }
        }
    }
    if let Some(node) = peer {
        let _ = owner.send(OwnerInput::PeerDown { node });
    }
}

/// Logs a message that cannot be decoded, as of a later version.
pub(super) fn log_unreadable(shared: &Shared, peer: &str, bytes: usize) {
    let detail = format!("peer={peer} a message of {bytes} bytes cannot be decoded");
    shared.log_event(FleetEvent::BadEntry, &detail);
}

/// Passes a message to the owner task; `None` if this node is no longer the owner.
fn on_message(
    shared: &Arc<Shared>,
    owner: &mpsc::UnboundedSender<OwnerInput>,
    tx: &mpsc::Sender<PeerMessage>,
    message: PeerMessage,
) -> Option<()> {
    let input = match message {
        PeerMessage::Ping => {
            let _ = tx.try_send(PeerMessage::Pong);
            let _ = tx.try_send(shared.health());
            return Some(());
        }
        PeerMessage::Health { store_age_ms } => {
            shared.record_peer_health(store_age_ms);
            return Some(());
        }
        PeerMessage::RelayRequest { call, relayed } => {
            let (shared, tx) = (shared.clone(), tx.clone());
            tokio::spawn(async move {
                let outcome = shared.make_relayed_call(relayed).await;
                // Fails only if the connection is closed.
                let _ = tx.send(PeerMessage::RelayReply { call, outcome }).await;
            });
            return Some(());
        }
        PeerMessage::Submitted(submission) => OwnerInput::Submitted(submission),
        PeerMessage::Cancelled(job) => OwnerInput::Cancelled(job),
        PeerMessage::StatusRequest { call, job } => {
            let tx = tx.clone();
            OwnerInput::Query(CellQuery::new(move |cell, _| {
                let status = cell.job_status(job);
                send_reply(tx, PeerMessage::StatusReply { call, status });
            }))
        }
        PeerMessage::QueueDepthRequest { call, queue } => {
            let tx = tx.clone();
            OwnerInput::Query(CellQuery::new(move |cell, _| {
                let count = cell.count_waiting(&queue) as u64;
                send_reply(tx, PeerMessage::QueueDepthReply { call, count });
            }))
        }
        PeerMessage::AdviceReply {
            call,
            advised,
            valid_ms,
        } => OwnerInput::AdviceReply {
            call,
            advised,
            valid_ms,
        },
        PeerMessage::CommandReply { call, result } => OwnerInput::RemoteReply { call, result },
        _ => return Some(()),
    };
    owner.send(input).ok()
}

/// Sends a reply from a task of its own, so that a full queue does not block the owner task.
fn send_reply(tx: mpsc::Sender<PeerMessage>, message: PeerMessage) {
    tokio::spawn(async move {
        // Fails only if the connection is closed.
        let _ = tx.send(message).await;
    });
}
