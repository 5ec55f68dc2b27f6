//! `soak`, `replay` and `placement`: runs in virtual time.

use std::time::Duration;

use pico_args::Arguments;
use wingspar_placement::compare::{
    Costs, HEADS, caroni, caroni_policy, table, tegid, tegid_policy,
};
use wingspar_simulator::{Preset, replay as replay_seed, soak as soak_seeds};

use super::{CommandError, nothing_left};

/// Seeds played when no number is given.
const DEFAULT_SEEDS: u64 = 20;
/// Time for which a key cannot be served in a planned hand-over, in the comparison of placements.
const HAND_OVER: Duration = Duration::from_millis(100);
/// Time for which a key cannot be served after a loss, in the comparison of placements: the budget.
const LOSS: Duration = Duration::from_secs(4);

/// Plays many seeds.
pub(super) fn soak(mut arguments: Arguments) -> Result<(), CommandError> {
    let seeds: u64 = arguments
        .opt_value_from_str("--seeds")?
        .unwrap_or(DEFAULT_SEEDS);
    let from: u64 = arguments.opt_value_from_str("--from")?.unwrap_or(1);
    let preset = scenario(&mut arguments)?;
    let threads: Option<usize> = arguments.opt_value_from_str("--threads")?;
    nothing_left(arguments)?;
    let all = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let end = from.saturating_add(seeds);
    let report = soak_seeds(preset, from..end, threads.unwrap_or(all));
    print!("{report}");
    match report.is_clean() {
        true => Ok(()),
        false => Err(CommandError::Broken),
    }
}

/// Plays one seed.
pub(super) fn replay(mut arguments: Arguments) -> Result<(), CommandError> {
    let seed: u64 = arguments.value_from_str("--seed")?;
    let preset = scenario(&mut arguments)?;
    nothing_left(arguments)?;
    let report = replay_seed(preset, seed);
    println!("{report}");
    match report.failure {
        None => Ok(()),
        Some(_) => Err(CommandError::Broken),
    }
}

fn scenario(arguments: &mut Arguments) -> Result<Preset, CommandError> {
    let name: Option<String> = arguments.opt_value_from_str("--scenario")?;
    let name = name.unwrap_or_else(|| "mix".to_owned());
    let parsed = name.parse::<Preset>();
    parsed.map_err(|_| CommandError::Usage(format!("unknown scenario {name:?}")))
}

/// Compares ways to place keys.
pub(super) fn placement(mut arguments: Arguments) -> Result<(), CommandError> {
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    nothing_left(arguments)?;
    let costs = Costs {
        hand_over: HAND_OVER,
        loss: LOSS,
    };
    let samples = [
        (tegid(seed), tegid_policy()),
        (caroni(seed), caroni_policy()),
    ];
    for (workload, policy) in samples {
        println!(
            "\n{}, seed {seed}\n\n{HEADS}\n|---|---|---|---|---|---|",
            workload.name
        );
        for row in table(&workload, &policy, costs) {
            println!("{row}");
        }
    }
    Ok(())
}
