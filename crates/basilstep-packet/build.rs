//! Puts a digest of the sources into the programs, so that a log line tells which build wrote it.

use std::{
    env, fs,
    hash::{DefaultHasher, Hasher},
    io,
    path::{Path, PathBuf},
};

/// The directories whose sources the programs are built from, from this one.
const SOURCES: [&str; 4] = [
    "src",
    "../basilstep-core/src",
    "../basilstep-node/src",
    "../../platform/src",
];

fn main() -> io::Result<()> {
    let root = PathBuf::from(env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default());
    let mut hasher = DefaultHasher::new();
    for directory in SOURCES {
        println!("cargo:rerun-if-changed={directory}");
        let mut files = Vec::new();
        list_files(&root.join(directory), &mut files)?;
        files.sort();
        for file in files {
            let name = file.strip_prefix(&root).unwrap_or(&file);
            hasher.write(name.to_string_lossy().as_bytes());
            hasher.write(&fs::read(&file)?);
        }
    }
    println!("cargo:rustc-env=BASILSTEP_SOURCES={:016x}", hasher.finish());
    Ok(())
}

fn list_files(directory: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.is_dir() {
            list_files(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}
