//! HTTP/1.1 server: ends of answers and of connections.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherramp::adapters::http1;
use heatherramp::adapters::http1::Body;
use heatherramp::adapters::http1::Incoming;
use heatherramp::adapters::http1::Part;
use heatherramp::adapters::http1::Server;
use http::Request;
use http::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

const HEAD_BYTES: usize = 64 << 10;
/// Time limit for a request head, and for an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

async fn serve<H, F>(handler: H) -> Server
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Unpin + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = http1::serve(address, HEAD_BYTES, HEAD_TIMEOUT, handler).await;
    server.expect("a server")
}

/// Sends one request on a new connection, and reads until its end or that of a chunked answer.
async fn call(server: &Server) -> String {
    let mut stream = TcpStream::connect(server.address).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.ends_with("\r\n0\r\n\r\n") {
        let read = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await;
        match read.expect("an answer or an end") {
            Ok(0) | Err(_) => break,
            Ok(length) => text.push_str(&String::from_utf8_lossy(&buffer[..length])),
        }
    }
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_way_outlasts_the_idle_time() {
    let server = serve(|_| async {
        sleep(HEAD_TIMEOUT * 3).await;
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            for text in ["one ", "two"] {
                sleep(HEAD_TIMEOUT * 3).await;
                let _ = sender.send(Part::Chunk(Bytes::from(text))).await;
            }
            let _ = sender.send(Part::End).await;
        });
        Response::new(Body::Stream(receiver))
    })
    .await;
    let text = call(&server).await;
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    assert!(text.contains("two") && text.ends_with("\r\n0\r\n\r\n"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_producer_panics_is_not_complete() {
    let server = serve(|_| async {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            let _ = sender.send(Part::Chunk(Bytes::from("a part"))).await;
            panic!("of the producer, by the test");
        });
        Response::new(Body::Stream(receiver))
    })
    .await;
    let text = call(&server).await;
    assert!(text.contains("a part"), "{text}");
    assert!(!text.ends_with("\r\n0\r\n\r\n"), "looks complete: {text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_whose_handler_panics_is_not_counted_as_open() {
    let server = serve(|_| async { panic!("of the handler, by the test") }).await;
    assert_eq!(call(&server).await, "");
    let started = Instant::now();
    while server.open_connections() > 0 {
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "still counted as open"
        );
        sleep(Duration::from_millis(10)).await;
    }
}
