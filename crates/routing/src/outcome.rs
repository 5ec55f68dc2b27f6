//! How a request ended, typed so that a false *not run* is hard to write.
//!
//! [`Outcome::NotRun`] needs a [`Proof`], and a proof can only be made from evidence: the request
//! was never written, or the router, an agent or a back end refused it before starting.

use std::fmt;

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A back end ran it; the caller gets the back end's whole answer.
    Ran,
    /// It certainly did not run.
    NotRun(Proof),
    /// It may or may not have run.
    Unknown,
}

/// Evidence that a request did not run. Made only by the constructors below.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof(ProofSource);

/// Where a proof comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSource {
    /// No byte of it left the router.
    NeverSent,
    /// An agent refused it before it went to the back end.
    RefusedByAgent,
    /// The back end refused it before starting, as its agent reports.
    RefusedByBackEnd,
    /// The router refused it before forwarding.
    RefusedByRouter,
}

/// The connection to an agent could not be opened, so nothing was written to it.
///
/// Only the code that opens connections builds one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectFailure;

/// An agent's own word that a request was refused before start, as read from its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentRefusal {
    /// The agent itself refused.
    ByAgent,
    /// The back end refused and the agent passes that on.
    ByBackEnd,
}

impl Proof {
    /// Proof from a connection that could not be opened.
    pub fn never_sent(_failure: ConnectFailure) -> Self {
        Self(ProofSource::NeverSent)
    }

    /// Proof from a refusal in an agent's answer.
    pub fn refused(refusal: AgentRefusal) -> Self {
        match refusal {
            AgentRefusal::ByAgent => Self(ProofSource::RefusedByAgent),
            AgentRefusal::ByBackEnd => Self(ProofSource::RefusedByBackEnd),
        }
    }

    /// Proof for a request that the router has forwarded nowhere. Only this crate knows that.
    pub(crate) fn refused_by_router() -> Self {
        Self(ProofSource::RefusedByRouter)
    }

    /// Where the proof comes from.
    pub fn source(self) -> ProofSource {
        self.0
    }
}

impl Outcome {
    /// Value of the `wingspar-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun(_) => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
