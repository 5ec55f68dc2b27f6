//! Starts requests when they are due, and repeats deposits as a careful caller does.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::caller::Caller;
use super::record::{Outcome, Record};
use super::traffic::{Call, RequestKind, TrafficMix};

/// Pause before a repeat when the answer doesn't name one.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause before a repeat.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// How long and how stubbornly to ask.
#[derive(Debug, Clone, Copy)]
pub struct DriverSettings {
    /// How long requests arrive.
    pub duration: Duration,
    /// Attempts that a caller makes of one deposit while it doesn't know that it ran.
    pub attempts: u32,
}

/// Drives the load.
pub struct Driver {
    caller: Arc<Caller>,
    mix: TrafficMix,
    settings: DriverSettings,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Driver {
    /// A driver whose records appear in `records` as requests end.
    #[must_use]
    pub fn new(
        caller: Caller,
        mix: TrafficMix,
        settings: DriverSettings,
        records: Arc<Mutex<Vec<Record>>>,
    ) -> Self {
        Self {
            caller: Arc::new(caller),
            mix,
            settings,
            records,
        }
    }

    /// Runs until the last request has ended.
    pub async fn run(mut self, start: Instant) {
        let end = start + self.settings.duration;
        let mut due = start;
        let mut running = JoinSet::new();
        loop {
            due += Duration::from_secs_f64(self.mix.pause());
            if due >= end {
                break;
            }
            sleep_until(due).await;
            let call = self.mix.draw();
            let caller = Arc::clone(&self.caller);
            let records = Arc::clone(&self.records);
            let attempts = self.settings.attempts;
            running.spawn(make_call(caller, call, due, attempts, records));
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
    }
}

async fn make_call(
    caller: Arc<Caller>,
    call: Call,
    due: Instant,
    attempts: u32,
    records: Arc<Mutex<Vec<Record>>>,
) {
    let attempts = match call.kind {
        RequestKind::Deposit => attempts.max(1),
        _ => 1,
    };
    let mut due = due;
    for attempt in 1..=attempts {
        let record = caller.attempt(&call, attempt, due).await;
        let done = record.outcome == Outcome::Ran;
        let pause = record.retry_after_ms.map(Duration::from_millis);
        keep(&records, record);
        if done || attempt == attempts {
            return;
        }
        due = Instant::now() + pause.unwrap_or(REPEAT_PAUSE).min(LONGEST_PAUSE);
        sleep_until(due).await;
    }
}

fn keep(records: &Mutex<Vec<Record>>, record: Record) {
    let mut all = records.lock().unwrap_or_else(PoisonError::into_inner);
    all.push(record);
}
