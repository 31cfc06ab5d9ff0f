//! A caller over HTTP/1.1, one connection for each request or kept open.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// A caller's answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null if it is not.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Shards answered and asked, by the coverage of an envelope.
    pub fn coverage(&self) -> (u64, u64) {
        let json = self.json();
        let count = |name: &str| json["coverage"][name].as_u64().unwrap_or_default();
        (count("answered"), count("asked"))
    }

    /// Why shards are missing, one word for each.
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

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method; GET if empty.
    pub method: String,
    /// Path with the service.
    pub path: String,
    /// Bearer key.
    pub key: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// A connection that carries one request after another.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
}

/// Why a request got no answer.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

impl Connection {
    /// Connects to a daemon.
    pub async fn open(address: SocketAddr) -> Result<Connection, Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        Ok(Connection { sender })
    }

    /// Whether the daemon closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads its answer.
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

/// Sends one request on a connection of its own.
pub async fn send(address: SocketAddr, request: &Request) -> Result<Answer, Error> {
    Connection::open(address).await?.send(request).await
}

/// A query of a service.
pub fn get(key: &str, path: &str) -> Request {
    Request {
        path: path.to_owned(),
        key: key.to_owned(),
        ..Request::default()
    }
}

/// A request that runs at most once.
pub fn post(key: &str, path: &str, idempotency_key: &str, body: &str) -> Request {
    Request {
        method: "POST".to_owned(),
        headers: vec![("idempotency-key".to_owned(), idempotency_key.to_owned())],
        body: body.to_owned().into(),
        ..get(key, path)
    }
}
