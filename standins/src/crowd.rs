//! Many clients that send to one address at once and keep their connections open.
//! Used by the tests of clients that do not behave.

use {
    bytes::Bytes,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
    },
};

/// Time between the connections of a crowd.
const CONNECT_INTERVAL: Duration = Duration::from_millis(2);

/// Pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Sent first, in one write.
    pub opening: Bytes,
    /// Sent again and again after it, one write each.
    pub piece: Bytes,
    /// How often the piece is sent; `None`: without end.
    pub pieces: Option<usize>,
    /// Pause before each piece.
    pub pause: Duration,
    /// Whether the client connects again when the server closes the connection.
    pub returns: bool,
}

impl Shape {
    /// Creates a shape of one write, after which the client waits.
    pub fn new(opening: impl Into<Bytes>) -> Self {
        Self {
            opening: opening.into(),
            piece: Bytes::new(),
            pieces: Some(0),
            pause: Duration::ZERO,
            returns: false,
        }
    }

    /// Sends `piece` this often after the opening; `None`: without end.
    #[must_use]
    pub fn pieces(mut self, piece: impl Into<Bytes>, pieces: Option<usize>) -> Self {
        self.piece = piece.into();
        self.pieces = pieces;
        self
    }

    /// Waits this long before each piece.
    #[must_use]
    pub fn pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Connects again whenever the server closes the connection.
    #[must_use]
    pub fn returns(mut self) -> Self {
        self.returns = true;
        self
    }
}

/// Clients that run until the value is dropped.
#[derive(Debug)]
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects `count` clients, one after the other, which send in the background. `shape` is called
    /// with the number of each.
    pub async fn start(address: SocketAddr, count: usize, shape: impl Fn(usize) -> Shape) -> Self {
        let mut clients = JoinSet::new();
        for client in 0..count {
            clients.spawn(run(address, shape(client)));
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
        Self { _clients: clients }
    }
}

async fn run(address: SocketAddr, shape: Shape) {
    loop {
        // A refused or broken connection is one of the outcomes that a server may choose.
        let _ = play(address, &shape).await;
        if !shape.returns {
            return;
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends one client's bytes, then reads until the server closes the connection.
async fn play(address: SocketAddr, shape: &Shape) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&shape.opening).await?;
    let mut sent = 0;
    while shape.pieces.is_none_or(|pieces| sent < pieces) {
        if !shape.pause.is_zero() {
            tokio::time::sleep(shape.pause).await;
        }
        stream.write_all(&shape.piece).await?;
        sent += 1;
    }
    let mut buf = [0; 1_024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}
