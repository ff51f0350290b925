//! The operators' tool.

use std::{fs, io::Write, path::Path};

use crate::{
    coordination::{check, publish},
    error,
    protocol::kv,
    state::{config, object_set},
    transport::store,
};

mod command;
pub use command::{Command, parse};

/// The tool did what it was asked.
pub const EXIT_OK: u8 = 0;
/// The tool failed, for example because the store cannot be reached.
pub const EXIT_FAILED: u8 = 1;
/// The command line is wrong.
pub const EXIT_USAGE: u8 = 2;
/// The set of objects has errors.
pub const EXIT_FINDINGS: u8 = 3;
/// Another publication came first.
pub const EXIT_CONFLICT: u8 = 4;

/// Runs one command and returns the exit code.
pub async fn run(command: &Command, out: &mut impl Write) -> u8 {
    match try_run(command, out).await {
        Ok(code) => code,
        Err(err) => {
            eprintln!("fulmarctl: {err}.");
            match err {
                error::Error::Conflict { .. } => EXIT_CONFLICT,
                error::Error::Objects { .. } => EXIT_FINDINGS,
                _ => EXIT_FAILED,
            }
        }
    }
}

async fn try_run(command: &Command, out: &mut impl Write) -> Result<u8, error::Error> {
    match command {
        Command::Print(text) => write!(out, "{text}")?,
        Command::Check { dir } => {
            let set = read_dir(dir)?;
            writeln!(out, "{}", summary(&set))?;
        }
        Command::Publish { dir, store, expect } => {
            let set = read_dir(dir)?;
            let version = publish_set(store, &set, *expect).await?;
            writeln!(out, "Version {version} is published.")?;
        }
        Command::Get { store } => {
            let (head, set) = read_published(store).await?;
            writeln!(out, "Version {}.", head.version)?;
            writeln!(
                out,
                "{}",
                serde_json::to_string_pretty(&set).unwrap_or_default()
            )?;
        }
    }
    Ok(EXIT_OK)
}

fn summary(set: &object_set::ObjectSet) -> String {
    let [workspaces, budgets] = [set.workspaces.len(), set.budgets.len()];
    let [routes, pools] = [set.routes.len(), set.pools.len()];
    format!(
        "{workspaces} workspaces, {budgets} budgets, {routes} routes, {pools} pools: no errors."
    )
}

/// Reads and checks every TOML file of a folder.
///
/// # Errors
///
/// [`error::Error::File`] when a file cannot be read, [`error::Error::Objects`] when the set has
/// errors, which go to standard error with file and line.
pub fn read_dir(dir: &Path) -> Result<object_set::ObjectSet, error::Error> {
    let file_error = |path: &Path| {
        let path = path.display().to_string();
        move |source| error::Error::File { path, source }
    };
    let mut checker = check::Checker::default();
    let entries = fs::read_dir(dir).map_err(file_error(dir))?;
    let mut paths = Vec::new();
    for entry in entries {
        paths.push(entry.map_err(file_error(dir))?.path());
    }
    paths.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    paths.sort();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(file_error(&path))?;
        checker.add(&path.display().to_string(), &text);
    }
    checker.finish().map_err(|findings| {
        for finding in &findings {
            eprintln!("{finding}");
        }
        error::Error::Objects {
            count: findings.len(),
        }
    })
}

async fn read_head(store: &store::Store) -> Result<(config::Head, u64), error::Error> {
    match store.get(store::HEAD_KEY).await? {
        Some(found) => Ok((kv::decode(&found)?, found.mod_revision.0)),
        None => Ok((config::Head::default(), 0)),
    }
}

/// Reads the published set.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached or lacks a chunk.
pub async fn read_published(
    store: &store::Store,
) -> Result<(config::Head, object_set::ObjectSet), error::Error> {
    let (head, _) = read_head(store).await?;
    let keys: Vec<_> = head
        .chunks
        .values()
        .map(|digest| chunk_key(digest))
        .collect();
    let found = store.get_many(&keys).await?;
    let mut parts = Vec::new();
    for kv in found.values() {
        parts.push(kv::decode(kv)?);
    }
    Ok((head, publish::join(parts)))
}

fn chunk_key(digest: &str) -> String {
    format!("{}{digest}", store::CHUNK_PREFIX)
}

/// Publishes a set and returns its version.
///
/// # Errors
///
/// [`error::Error::Conflict`] when another publication came first.
pub async fn publish_set(
    store: &store::Store,
    set: &object_set::ObjectSet,
    expect: Option<u64>,
) -> Result<u64, error::Error> {
    let (head, revision) = read_head(store).await?;
    let expected = expect.unwrap_or(head.version);
    if head.version != expected {
        let found = head.version;
        return Err(error::Error::Conflict { expected, found });
    }
    let chunks = publish::divide(set)?;
    for (digest, content) in &chunks.contents {
        store.put_if(&chunk_key(digest), content, 0, 0).await?;
    }
    let next = config::Head {
        version: expected + 1,
        publish_id: format!("{:032x}", fastrand::u128(..)),
        chunks: chunks.digests,
    };
    match store.put_if(store::HEAD_KEY, &next, revision, 0).await? {
        store::Put::Written(_) => Ok(next.version),
        store::Put::Conflict(_) => {
            let found = read_head(store).await?.0.version;
            Err(error::Error::Conflict { expected, found })
        }
    }
}
