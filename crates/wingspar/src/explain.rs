//! `wingspar explain`: what became of one request, from the log files of several nodes.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use wingspar_explain::{Line, Story};

/// No line tells of the request, or a file can't be read.
const NOT_FOUND: u8 = 1;

/// Tells the story of the request whose id comes first, from the files that follow; nothing if words are missing.
pub fn run(words: &[OsString]) -> Option<ExitCode> {
    let (id, files) = words.split_first()?;
    let id = id.to_str().filter(|id| !id.is_empty())?;
    if files.is_empty() {
        return None;
    }
    let mut lines = Vec::new();
    for file in files {
        let file = PathBuf::from(file);
        match read(&file) {
            Ok(read) => lines.extend(read),
            Err(error) => {
                eprintln!("error: {}: {error}", file.display());
                return Some(ExitCode::from(NOT_FOUND));
            }
        }
    }
    let story = Story::of(id, &lines);
    print!("{story}");
    Some(if story.is_empty() {
        ExitCode::from(NOT_FOUND)
    } else {
        ExitCode::SUCCESS
    })
}

fn read(file: &PathBuf) -> io::Result<Vec<Line>> {
    // Lines of other programs may be in other encodings.
    let bytes = fs::read(file)?;
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter_map(Line::parse).collect())
}
