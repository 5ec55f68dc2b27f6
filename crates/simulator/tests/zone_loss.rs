//! The loss of a zone leaves a majority: voters stand in zones of their own where there are enough.

use wingspar_simulator::{Preset, soak};

#[test]
fn a_lost_zone_is_over_within_four_seconds() {
    let report = soak(Preset::ZoneLoss, 0..12, 2);
    assert!(report.is_clean(), "{report}");
}
