//! Contract of the proxy: what passes, what vanishes, and when a connection is cut.

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

/// Longest wait for something that has to come; a wait that ends by it is a failure.
const DEADLINE: Duration = Duration::from_secs(20);
/// Wait after which bytes that must not arrive count as vanished.
const SILENCE: Duration = Duration::from_millis(200);

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

/// What an end of a connection reads.
#[derive(Debug, PartialEq, Eq)]
enum Read {
    Bytes(Vec<u8>),
    End,
    Nothing,
}

/// A connection through the proxy, with both its ends.
struct Pair {
    proxy: ProxyStandin,
    client: TcpStream,
    server: TcpStream,
}

impl Pair {
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
        tokio::time::timeout(DEADLINE, reached).await.unwrap();
    }
}

async fn read(stream: &mut TcpStream, longest: Duration) -> Read {
    let mut buffer = [0; 64];
    match tokio::time::timeout(longest, stream.read(&mut buffer)).await {
        Ok(Ok(0) | Err(_)) => Read::End,
        Ok(Ok(length)) => Read::Bytes(buffer[..length].to_vec()),
        Err(_elapsed) => Read::Nothing,
    }
}

#[tokio::test]
async fn pass_both_ways() {
    let mut pair = Pair::connect().await;
    for delay_ms in [0, 20] {
        pair.proxy.set_faults(ProxyFaults {
            delay_ms,
            ..ProxyFaults::default()
        });
        pair.client.write_all(b"question").await.unwrap();
        assert_eq!(
            read(&mut pair.server, DEADLINE).await,
            Read::Bytes(b"question".to_vec())
        );
        pair.server.write_all(b"answer").await.unwrap();
        assert_eq!(
            read(&mut pair.client, DEADLINE).await,
            Read::Bytes(b"answer".to_vec())
        );
    }
    pair.client.shutdown().await.unwrap();
    assert_eq!(read(&mut pair.server, DEADLINE).await, Read::End);
    pair.server.write_all(b"late").await.unwrap();
    assert_eq!(
        read(&mut pair.client, DEADLINE).await,
        Read::Bytes(b"late".to_vec())
    );
    let counts = pair.proxy.counts();
    assert_eq!(
        (counts.connections, counts.forward_bytes, counts.backward_bytes),
        (1, 16, 16)
    );
    pair.proxy.close().await;
}

#[tokio::test]
async fn drop_one_way() {
    for faults in [DROP_FORWARD, DROP_BACKWARD] {
        let mut pair = Pair::connect().await;
        pair.proxy.set_faults(faults);
        pair.client.write_all(b"forward").await.unwrap();
        pair.server.write_all(b"backward").await.unwrap();
        let dropped = if faults == DROP_FORWARD { (7, 0) } else { (0, 8) };
        let total = |counts: ProxyCounts| (counts.forward_dropped_bytes, counts.backward_dropped_bytes);
        pair.wait_for_counts(|counts| total(counts) == dropped).await;
        let (lost, passed, bytes) = if faults == DROP_FORWARD {
            (&mut pair.server, &mut pair.client, b"backward".to_vec())
        } else {
            (&mut pair.client, &mut pair.server, b"forward".to_vec())
        };
        assert_eq!(read(passed, DEADLINE).await, Read::Bytes(bytes));
        assert_eq!(
            read(lost, SILENCE).await,
            Read::Nothing,
            "the connection stays open"
        );
        // A stream with a hole is never delivered.
        pair.proxy.set_faults(ProxyFaults::default());
        assert_eq!(read(lost, DEADLINE).await, Read::End);
        pair.proxy.close().await;
    }
}

#[tokio::test]
async fn drop_then_pass_under_way() {
    let mut pair = Pair::connect().await;
    pair.proxy.set_faults(ProxyFaults {
        delay_ms: 200,
        ..DROP_FORWARD
    });
    pair.client.write_all(b"lost").await.unwrap();
    pair.wait_for_counts(|counts| counts.forward_dropped_bytes == 4)
        .await;
    // These bytes are under way when the direction passes again, behind the ones that are gone.
    pair.client.write_all(b"behind").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    pair.proxy.set_faults(ProxyFaults::default());
    assert_eq!(read(&mut pair.server, DEADLINE).await, Read::End);
    pair.proxy.close().await;
}

#[tokio::test]
async fn drop_end_of_stream() {
    let mut pair = Pair::connect().await;
    pair.proxy.set_faults(DROP_FORWARD);
    pair.client.shutdown().await.unwrap();
    assert_eq!(read(&mut pair.server, SILENCE).await, Read::Nothing);
    pair.proxy.set_faults(ProxyFaults::default());
    assert_eq!(read(&mut pair.server, DEADLINE).await, Read::End);
    pair.proxy.close().await;
}

#[tokio::test]
async fn refuse_new_connections() {
    let mut pair = Pair::connect().await;
    pair.proxy.set_faults(ProxyFaults {
        forward: Forward::Refuse,
        ..ProxyFaults::default()
    });
    let mut refused = TcpStream::connect(pair.proxy.address()).await.unwrap();
    assert_eq!(read(&mut refused, DEADLINE).await, Read::End);
    pair.client.write_all(b"open").await.unwrap();
    assert_eq!(
        read(&mut pair.server, DEADLINE).await,
        Read::Bytes(b"open".to_vec())
    );
    let counts = pair.proxy.counts();
    assert_eq!((counts.connections, counts.refused), (1, 1));
    pair.proxy.close().await;
}

#[tokio::test]
async fn cut_open_connections() {
    let mut pair = Pair::connect().await;
    pair.proxy.set_faults(ProxyFaults {
        cut_open: true,
        ..ProxyFaults::default()
    });
    assert_eq!(read(&mut pair.client, DEADLINE).await, Read::End);
    assert_eq!(read(&mut pair.server, DEADLINE).await, Read::End);
    pair.proxy.close().await;
}

#[tokio::test]
async fn control_requests() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let proxy = ProxyStandin::start(ProxyOptions::new(service.address()))
        .await
        .unwrap();
    let client = HttpClient::new();
    let control = format!("http://{}", proxy.control_address());
    let answer: Value = client
        .get_json(&format!("http://{}/", proxy.address()))
        .await
        .unwrap();
    assert_eq!(answer["execution"], 1);
    let counts: ProxyCounts = client.get_json(&format!("{control}/counts")).await.unwrap();
    assert!(counts.forward_bytes > 0 && counts.backward_bytes > 0);
    // Faults and the status of the control request.
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
        let answer = client.send_json(Method::POST, &url, &faults).await.unwrap();
        assert_eq!(answer.status, status, "{faults}");
    }
    proxy.close().await;
    service.close().await;
}
