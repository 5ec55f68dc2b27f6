//! Fault injection.

use super::*;

impl World {
    pub(super) fn schedule_faults(&mut self) {
        if self.options.store_restores {
            self.schedule_restores();
        }
        match self.options.faults {
            FaultPlan::Random => self.after(FAULT_PERIOD_MS.0, Event::Fault),
            FaultPlan::OneOwnerLost => self.schedule(FAULT_PERIOD_MS.0, |world| {
                let leader = world.leader();
                let index = (0..NODES)
                    .find(|index| Some(*index) != leader)
                    .expect("others");
                world.lost = Some(index);
                world.kill(index);
                world.machines[index].target.up = false;
                world.machines[index].gone = true;
            }),
            FaultPlan::LeaderAndOwnerLost => self.schedule(FAULT_PERIOD_MS.0, |world| {
                let leader = world.leader().expect("a leader by now");
                for index in [leader, (leader + 1) % NODES] {
                    world.kill(index);
                    world.machines[index].target.up = false;
                    world.machines[index].gone = true;
                }
            }),
            FaultPlan::LeaderLost => self.schedule(FAULT_PERIOD_MS.0, |world| {
                let index = world.leader().expect("a leader by now");
                world.lost = Some(index);
                world.kill(index);
                world.schedule(1_000, move |world| world.start(index, false));
            }),
            FaultPlan::LeaderGoneAndStoreDown { for_ms } => {
                self.schedule(FAULT_PERIOD_MS.0, move |world| {
                    world.store_down_until = world.now + for_ms;
                    let index = world.leader().expect("a leader by now");
                    world.kill(index);
                    world.machines[index].target.up = false;
                    world.machines[index].gone = true;
                })
            }
            FaultPlan::StoreDown { for_ms } => self.schedule(FAULT_PERIOD_MS.0, move |world| {
                world.store_down_until = world.now + for_ms;
            }),
            FaultPlan::AllKilled | FaultPlan::AllKilledOneGone => {
                self.schedule(FAULT_PERIOD_MS.0, |world| {
                    if world.options.faults == FaultPlan::AllKilledOneGone {
                        let leader = world.leader();
                        let gone = (0..NODES)
                            .find(|index| Some(*index) != leader)
                            .expect("others");
                        world.machines[gone].gone = true;
                        world.machines[gone].target.up = false;
                    }
                    for index in 0..NODES {
                        world.kill(index);
                        let delay = world.rng.random_range(100..600);
                        world.schedule(delay, move |world| world.start(index, false));
                    }
                })
            }
        }
    }

    pub(super) fn schedule(&mut self, delay: u64, run: impl FnOnce(&mut World) + 'static) {
        self.after(delay, Event::Scheduled(Box::new(run)));
    }

    pub(super) fn inject_random_fault(&mut self) {
        let index = self.rng.random_range(0..NODES);
        let span = self.rng.random_range(300..6_000);
        self.trace(|| format!("fault near node {index} for {span} ms"));
        let kinds = if self.options.late_heartbeats { 15 } else { 11 };
        match self.rng.random_range(0..kinds) {
            0 => {
                // Partitions a node from all others, possibly in one direction only.
                let one_way = self.rng.random_bool(0.3);
                let pairs = (0..NODES)
                    .filter(|other| *other != index)
                    .flat_map(|other| [(index, other), (other, index)])
                    .filter(|pair| !one_way || pair.0 == index)
                    .collect::<Vec<_>>();
                self.cut(pairs, span);
            }
            1 => {
                let other = self.rng.random_range(0..NODES);
                self.cut(vec![(index, other), (other, index)], span);
            }
            2 => {
                // Splits the nodes into two halves.
                let pairs = (0..NODES)
                    .flat_map(|from| (0..NODES).map(move |to| (from, to)))
                    .filter(|(from, to)| (*from < NODES / 2) != (*to < NODES / 2))
                    .collect();
                self.cut(pairs, span);
            }
            3 => {
                self.machines[index].store_unreachable = true;
                self.schedule(span, move |world| {
                    world.machines[index].store_unreachable = false
                });
            }
            4 => self.store_down_until = self.now + span,
            5 | 6 => {
                let index = if self.rng.random_bool(0.5) {
                    self.leader().unwrap_or(index)
                } else {
                    index
                };
                self.kill(index);
                let delay = self.rng.random_range(100..2_500);
                self.schedule(delay, move |world| world.start(index, false));
            }
            7 => {
                self.end_target(index);
                let delay = self.rng.random_range(50..3_000);
                self.schedule(delay, move |world| world.new_target(index));
            }
            8 => {
                let index = if self.rng.random_bool(0.5) {
                    self.leader().unwrap_or(index)
                } else {
                    index
                };
                self.suspend(index, span);
            }
            9 => self.stop(index),
            10 => {
                for index in 0..NODES {
                    if self.rng.random_bool(0.6) {
                        self.kill(index);
                        let delay = self.rng.random_range(100..2_000);
                        self.schedule(delay, move |world| world.start(index, false));
                    }
                }
            }
            _ => self.restart_target_beside_change(index),
        }
    }

    /// Ends a target. The node may notice that by failed requests.
    fn end_target(&mut self, index: usize) {
        self.machines[index].target.up = false;
        if self.options.late_heartbeats && self.rng.random_bool(0.5) {
            self.machines[index].lives.is_unreachable = true;
        }
    }

    /// Lets a target start again quickly, once or twice, while another one stops accepting requests
    /// for a time, which changes the plan twice.
    fn restart_target_beside_change(&mut self, index: usize) {
        let mut delay = 0;
        for _ in 0..self.rng.random_range(1..=2) {
            self.schedule(delay, move |world| world.end_target(index));
            delay += self.rng.random_range(50..300);
            self.schedule(delay, move |world| world.new_target(index));
            delay += self.rng.random_range(20..1_500);
        }
        let other = self.rng.random_range(0..NODES);
        let from = self.rng.random_range(0..2_500);
        let span = self.rng.random_range(300..3_000);
        self.schedule(from, move |world| {
            let machine = &mut world.machines[other];
            machine.paused_until = machine.paused_until.max(world.now + span);
        });
    }

    fn suspend(&mut self, index: usize, span: u64) {
        let machine = &mut self.machines[index];
        let wakes_at = self.now + span;
        let asleep_until = machine.frozen_until.max(self.now);
        if wakes_at > asleep_until {
            machine
                .suspensions
                .push((wakes_at, wakes_at - asleep_until));
            machine.frozen_until = wakes_at;
        }
    }

    pub(super) fn cut(&mut self, pairs: Vec<(usize, usize)>, span: u64) {
        self.cuts.extend(pairs.iter().copied());
        self.schedule(span, move |world| {
            for pair in pairs {
                world.cuts.remove(&pair);
            }
        });
    }

    pub(super) fn new_target(&mut self, index: usize) {
        let number = self.rng.next_u32();
        self.machines[index].target = Target::new(format!("t{index}-{number}"));
        if !self.options.late_heartbeats {
            let life = self.machines[index].life;
            self.target_contacted(index, life);
        }
        self.begin_heartbeats(index);
    }
}
