//! Tests of the server with callers that read its bytes from their sockets.

use super::Body;
use super::BodyError;
use super::Handler;
use super::Listener;
use super::Protocol;
use super::empty_body;
use super::full_body;
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::UPGRADE;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time within which each connection ends here.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Pause before the end of a body, so that its beginning is sent before.
const PAUSE: Duration = Duration::from_millis(50);
/// Size of a part of a body without end.
const PART_BYTES: usize = 64 * 1024;

/// A server that answers each path in its own way.
struct Paths;

/// Returns the body `ab` of unknown length, in two parts and with this end.
fn body(end: Option<&'static str>) -> Body {
    let parts = [Ok("a"), Ok("b")].into_iter().chain(end.map(Err));
    let parts = stream::iter(parts).then(async |part| {
        tokio::time::sleep(PAUSE).await;
        part.map(|part| Frame::data(Bytes::from_static(part.as_bytes())))
            .map_err(BodyError::from)
    });
    StreamBody::new(parts).boxed_unsync()
}

#[async_trait]
impl Handler for Paths {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let path = req.uri().path();
        let mut response = Response::new(if path.contains("broken") {
            body(Some("broken"))
        } else if path.contains("known") {
            full_body("ab")
        } else if path.contains("endless") {
            let part = || Ok(Frame::data(Bytes::from_static(&[b'a'; PART_BYTES])));
            StreamBody::new(stream::repeat_with(part)).boxed_unsync()
        } else {
            body(None)
        });
        if path.contains("old") {
            *response.version_mut() = Version::HTTP_10;
        }
        if path.contains("unchanged") {
            *response.status_mut() = StatusCode::NOT_MODIFIED;
        }
        if path.contains("refused") {
            *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
        }
        response
    }
}

/// A server that switches to another protocol, ends its own side soon and reports what it receives.
struct Tunnel(mpsc::UnboundedSender<Vec<u8>>);

#[async_trait]
impl Handler for Tunnel {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let received = self.0.clone();
        tokio::spawn(async move {
            let mut io = TokioIo::new(hyper::upgrade::on(req).await.unwrap());
            io.write_all(b"end").await.unwrap();
            tokio::time::sleep(PAUSE).await;
            io.shutdown().await.unwrap();
            let mut bytes = Vec::new();
            io.read_to_end(&mut bytes).await.unwrap();
            received.send(bytes).unwrap();
        });
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(UPGRADE, HeaderValue::from_static("other"));
        response
    }
}

async fn start() -> Listener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Listener::start(any, Protocol::Http1And2, Arc::new(Paths))
        .await
        .unwrap()
}

