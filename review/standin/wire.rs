//! JSON, base64 and HTTP/1.1 for the review's stand-ins, on the standard library alone.

use std::{
    collections::HashMap,
    fmt::Write as _,
    io::{self, BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

/// A JSON value. Numbers are kept as text, so that large integers stay exact.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(rows) => rows
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn int(&self) -> Option<u64> {
        match self {
            Json::Num(n) => n
                .parse()
                .ok()
                .or_else(|| n.parse::<f64>().ok().map(|f| f as u64)),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(rows) => rows,
            _ => &[],
        }
    }
}

/// Quotes a string for JSON.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => Some(Json::Str(self.string()?)),
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.take(b']') {
                    return Some(Json::List(rows));
                }
                loop {
                    rows.push(self.value()?);
                    if self.take(b']') {
                        return Some(Json::List(rows));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.take(b'}') {
                    return Some(Json::Map(rows));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    rows.push((key, self.value()?));
                    if self.take(b'}') {
                        return Some(Json::Map(rows));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            _ => {
                let from = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b"+-.0123456789eE".contains(b))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Num(text.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?')
                        }
                        other => char::from(other),
                    };
                    out.extend(c.to_string().bytes());
                }
                other => out.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for i in 0..3 {
            word = word << 8 | u32::from(*chunk.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(ALPHABET[(word >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes().take_while(|b| *b != b'=') {
        let Some(value) = ALPHABET.iter().position(|a| *a == byte) else {
            continue;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

/// A request as a stand-in received it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
    /// Number of the connection, unique in this process.
    pub connection: u64,
}

impl Request {
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }

    pub fn param(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// Status and body of a reply; `None` closes the connection without one.
pub type Reply = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = text
            .get(i + 1..i + 3)
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
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

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<String> {
    let length = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Serves HTTP on a listener, one thread for each connection.
pub fn serve(listener: TcpListener, handler: Handler) {
    static CONNECTIONS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            let connection = CONNECTIONS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            std::thread::spawn(move || {
                let _ = serve_connection(stream, connection, &handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, connection: u64, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let query = pairs
            .map(|(k, v)| (k.to_owned(), decode_percent(v)))
            .collect();
        let path = path.to_owned();
        let request = Request {
            method,
            path,
            query,
            headers,
            body,
            connection,
        };
        let Some((status, body)) = handler(&request) else {
            return Ok(());
        };
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

/// Sends one request on a connection of its own; `None` without a complete reply within `timeout`.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let exchange = || -> io::Result<Option<(u16, String)>> {
        let target = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&target, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text.push_str("\r\n");
        text.push_str(body);
        (&stream).write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let Some((first, headers)) = read_head(&mut reader)? else {
            return Ok(None);
        };
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        Ok(Some((status, read_body(&mut reader, &headers)?)))
    };
    exchange().ok().flatten()
}
