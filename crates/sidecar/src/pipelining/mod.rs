//! HTTP pipelining: several requests on one client connection run concurrently and are answered in order.
//!
//! The HTTP server still reads the connection, answers one request after the other and closes it. [`read_ahead`]
//! scans the bytes that the server reads, and further bytes while it is busy; [`client`] starts the requests found
//! there and hands over their responses when the server reaches them. The server's request must equal the one that
//! was started. If the two parse the bytes differently, a request runs in vain, but no client gets a wrong response.

mod chunks;
pub(crate) mod client;
mod head;
pub mod read_ahead;
mod server_side;
mod started;
