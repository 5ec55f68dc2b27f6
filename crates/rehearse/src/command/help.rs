//! The page of help.

/// Printed for `--help`.
pub(super) const HELP: &str = "\
Rehearses wingspar: whole deployments on loopback under load and faults.

Usage:
  wingspar-rehearse demo [--short] [--html FILE] [--save FILE]
                                               wingspar sidecar processes in two regions under load and faults,
                                               in under a minute
  wingspar-rehearse demo --check FILE [--html FILE]
                                               judge again what a demo has saved
  wingspar-rehearse run FILE [--json FILE] [--html FILE] [--seed N] [--verbose]
                                               run an experiment with wingspar node; see docs/experiments.md
  wingspar-rehearse compare A.json B.json      figures of two runs side by side
  wingspar-rehearse bench                      ratios with bounds, measured in one run
  wingspar-rehearse soak [--seeds N] [--from S] [--scenario NAME] [--threads N]
                                               play seeds in the simulator
  wingspar-rehearse replay --seed N [--scenario NAME]
                                               play one seed, printing each change of state
  wingspar-rehearse placement [--seed N]       compare ways to place keys, in virtual time
  wingspar-rehearse platform --listen IP:PORT  the platform's stand-in as a process
  wingspar-rehearse backend --listen IP:PORT [--admin IP:PORT] [--name NAME] [--slots N] [--work-ms N]
                                               a back end's stand-in as a process
  wingspar-rehearse --help

Exit codes:
  0 done, every promise and bound held
  1 a promise or bound was broken, or something failed
  2 wrong usage, or a file is wrong

Examples:
  wingspar-rehearse demo
  wingspar-rehearse run crates/rehearse/experiments/tegid.toml --html tegid.html --json tegid.json
  wingspar-rehearse compare before.json after.json
  wingspar-rehearse soak --seeds 200 --from 1
  wingspar-rehearse replay --seed 17 --scenario zone-loss
";
