//! The text of an explanation.

use std::io::{self, Write};

use crate::gateway::explanation;

/// Writes an explanation as text for people.
///
/// # Errors
///
/// The error of `out`.
pub fn write(explained: &explanation::Explanation, out: &mut impl Write) -> io::Result<()> {
    let explanation::Explanation {
        gateway,
        configuration,
        ..
    } = explained;
    writeln!(out, "gateway {gateway}, configuration {configuration}")?;
    if let Some(route) = &explained.route {
        write!(out, "route {route}")?;
        if let Some(service) = &explained.service {
            let percent = explained.service_share.unwrap_or(1.0) * 100.0;
            write!(out, ", service {service} ({percent:.0} % of the route)")?;
        }
        match &explained.workspace {
            Some(workspace) => writeln!(out, ", workspace {workspace}")?,
            None => writeln!(out, ", no workspace")?,
        }
        write_budget(explained.budget.as_ref(), out)?;
    }
    if let Some(load) = &explained.load {
        write_load(load, out)?;
    }
    write_outcome(explained, out)?;
    if !explained.servers.is_empty() {
        write_servers(&explained.servers, out)?;
        write_more(explained.more_servers, out)?;
    }
    for server in &explained.excluded {
        let explanation::Excluded {
            server,
            zone,
            version,
            reason,
            opens_in_ms,
        } = server;
        write!(out, "not eligible: {server} ({zone}, {version}): {reason}")?;
        match opens_in_ms {
            Some(millis) => writeln!(out, ", opens in {millis} ms")?,
            None => writeln!(out)?,
        }
    }
    write_more(explained.more_excluded, out)
}

fn write_more(count: usize, out: &mut impl Write) -> io::Result<()> {
    match count {
        0 => Ok(()),
        _ => writeln!(out, "and {count} more"),
    }
}

fn write_budget(budget: Option<&explanation::Budget>, out: &mut impl Write) -> io::Result<()> {
    let Some(budget) = budget else {
        return writeln!(out, "budget: no tokens are charged");
    };
    let explanation::Budget {
        state,
        needed,
        available,
        prepaid,
        home,
        grantable,
    } = budget;
    write!(
        out,
        "budget: {state}, {needed} tokens needed, {available} available here, {prepaid} prepaid"
    )?;
    match home {
        Some(home) => write!(out, ", more from the gateway at {home}")?,
        None => write!(out, ", more from the ledger")?,
    }
    match grantable {
        Some(tokens) => writeln!(out, " ({tokens} free there when last read)"),
        None => writeln!(out),
    }
}

fn write_load(load: &explanation::Load, out: &mut impl Write) -> io::Result<()> {
    write!(out, "load: lag {:.0} ms", load.lag_ms)?;
    if let Some(limit) = load.limit_ms {
        write!(out, " of {limit:.0} ms tolerated")?;
    }
    let (room, pressure, chance) = (load.room, load.pressure, load.chance * 100.0);
    writeln!(
        out,
        ", pressure {pressure:.2}, room {room:.2}, refused in {chance:.0} % of the cases"
    )
}

fn write_outcome(explained: &explanation::Explanation, out: &mut impl Write) -> io::Result<()> {
    if let Some(unknown) = &explained.unknown {
        writeln!(out, "unknown: {unknown}")?;
    }
    if let Some(refusal) = &explained.refusal {
        let explanation::Refused {
            number,
            code,
            status,
            message,
            retry_after_ms,
        } = refusal;
        write!(
            out,
            "refused: {code} ({number}), status {status}: {message}"
        )?;
        return match retry_after_ms {
            Some(millis) => writeln!(out, ", Retry-After {millis} ms"),
            None => writeln!(out),
        };
    }
    match &explained.chosen {
        Some(server) if explained.is_isolated => {
            writeln!(
                out,
                "goes to {server}, away from others, since it was running at crashes"
            )
        }
        Some(server) if explained.is_by_chance => {
            writeln!(
                out,
                "goes to {server}; another request may go to an equal one"
            )
        }
        Some(server) => writeln!(out, "goes to {server}"),
        None => Ok(()),
    }
}

/// Writes the servers as a table; all times are in milliseconds.
fn write_servers(servers: &[explanation::Server], out: &mut impl Write) -> io::Result<()> {
    let width = servers.iter().map(|it| it.server.len()).max();
    let width = width.unwrap_or(0).max("server".len());
    writeln!(
        out,
        "{:width$} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>5} {:>8} {:>8} {:>6} {:>5} {:>10}  zone",
        "server",
        "cost",
        "first",
        "others",
        "connect",
        "tokens",
        "again",
        "unread",
        "running",
        "slots",
        "reported",
        "slowness",
        "age",
        "own",
        "considered",
    )?;
    for it in servers {
        let reported = match (it.reported_running, it.reported_waiting) {
            (Some(running), Some(waiting)) => format!("{running}+{waiting}"),
            _ => "-".to_owned(),
        };
        let age = it
            .report_age_ms
            .map_or("-".to_owned(), |age| age.to_string());
        let percent = format!("{:.0}%", it.considered * 100.0);
        write!(
            out,
            "{:width$} {:>9.1} {:>9.1} {:>9.1} {:>7.1} {:>7} {:>7} {:>7} {:>7.1} {:>5.0} {reported:>8} {:>8.2} \
             {age:>6} {:>5} {percent:>10}  {}",
            it.server,
            it.cost_ms,
            it.first_event_ms,
            it.others_ms,
            it.connect_ms,
            it.tokens,
            it.read_again,
            it.unread,
            it.running,
            it.slots,
            it.slowness,
            it.own_running,
            it.zone,
        )?;
        if it.is_first {
            write!(out, ", has the prefix")?;
        }
        if let Some(limit) = it.limit {
            write!(out, ", limit {limit}/s")?;
        }
        writeln!(out)?;
    }
    Ok(())
}
