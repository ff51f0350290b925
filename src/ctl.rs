//! `fulmarctl`, the operators' command-line tool: checks and publishes configurations, and shows
//! the state of the fleet.

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

mod budget_caps;
mod command;
mod explaining;
mod explanation_text;
mod fleet_client;
mod platform_view;
mod publication;
pub use command::{Action, Command, parse};
pub use platform_view::View;
pub use publication::{delete_unused_chunks, publish_set, read_published};

/// The command succeeded.
pub const EXIT_OK: u8 = 0;
/// The command failed, and nothing was published.
pub const EXIT_FAILED: u8 = 1;
/// The command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// The configured objects have errors, or a budget's total is below the tokens granted and spent.
pub const EXIT_INVALID: u8 = 3;
/// The published version is not the expected one, because another publication came first.
pub const EXIT_CONFLICT: u8 = 4;
/// The store failed during the publication, and it is unknown whether it took effect.
pub const EXIT_UNKNOWN: u8 = 5;
/// The configuration was published, but not all routers had it in force in time.
pub const EXIT_LAGGING: u8 = 6;
/// The objects in the folder differ from the published ones.
pub const EXIT_DIFFERS: u8 = 7;

/// Runs a command, writes its output to `out` and returns the exit code. Errors are written to
/// standard error.
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
        error::Error::InvalidObjects { .. } | error::Error::TotalTooLow { .. } => EXIT_INVALID,
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
            if let Some(fleet) = wait {
                return wait_for_routers(fleet, version, json, out).await;
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
            print_json(out, &set)?;
        }
        Action::Status { store, fleet } => status(store, fleet, json, out).await?,
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
        Action::Drain { vm, on, fleet } => {
            fleet.drain(vm, *on).await?;
            let state = if *on {
                "drains"
            } else {
                "takes new work again"
            };
            match json {
                true => print_json(out, &json!({ "vm": vm, "draining": on }))?,
                false => writeln!(out, "{vm} {state}.")?,
            }
        }
        Action::Explain(call) => call.run(json, out).await?,
        Action::Order { store } => show_coordinators(store, json, out).await?,
        Action::Platform { view, store } => {
            let rows = platform_view::read(*view, *store).await?;
            match json {
                true => print_json(out, &rows)?,
                false => rows.iter().try_for_each(|row| writeln!(out, "{row}"))?,
            }
        }
    }
    Ok(EXIT_OK)
}

fn print_json(out: &mut impl Write, value: &impl Serialize) -> Result<(), error::Error> {
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
        checker.check_committed(&budget_caps::read_committed(store).await?);
    }
    let set = finish_check(checker)?;
    let [workspaces, budgets] = [set.workspaces.len(), set.budgets.len()];
    let [routes, pools] = [set.routes.len(), set.pools.len()];
    if json {
        let counts = json!({ "workspaces": workspaces, "budgets": budgets, "routes": routes,
            "pools": pools });
        return print_json(out, &counts);
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
    let differences = difference::between(&published, &set);
    if json {
        print_json(
            out,
            &json!({ "version": head.version, "differences": differences }),
        )?;
    } else {
        for difference in &differences {
            writeln!(out, "{difference}")?;
        }
        writeln!(
            out,
            "{} objects differ from version {}.",
            differences.len(),
            head.version
        )?;
    }
    Ok(if differences.is_empty() {
        EXIT_OK
    } else {
        EXIT_DIFFERS
    })
}

/// Publishes a set. On a conflict, the differences from the published set are written to standard
/// error.
async fn publish(
    store: &store::Store,
    set: &object_set::ObjectSet,
    expect: Option<u64>,
    json: bool,
    out: &mut impl Write,
) -> Result<u64, error::Error> {
    let published = publish_set(store, set, expect).await;
    if let Err(error::Error::VersionConflict { .. }) = &published {
        let (_, current) = read_published(store).await?;
        eprintln!("Objects that differ from the published ones:");
        for difference in difference::between(&current, set) {
            eprintln!("  {difference}");
        }
    }
    let version = published?;
    match json {
        true => print_json(out, &json!({ "published": version }))?,
        false => writeln!(out, "Version {version} is published.")?,
    }
    Ok(version)
}

