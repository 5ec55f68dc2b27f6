//! Why a request wasn't answered as usual.

use std::fmt;

use crate::{Line, Story};

/// Why a request wasn't answered as usual, as far as the lines tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// No line tells of it: a target answered at the first send, or the lines are missing.
    NotLogged,
    /// The node that took it refused it by itself.
    Refused {
        /// The outcome that it logged.
        outcome: String,
        /// What that means.
        meaning: &'static str,
    },
    /// The target that was asked last had no room for it.
    Full {
        /// The node beside the target.
        node: String,
        /// Requests in its slots.
        running: u64,
        /// Requests that waited.
        waiting: u64,
    },
    /// The node that was asked last was stopping.
    Stopping {
        /// The node.
        node: String,
    },
    /// The target that was asked last ended, or its connection was lost.
    TargetLost {
        /// The node beside the target.
        node: String,
    },
    /// A target had it and gave no whole answer in time.
    NoAnswer {
        /// The node beside the target.
        node: String,
        /// Sends that reached, or may have reached, a target.
        sends: u64,
        /// What went wrong last.
        detail: String,
    },
    /// It was answered, but not at the first send.
    SentAgain {
        /// Sends that reached, or may have reached, a target.
        sends: u64,
        /// What went wrong last.
        detail: String,
    },
    /// It was answered at its first send, in another region.
    OtherRegion {
        /// The node beside the target that answered.
        node: String,
    },
    /// An agent refused it for another reason.
    AgentRefused {
        /// The agent's node.
        node: String,
        /// The reason that it logged.
        reason: String,
    },
}

impl Cause {
    /// The cause that a request's lines show.
    pub fn of(story: &Story) -> Self {
        let Some(request) = story.request() else {
            return story.last_refused().map_or(Self::NotLogged, agent_refused);
        };
        let outcome = request.text("outcome");
        if let Some(meaning) = meaning_of(outcome, request.text("tried")) {
            return Self::Refused {
                outcome: outcome.to_owned(),
                meaning,
            };
        }
        let node = request.text("tried").to_owned();
        let sends = request.number("sends");
        let detail = request.text("detail").to_owned();
        if outcome == "answered" {
            // The node in `tried` is the one that answered, so its stops and losses aren't the cause. Of requests that
            // were answered at the first send, those that left their region are logged.
            return if sends > 1 {
                Self::SentAgain { sends, detail }
            } else {
                Self::OtherRegion { node }
            };
        }
        if story.has_event_before(&node, "stopping") {
            return Self::Stopping { node };
        }
        if is_target_lost(story, request, &node) {
            return Self::TargetLost { node };
        }
        if sends > 0 {
            return Self::NoAnswer {
                node,
                sends,
                detail,
            };
        }
        match story.last_refused() {
            Some(refused) => agent_refused(refused),
            None => Self::AgentRefused {
                node,
                reason: detail,
            },
        }
    }
}

fn is_target_lost(story: &Story, request: &Line, node: &str) -> bool {
    request.text("detail") == "the target ended"
        || story.has_before(node, "lost", "dependency", "target")
        || story
            .last_refused()
            .is_some_and(|refused| refused.text("reason") == "target_ended")
}

fn agent_refused(refused: &Line) -> Cause {
    let node = refused.node.clone();
    match refused.text("reason") {
        "full" => Cause::Full {
            node,
            running: refused.number("running"),
            waiting: refused.number("waiting"),
        },
        "target_ended" => Cause::TargetLost { node },
        reason => Cause::AgentRefused {
            node,
            reason: reason.to_owned(),
        },
    }
}

/// What an outcome means that the node which took the request decides alone.
fn meaning_of(outcome: &str, tried: &str) -> Option<&'static str> {
    let meaning = match outcome {
        "no_owner" if tried.is_empty() => "no node was known to own its key while it could wait",
        "no_target" if tried.is_empty() => "no node was known whose target takes work",
        "not_sent_in_time" if tried.is_empty() => "its time was over before a node was asked",
        "malformed" => "its id or its host is missing or doubled",
        "unauthorized" => "its credential is missing, or no tenant of the configuration has it",
        "over_quota" => "its tenant has used up its quota",
        "no_route" => "no route of the configuration takes its host and path",
        "no_configuration" => "the node had no configuration yet",
        "region_not_allowed" => "no target in a region where it may run takes work",
        "quarantined" => "targets have ended under requests of the same content",
        "too_large" => "its body is larger than the configuration allows",
        "body_cut" => "its client ended the body early",
        _ => return None,
    };
    Some(meaning)
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLogged => write!(
                formatter,
                "no line tells of it: a target answered its first send, or lines are missing"
            ),
            Self::Refused { outcome, meaning } => {
                write!(formatter, "{outcome}: {meaning}; it has not run")
            }
            Self::Full {
                node,
                running,
                waiting,
            } => write!(
                formatter,
                "the target at {node} was full ({running} running, {waiting} waiting)"
            ),
            Self::Stopping { node } => write!(formatter, "{node} was stopping as planned"),
            Self::TargetLost { node } => {
                write!(formatter, "the target at {node} ended or was lost")
            }
            Self::NoAnswer {
                node,
                sends,
                detail,
            } => write!(
                formatter,
                "a target had it ({sends} sends, the last by {node}) and gave no whole answer: {detail}"
            ),
            Self::SentAgain { sends, detail } => write!(
                formatter,
                "answered after {sends} sends; the one before failed: {detail}"
            ),
            Self::OtherRegion { node } => {
                write!(formatter, "answered at once by {node}, in another region")
            }
            Self::AgentRefused { node, reason } => {
                write!(formatter, "{node} didn't pass it on: {reason}")
            }
        }
    }
}
