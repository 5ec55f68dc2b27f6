//! Which pipelined requests of a connection are started ahead of their turn.

use quickcheck::{Arbitrary, Gen, quickcheck};
use wingspar_sidecar::pipelining::read_ahead::{MAX_STARTED_AHEAD, ReadAhead, StopReason};

/// Maximum length of a request head on the test connections, in bytes.
const MAX_HEAD_BYTES: usize = 4096;

/// A request that a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// May run concurrently with others.
    Lookup,
    /// Must run alone, since it can't be retried.
    Order,
    /// Has a body of this many bytes, at least one.
    Upload(u8),
    /// Has a body of this many bytes, in chunks.
    Chunks(u8),
}

impl Sent {
    fn head(self, number: usize) -> String {
        match self {
            Self::Lookup => format!("GET /lookup/{number} HTTP/1.1\r\nHost: a\r\n\r\n"),
            Self::Order => format!("POST /order/{number} HTTP/1.1\r\nHost: a\r\n\r\n"),
            Self::Upload(length) => {
                format!("PUT /lookup/{number} HTTP/1.1\r\ncontent-length: {length}\r\n\r\n")
            }
            Self::Chunks(_) => {
                format!("PUT /lookup/{number} HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n")
            }
        }
    }

    /// A body that consists of request heads, which must not be taken for requests.
    fn body(self) -> Vec<u8> {
        let heads = Self::Lookup.head(999);
        let heads = |length| {
            heads
                .bytes()
                .cycle()
                .take(usize::from(length))
                .collect::<Vec<_>>()
        };
        match self {
            Self::Upload(length) => heads(length),
            Self::Chunks(length) => in_chunks(&heads(length)),
            Self::Lookup | Self::Order => Vec::new(),
        }
    }
}

/// Encodes a body in chunks, with an extension and trailers.
fn in_chunks(body: &[u8]) -> Vec<u8> {
    const CHUNK: usize = 100;
    let mut encoded = Vec::new();
    for chunk in body.chunks(CHUNK) {
        encoded.extend(format!("{:X};extension=0\r\n", chunk.len()).bytes());
        encoded.extend([chunk, b"\r\n"].concat());
    }
    encoded.extend(b"0\r\n");
    if body.len().is_multiple_of(2) {
        encoded.extend(b"x-trailer: GET /lookup/999 HTTP/1.1\r\nx-other: 5\r\n");
    }
    encoded.extend(b"\r\n");
    encoded
}

impl Arbitrary for Sent {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 5 {
            0 => Self::Order,
            2 => Self::Chunks(u8::arbitrary(generator)),
            1 => Self::Upload(u8::arbitrary(generator).max(1)),
            _ => Self::Lookup,
        }
    }
}

/// A connection with a server that takes its requests one after the other.
struct Connection {
    read_ahead: ReadAhead,
    sent: Vec<Sent>,
    /// Offsets of the end of the head and of the body of each request.
    ends: Vec<(usize, usize)>,
    bytes: Vec<u8>,
    arrived: usize,
    taken: usize,
    answered: usize,
    /// Requests that were started ahead.
    ahead: Vec<usize>,
}

impl Connection {
    fn new(sent: &[Sent]) -> Self {
        let mut bytes = Vec::new();
        let mut ends = Vec::new();
        for (number, sent) in sent.iter().enumerate() {
            bytes.extend(sent.head(number).bytes());
            let head_end = bytes.len();
            bytes.extend(sent.body());
            ends.push((head_end, bytes.len()));
        }
        Self {
            read_ahead: ReadAhead::new(MAX_HEAD_BYTES),
            sent: sent.to_vec(),
            ends,
            bytes,
            arrived: 0,
            taken: 0,
            answered: 0,
            ahead: Vec::new(),
        }
    }

    /// The next `count` bytes arrive.
    fn arrive(&mut self, count: usize) {
        let until = (self.arrived + count).min(self.bytes.len());
        self.read_ahead.arrived(&self.bytes[self.arrived..until]);
        self.arrived = until;
        self.take();
    }

    fn arrive_all(&mut self) {
        self.arrive(self.bytes.len());
    }

