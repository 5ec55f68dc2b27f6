//! Checked node settings.
