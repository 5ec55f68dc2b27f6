//! A server that owns keys and accepts fenced grants, as a stand-in.
