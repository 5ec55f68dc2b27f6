//! One machine's process: composes router, agent and control.
