//! Tests of replies of the store that take long to transfer, through a socket.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    dragonflyferry::{entry::watch_wait, platform::StoreClient},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// Timeout of the reads, as the nodes use it.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Parts in which the stand-in sends a reply, and the pause between them.
const PARTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(250);

/// Serves one item, its reply in parts; after `sent_parts` of them nothing follows.
async fn serve_slowly(sent_parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    let value = STANDARD.encode(vec![b'x'; 40_000]);
    let body =
        format!(r#"{{"key":"op/config","value":"{value}","revision":7,"created":1,"lease":0}}"#);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4_096];
            let _ = stream.read(&mut request).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(head.as_bytes()).await;
            for part in body
                .as_bytes()
                .chunks(body.len().div_ceil(PARTS))
                .take(sent_parts)
            {
                let _ = stream.write_all(part).await;
                tokio::time::sleep(PAUSE).await;
            }
            tokio::time::sleep(Duration::from_secs(10)).await;
        }
    });
    address
}

/// Guards against a value that is never read, as its transfer takes longer than the timeout.
#[tokio::test]
async fn a_large_value_is_read_over_a_slow_link() {
    let client = StoreClient::new(serve_slowly(PARTS).await);
    let item = client.get("op/config", TIMEOUT).await;
    let item = item.expect("a reply").expect("the item");
    assert_eq!(item.value.len(), 40_000);
}

/// Guards against a transfer that has stopped and is waited for.
#[tokio::test]
async fn a_reply_that_stops_midway_fails_within_its_timeout() {
    let client = StoreClient::new(serve_slowly(2).await);
    let started_at = Instant::now();
    let item = client.get("op/config", TIMEOUT).await;
    assert!(item.is_err());
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

/// Returns how often a node watches the configuration in a minute while the store holds each watch open
/// and takes `reply_ms` for its reply.
fn watches_per_minute(reply_ms: u64) -> u32 {
    let mut age = Duration::ZERO;
    let mut elapsed = Duration::ZERO;
    let mut watches = 0;
    while elapsed < Duration::from_mins(1) {
        // A reply confirms the configuration as of its request.
        age = watch_wait(age) + Duration::from_millis(reply_ms);
        elapsed += age;
        watches += 1;
    }
    watches
}

/// Guards against watches that are cut short although each reply confirms the configuration.
#[test]
fn a_watch_that_was_held_open_is_followed_by_another() {
    assert_eq!(watches_per_minute(4), 50);
    assert_eq!(watches_per_minute(240), 42);
}

/// Guards against a configuration that becomes too old while the watch after a slow transfer is held
/// open.
#[test]
fn a_configuration_that_took_long_to_transfer_is_confirmed_soon() {
    let wait = watch_wait(Duration::from_millis(2_500));
    assert!(wait <= Duration::from_millis(100));
}
