//! Messages between nodes over QUIC. The core task sends through the mesh and receives from its
//! channel. The mesh drops messages that it cannot deliver and must not block the core.
//!
//! Each node sends over connections that it opened itself, one stream per peer, and receives over
//! those that the others opened. A failed connection is replaced from a new UDP socket, since
//! packets of the old four-tuple may be lost permanently.
//!
//! A frame is its length in bytes as a big-endian `u32` and the payload. The first frame of a
//! stream is the id of the sending node, each further one a message in postcard encoding.

use {
    crate::{
        core::{Message, NodeId},
        net::{NetError, TlsCredentials, tls::TLS_SERVER_NAME},
    },
    quinn::{ClientConfig, Connection, Endpoint, RecvStream, SendStream},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Maximum payload of a received frame, in bytes; a longer one ends the stream.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum number of messages that wait for one peer; further ones are dropped, since the core
/// repeats them.
const SEND_QUEUE_LENGTH: usize = 4_096;

/// Delay after a failed connection attempt before the next one.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Time until an attempt to connect to a peer fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The node that sent a message, as it names itself, and the message.
pub type InboundMessage = (NodeId, Message);

type Frame = Arc<[u8]>;

/// Connections to and from the other nodes. Dropping it closes those that it opened.
#[derive(Debug)]
pub struct PeerMesh {
    me: NodeId,
    client: ClientConfig,
    /// Address that this node listens on, with the port that the system assigned.
    pub address: SocketAddr,
    /// One queue and one sender task per peer.
    queues: Mutex<BTreeMap<NodeId, mpsc::Sender<Frame>>>,
    /// Encoded bytes of all messages passed to [`Self::send`], dropped ones included.
    pub sent_bytes: Arc<AtomicU64>,
}

impl PeerMesh {
    /// Binds `address` and accepts connections in the background; received messages go to `tx`.
    ///
    /// Fails with [`NetError::Listen`] or [`NetError::Certificate`].
    pub fn start(
        me: NodeId,
        address: SocketAddr,
        tls: &TlsCredentials,
        tx: mpsc::Sender<InboundMessage>,
    ) -> Result<Self, NetError> {
        let (server, client) = tls.quic_configs()?;
        let listen = |source| NetError::Listen { address, source };
        let endpoint = Endpoint::server(server, address).map_err(listen)?;
        let address = endpoint.local_addr().map_err(listen)?;
        tokio::spawn(accept_connections(endpoint, tx));
        Ok(Self {
            me,
            client,
            address,
            queues: Mutex::new(BTreeMap::new()),
            sent_bytes: Arc::default(),
        })
    }

    /// Queues a message and returns at once. It is dropped if the queue is full, if the peer cannot
    /// be reached or if the connection fails. A peer that has a queue keeps its first address.
    pub fn send(&self, to: &NodeId, address: &str, message: &Message) {
        let (Ok(bytes), Ok(address)) = (postcard::to_stdvec(message), address.parse()) else {
            return;
        };
        self.sent_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.retain(|_, tx| !tx.is_closed());
        let tx = queues
            .entry(to.clone())
            .or_insert_with(|| self.start_sender(address));
        let _ = tx.try_send(Arc::from(bytes));
    }

    /// Closes the connections that this node opened to peers for which `is_member` is false.
    pub fn retain(&self, is_member: impl Fn(&NodeId) -> bool) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.retain(|id, _| is_member(id));
    }

    fn start_sender(&self, address: SocketAddr) -> mpsc::Sender<Frame> {
        let (tx, rx) = mpsc::channel(SEND_QUEUE_LENGTH);
        let sender = PeerSender {
            me: self.me.clone(),
            client: self.client.clone(),
            address,
        };
        tokio::spawn(sender.run(rx));
        tx
    }
}

/// Sends the frames of one queue to one peer.
struct PeerSender {
    me: NodeId,
    client: ClientConfig,
    address: SocketAddr,
}

impl PeerSender {
    /// Runs until the queue is closed. After a failed attempt to connect, everything queued is
    /// dropped.
    async fn run(self, mut rx: mpsc::Receiver<Frame>) {
        let mut active: Option<(Connection, SendStream)> = None;
        while let Some(frame) = rx.recv().await {
            if active
                .as_ref()
                .is_none_or(|(c, _)| c.close_reason().is_some())
            {
                active = self.connect().await.ok();
            }
            let Some((_, stream)) = &mut active else {
                tokio::time::sleep(RECONNECT_BACKOFF).await;
                while rx.try_recv().is_ok() {}
                continue;
            };
            if write_frame(stream, &frame).await.is_err() {
                active = None;
            }
        }
    }

    /// Connects from a new UDP socket and sends this node's id as the first frame.
    async fn connect(&self) -> Result<(Connection, SendStream), NetError> {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let mut endpoint = Endpoint::client(unspecified).map_err(|e| NetError::peer(&e))?;
        endpoint.set_default_client_config(self.client.clone());
        let connecting = endpoint
            .connect(self.address, TLS_SERVER_NAME)
            .map_err(|e| NetError::peer(&e))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|e| NetError::peer(&e))?
            .map_err(|e| NetError::peer(&e))?;
        let mut stream = connection
            .open_uni()
            .await
            .map_err(|e| NetError::peer(&e))?;
        write_frame(&mut stream, self.me.as_str().as_bytes()).await?;
        Ok((connection, stream))
    }
}

async fn write_frame(stream: &mut SendStream, frame: &[u8]) -> Result<(), NetError> {
    let len = u32::try_from(frame.len()).map_err(|e| NetError::peer(&e))?;
    let mut buf = Vec::with_capacity(frame.len() + 4);
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(frame);
    stream.write_all(&buf).await.map_err(|e| NetError::peer(&e))
}

async fn read_frame(stream: &mut RecvStream) -> Result<Vec<u8>, NetError> {
    let mut len = [0; 4];
    stream
        .read_exact(&mut len)
        .await
        .map_err(|e| NetError::peer(&e))?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(NetError::Peer {
            message: format!("frame of {len} bytes"),
        });
    }
    let mut buf = vec![0; len];
    stream
        .read_exact(&mut buf)
        .await
        .map_err(|e| NetError::peer(&e))?;
    Ok(buf)
}

/// Accepts peers' connections until the endpoint is closed.
async fn accept_connections(endpoint: Endpoint, tx: mpsc::Sender<InboundMessage>) {
    while let Some(incoming) = endpoint.accept().await {
        let tx = tx.clone();
        tokio::spawn(async move {
            if let Ok(connection) = incoming.await {
                accept_streams(connection, tx).await;
            }
        });
    }
}

async fn accept_streams(connection: Connection, tx: mpsc::Sender<InboundMessage>) {
    while let Ok(stream) = connection.accept_uni().await {
        let tx = tx.clone();
        tokio::spawn(async move {
            let _ = read_messages(stream, tx).await;
        });
    }
}

/// Reads a stream's messages until it ends, a frame is not valid or the receiver is dropped.
async fn read_messages(
    mut stream: RecvStream,
    tx: mpsc::Sender<InboundMessage>,
) -> Result<(), NetError> {
    let id = read_frame(&mut stream).await?;
    let id = String::from_utf8(id).map_err(|e| NetError::peer(&e))?;
    let from = NodeId::from(id);
    loop {
        let frame = read_frame(&mut stream).await?;
        let message = postcard::from_bytes(&frame).map_err(|e| NetError::peer(&e))?;
        if tx.send((from.clone(), message)).await.is_err() {
            return Ok(());
        }
    }
}
