//! What targets held and for how long, and whether two of them held the same keys.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::record::{KeyChange, KeyEvent, KeySpan};

/// How long after the acknowledgement of a life's first heartbeat grants may arrive that were sent before it.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// Keys that one life of a target held under one fence without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Number of the life.
    pub life: u32,
    /// The keys, and their fence.
    pub span: KeySpan,
    /// When it took them.
    pub since: Instant,
    /// When it let go of them, its hold ran out, or its life ended.
    pub until: Instant,
}

/// Keys that two targets held at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overlap {
    /// What one of them held.
    pub first: Holding,
    /// What the other held.
    pub second: Holding,
    /// The first of the keys.
    pub from: u64,
    /// The last of the keys.
    pub to: u64,
    /// From when both held them.
    pub since: Instant,
    /// For how long.
    pub lasted: Duration,
}

/// A grant under a fence that isn't above one under which another held the keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LowFence {
    /// When the grant was taken.
    pub at: Instant,
    /// The life that took it.
    pub life: u32,
    /// What was granted.
    pub granted: KeySpan,
    /// What the other target, or an earlier life, held.
    pub held: Holding,
}

/// What a target held, from its events in the order of time.
#[must_use]
pub fn holdings(events: &[KeyEvent]) -> Vec<Holding> {
    let mut open = Vec::<Holding>::new();
    let mut ended = Vec::new();
    for event in events {
        match event.change {
            KeyChange::Granted(span, until) => {
                let renewed = take_out(&mut open, &mut ended, event.at, span, true);
                let mut new = vec![span];
                for kept in &renewed {
                    new = outside(&new, kept.span);
                }
                open.extend(renewed.into_iter().map(|kept| Holding { until, ..kept }));
                open.extend(new.into_iter().map(|span| Holding {
                    life: event.life,
                    span,
                    since: event.at,
                    until,
                }));
            }
            KeyChange::Released(from, to) => {
                let span = KeySpan { from, to, fence: 0 };
                take_out(&mut open, &mut ended, event.at, span, false);
            }
            KeyChange::Acknowledged => {}
            KeyChange::Ended => {
                let all = open.drain(..);
                ended.extend(all.map(|holding| holding.ended_by(event.at)));
            }
        }
    }
    ended.extend(open);
    ended
}

/// Takes the keys of a span out of what is held. Returns what is held under the span's fence, if it `renews` that; the
/// rest has ended.
fn take_out(
    open: &mut Vec<Holding>,
    ended: &mut Vec<Holding>,
    at: Instant,
    span: KeySpan,
    renews: bool,
) -> Vec<Holding> {
    let mut renewed = Vec::new();
    let mut left = Vec::new();
    for holding in open.drain(..) {
        let part = |span| Holding { span, ..holding };
        left.extend(
            holding
                .span
                .outside(span.from, span.to)
                .into_iter()
                .map(part),
        );
        let Some(within) = holding.span.within(span.from, span.to).map(part) else {
            continue;
        };
        if renews && holding.span.fence == span.fence && at <= holding.until {
            renewed.push(within);
        } else {
            ended.push(within.ended_by(at));
        }
    }
    *open = left;
    renewed
}

fn outside(spans: &[KeySpan], cut: KeySpan) -> Vec<KeySpan> {
    spans
        .iter()
        .flat_map(|span| span.outside(cut.from, cut.to))
        .collect()
}

impl Holding {
    fn ended_by(self, at: Instant) -> Self {
        Self {
            until: self.until.min(at),
            ..self
        }
    }

    fn shares_keys_with(&self, span: KeySpan) -> bool {
        self.span.within(span.from, span.to).is_some()
    }
}

