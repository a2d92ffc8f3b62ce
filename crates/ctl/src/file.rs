//! Size-limited reads and atomic writes of files.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use anyhow::Context;

use crate::failure::Failure;

/// Reads a file of at most `limit` bytes.
///
/// If the size isn't known beforehand (a pipe, or a file that grows), up to one byte beyond the
/// limit is read, so that whoever parses the bytes can detect that they are too many.
pub(crate) fn read(path: &Path, limit: usize) -> Result<Vec<u8>, Failure> {
    try_read(path, limit)
        .with_context(|| path.display().to_string())
        .map_err(Failure::bad_input)
}

fn try_read(path: &Path, limit: usize) -> anyhow::Result<Vec<u8>> {
    let file = File::open(path)?;
    let size = file.metadata()?.len();
    let max_bytes = u64::try_from(limit).unwrap_or(u64::MAX);
    anyhow::ensure!(
        size <= max_bytes,
        "it has {size} bytes; allowed: at most {limit}"
    );
    let mut bytes = Vec::new();
    file.take(max_bytes.saturating_add(1))
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Writes a file atomically: to a temporary file in the same directory, which is then renamed.
pub(crate) fn write(path: &Path, bytes: &[u8]) -> Result<(), Failure> {
    let temporary = temporary_name(path);
    let written = write_new(&temporary, bytes).and_then(|()| fs::rename(&temporary, path));
    if written.is_err() {
        // The temporary file may not exist; the first error gives the cause.
        let _ = fs::remove_file(&temporary);
    }
    Ok(written.with_context(|| path.display().to_string())?)
}

fn write_new(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn temporary_name(path: &Path) -> PathBuf {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    path.with_file_name(format!(".{name}.{}.tmp", std::process::id()))
}
