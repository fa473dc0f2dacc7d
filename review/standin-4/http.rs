//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client that makes one call.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Status and body of a reply; `None` closes the connection without one.
pub type Reply = Option<(u16, String)>;

/// Serves a listener until the process ends. `life` is asked at each new connection, which is closed at
/// once if there is none; `handle` gets the life in which the connection of the request was opened.
pub fn serve(
    listener: TcpListener,
    life: impl Fn() -> Option<u64> + Send + Sync + 'static,
    handle: impl Fn(Request, u64) -> Reply + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let Some(life) = life() else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                // A client that goes away ends the connection.
                let _ = serve_connection(stream, &|req| handle(req, life));
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_request(&mut reader)? {
        let Some((status, body)) = handle(req) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(format!("{head}{body}").as_bytes())?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<String> {
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pair = |p: &str| {
        let (key, value) = p.split_once('=')?;
        Some((key.to_owned(), decode(value)))
    };
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter_map(pair).collect(),
        headers,
        body,
    }))
}

/// Decodes the percent encoding of a query value.
fn decode(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex: Vec<u8> = rest.by_ref().take(2).collect();
            let hex = String::from_utf8_lossy(&hex).into_owned();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes one call on a connection of its own; status and body, or `None` without a whole reply.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    stream
        .write_all(format!("{head}\r\n{body}").as_bytes())
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, body))
}
