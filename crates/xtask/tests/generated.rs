//! The committed generated code belongs to the committed schema.

use std::fs;
use std::path::Path;

#[test]
fn committed_code_is_current() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    xtask::generate(&folder).unwrap();
    let fresh = fs::read_to_string(folder.join(xtask::GENERATED)).unwrap();
    let committed = fs::read_to_string(xtask::committed()).unwrap();
    assert!(
        fresh == committed,
        "run `cargo run -p xtask -- generate` and commit the result"
    );
}
