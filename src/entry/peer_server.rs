//! Connections of entry nodes to this node, which serves them while it is the owner.

use {
    crate::{
        core::Millis,
        entry::{CellQuery, OwnerInput, PeerMessage, Shared, clock, peer_message::frame_codec},
    },
    futures_util::{SinkExt, StreamExt},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
    tokio_util::codec::Framed,
};

/// Messages that wait for a peer that does not read.
const QUEUE: usize = 4_096;

/// Time to write one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a message after which a connection is given up, in ms: peers ping every 300 ms.
const SILENT_MS: Millis = 1_500;

/// Time between looks for silence.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts connections of other nodes.
pub async fn run(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), stream));
            }
            // Out of descriptors: wait for some to be closed.
            Err(_) => tokio::time::sleep(LOOK_INTERVAL).await,
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
    let (tx, mut rx) = mpsc::channel::<PeerMessage>(QUEUE);
    let mut look = tokio::time::interval(LOOK_INTERVAL);
    let mut heard = clock::mono();
    let mut peer: Option<Arc<str>> = None;
    loop {
        tokio::select! {
            Some(message) = rx.recv() => {
                let Some(frame) = message.encode() else { continue };
                let sent = tokio::time::timeout(SEND_TIMEOUT, sink.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) { break }
            }
            frame = source.next() => {
                let Some(Ok(frame)) = frame else { break };
                heard = clock::mono();
                let Some(message) = PeerMessage::decode(&frame) else { break };
                if let PeerMessage::Hello { node } = message {
                    peer = Some(node.clone());
                    let _ = owner.send(OwnerInput::PeerUp { node, tx: tx.clone() });
                } else if received(&owner, &tx, message).is_none() {
                    break;
                }
            }
            _ = look.tick() => {
                if clock::mono() > heard + SILENT_MS || owner.is_closed() { break }
            }
        }
    }
    if let Some(node) = peer {
        let _ = owner.send(OwnerInput::PeerDown { node });
    }
}

/// Passes a message to the cell; `None` when this node is no owner any more.
fn received(
    owner: &mpsc::UnboundedSender<OwnerInput>,
    tx: &mpsc::Sender<PeerMessage>,
    message: PeerMessage,
) -> Option<()> {
    let input = match message {
        PeerMessage::Ping => {
            let _ = tx.try_send(PeerMessage::Pong);
            return Some(());
        }
        PeerMessage::Submitted(submission) => OwnerInput::Submitted(submission),
        PeerMessage::Cancelled(job) => OwnerInput::Cancelled(job),
        PeerMessage::StatusRequest { call, job } => {
            let tx = tx.clone();
            OwnerInput::Query(CellQuery::new(move |cell, _| {
                let view = cell.job_status(job);
                reply(tx, PeerMessage::StatusReply { call, view });
            }))
        }
        PeerMessage::QueueDepthRequest { call, queue } => {
            let tx = tx.clone();
            OwnerInput::Query(CellQuery::new(move |cell, _| {
                let count = cell.count_waiting(&queue) as u64;
                reply(tx, PeerMessage::QueueDepthReply { call, count });
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
        _ => return Some(()),
    };
    owner.send(input).ok()
}

/// Sends a reply without holding up the owner's task.
fn reply(tx: mpsc::Sender<PeerMessage>, message: PeerMessage) {
    tokio::spawn(async move {
        // The peer is gone if this fails.
        let _ = tx.send(message).await;
    });
}