    /// The server takes the next request if none is in progress; then requests are started ahead.
    fn take(&mut self) {
        let is_idle = self.taken == self.answered;
        if is_idle && self.taken < self.sent.len() && self.arrived >= self.ends[self.taken].0 {
            let is_concurrent = self.sent[self.taken] == Sent::Lookup;
            let was_ahead = self.read_ahead.taken(is_concurrent);
            assert_eq!(was_ahead, self.ahead.contains(&self.taken));
            self.taken += 1;
        }
        self.start();
    }

    fn start(&mut self) {
        loop {
            let is_lookup = |request: &http::Request<()>| request.uri().path().contains("lookup");
            let Some(request) = self.read_ahead.start(is_lookup) else {
                return;
            };
            let number = request.uri().path().rsplit('/').next();
            let number = number.and_then(|number| number.parse::<usize>().ok());
            let number = number.expect("a number");
            assert!(number >= self.taken, "its turn has passed");
            assert!(number < self.sent.len(), "a body was parsed as a head");
            let from = self.answered.min(number);
            for earlier in &self.sent[from..=number] {
                assert_eq!(
                    *earlier,
                    Sent::Lookup,
                    "{number} ran concurrently with another kind"
                );
            }
            assert!(!self.ahead.contains(&number), "{number} started twice");
            self.ahead.push(number);
            assert!(self.ahead.len() <= self.taken + MAX_STARTED_AHEAD);
        }
    }

    /// Answers the request in progress if its body has arrived.
    fn answer(&mut self) {
        if self.answered < self.taken && self.arrived >= self.ends[self.answered].1 {
            self.answered += 1;
            self.read_ahead.answered();
            self.take();
        }
    }

    /// Receives and answers everything that is left.
    fn finish(mut self) -> Vec<usize> {
        self.arrive_all();
        for _ in 0..self.sent.len() {
            self.answer();
        }
        assert_eq!(self.answered, self.sent.len());
        assert_eq!(self.read_ahead.stopped(), None);
        assert!(!self.read_ahead.wants_more());
        self.ahead
    }
}

#[test]
fn pipelined_requests_run_concurrently_up_to_the_limit() {
    let mut connection = Connection::new(&[Sent::Lookup; 30]);
    connection.arrive_all();
    assert_eq!(connection.ahead.len(), MAX_STARTED_AHEAD);
    connection.answer();
    assert_eq!(connection.ahead.len(), MAX_STARTED_AHEAD + 1);
    assert_eq!(connection.finish(), (1..30).collect::<Vec<_>>());
}

#[test]
fn requests_received_byte_by_byte_start_once_complete() {
    let mut connection = Connection::new(&[Sent::Lookup; 4]);
    for _ in 0..connection.bytes.len() {
        let whole = connection
            .ends
            .iter()
            .filter(|end| end.0 <= connection.arrived);
        assert_eq!(connection.ahead.len(), whole.count().saturating_sub(1));
        connection.arrive(1);
    }
    assert_eq!(connection.finish(), [1, 2, 3]);
}

#[test]
fn one_request_at_a_time_starts_nothing_ahead() {
    let mut connection = Connection::new(&[Sent::Lookup, Sent::Upload(40), Sent::Lookup]);
    for number in 0..3 {
        connection.arrive(connection.ends[number].1 - connection.arrived);
        connection.answer();
    }
    assert!(connection.finish().is_empty());
}

#[test]
fn an_exclusive_request_waits_and_delays_those_behind_it() {
    for alone in [Sent::Order, Sent::Upload(200)] {
        let lookup = Sent::Lookup;
        let mut connection = Connection::new(&[lookup, lookup, alone, lookup, lookup]);
        connection.arrive_all();
        assert_eq!(connection.ahead, [1]);
        connection.answer();
        assert_eq!(connection.ahead, [1], "the second is still being answered");
        connection.answer();
        assert_eq!(connection.ahead, [1], "{alone:?} runs alone");
        connection.answer();
        assert_eq!(connection.ahead, [1, 4], "those behind it start");
        assert_eq!(connection.finish(), [1, 4]);
    }
}

