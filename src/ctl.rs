//! The operators' tool.

use std::{fs, io::Write, path::Path};

use serde::Serialize;
use serde_json::json;

use crate::{
    coordination::{check, difference, orders},
    error,
    protocol::kv,
    state::{holder_record, object_set},
    transport::store,
};

mod command;
mod cut;
mod platform_view;
mod publication;
mod reach;
pub use command::{Action, Command, parse};
pub use platform_view::View;
pub use publication::{collect, publish_set, read_published};

/// The tool did what it was asked.
pub const EXIT_OK: u8 = 0;
/// The tool failed, and nothing was published.
pub const EXIT_FAILED: u8 = 1;
/// The command line is wrong.
pub const EXIT_USAGE: u8 = 2;
/// The set of objects has errors, or a total is below what is granted and spent.
pub const EXIT_FINDINGS: u8 = 3;
/// Another publication came first.
pub const EXIT_CONFLICT: u8 = 4;
/// It is not known whether the set was published.
pub const EXIT_UNKNOWN: u8 = 5;
/// The set was published, but not all routers run it yet.
pub const EXIT_LAGGING: u8 = 6;
/// The folder differs from the published set.
pub const EXIT_DIFFERS: u8 = 7;

/// Runs one command and returns the exit code.
pub async fn run(command: &Command, out: &mut impl Write) -> u8 {
    match try_run(command, out).await {
        Ok(code) => code,
        Err(err) => {
            eprintln!("fulmarctl: {err}.");
            exit_code(&err)
        }
    }
}

fn exit_code(err: &error::Error) -> u8 {
    match err {
        error::Error::VersionConflict { .. } => EXIT_CONFLICT,
        error::Error::InvalidObjects { .. } | error::Error::TotalTooLow { .. } => EXIT_FINDINGS,
        error::Error::UnknownOutcome { .. } => EXIT_UNKNOWN,
        error::Error::Argument { .. } => EXIT_USAGE,
        _ => EXIT_FAILED,
    }
}

async fn try_run(command: &Command, out: &mut impl Write) -> Result<u8, error::Error> {
    let json = command.json;
    match &command.action {
        Action::Print(text) => write!(out, "{text}")?,
        Action::Check { dir, store } => check(dir, store.as_ref(), json, out).await?,
        Action::Diff { dir, store } => return diff(dir, store, json, out).await,
        Action::Publish {
            dir,
            store,
            expect,
            wait,
        } => {
            let set = read_dir(dir)?;
            let version = publish(store, &set, *expect, json, out).await?;
            if let Some(reach) = wait {
                return wait_for(reach, version, json, out).await;
            }
        }
        Action::Get { store } => {
            let (head, set) = read_published(store).await?;
            if !json {
                writeln!(
                    out,
                    "Version {}, publication {}.",
                    head.version, head.publish_id
                )?;
            }
            print(out, &set)?;
        }
        Action::Status { store, reach } => status(store, reach, json, out).await?,
        Action::BudgetShow { name, store } => show_budget(store, name, json, out).await?,
        Action::TopUp { name, total, store } => {
            let (head, mut set) = read_published(store).await?;
            let Some(budget) = set.budgets.get_mut(name.as_str()) else {
                let message = format!("budget {name:?} does not exist");
                return Err(error::Error::Argument { message });
            };
            budget.prepaid_tokens = *total;
            publish(store, &set, Some(head.version), json, out).await?;
        }
        Action::Drain { vm, on, reach } => {
            reach.drain(vm, *on).await?;
            let state = if *on {
                "drains"
            } else {
                "takes new work again"
            };
            match json {
                true => print(out, &json!({ "vm": vm, "draining": on }))?,
                false => writeln!(out, "{vm} {state}.")?,
            }
        }
        Action::Order { store } => show_orders(store, json, out).await?,
        Action::Platform { view, store } => {
            let rows = platform_view::read(*view, *store).await?;
            match json {
                true => print(out, &rows)?,
                false => rows.iter().try_for_each(|row| writeln!(out, "{row}"))?,
            }
        }
    }
    Ok(EXIT_OK)
}

fn print(out: &mut impl Write, value: &impl Serialize) -> Result<(), error::Error> {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    Ok(writeln!(out, "{text}")?)
}

async fn check(
    dir: &Path,
    store: Option<&store::Store>,
    json: bool,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let mut checker = read_files(dir)?;
    if let Some(store) = store {
        checker.check_committed(&cut::read_committed(store).await?);
    }
    let set = finish(checker)?;
    let [workspaces, budgets] = [set.workspaces.len(), set.budgets.len()];
    let [routes, pools] = [set.routes.len(), set.pools.len()];
    if json {
        let counts = json!({ "workspaces": workspaces, "budgets": budgets, "routes": routes,
            "pools": pools });
        return print(out, &counts);
    }
    writeln!(
        out,
        "{workspaces} workspaces, {budgets} budgets, {routes} routes, {pools} pools: no errors."
    )?;
    Ok(())
}

async fn diff(
    dir: &Path,
    store: &store::Store,
    json: bool,
    out: &mut impl Write,
) -> Result<u8, error::Error> {
    let set = read_dir(dir)?;
    let (head, published) = read_published(store).await?;
    let found = difference::between(&published, &set);
    if json {
        print(
            out,
            &json!({ "version": head.version, "differences": found }),
        )?;
    } else {
        for difference in &found {
            writeln!(out, "{difference}")?;
        }
        writeln!(
            out,
            "{} objects differ from version {}.",
            found.len(),
            head.version
        )?;
    }
    Ok(if found.is_empty() {
        EXIT_OK
    } else {
        EXIT_DIFFERS
    })
}