/// The keys that two of the targets held at the same time for longer than is allowed, whatever fences they had.
#[must_use]
pub fn overlaps(targets: &[Vec<Holding>], allowed: Duration) -> Vec<Overlap> {
    let mut found = Vec::new();
    for (index, first) in targets.iter().enumerate() {
        for second in &targets[index + 1..] {
            for (from, to) in stretches(first, second) {
                let first = held_without_break(first, from);
                let second = held_without_break(second, from);
                found.extend(overlaps_of(&first, &second, (from, to), allowed));
            }
        }
    }
    found
}

/// Ranges within which each key was held as the others were.
fn stretches(first: &[Holding], second: &[Holding]) -> Vec<(u64, u64)> {
    let all = first.iter().chain(second);
    let starts = all
        .flat_map(|holding| [holding.span.from, holding.span.to + 1])
        .collect::<BTreeSet<_>>();
    let starts = starts.into_iter().collect::<Vec<_>>();
    starts
        .windows(2)
        .map(|pair| (pair[0], pair[1] - 1))
        .collect()
}

/// When a target held a key; holdings that follow each other without a break are one.
fn held_without_break(holdings: &[Holding], key: u64) -> Vec<Holding> {
    let mut of_key = holdings
        .iter()
        .filter(|holding| holding.span.from <= key && key <= holding.span.to)
        .copied()
        .collect::<Vec<_>>();
    of_key.sort_by_key(|holding| holding.since);
    let mut joined = Vec::<Holding>::new();
    for holding in of_key {
        match joined.last_mut() {
            Some(last) if holding.since <= last.until => last.until = last.until.max(holding.until),
            _ => joined.push(holding),
        }
    }
    joined
}

fn overlaps_of(
    first: &[Holding],
    second: &[Holding],
    (from, to): (u64, u64),
    allowed: Duration,
) -> Vec<Overlap> {
    let mut found = Vec::new();
    for one in first {
        for other in second {
            let since = one.since.max(other.since);
            let lasted = one.until.min(other.until).saturating_duration_since(since);
            if lasted > allowed {
                found.push(Overlap {
                    first: *one,
                    second: *other,
                    from,
                    to,
                    since,
                    lasted,
                });
            }
        }
    }
    found
}

/// Keys that a target took under a fence that isn't above every fence under which another target had held them before.
#[must_use]
pub fn low_fences(targets: &[Vec<Holding>]) -> Vec<LowFence> {
    let mut found = Vec::new();
    for (index, taken) in targets.iter().enumerate() {
        let others = targets.iter().enumerate();
        let others = others
            .filter(|(other, _)| *other != index)
            .flat_map(|(_, held)| held)
            .collect::<Vec<_>>();
        for taking in taken {
            let outranked = others.iter().find(|held| {
                held.since < taking.since
                    && held.span.fence >= taking.span.fence
                    && held.shares_keys_with(taking.span)
            });
            found.extend(outranked.map(|held| LowFence {
                at: taking.since,
                life: taking.life,
                granted: taking.span,
                held: **held,
            }));
        }
    }
    found
}

/// Grants, first ones and renewals, that a life of a target took under a fence that isn't above every fence of its
/// earlier lives. Those count that came after the acknowledgement of a heartbeat of that life: until then, nobody can
/// know of it.
#[must_use]
pub fn fences_of_earlier_lives(events: &[KeyEvent]) -> Vec<LowFence> {
    let held = holdings(events);
    let mut found = Vec::new();
    let mut known_since = None;
    for event in events {
        match event.change {
            KeyChange::Acknowledged => known_since = Some(event.at),
            KeyChange::Ended => known_since = None,
            KeyChange::Granted(span, _)
                if known_since.is_some_and(|since| event.at > since + IN_FLIGHT) =>
            {
                let outranked = held.iter().find(|held| {
                    held.life < event.life
                        && held.span.fence >= span.fence
                        && held.shares_keys_with(span)
                });
                found.extend(outranked.map(|held| LowFence {
                    at: event.at,
                    life: event.life,
                    granted: span,
                    held: *held,
                }));
            }
            KeyChange::Granted(..) | KeyChange::Released(..) => {}
        }
    }
    found
}
