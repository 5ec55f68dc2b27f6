//! A small HTTP server for stand-ins: connections without Nagle's delay, that can be frozen and
//! that cost something to set up.

mod acceptor;
mod gate;
mod interceptor;
mod proxy;
mod respond;
mod server;
mod shared_link;
mod stream;

pub use acceptor::{ConnectionSettings, StandInAcceptor};
pub use gate::Gate;
pub use interceptor::{AnswerEnd, EndlessAnswer, InterceptedRequest, Interceptor, RawAnswer};
pub use proxy::{Harm, Proxy};
pub use respond::{ErrorBody, connection, query_value, read_json, render_error, render_json};
pub use server::RunningServer;
pub use shared_link::SharedLink;
pub use stream::StandInStream;
