//! The page of help.

/// Printed for `--help`.
pub(super) const HELP: &str = "\
Rehearses wingspar: whole deployments on loopback under load and faults.

Usage:
  wingspar-rehearse demo [--verbose]           a deployment, load and faults in under a minute
  wingspar-rehearse run FILE [--json FILE] [--html FILE] [--seed N] [--verbose]
                                               run an experiment; see docs/experiments.md
  wingspar-rehearse --help

Exit codes:
  0 done, every promise and bound held
  1 a promise or bound was broken, or something failed
  2 wrong usage, or a file is wrong

Examples:
  wingspar-rehearse demo
  wingspar-rehearse run crates/rehearse/experiments/tegid.toml --html tegid.html --json tegid.json
";
