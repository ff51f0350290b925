//! Sends a planned load, and reads the counts of engines and budgets before and after it.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    error,
    load::{accounts, exchange, options, plan, report, tally},
    transport::{http, timers},
};

/// Time limit for reading the counts of one engine.
const COUNTS_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the bills are read while waiting for them.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a load to its end and reports on it.
///
/// # Errors
///
/// [`error::Error::Store`] when the budgets cannot be read.
pub fn run(options: &options::Options) -> Result<report::Report, error::Error> {
    // The threads run the executor until `stop` is dropped.
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let executor = Arc::new(smol::Executor::new());
    let threads: Vec<_> = (0..options.threads.max(1))
        .map(|_| {
            let (executor, stopped) = (executor.clone(), stopped.clone());
            thread::spawn(move || {
                let _ = smol::block_on(executor.run(stopped.recv()));
            })
        })
        .collect();
    let report = smol::block_on(run_load(options, &executor));
    drop(stop);
    for thread in threads {
        let _ = thread.join();
    }
    report
}

/// Reads the counts before the load, sends it and reads the counts again.
async fn run_load(
    options: &options::Options,
    executor: &smol::Executor<'static>,
) -> Result<report::Report, error::Error> {
    let client = http::client(COUNTS_TIMEOUT);
    let mut readings = report::Readings {
        engines_before: accounts::read_engines(&client, &options.engines).await,
        ..report::Readings::default()
    };
    if let Some(store) = &options.store {
        readings.budgets_before = accounts::read_budgets(store).await?;
    }
    let tally = tally::Tally::new(options, readings.budgets_before.clone());
    let tally = Arc::new(Mutex::new(tally));
    let start = Instant::now();
    send_all(options, executor, start, &tally).await;
    let seconds = start.elapsed().as_secs_f64();
    readings.engines = accounts::read_engines(&client, &options.engines).await;
    if let Some(store) = &options.store {
        readings.budgets = read_settled_budgets(options, store, &readings).await?;
    }
    let accounted = options.store.is_some() || !options.engines.is_empty();
    let tally = tally.lock().unwrap();
    Ok(report::build(
        &tally,
        accounted.then_some(&readings),
        seconds,
    ))
}

/// Sends each request at its planned time, without waiting for earlier answers, and returns after
/// the last answer.
async fn send_all(
    options: &options::Options,
    executor: &smol::Executor<'static>,
    start: Instant,
    tally: &Arc<Mutex<tally::Tally>>,
) {
    let sender = Arc::new(exchange::Sender {
        options: options.clone(),
        client: http::streaming_client(),
        timers: timers::Timers::default(),
        start,
    });
    // Each request holds a clone of `done`; `recv` returns when the last one is dropped.
    let (done, all_done) = async_channel::bounded::<()>(1);
    for planned in plan::requests(options) {
        smol::Timer::at(start + planned.send_at).await;
        let (sender, tally, done) = (sender.clone(), tally.clone(), done.clone());
        executor
            .spawn(async move {
                tally.lock().unwrap().record_start(&planned);
                let outcome = sender.send(planned).await;
                tally.lock().unwrap().record_end(&outcome);
                drop(done);
            })
            .detach();
    }
    drop(done);
    let _ = all_done.recv().await;
}

/// Reads the budgets until the bills cover what the engines ran, or until the settle timeout.
async fn read_settled_budgets(
    options: &options::Options,
    store: &str,
    readings: &report::Readings,
) -> Result<accounts::Budgets, error::Error> {
    let end = Instant::now() + options.settle_timeout;
    let ran = (readings.engines.tokens).saturating_sub(readings.engines_before.tokens);
    loop {
        let budgets = accounts::read_budgets(store).await?;
        let billed = budgets
            .total_billed()
            .saturating_sub(readings.budgets_before.total_billed());
        if billed >= ran && ran > 0 || Instant::now() >= end {
            return Ok(budgets);
        }
        smol::Timer::after(SETTLE_POLL_INTERVAL).await;
    }
}
