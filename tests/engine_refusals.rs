//! Refusals that a model engine writes again on a kept connection.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use heatherramp::adapters::upstream::Client;
use heatherramp::adapters::upstream::Prompt;
use heatherramp::adapters::upstream::generate;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const DONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\ndata: [DONE]\n\n";
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Answers the first request on a connection, and each further one with a refusal of an earlier one.
async fn serve(mut stream: TcpStream) {
    let mut answers = std::iter::once(DONE).chain(std::iter::repeat(REFUSAL));
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
        let answer = answers.next().expect("endless");
        stream.write_all(answer.as_bytes()).await.expect("written");
    }
}

/// Guards against a generation that counts as not run, and is run again, by a refusal of an earlier one.
#[tokio::test]
async fn a_repeated_refusal_does_not_count_for_another_generation() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream));
        }
    });
    let client = Client::default();
    for id in ["a", "b", "c"] {
        let prompt = Prompt {
            address: &address,
            id,
            group: 1,
            fence: 1,
            body: Bytes::from_static(b"{}"),
            resume: 0,
            stall_timeout: Duration::from_secs(2),
        };
        let mut generation = generate(&client, prompt).await.expect("a generation");
        assert!(generation.next().await.expect("an end mark").is_none());
        // Time for a connection to become idle.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(connections.load(Ordering::Relaxed), 3);
}
