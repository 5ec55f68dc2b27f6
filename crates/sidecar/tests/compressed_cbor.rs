//! Large values for other nodes are compressed, and invalid bytes are rejected.

use std::io::Write;

use flate2::Compression;
use flate2::write::DeflateEncoder;
use wingspar_ownership::{Epoch, MemberView, NodeName, Table, TargetState};
use wingspar_sidecar::compressed_cbor::{compress, compress_smaller, decompress};

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
fn a_large_table_is_compressed_and_restored() {
    let table = table(300);
    let mut plain = Vec::new();
    ciborium::into_writer(&table, &mut plain).expect("an encoded value");
    let compressed = compress(&table);
    assert!(
        compressed.len() * 5 < plain.len(),
        "{} of {}",
        compressed.len(),
        plain.len()
    );
    assert_eq!(decompress::<Table>(&compressed), Some(table.clone()));
    let smaller = compress_smaller(&table);
    assert!(
        smaller.len() < compressed.len(),
        "{} of {}",
        smaller.len(),
        compressed.len()
    );
    assert_eq!(decompress::<Table>(&smaller), Some(table));
}

#[test]
fn invalid_bytes_are_rejected() {
    let compressed = compress(&table(20));
    assert_eq!(
        decompress::<Table>(&compressed[..compressed.len() / 2]),
        None
    );
    assert_eq!(decompress::<Table>(b"neither deflated nor a table"), None);
    assert_eq!(decompress::<Table>(b""), None);
}

/// Peak resident memory of the process, in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|number| number.parse::<usize>().ok())
        .expect("a number")
        * 1024
}

#[test]
fn a_decompression_bomb_uses_little_memory() {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    ciborium::into_writer(&table(20), &mut encoder).expect("an encoded value");
    let zeros = vec![0; 1 << 20];
    for _ in 0..60 {
        encoder.write_all(&zeros).expect("an encoded value");
    }
    let bytes = encoder.finish().expect("an encoded value");
    assert!(bytes.len() < 1 << 20);
    let before = peak_memory();
    assert_eq!(decompress::<Table>(&bytes), Some(table(20)));
    // The kernel updates the figure in batches, so that the peak may seem to fall.
    let more = peak_memory().saturating_sub(before);
    assert!(more < 4 << 20, "{more} bytes");
}

/// Guards against a short body of a faulty node that decodes to a value which fills the memory. The bound is the share of
/// buffers in the memory of the smallest class of machines.
#[test]
fn a_short_body_does_not_decode_to_a_large_value() {
    const MOST: usize = 32_000_000;
    let mut names = vec![0x60; 8 << 20];
    names[0] = 0x9f;
    names.push(0xff);
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&names).expect("an encoded value");
    let bytes = encoder.finish().expect("an encoded value");
    assert!(bytes.len() < 1 << 20);
    let before = peak_memory();
    let decoded = decompress::<Vec<NodeName>>(&bytes);
    let more = peak_memory().saturating_sub(before);
    assert!(
        more < MOST,
        "{more} bytes for {} names of {} bytes",
        decoded.map_or(0, |names| names.len()),
        bytes.len()
    );
}