#[test]
fn nothing_starts_behind_an_invalid_head() {
    let mut connection = Connection::new(&[Sent::Lookup; 2]);
    connection.bytes.extend(b"no head\r\n\r\n");
    connection.bytes.extend(Sent::Lookup.head(2).bytes());
    connection.arrive_all();
    assert_eq!(connection.ahead, [1], "requests before it are served");
    assert_eq!(
        connection.read_ahead.stopped(),
        Some(StopReason::BrokenHead)
    );
    assert_eq!(connection.read_ahead.ahead(), 1);
}

/// Guards against requests behind a body in chunks that go unnoticed, so that their connection is closed before they are
/// answered.
#[test]
fn requests_behind_chunks_are_found_for_any_segmentation() {
    let sent = [
        Sent::Chunks(250),
        Sent::Chunks(0),
        Sent::Order,
        Sent::Lookup,
    ];
    for step in 1..400 {
        let mut connection = Connection::new(&sent);
        while connection.arrived < connection.bytes.len() {
            connection.arrive(step);
        }
        assert!(connection.read_ahead.has_unscanned(), "in steps of {step}");
        assert_eq!(connection.finish(), Vec::<usize>::new());
    }
}

#[test]
fn nothing_starts_behind_a_request_of_unknown_length() {
    let heads = [
        "GET /lookup/0 HTTP/1.1\r\nConnection: close\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n",
        "GET /lookup/0 HTTP/1.0\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11111111111111111\r\n",
        "GET /lookup/0 HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nUpgrade: other\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "GET /lookup/0 HTTP/1.1\r\nContent-Length: many\r\n\r\n",
    ];
    for head in heads {
        let mut read_ahead = ReadAhead::new(MAX_HEAD_BYTES);
        read_ahead.arrived(format!("{head}{}", Sent::Lookup.head(1)).as_bytes());
        assert!(!read_ahead.taken(true));
        assert!(read_ahead.start(|_| true).is_none(), "{head}");
        assert_eq!(read_ahead.stopped(), Some(StopReason::EndUnknown), "{head}");
    }
}

#[test]
fn a_request_with_expect_continue_does_not_start_ahead() {
    let expecting = "PUT /lookup/1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n";
    let mut read_ahead = ReadAhead::new(MAX_HEAD_BYTES);
    read_ahead.arrived(format!("{}{expecting}", Sent::Lookup.head(0)).as_bytes());
    assert!(!read_ahead.taken(true));
    assert!(read_ahead.start(|_| true).is_none());
    read_ahead.answered();
    assert!(!read_ahead.taken(true), "it runs when its turn comes");
    assert_eq!(read_ahead.stopped(), None);
}

#[test]
fn an_endless_head_is_not_buffered() {
    let mut read_ahead = ReadAhead::new(MAX_HEAD_BYTES);
    let long = [b'a'; 100];
    read_ahead.arrived(b"GET /");
    for _ in 0..MAX_HEAD_BYTES / long.len() + 1 {
        read_ahead.arrived(&long);
    }
    assert_eq!(read_ahead.stopped(), Some(StopReason::BrokenHead));
}

#[test]
fn an_unexpected_request_stops_reading_ahead() {
    let mut read_ahead = ReadAhead::new(MAX_HEAD_BYTES);
    assert!(!read_ahead.taken(true));
    assert_eq!(read_ahead.stopped(), Some(StopReason::OutOfStep));
    read_ahead.arrived(Sent::Lookup.head(1).as_bytes());
    assert!(read_ahead.start(|_| true).is_none());
}

quickcheck! {
    /// However the bytes are segmented and whenever responses end, requests start in order, once, and only beside
    /// lookups.
    fn requests_start_in_order_for_any_segmentation(sent: Vec<Sent>, steps: Vec<(u8, bool)>) -> bool {
        let mut connection = Connection::new(&sent);
        for (count, answers) in steps {
            connection.arrive(usize::from(count));
            if answers {
                connection.answer();
            }
        }
        let ahead = connection.finish();
        ahead.is_sorted() && ahead.iter().all(|number| sent[*number] == Sent::Lookup)
    }
}
