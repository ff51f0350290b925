//! A fixed set of threads, each with a local executor.

use std::{rc::Rc, sync::Arc, thread};

use crate::error;

/// The executor of a worker, for tasks that cannot move between threads.
pub type WorkerExecutor = Rc<smol::LocalExecutor<'static>>;

type Job = Box<dyn FnOnce(WorkerExecutor) + Send>;

/// Threads that run jobs whose tasks must stay on one thread, such as Cap'n Proto RPC.
#[derive(Clone)]
pub struct Workers {
    queues: Arc<[async_channel::Sender<Job>]>,
}

impl Workers {
    /// Starts `count` threads, named `name` and a number from zero.
    ///
    /// # Errors
    ///
    /// [`error::Error::Io`] when a thread cannot be started.
    ///
    /// ```
    /// let workers = fulmarproxy::transport::workers::Workers::start("example", 1).unwrap();
    /// let (tx, rx) = async_channel::bounded(1);
    /// workers.run(0, move |_| tx.try_send(7).unwrap()).unwrap();
    /// assert_eq!(rx.recv_blocking(), Ok(7));
    /// ```
    pub fn start(name: &str, count: usize) -> Result<Self, error::Error> {
        let mut queues = Vec::with_capacity(count);
        for index in 0..count {
            let (tx, rx) = async_channel::unbounded::<Job>();
            thread::Builder::new()
                .name(format!("{name}-{index}"))
                .spawn(move || run_jobs(&rx))?;
            queues.push(tx);
        }
        Ok(Self {
            queues: queues.into(),
        })
    }

    /// Returns the number of threads.
    pub fn count(&self) -> usize {
        self.queues.len()
    }

    /// Runs a job on the worker with number `index` modulo the number of workers. The job gets the
    /// executor of its worker to spawn tasks on.
    ///
    /// # Errors
    ///
    /// [`error::Error::WorkerStopped`] when the thread has ended.
    pub fn run(
        &self,
        index: usize,
        job: impl FnOnce(WorkerExecutor) + Send + 'static,
    ) -> Result<(), error::Error> {
        let worker = index % self.queues.len();
        self.queues[worker]
            .try_send(Box::new(job))
            .map_err(|_| error::Error::WorkerStopped { worker })
    }
}

fn run_jobs(rx: &async_channel::Receiver<Job>) {
    let executor = Rc::new(smol::LocalExecutor::new());
    let local = executor.clone();
    smol::block_on(executor.run(async move {
        while let Ok(job) = rx.recv().await {
            job(local.clone());
        }
    }));
}