/// Waits until all routers have `version` in force, and prints which ones still do not.
async fn wait_for_routers(
    fleet: &fleet_client::FleetClient,
    version: u64,
    json: bool,
    out: &mut impl Write,
) -> Result<u8, error::Error> {
    let status = fleet.wait(version).await?;
    let all = status.routers.len();
    let done = all - status.lagging.len();
    if json {
        print_json(
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
    fleet: &fleet_client::FleetClient,
    json: bool,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let (head, _) = publication::read_head(store).await?;
    let status = fleet.status(head.version).await?;
    if json {
        return print_json(out, &status);
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
    let entry = budget_caps::read_entry(store, name)
        .await?
        .unwrap_or_default();
    let (records, _) = store.list(store::HOLDER_PREFIX).await?;
    // Tokens of closed holders; what live holders have spent is added from their records.
    let mut spent = entry.closed;
    let mut holders = Vec::new();
    for kv in &records {
        let record: holder_record::HolderRecord = kv::decode(kv)?;
        let share = entry.shares.get(&record.member.incarnation);
        let spent_by_holder = record.budgets.get(name).map_or(0, |budget| budget.spent);
        if let Some(share) = share {
            spent = spent.saturating_add_unsigned(spent_by_holder);
            let holder = record.member.name;
            holders.push(
                json!({ "router": holder, "granted": share.granted, "spent": spent_by_holder }),
            );
        }
    }
    let (total, committed) = (budget.prepaid_tokens, entry.committed());
    if json {
        return print_json(
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

async fn show_coordinators(
    store: &store::Store,
    json: bool,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let (records, _) = store.list(store::ORDER_PREFIX).await?;
    let mut coordinators = Vec::new();
    for kv in &records {
        let key = String::from_utf8_lossy(&kv.key.0).into_owned();
        let pool = key.trim_start_matches(store::ORDER_PREFIX).to_owned();
        let coordinator: orders::Coordinator = kv::decode(kv)?;
        coordinators.push((pool, coordinator, kv.create_revision.0));
    }
    if json {
        let row = |(pool, coordinator, fencing): &(String, orders::Coordinator, u64)| json!({ "pool": pool, "coordinator": coordinator, "fencing": fencing });
        return print_json(out, &coordinators.iter().map(row).collect::<Vec<_>>());
    }
    for (pool, coordinator, fencing) in &coordinators {
        writeln!(
            out,
            "pool {pool}: {} coordinates as number {fencing}.",
            coordinator.name
        )?;
    }
    writeln!(out, "{} pools have a coordinator.", coordinators.len())?;
    Ok(())
}

/// Reads and checks the objects in all TOML files of a folder.
///
/// # Errors
///
/// [`error::Error::File`] when a file cannot be read, [`error::Error::InvalidObjects`] when the
/// objects have errors; these are written to standard error with file and line.
pub fn read_dir(dir: &Path) -> Result<object_set::ObjectSet, error::Error> {
    finish_check(read_files(dir)?)
}

/// Adds all TOML files of a folder to a new checker, in the order of their paths.
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
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "toml")
    });
    paths.sort();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(file_error(&path))?;
        checker.add(&path.display().to_string(), &text);
    }
    Ok(checker)
}

/// Returns the set if it has no errors; otherwise writes them to standard error.
fn finish_check(checker: check::Checker) -> Result<object_set::ObjectSet, error::Error> {
    checker.finish().map_err(|findings| {
        for finding in &findings {
            eprintln!("{finding}");
        }
        error::Error::InvalidObjects {
            count: findings.len(),
        }
    })
}
