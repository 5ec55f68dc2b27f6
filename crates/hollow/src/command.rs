//! The command line `hollow ...` of the rehearsal kit.

use std::ffi::OsString;
use std::path::Path;

use crate::ramp::Size;
use crate::{memory, ramp, sizes, wire_leader};

/// Everything was done.
const SUCCESS: u8 = 0;
/// Something failed on the way.
const FAILURE: u8 = 1;
/// The words were not understood.
const USAGE: u8 = 2;

const HELP: &str = "\
usage: wingspar-rehearse hollow COMMAND

  ramp [JSON-FILE [ROUTERS [SIZE...]]]
                       hollow nodes at rising sizes: messages, bytes, processor time, lines;
                       by default 4 routers and 50 100 200 400 800 1600 agents; a size is
                       AGENTS or AGENTSxSLICES, by default 64 slices an agent
  sizes                encoded sizes and processor time of tables, configurations, snapshots
  memory [PART COUNT]  resident memory of one part; without a part, of all, each in a process
                       of its own
  leader SECONDS DRAIN-MS SIZE...
                       a leader behind real sockets: processor time of its thread
  leader-batched SECONDS DRAIN-MS SIZE...
                       the same with a loop that takes all waiting messages in one turn
";

/// Sizes of the ramp when none are given.
const SIZES: [usize; 6] = [50, 100, 200, 400, 800, 1_600];
/// Slices of an agent when none are given.
const SLICES_PER_TARGET: u32 = 64;
/// Routers of the ramp when none are given.
const ROUTERS: usize = 4;

fn all_sizes() -> Vec<Size> {
    let size = |agents| Size {
        agents,
        slices_per_target: SLICES_PER_TARGET,
    };
    SIZES.into_iter().map(size).collect()
}

/// Runs the command line; `args` are the words after `hollow`. Returns the exit code.
pub fn run(args: Vec<OsString>) -> u8 {
    let words: Vec<String> = args
        .into_iter()
        .map(|word| word.to_string_lossy().into_owned())
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["ramp", rest @ ..] => run_ramp(rest),
        ["sizes"] => {
            sizes::report();
            SUCCESS
        }
        ["memory"] => report(memory::report_all()),
        ["memory", part, count] => match count.parse() {
            Ok(count) => report(memory::report_part(part, count)),
            Err(_) => usage(),
        },
        ["leader", seconds, drain, agents @ ..] => run_leader(seconds, drain, agents, false),
        ["leader-batched", seconds, drain, agents @ ..] => run_leader(seconds, drain, agents, true),
        _ => usage(),
    }
}

fn usage() -> u8 {
    eprint!("{HELP}");
    USAGE
}

fn report(result: Result<(), String>) -> u8 {
    match result {
        Ok(()) => SUCCESS,
        Err(mistake) => {
            eprintln!("{mistake}");
            FAILURE
        }
    }
}

/// Reads `AGENTS` or `AGENTSxSLICES`.
fn size(word: &str) -> Option<Size> {
    let (agents, slices) = match word.split_once('x') {
        Some((agents, slices)) => (agents, slices.parse().ok()?),
        None => (word, SLICES_PER_TARGET),
    };
    let agents = agents.parse().ok()?;
    Some(Size {
        agents,
        slices_per_target: slices,
    })
}

fn sizes(words: &[&str]) -> Option<Vec<Size>> {
    words.iter().map(|word| size(word)).collect()
}

fn run_ramp(words: &[&str]) -> u8 {
    let routers = words.get(1).map_or(Some(ROUTERS), |word| word.parse().ok());
    let given = sizes(words.get(2..).unwrap_or_default());
    let (Some(routers), Some(given)) = (routers, given) else {
        return usage();
    };
    let sizes = if given.is_empty() { all_sizes() } else { given };
    let done = |point: &crate::PointReport| eprintln!("{} agents done", point.agents);
    let report = ramp::ramp(&sizes, routers, done);
    print!("{}", report.table());
    let Some(file) = words.first() else {
        return SUCCESS;
    };
    let written = serde_json::to_vec_pretty(&report)
        .map_err(|error| error.to_string())
        .and_then(|json| std::fs::write(Path::new(file), json).map_err(|error| error.to_string()));
    self::report(written.map_err(|error| format!("{file}: {error}")))
}

fn run_leader(seconds: &str, drain: &str, agents: &[&str], batched: bool) -> u8 {
    let (Ok(seconds), Ok(drain_ms), Some(agents)) = (seconds.parse(), drain.parse(), sizes(agents))
    else {
        return usage();
    };
    let terms = wire_leader::Terms {
        seconds,
        drain_ms,
        batched,
    };
    for size in agents {
        if let Err(error) = wire_leader::report(terms, size) {
            return report(Err(error));
        }
    }
    SUCCESS
}
