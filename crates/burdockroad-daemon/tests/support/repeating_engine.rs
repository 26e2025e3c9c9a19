//! Stand-in for a faulty engine that repeats an earlier refusal on a kept connection.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// Path of the completions, which are the calls that the engine counts.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Events of a complete response with one token.
const EVENTS: &str = concat!(
    r#"data: {"id":"c","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"x"}}]}"#,
    "\n\n",
    r#"data: {"id":"c","created":1,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}"#,
    "\n\n",
    r#"data: {"id":"c","created":1,"model":"m","choices":[],"#,
    r#""usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}"#,
    "\n\ndata: [DONE]\n\n",
);

/// Engine that answers the first request of a connection, and runs the later ones after a repeated refusal.
#[derive(Debug)]
pub struct RepeatingEngine {
    pub address: SocketAddr,
    executed: Arc<Mutex<Vec<String>>>,
}

impl RepeatingEngine {
    /// Starts an engine whose repeated refusal has a status line, such as `503 Service Unavailable`.
    pub async fn start(refusal: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let executed = Arc::new(Mutex::new(Vec::new()));
        let runs = Arc::clone(&executed);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, refusal, Arc::clone(&runs)));
            }
        });
        Self { address, executed }
    }

    /// Returns the bodies of the completions that the engine ran.
    pub fn executed(&self) -> Vec<String> {
        self.executed.lock().unwrap().clone()
    }
}

/// Serves a connection until it ends.
async fn serve(stream: TcpStream, refusal: &str, executed: Arc<Mutex<Vec<String>>>) {
    let mut stream = BufReader::new(stream);
    let mut is_kept = false;
    while let Some((target, body)) = read_request(&mut stream).await {
        let is_completion = target == COMPLETIONS_PATH;
        if is_completion {
            executed.lock().unwrap().push(body);
        }
        let refused = format!("HTTP/1.1 {refusal}\r\ncontent-length: 0\r\n\r\n");
        let events = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{EVENTS}",
            EVENTS.len()
        );
        let response = if is_completion && is_kept {
            refused + &events
        } else {
            events
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        is_kept = true;
    }
}

/// Reads the target and the body of a request; `None` at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut request_line = String::new();
    stream.read_line(&mut request_line).await.ok()?;
    let target = request_line.split(' ').nth(1)?.to_owned();
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            body_bytes = length.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; body_bytes];
    stream.read_exact(&mut body).await.ok()?;
    Some((target, String::from_utf8(body).ok()?))
}
