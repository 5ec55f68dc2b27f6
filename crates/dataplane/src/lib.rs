//! HTTP request path of router and agent.
