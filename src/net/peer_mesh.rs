//! Messages between nodes over QUIC.
//!
//! Each node sends over connections that it opened itself, one stream a peer, and
//! receives over those that the others opened. A connection that fails is replaced from
//! a new UDP socket, since the old four-tuple may have gone silent for good.

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

/// Longest frame, in bytes.
const MAX_FRAME: usize = 4 << 20;

/// Messages that wait for one peer; further ones are dropped, as senders repeat them.
const QUEUE_LENGTH: usize = 4_096;

/// Pause before a new connection after a failure.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A message and the node that sent it.
pub type InboundMessage = (NodeId, Message);

type Frame = Arc<[u8]>;

/// Connections to and from the other nodes.
#[derive(Debug)]
pub struct PeerMesh {
    me: NodeId,
    client: ClientConfig,
    /// Where this node listens.
    pub address: SocketAddr,
    queues: Mutex<BTreeMap<NodeId, mpsc::Sender<Frame>>>,
    /// Bytes of messages sent.
    pub sent_bytes: Arc<AtomicU64>,
}

impl PeerMesh {
    /// Starts to listen; received messages go to `tx`.
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
        tokio::spawn(accept(endpoint, tx));
        Ok(Self {
            me,
            client,
            address,
            queues: Mutex::new(BTreeMap::new()),
            sent_bytes: Arc::default(),
        })
    }

    /// Sends a message; it is dropped if the peer cannot be reached for long.
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

    /// Closes the connections to peers that are no longer `wanted`.
    pub fn retain(&self, wanted: impl Fn(&NodeId) -> bool) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.retain(|id, _| wanted(id));
    }

    fn start_sender(&self, address: SocketAddr) -> mpsc::Sender<Frame> {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        let sender = Sender {
            me: self.me.clone(),
            client: self.client.clone(),
            address,
        };
        tokio::spawn(sender.run(rx));
        tx
    }
}

/// Sends the frames of one queue to one peer.
struct Sender {
    me: NodeId,
    client: ClientConfig,
    address: SocketAddr,
}

impl Sender {
    async fn run(self, mut rx: mpsc::Receiver<Frame>) {
        let mut open: Option<(Connection, SendStream)> = None;
        while let Some(frame) = rx.recv().await {
            if open
                .as_ref()
                .is_none_or(|(c, _)| c.close_reason().is_some())
            {
                open = self.connect().await.ok();
            }
            let Some((_, stream)) = &mut open else {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                while rx.try_recv().is_ok() {}
                continue;
            };
            if write_frame(stream, &frame).await.is_err() {
                open = None;
            }
        }
    }

    async fn connect(&self) -> Result<(Connection, SendStream), NetError> {
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let mut endpoint = Endpoint::client(any).map_err(|e| NetError::peer(&e))?;
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
    if len > MAX_FRAME {
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

async fn accept(endpoint: Endpoint, tx: mpsc::Sender<InboundMessage>) {
    while let Some(incoming) = endpoint.accept().await {
        let tx = tx.clone();
        tokio::spawn(async move {
            if let Ok(connection) = incoming.await {
                receive(connection, tx).await;
            }
        });
    }
}

async fn receive(connection: Connection, tx: mpsc::Sender<InboundMessage>) {
    while let Ok(stream) = connection.accept_uni().await {
        let tx = tx.clone();
        tokio::spawn(async move {
            let _ = read_messages(stream, tx).await;
        });
    }
}

async fn read_messages(
    mut stream: RecvStream,
    tx: mpsc::Sender<InboundMessage>,
) -> Result<(), NetError> {
    let name = read_frame(&mut stream).await?;
    let name = String::from_utf8(name).map_err(|e| NetError::peer(&e))?;
    let from = NodeId::from(name);
    loop {
        let frame = read_frame(&mut stream).await?;
        let message = postcard::from_bytes(&frame).map_err(|e| NetError::peer(&e))?;
        if tx.send((from.clone(), message)).await.is_err() {
            return Ok(());
        }
    }
}
