//! UDP and TCP transport of wire messages.
