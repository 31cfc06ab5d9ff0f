//! An HTTP/1.1 client in the role of a caller, with one connection per request or a
//! connection kept open. Used by the process tests, the tour and the load generator.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// The answer of a daemon to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null if the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Numbers of shards answered and asked, from the `coverage` object of the body; zero
    /// where the body has no such number.
    pub fn coverage(&self) -> (u64, u64) {
        let json = self.json();
        let count = |name: &str| json["coverage"][name].as_u64().unwrap_or_default();
        (count("answered"), count("asked"))
    }

    /// Causes from `coverage.missing`, one for each missing shard.
    pub fn missing(&self) -> Vec<String> {
        let json = self.json();
        let missing = json["coverage"]["missing"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let causes = missing
            .iter()
            .filter_map(|missing| missing["cause"].as_str());
        causes.map(str::to_owned).collect()
    }

    /// The value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A request that a caller sends.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// HTTP method; empty for GET.
    pub method: String,
    /// Request target, such as `/SERVICE/PATH?QUERY`.
    pub path: String,
    /// Bearer key of the caller, sent in the `authorization` header.
    pub key: String,
    /// Additional headers as names and values.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

/// A kept-alive connection that carries one request at a time.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
}

/// A failure to connect, to send the request or to read the answer.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

impl Connection {
    /// Connects to the callers' port of a daemon.
    pub async fn open(address: SocketAddr) -> Result<Connection, Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        Ok(Connection { sender })
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&mut self, request: &Request) -> Result<Answer, Error> {
        let method = if request.method.is_empty() {
            "GET"
        } else {
            &request.method
        };
        let mut message = hyper::Request::builder()
            .method(method)
            .uri(&request.path)
            .header("host", "wagtailbeam")
            .header("authorization", format!("Bearer {}", request.key));
        for (name, value) in &request.headers {
            message = message.header(name, value);
        }
        let message = message.body(Full::new(request.body.clone()))?;
        self.sender.ready().await?;
        let response = self.sender.send_request(message).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}

/// Sends one request on a new connection and reads the whole answer.
pub async fn send(address: SocketAddr, request: &Request) -> Result<Answer, Error> {
    Connection::open(address).await?.send(request).await
}

/// A GET request with the caller's bearer key.
pub fn get(key: &str, path: &str) -> Request {
    Request {
        path: path.to_owned(),
        key: key.to_owned(),
        ..Request::default()
    }
}

/// A POST request with an idempotency key, so that it runs at most once.
pub fn post(key: &str, path: &str, idempotency_key: &str, body: &str) -> Request {
    Request {
        method: "POST".to_owned(),
        headers: vec![("idempotency-key".to_owned(), idempotency_key.to_owned())],
        body: body.to_owned().into(),
        ..get(key, path)
    }
}
