//! Generation of committed code from schemas, in Rust alone: no system package is needed.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Schema of the operator API, below the folder of `crates/api`.
const SCHEMA: &str = "wingspar/operator/v1/operator.proto";

/// Name of the generated file.
pub const GENERATED: &str = "wingspar.operator.v1.rs";

/// Why code could not be generated.
#[derive(Debug, Error)]
pub enum GenerateError {
    /// The schema is wrong.
    #[error("schema: {0}")]
    Schema(#[from] protox::Error),
    /// A file could not be read or written.
    #[error("file: {0}")]
    File(#[from] io::Error),
}

/// Folder of `crates/api`.
pub fn api_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../api")
}

/// The committed generated file.
pub fn committed() -> PathBuf {
    api_folder().join("src/generated").join(GENERATED)
}

/// Generates the operator API's code into a folder, which is created when absent.
pub fn generate(folder: &Path) -> Result<(), GenerateError> {
    fs::create_dir_all(folder)?;
    let descriptors = protox::compile([SCHEMA], [api_folder().join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(folder)
        .btree_map(".")
        .emit_rerun_if_changed(false)
        .compile_fds(descriptors)?;
    Ok(())
}
