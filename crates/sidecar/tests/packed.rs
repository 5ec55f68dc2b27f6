//! Large values for other nodes are small on the way, and broken ones are noticed.

use wingspar_ownership::{Epoch, MemberView, NodeName, Table, TargetState};
use wingspar_sidecar::packed::{pack, unpack};

fn table(members: u16) -> Table {
    let member = |number: u16| MemberView {
        node: NodeName::from(format!("node-{number}").as_str()),
        zone: "a".to_owned(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7620).into(),
        target: Some(TargetState {
            id: format!("i-{number:08x}"),
            service: "stock".to_owned(),
            accepting: true,
            slots: 13,
            starts_per_s: None,
        }),
        leaving: false,
        quota_shards: Vec::new(),
    };
    Table {
        epoch: Epoch(3),
        version: 7,
        members: (0..members).map(member).collect(),
        services: Vec::new(),
    }
}

#[test]
fn a_table_of_many_nodes_comes_back_and_takes_little_on_the_way() {
    let table = table(300);
    let mut plain = Vec::new();
    ciborium::into_writer(&table, &mut plain).expect("it can be written");
    let packed = pack(&table);
    assert!(
        packed.len() * 5 < plain.len(),
        "{} of {}",
        packed.len(),
        plain.len()
    );
    assert_eq!(unpack::<Table>(&packed), Some(table));
}

#[test]
fn broken_bytes_are_no_table() {
    let packed = pack(&table(20));
    assert_eq!(unpack::<Table>(&packed[..packed.len() / 2]), None);
    assert_eq!(unpack::<Table>(b"neither deflated nor a table"), None);
    assert_eq!(unpack::<Table>(b""), None);
}