async fn publish(
    store: &store::Store,
    set: &object_set::ObjectSet,
    expect: Option<u64>,
    json: bool,
    out: &mut impl Write,
) -> Result<u64, error::Error> {
    let published = publish_set(store, set, expect).await;
    if let Err(error::Error::VersionConflict { .. }) = &published {
        let (_, other) = read_published(store).await?;
        eprintln!("Objects that differ from the published ones:");
        for difference in difference::between(&other, set) {
            eprintln!("  {difference}");
        }
    }
    let version = published?;
    match json {
        true => print(out, &json!({ "published": version }))?,
        false => writeln!(out, "Version {version} is published.")?,
    }
    Ok(version)
}

async fn wait_for(
    reach: &reach::Reach,
    version: u64,
    json: bool,
    out: &mut impl Write,
) -> Result<u8, error::Error> {
    let status = reach.wait(version).await?;
    let all = status.routers.len();
    let done = all - status.lagging.len();
    if json {
        print(
            out,
            &json!({ "routers": all, "in_force": done, "lagging": status.lagging }),
        )?;
    } else {
        writeln!(out, "{done} of {all} routers run version {version}.")?;
        for name in &status.lagging {
            writeln!(out, "{name} does not.")?;
        }
    }
    Ok(if done == all { EXIT_OK } else { EXIT_LAGGING })
}

async fn status(
    store: &store::Store,
    reach: &reach::Reach,
    json: bool,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let (head, _) = publication::read_head(store).await?;
    let status = reach.status(head.version).await?;
    if json {
        return print(out, &status);
    }
    writeln!(out, "Version {} is published.", status.published)?;
    for router in &status.routers {
        match &router.error {
            Some(err) => writeln!(out, "router {}: {err}", router.name)?,
            None => writeln!(out, "router {}: version {}", router.name, router.version)?,
        }
    }
    for (agent, version) in &status.agents {
        writeln!(out, "agent {agent}: version {version}")?;
    }
    for name in &status.lagging {
        writeln!(out, "{name} lags.")?;
    }
    Ok(())
}

async fn show_budget(
    store: &store::Store,
    name: &str,
    json: bool,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let (_, set) = read_published(store).await?;
    let Some(budget) = set.budgets.get(name) else {
        let message = format!("budget {name:?} does not exist");
        return Err(error::Error::Argument { message });
    };
    let entry = cut::read_entry(store, name).await?.unwrap_or_default();
    let (records, _) = store.list(store::HOLDER_PREFIX).await?;
    let mut spent = entry.closed;
    let mut holders = Vec::new();
    for kv in &records {
        let record: holder_record::HolderRecord = kv::decode(kv)?;
        let share = entry.shares.get(&record.member.incarnation);
        let own = record.budgets.get(name).map_or(0, |own| own.spent);
        if let Some(share) = share {
            spent = spent.saturating_add_unsigned(own);
            let holder = record.member.name;
            holders.push(json!({ "router": holder, "granted": share.granted, "spent": own }));
        }
    }
    let (total, committed) = (budget.prepaid_tokens, entry.committed());
    if json {
        return print(
            out,
            &json!({ "name": name, "prepaid_tokens": total, "spent": spent,
                "committed": committed as i64, "holders": holders, "cap": entry.cap }),
        );
    }
    writeln!(out, "budget {name}: {total} tokens prepaid, {spent} spent,")?;
    writeln!(
        out,
        "{committed} spent or granted to {} routers.",
        entry.shares.len()
    )?;
    for holder in &holders {
        let router = holder["router"].as_str().unwrap_or_default();
        let granted = &holder["granted"];
        writeln!(
            out,
            "router {router}: granted {granted}, spent {}",
            holder["spent"]
        )?;
    }
    Ok(())
}

async fn show_orders(
    store: &store::Store,
    json: bool,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let (found, _) = store.list(store::ORDER_PREFIX).await?;
    let mut shown = Vec::new();
    for kv in &found {
        let key = String::from_utf8_lossy(&kv.key.0).into_owned();
        let pool = key.trim_start_matches(store::ORDER_PREFIX).to_owned();
        let coordinator: orders::Coordinator = kv::decode(kv)?;
        shown.push((pool, coordinator, kv.create_revision.0));
    }
    if json {
        let line = |(pool, coordinator, fencing): &(String, orders::Coordinator, u64)| json!({ "pool": pool, "coordinator": coordinator, "fencing": fencing });
        return print(out, &shown.iter().map(line).collect::<Vec<_>>());
    }
    for (pool, coordinator, fencing) in &shown {
        writeln!(
            out,
            "pool {pool}: {} coordinates as number {fencing}.",
            coordinator.name
        )?;
    }
    writeln!(out, "{} pools have a coordinator.", shown.len())?;
    Ok(())
}

/// Reads and checks every TOML file of a folder.
///
/// # Errors
///
/// [`error::Error::File`] when a file cannot be read, [`error::Error::InvalidObjects`] when the set has
/// errors, which go to standard error with file and line.
pub fn read_dir(dir: &Path) -> Result<object_set::ObjectSet, error::Error> {
    finish(read_files(dir)?)
}

fn read_files(dir: &Path) -> Result<check::Checker, error::Error> {
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
    Ok(checker)
}

fn finish(checker: check::Checker) -> Result<object_set::ObjectSet, error::Error> {
    checker.finish().map_err(|findings| {
        for finding in &findings {
            eprintln!("{finding}");
        }
        error::Error::InvalidObjects {
            count: findings.len(),
        }
    })
}
