//! Contract tests of the proxy: forwarded bytes, dropped bytes and cut connections.

use std::time::Duration;

use burdockroad_standins::{
    http_client::HttpClient,
    proxy::{Backward, Forward, ProxyCounts, ProxyFaults, ProxyOptions, ProxyStandin},
    service::{ServiceOptions, ServiceStandin},
};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Timeout for expected events; reaching it fails the test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which bytes that have not arrived count as dropped.
const NOT_DELIVERED_TIMEOUT: Duration = Duration::from_millis(200);

const DROP_FORWARD: ProxyFaults = ProxyFaults {
    forward: Forward::Drop,
    backward: Backward::Pass,
    delay_ms: 0,
    cut_open: false,
};
const DROP_BACKWARD: ProxyFaults = ProxyFaults {
    forward: Forward::Pass,
    backward: Backward::Drop,
    delay_ms: 0,
    cut_open: false,
};

/// Outcome of a read at one end of a connection.
#[derive(Debug, PartialEq, Eq)]
enum ReadOutcome {
    Bytes(Vec<u8>),
    Closed,
    TimedOut,
}

/// A connection through the proxy, with both ends.
struct ProxiedConnection {
    proxy: ProxyStandin,
    client: TcpStream,
    server: TcpStream,
}

impl ProxiedConnection {
    async fn connect() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let options = ProxyOptions::new(listener.local_addr().unwrap());
        let proxy = ProxyStandin::start(options).await.unwrap();
        let client = TcpStream::connect(proxy.address()).await.unwrap();
        let (server, _) = listener.accept().await.unwrap();
        Self {
            proxy,
            client,
            server,
        }
    }

    async fn wait_for_counts(&self, expected: impl Fn(ProxyCounts) -> bool) {
        let reached = async {
            while !expected(self.proxy.counts()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, reached).await.unwrap();
    }
}

async fn read(stream: &mut TcpStream, timeout: Duration) -> ReadOutcome {
    let mut buffer = [0; 64];
    match tokio::time::timeout(timeout, stream.read(&mut buffer)).await {
        Ok(Ok(0) | Err(_)) => ReadOutcome::Closed,
        Ok(Ok(length)) => ReadOutcome::Bytes(buffer[..length].to_vec()),
        Err(_elapsed) => ReadOutcome::TimedOut,
    }
}

#[tokio::test]
async fn pass_both_ways() {
    let mut connection = ProxiedConnection::connect().await;
    for delay_ms in [0, 20] {
        connection.proxy.set_faults(ProxyFaults {
            delay_ms,
            ..ProxyFaults::default()
        });
        connection.client.write_all(b"question").await.unwrap();
        assert_eq!(
            read(&mut connection.server, TIMEOUT).await,
            ReadOutcome::Bytes(b"question".to_vec())
        );
        connection.server.write_all(b"answer").await.unwrap();
        assert_eq!(
            read(&mut connection.client, TIMEOUT).await,
            ReadOutcome::Bytes(b"answer".to_vec())
        );
    }
    connection.client.shutdown().await.unwrap();
    assert_eq!(read(&mut connection.server, TIMEOUT).await, ReadOutcome::Closed);
    connection.server.write_all(b"late").await.unwrap();
    assert_eq!(
        read(&mut connection.client, TIMEOUT).await,
        ReadOutcome::Bytes(b"late".to_vec())
    );
    let counts = connection.proxy.counts();
    assert_eq!(
        (counts.connections, counts.forward_bytes, counts.backward_bytes),
        (1, 16, 16)
    );
    connection.proxy.close().await;
}

#[tokio::test]
async fn drop_one_way() {
    for faults in [DROP_FORWARD, DROP_BACKWARD] {
        let mut connection = ProxiedConnection::connect().await;
        connection.proxy.set_faults(faults);
        connection.client.write_all(b"forward").await.unwrap();
        connection.server.write_all(b"backward").await.unwrap();
        let dropped = if faults == DROP_FORWARD { (7, 0) } else { (0, 8) };
        let dropped_bytes =
            |counts: ProxyCounts| (counts.forward_dropped_bytes, counts.backward_dropped_bytes);
        connection
            .wait_for_counts(|counts| dropped_bytes(counts) == dropped)
            .await;
        let (dropping, passing, bytes) = if faults == DROP_FORWARD {
            (
                &mut connection.server,
                &mut connection.client,
                b"backward".to_vec(),
            )
        } else {
            (
                &mut connection.client,
                &mut connection.server,
                b"forward".to_vec(),
            )
        };
        assert_eq!(read(passing, TIMEOUT).await, ReadOutcome::Bytes(bytes));
        assert_eq!(
            read(dropping, NOT_DELIVERED_TIMEOUT).await,
            ReadOutcome::TimedOut,
            "the connection must stay open"
        );
        // Once the direction forwards again, the stream has a gap, so the connection must be cut.
        connection.proxy.set_faults(ProxyFaults::default());
        assert_eq!(read(dropping, TIMEOUT).await, ReadOutcome::Closed);
        connection.proxy.close().await;
    }
}

