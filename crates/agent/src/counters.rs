//! Counters of an agent, for telemetry.

macro_rules! counters {
    ($($(#[$meta:meta])* $name:ident,)*) => {
        /// Counts since the process began.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct Counters {
            $($(#[$meta])* pub $name: u64,)*
        }

        impl Counters {
            /// Names and values, in a fixed order.
            pub fn entries(&self) -> impl Iterator<Item = (&'static str, u64)> + use<> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }
        }
    };
}

counters! {
    /// Renewals sent.
    renewals_sent,
    /// Renewals granted.
    renewals_granted,
    /// Sessions that ended because the lease ran out.
    leases_lapsed,
    /// Sessions ended by the leader.
    sessions_ended,
    /// Requests running when a lease ran out; each is cancelled.
    in_flight_at_lapse,
    /// Messages ignored as old, foreign or malformed.
    messages_ignored,
    /// Requests that asked for admission.
    admissions,
    /// Requests queued.
    queued,
    /// Requests cleared to be sent to a back end.
    started,
    /// Requests refused as not run.
    refused,
    /// Requests refused after they had been admitted, right before start.
    refused_at_start,
    /// Requests refused since slots and queue were full.
    overloaded,
    /// Requests answered `unknown` without being run.
    answered_unknown,
    /// Requests answered from memory.
    replayed,
    /// Requests refused for want of room to remember them.
    memory_full,
    /// Requests that ended as ran.
    ran,
    /// Requests that ended as not run.
    not_run,
    /// Requests that ended as unknown.
    unknown,
    /// Slices given up in a planned hand-over.
    slices_released,
    /// Hand-overs whose remembered requests could not be moved.
    remembered_lost,
    /// Remembered requests taken in from other agents.
    remembered_taken_in,
}
