//! The command line and client against the real gRPC service on loopback.

mod commands;
mod support;
mod watch;
