//! Calls to the leading controller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::adapters::quic::Pool;
use crate::adapters::wire;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::log_membership;

#[derive(Debug, Default)]
struct Book {
    leader: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    next: usize,
}

/// Client that remembers the leader and the other controllers.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    book: Arc<Mutex<Book>>,
}

impl Client {
    /// Client that starts from `seeds`.
    pub fn new(pool: Pool, seeds: &[SocketAddr]) -> Self {
        // Processes that start together should not all turn to the same controller.
        let book = Book {
            seeds: seeds.to_vec(),
            next: rand::random::<u32>() as usize,
            ..Book::default()
        };
        Client {
            pool,
            book: Arc::new(Mutex::new(book)),
        }
    }

    /// Replaces the addresses that the settings name.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.with(|book| book.seeds = seeds.to_vec());
    }

    /// Replaces the addresses that the leader names.
    pub fn set_controllers(&self, addresses: &[String]) {
        let known = addresses.iter().filter_map(|a| a.parse().ok()).collect();
        self.with(|book| book.known = known);
    }

    /// Address of the leader, if known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.with(|book| book.leader)
    }

    /// Remembers the leader that another way has shown.
    pub fn set_leader(&self, address: SocketAddr) {
        self.with(|book| book.leader = Some(address));
    }

    /// Makes one try at the leader, or at the next controller when none is known.
    ///
    /// `None` means that the fate of the call is open, or that nobody leads; the next try goes
    /// elsewhere.
    pub async fn call(&self, call: &Call, wait: Duration) -> Option<Answer> {
        let address = self.with(Book::pick)?;
        let answer = self.call_at(address, call, wait).await;
        match answer {
            Some(Answer::Redirect(leader)) => {
                let leader = leader.and_then(|l| log_membership::controller_address(&l).parse().ok());
                self.with(|book| book.leader = leader);
                None
            }
            Some(answer) => {
                self.with(|book| book.leader = Some(address));
                Some(answer)
            }
            None => {
                self.with(|book| {
                    if book.leader == Some(address) {
                        book.leader = None;
                    }
                });
                None
            }
        }
    }

    /// Makes one try at any controller, another one each time.
    pub async fn call_any(&self, call: &Call, wait: Duration) -> Option<Answer> {
        let address = self.with(Book::pick_any)?;
        self.call_at(address, call, wait).await
    }

    /// Calls one controller.
    pub async fn call_at(&self, address: SocketAddr, call: &Call, wait: Duration) -> Option<Answer> {
        let call_json = serde_json::to_vec(call).expect("calls have string keys");
        let request = wire::Request {
            kind: Some(wire::request::Kind::Fleet(wire::Fleet { call_json })),
        };
        let reply = self.pool.call(&address.to_string(), request, wait).await;
        match reply.map(|r| r.kind) {
            Ok(Some(wire::reply::Kind::FleetJson(json))) => serde_json::from_slice(&json).ok(),
            _ => None,
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Book) -> T) -> T {
        change(&mut self.book.lock().expect("no panic under this lock"))
    }
}

impl Book {
    fn pick(&mut self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.pick_any())
    }

    fn pick_any(&mut self) -> Option<SocketAddr> {
        let mut all = self.known.clone();
        all.extend(self.seeds.iter().filter(|s| !self.known.contains(s)));
        self.next = self.next.wrapping_add(1);
        all.get(self.next % all.len().max(1)).copied()
    }
}