#[tokio::test]
async fn drop_then_pass_with_bytes_in_flight() {
    let mut connection = ProxiedConnection::connect().await;
    connection.proxy.set_faults(ProxyFaults {
        delay_ms: 200,
        ..DROP_FORWARD
    });
    connection.client.write_all(b"lost").await.unwrap();
    connection
        .wait_for_counts(|counts| counts.forward_dropped_bytes == 4)
        .await;
    // These bytes follow the dropped ones and are still in flight when the direction forwards again.
    connection.client.write_all(b"behind").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    connection.proxy.set_faults(ProxyFaults::default());
    assert_eq!(read(&mut connection.server, TIMEOUT).await, ReadOutcome::Closed);
    connection.proxy.close().await;
}

#[tokio::test]
async fn drop_end_of_stream() {
    let mut connection = ProxiedConnection::connect().await;
    connection.proxy.set_faults(DROP_FORWARD);
    connection.client.shutdown().await.unwrap();
    assert_eq!(
        read(&mut connection.server, NOT_DELIVERED_TIMEOUT).await,
        ReadOutcome::TimedOut
    );
    connection.proxy.set_faults(ProxyFaults::default());
    assert_eq!(read(&mut connection.server, TIMEOUT).await, ReadOutcome::Closed);
    connection.proxy.close().await;
}

#[tokio::test]
async fn refuse_new_connections() {
    let mut connection = ProxiedConnection::connect().await;
    connection.proxy.set_faults(ProxyFaults {
        forward: Forward::Refuse,
        ..ProxyFaults::default()
    });
    let mut refused = TcpStream::connect(connection.proxy.address()).await.unwrap();
    assert_eq!(read(&mut refused, TIMEOUT).await, ReadOutcome::Closed);
    connection.client.write_all(b"open").await.unwrap();
    assert_eq!(
        read(&mut connection.server, TIMEOUT).await,
        ReadOutcome::Bytes(b"open".to_vec())
    );
    let counts = connection.proxy.counts();
    assert_eq!((counts.connections, counts.refused), (1, 1));
    connection.proxy.close().await;
}

#[tokio::test]
async fn cut_open_connections() {
    let mut connection = ProxiedConnection::connect().await;
    connection.proxy.set_faults(ProxyFaults {
        cut_open: true,
        ..ProxyFaults::default()
    });
    assert_eq!(read(&mut connection.client, TIMEOUT).await, ReadOutcome::Closed);
    assert_eq!(read(&mut connection.server, TIMEOUT).await, ReadOutcome::Closed);
    connection.proxy.close().await;
}

#[tokio::test]
async fn control_requests() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let proxy = ProxyStandin::start(ProxyOptions::new(service.address()))
        .await
        .unwrap();
    let client = HttpClient::new();
    let control = format!("http://{}", proxy.control_address());
    let response: Value = client
        .get_json(&format!("http://{}/", proxy.address()))
        .await
        .unwrap();
    assert_eq!(response["execution"], 1);
    let counts: ProxyCounts = client.get_json(&format!("{control}/counts")).await.unwrap();
    assert!(counts.forward_bytes > 0 && counts.backward_bytes > 0);
    // Faults and the expected status of the control request.
    let cases = [
        (
            json!({"forward": "drop", "backward": "drop", "delay_ms": 1, "cut_open": true}),
            StatusCode::NO_CONTENT,
        ),
        (json!({"forward": "refuse"}), StatusCode::NO_CONTENT),
        (json!({"backward": "refuse"}), StatusCode::BAD_REQUEST),
        (json!({"sideways": "drop"}), StatusCode::BAD_REQUEST),
    ];
    for (faults, status) in cases {
        let url = format!("{control}/faults");
        let response = client.send_json(Method::POST, &url, &faults).await.unwrap();
        assert_eq!(response.status, status, "{faults}");
    }
    proxy.close().await;
    service.close().await;
}
