//! A proxy between two parties that can cut a link as a partition does, or lose track of its open
//! connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    time::Duration,
};

type Watcher = Box<dyn Fn(&[u8]) + Send + Sync>;

#[derive(Default)]
struct Connection {
    /// The connection stays open, but nothing gets through any more.
    silent: AtomicBool,
}

/// One link; each accepted connection is forwarded to the target.
#[derive(Default)]
pub struct Link {
    pub address: String,
    /// While set, nothing gets through. Bytes on connections that were open before are held up and get
    /// through at the end, as TCP sends them again; connections opened meanwhile come to nothing.
    cut: AtomicBool,
    connections: Mutex<Vec<Arc<Connection>>>,
    /// Sees what the caller sends, before it is forwarded.
    watcher: Mutex<Option<Watcher>>,
}

impl Link {
    pub fn start(target: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let link = Arc::new(Self {
            address,
            ..Self::default()
        });
        let (served, target) = (link.clone(), target.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (link, target) = (served.clone(), target.clone());
                std::thread::spawn(move || link.forward(stream, &target));
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, SeqCst);
    }

    /// Silences the connections that are open now.
    pub fn silence_open(&self) -> usize {
        let connections = self.connections.lock().unwrap();
        for connection in connections.iter() {
            connection.silent.store(true, SeqCst);
        }
        connections.len()
    }

    pub fn watch(&self, watcher: impl Fn(&[u8]) + Send + Sync + 'static) {
        *self.watcher.lock().unwrap() = Some(Box::new(watcher));
    }

    fn wait_for_heal(&self) {
        while self.cut.load(SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn forward(self: Arc<Self>, client: TcpStream, target: &str) {
        if self.cut.load(SeqCst) {
            self.wait_for_heal();
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let connection = Arc::new(Connection::default());
        self.connections.lock().unwrap().push(connection.clone());
        let (Ok(to_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let (link, state) = (self.clone(), connection.clone());
        let back = std::thread::spawn(move || link.pump(from_server, to_client, &state, false));
        self.pump(client, server, &connection, true);
        let _ = back.join();
        self.connections
            .lock()
            .unwrap()
            .retain(|c| !Arc::ptr_eq(c, &connection));
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, state: &Connection, inward: bool) {
        let mut buf = vec![0; 64 << 10];
        loop {
            let read = from.read(&mut buf).unwrap_or(0);
            if inward
                && read > 0
                && let Some(watcher) = &*self.watcher.lock().unwrap()
            {
                watcher(&buf[..read]);
            }
            self.wait_for_heal();
            if state.silent.load(SeqCst) {
                if read == 0 {
                    return;
                }
                continue;
            }
            if read == 0 || to.write_all(&buf[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
