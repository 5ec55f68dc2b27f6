//! Attempts at one call: endpoints in turn, repeats, and what can be said at the end.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Response, Status};
use wingspar_api::status::Failure;

use super::DEFAULT_LIMIT;

/// Longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for one answer before the next endpoint is tried.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Pause after all endpoints were tried.
const ROUND_PAUSE: Duration = Duration::from_millis(150);

/// Whether a call changes anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Effect {
    /// It only reads.
    Reads,
    /// It changes something, under a change id that every attempt repeats.
    Changes,
}

/// Client of the operator API of one control group.
///
/// A call tries the endpoints in turn until one answers for good or the time limit is reached. What
/// fails before it can have had an effect ends as [`Failure::Unavailable`]; a change that may have
/// had an effect ends as [`Failure::Unknown`].
#[derive(Debug)]
pub struct Client {
    endpoints: Vec<SocketAddr>,
    preferred: usize,
    limit: Duration,
    channels: HashMap<SocketAddr, Channel>,
}

/// How one attempt failed.
struct Failed {
    failure: Failure,
    /// Another attempt may succeed.
    repeat: bool,
    /// The attempt may have had an effect.
    ambiguous: bool,
}

impl Client {
    /// A client of the given operator addresses; at least one.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        assert!(!endpoints.is_empty(), "a client needs an endpoint");
        Self {
            endpoints,
            preferred: 0,
            limit: DEFAULT_LIMIT,
            channels: HashMap::new(),
        }
    }

    /// Sets the longest time that a call takes in all.
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    pub(super) async fn call<T, Call, Answer>(
        &mut self,
        effect: Effect,
        call: Call,
    ) -> Result<T, Failure>
    where
        Call: Fn(Channel) -> Answer,
        Answer: Future<Output = Result<Response<T>, Status>>,
    {
        let deadline = Instant::now() + self.limit;
        let mut doubt: Option<String> = None;
        let mut tried = 0;
        loop {
            let endpoint = self.endpoints[self.preferred];
            let failed = match self.attempt(endpoint, deadline, &call).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            if !failed.repeat {
                return Err(conclude(failed.failure, doubt));
            }
            if effect == Effect::Changes && failed.ambiguous {
                doubt = Some(format!("{endpoint}: {}", describe(&failed.failure)));
            }
            self.preferred = (self.preferred + 1) % self.endpoints.len();
            tried += 1;
            let round_over = tried % self.endpoints.len() == 0;
            if Instant::now() + ROUND_PAUSE >= deadline {
                let reason = format!("{endpoint}: {}", describe(&failed.failure));
                return Err(conclude(Failure::Unavailable { reason }, doubt));
            }
            if round_over {
                sleep(ROUND_PAUSE).await;
            }
        }
    }

    async fn attempt<T, Call, Answer>(
        &mut self,
        endpoint: SocketAddr,
        deadline: Instant,
        call: &Call,
    ) -> Result<T, Failed>
    where
        Call: Fn(Channel) -> Answer,
        Answer: Future<Output = Result<Response<T>, Status>>,
    {
        let channel = self.channel(endpoint).await?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let answer = timeout(remaining.min(ANSWER_LIMIT), call(channel)).await;
        let failed = match answer {
            Ok(Ok(response)) => return Ok(response.into_inner()),
            Ok(Err(status)) => refused(&status),
            Err(_) => unanswered(),
        };
        if failed.ambiguous {
            self.channels.remove(&endpoint);
        }
        Err(failed)
    }

    async fn channel(&mut self, endpoint: SocketAddr) -> Result<Channel, Failed> {
        if let Some(channel) = self.channels.get(&endpoint) {
            return Ok(channel.clone());
        }
        let channel = connect(endpoint).await.map_err(unreachable)?;
        self.channels.insert(endpoint, channel.clone());
        Ok(channel)
    }
}

async fn connect(endpoint: SocketAddr) -> Result<Channel, String> {
    let address = Endpoint::from_shared(format!("http://{endpoint}"));
    let address = address.map_err(|error| error.to_string())?;
    let address = address.connect_timeout(CONNECT_LIMIT);
    let connected = address.connect().await;
    connected.map_err(|_| "no connection".to_owned())
}

fn unreachable(reason: String) -> Failed {
    Failed {
        failure: Failure::Unavailable { reason },
        repeat: true,
        ambiguous: false,
    }
}

fn unanswered() -> Failed {
    let reason = "no answer in time".to_owned();
    Failed {
        failure: Failure::Unknown { reason },
        repeat: true,
        ambiguous: true,
    }
}

fn refused(status: &Status) -> Failed {
    if status.code() == Code::Unimplemented {
        let line = "this version of the server does not know the call".to_owned();
        return Failed {
            failure: Failure::Invalid(vec![line]),
            repeat: false,
            ambiguous: false,
        };
    }
    let failure = Failure::from_status(status);
    let (repeat, ambiguous) = match failure {
        Failure::Invalid(_) | Failure::NotFound | Failure::Conflict { .. } => (false, false),
        Failure::NotLeader { .. } | Failure::Unavailable { .. } => (true, false),
        Failure::Unknown { .. } => (true, true),
    };
    Failed {
        failure,
        repeat,
        ambiguous,
    }
}

/// The final word: after an attempt that may have had an effect, a refusal proves nothing, since it
/// may be the consequence of that very effect.
fn conclude(failure: Failure, doubt: Option<String>) -> Failure {
    match doubt {
        None => failure,
        Some(doubt) => Failure::Unknown {
            reason: format!("{doubt}; then {}", describe(&failure)),
        },
    }
}

/// One line that says what failed.
pub(crate) fn describe(failure: &Failure) -> String {
    match failure {
        Failure::Invalid(mistakes) => mistakes.join("; "),
        Failure::NotFound => "there is no such thing".to_owned(),
        Failure::Conflict { current: Some(at) } => format!("conflict: current version {}", at.0),
        Failure::Conflict { current: None } => "conflict: the object does not exist".to_owned(),
        Failure::NotLeader { leader } => match leader {
            Some(leader) => format!("not the leader; {leader} leads"),
            None => "not the leader; none is known".to_owned(),
        },
        Failure::Unavailable { reason } | Failure::Unknown { reason } => reason.clone(),
    }
}