/// Sends a request of this first line and header, and reads until the connection ends. Returns the bytes, or the error
/// after them.
async fn exchange(line: &str, header: &str) -> (String, Result<(), io::ErrorKind>) {
    let listener = start().await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    let text = format!("{line}\r\nhost: h\r\n{header}\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut bytes)).await;
    let end = read.unwrap().map(|_| ()).map_err(|err| err.kind());
    listener.close(Duration::ZERO).await;
    (String::from_utf8(bytes).unwrap(), end)
}

#[tokio::test]
async fn a_broken_response_of_unknown_length_is_not_begun_for_a_caller_without_chunks() {
    for path in ["broken", "broken-old", "endless"] {
        let (text, end) = exchange(&format!("GET /{path} HTTP/1.0"), "connection: close").await;

        assert!(text.starts_with("HTTP/1.0 502 Bad Gateway\r\n"), "{text}");
        assert!(text.contains("content-length: 0\r\n"), "{text}");
        assert!(text.ends_with("\r\n\r\n"), "{text}");
        assert_eq!(end, Ok(()), "{path}");
    }
}

#[tokio::test]
async fn a_complete_response_of_unknown_length_has_its_length_for_a_caller_without_chunks() {
    for path in ["whole", "whole-old", "known", "known-old"] {
        let (text, end) = exchange(&format!("GET /{path} HTTP/1.0"), "connection: close").await;

        assert!(text.starts_with("HTTP/1.0 200 OK\r\n"), "{text}");
        assert!(text.contains("content-length: 2\r\n"), "{text}");
        assert!(text.ends_with("\r\n\r\nab"), "{text}");
        assert_eq!(end, Ok(()), "{path}");
    }
}

#[tokio::test]
async fn responses_without_a_body_are_not_collected() {
    for (line, status) in [
        ("HEAD /endless HTTP/1.0", "200 OK"),
        ("GET /endless-unchanged HTTP/1.0", "304 Not Modified"),
    ] {
        let (text, end) = exchange(line, "connection: close").await;

        assert!(
            text.starts_with(&format!("HTTP/1.0 {status}\r\n")),
            "{text}"
        );
        assert!(text.ends_with("\r\n\r\n"), "{text}");
        assert_eq!(end, Ok(()), "{line}");
    }
}

#[tokio::test]
async fn a_caller_of_http_1_0_keeps_its_connection_after_a_response() {
    let listener = start().await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();

    for path in ["known", "whole", "known-old", "whole-old"] {
        let text = format!("GET /{path} HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"ab") {
            let read = tokio::time::timeout(MAX_WAIT, stream.read_buf(&mut bytes)).await;
            assert!(read.unwrap().unwrap() > 0, "/{path}");
        }
        let text = String::from_utf8(bytes).unwrap();
        assert!(text.contains("content-length: 2\r\n"), "{text}");
    }
}

#[tokio::test]
async fn an_old_version_of_a_response_is_not_passed_on() {
    let parts = "\r\n\r\n1\r\na\r\n1\r\nb\r\n";
    for (path, tail) in [
        ("broken-old", parts.to_owned()),
        ("whole-old", format!("{parts}0\r\n\r\n")),
        ("known-old", "\r\n\r\nab".to_owned()),
    ] {
        let (text, end) = exchange(&format!("GET /{path} HTTP/1.1"), "connection: close").await;

        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
        assert!(text.ends_with(&tail), "{text}");
        assert_eq!(end, Ok(()), "{path}");
    }
}

#[tokio::test]
async fn responses_in_chunks_end_by_their_last_chunk() {
    let whole = exchange("GET /whole HTTP/1.1", "connection: close").await;
    let broken = exchange("GET /broken HTTP/1.1", "connection: close").await;

    let parts = "\r\n\r\n1\r\na\r\n1\r\nb\r\n";
    assert!(whole.0.ends_with(&format!("{parts}0\r\n\r\n")), "{whole:?}");
    assert!(broken.0.ends_with(parts), "{broken:?}");
    assert_eq!([whole.1, broken.1], [Ok(()); 2]);
}

#[tokio::test]
async fn an_old_version_of_a_response_does_not_affect_other_requests_of_its_http_2_connection() {
    let listener = start().await;
    let stream = TcpStream::connect(listener.address()).await.unwrap();
    let io = TokioIo::new(stream);
    let handshake = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    let (mut sender, connection) = handshake;
    tokio::spawn(connection);

    let mut bodies = Vec::new();
    for path in ["broken-old", "whole-old", "whole"] {
        let req = Request::get(format!("http://h/{path}"));
        let req = req.body(Empty::<Bytes>::new()).unwrap();
        let res = sender.send_request(req).await.unwrap();
        let body = res.into_body().collect().await;
        bodies.push(body.map(|body| body.to_bytes()).ok());
    }

    let whole = Some(Bytes::from_static(b"ab"));
    assert_eq!(bodies, [None, whole.clone(), whole]);
}

/// Sends the head of a request with a body of 10 bytes and the bytes `body`, and reads the response, which ends in `ab`.
async fn send(listener: &Listener, path: &str, body: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    let head = format!("POST /{path} HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n");
    stream.write_all((head + body).as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"ab") {
        let read = tokio::time::timeout(MAX_WAIT, stream.read_buf(&mut bytes)).await;
        assert!(read.unwrap().unwrap() > 0, "/{path}");
    }
    (stream, String::from_utf8(bytes).unwrap())
}

#[tokio::test]
async fn a_caller_whose_request_was_refused_can_send_the_rest_of_it() {
    let listener = start().await;

    let (mut stream, text) = send(&listener, "known-refused", "begin").await;
    tokio::time::sleep(PAUSE).await;
    stream.write_all(b"end").await.unwrap();
    tokio::time::sleep(PAUSE).await;
    let sent = stream.write_all(b"of").await;
    let end = stream.read(&mut [0]).await.map_err(|err| err.kind());

    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
    assert!(sent.is_ok(), "{sent:?}");
    assert_eq!(end, Ok(0));
}

#[tokio::test]
async fn a_caller_that_does_not_close_its_connection_is_closed() {
    let listener = start().await;

    let (_stream, _) = send(&listener, "known-refused", "begin").await;
    let started = Instant::now();
    while listener.has_connections() && started.elapsed() < MAX_WAIT {
        tokio::time::sleep(PAUSE).await;
    }

    assert!(!listener.has_connections());
}

#[tokio::test]
async fn a_draining_server_does_not_wait_for_callers_that_send_nothing() {
    let listener = start().await;

    let (_stream, _) = send(&listener, "known", "begin, end").await;
    assert!(listener.has_connections());
    listener.start_draining();
    let started = Instant::now();
    listener.close(MAX_WAIT).await;

    assert!(started.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn what_arrives_on_a_tunnel_before_the_end_of_the_other_side_is_not_discarded() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (tx, mut rx) = mpsc::unbounded_channel();
    let listener = Listener::start(any, Protocol::Http1And2, Arc::new(Tunnel(tx)));
    let listener = listener.await.unwrap();

    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    let request = "GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"end") {
        let read = tokio::time::timeout(MAX_WAIT, stream.read_buf(&mut bytes)).await;
        assert!(read.unwrap().unwrap() > 0);
    }
    stream.write_all(b"late").await.unwrap();
    let end = stream.read(&mut [0]).await;
    tokio::time::sleep(PAUSE).await;
    stream.shutdown().await.unwrap();
    let received = tokio::time::timeout(MAX_WAIT, rx.recv()).await;

    let text = String::from_utf8(bytes).unwrap();
    assert!(text.starts_with("HTTP/1.1 101 "), "{text}");
    assert_eq!(end.unwrap(), 0);
    assert_eq!(received.unwrap().unwrap(), b"late");
}
