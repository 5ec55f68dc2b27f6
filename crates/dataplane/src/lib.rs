//! HTTP request path of router and agent.

pub mod agent_front;
pub mod answer;
pub mod body;
pub mod clock;
pub mod forward;
pub mod gather;
pub mod listen;
pub mod router_front;
