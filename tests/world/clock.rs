//! A single-threaded executor on a virtual clock.
//!
//! When no task can run, the clock advances to the next timer. A simulation is therefore
//! deterministic and takes no real time to wait.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex},
    task::{Context, Poll, Wake, Waker},
    time::Duration,
};

use fulmarproxy::transport::{runtime, timers};
use futures::future::BoxFuture;

/// Number of the process that a task belongs to; zero ([`OUTSIDE`]) is never paused or ended.
pub type Owner = u64;

/// Owner of all tasks outside the processes under test, such as the network and the callers.
pub const OUTSIDE: Owner = 0;

struct Task {
    owner: Owner,
    future: Option<BoxFuture<'static, ()>>,
}

#[derive(Default)]
struct State {
    /// Virtual time since the start.
    now: Duration,
    /// Last number given to a task or timer.
    last_number: u64,
    tasks: BTreeMap<u64, Task>,
    /// Tasks to poll, in the order in which they were woken.
    ready: VecDeque<u64>,
    /// Tasks that are in `ready` or held for a paused process, so that none is queued twice.
    queued: BTreeSet<u64>,
    /// Wakers by the time at which they are due, then in the order of their registration.
    timers: BTreeMap<(Duration, u64), Waker>,
    /// Paused processes and the tasks that were woken meanwhile.
    paused: BTreeMap<Owner, Vec<u64>>,
    ended: BTreeSet<Owner>,
}

/// A handle to the virtual clock and its tasks.
#[derive(Clone, Default)]
pub struct Clock(Arc<Mutex<State>>);

struct TaskWaker {
    clock: Clock,
    task_id: u64,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        let mut state = self.clock.0.lock().unwrap();
        if state.tasks.contains_key(&self.task_id) && state.queued.insert(self.task_id) {
            state.ready.push_back(self.task_id);
        }
    }
}

impl Clock {
    /// Virtual time since the start.
    pub fn now(&self) -> Duration {
        self.0.lock().unwrap().now
    }

    /// Spawns a task of a process; the task is dropped if the process has ended.
    pub fn spawn(&self, owner: Owner, future: BoxFuture<'static, ()>) {
        let mut state = self.0.lock().unwrap();
        if state.ended.contains(&owner) {
            drop(state);
            return drop(future);
        }
        state.last_number += 1;
        let id = state.last_number;
        let future = Some(future);
        state.tasks.insert(id, Task { owner, future });
        state.queued.insert(id);
        state.ready.push_back(id);
    }

    /// Sleeps for a duration of virtual time.
    pub fn sleep(&self, delay: Duration) -> BoxFuture<'static, ()> {
        let clock = self.clone();
        let until = clock.now() + delay;
        let mut registered = false;
        Box::pin(std::future::poll_fn(move |cx| {
            let mut state = clock.0.lock().unwrap();
            if registered && state.now >= until {
                return Poll::Ready(());
            }
            registered = true;
            state.last_number += 1;
            let number = state.last_number;
            state.timers.insert((until, number), cx.waker().clone());
            Poll::Pending
        }))
    }

    /// Pauses a process: its tasks are not polled, while time passes and its timers become due.
    pub fn pause(&self, owner: Owner) {
        self.0.lock().unwrap().paused.entry(owner).or_default();
    }

    /// Resumes a paused process, with the tasks that were woken meanwhile.
    pub fn resume(&self, owner: Owner) {
        let mut state = self.0.lock().unwrap();
        let held_tasks = state.paused.remove(&owner).unwrap_or_default();
        state.ready.extend(held_tasks);
    }

    /// Ends a process and drops all its tasks.
    pub fn end_process(&self, owner: Owner) {
        let mut state = self.0.lock().unwrap();
        state.ended.insert(owner);
        state.paused.remove(&owner);
        let of_owner = |(id, task): (&u64, &Task)| (task.owner == owner).then_some(*id);
        let ids: Vec<_> = state.tasks.iter().filter_map(of_owner).collect();
        let dropped: Vec<_> = ids.iter().map(|id| state.tasks.remove(id)).collect();
        for id in &ids {
            state.queued.remove(id);
        }
        // The futures are dropped without the lock, as their destructors may use the clock.
        drop(state);
        drop(dropped);
    }

    /// Runs all tasks up to a time, and calls `tick` whenever no task can run.
    pub fn run_until(&self, end: Duration, mut tick: impl FnMut()) {
        loop {
            while self.run_one() {}
            tick();
            let mut state = self.0.lock().unwrap();
            let next = state.timers.keys().next().map(|(at, _)| *at);
            let Some(at) = next.filter(|at| *at <= end) else {
                state.now = state.now.max(end);
                return;
            };
            state.now = state.now.max(at);
            // `split_off` returns the timers after `at`; those that are due stay and are taken out.
            let due = state.timers.split_off(&(at + Duration::from_nanos(1), 0));
            let due = std::mem::replace(&mut state.timers, due);
            drop(state);
            due.into_values().for_each(Waker::wake);
        }
    }

    fn run_one(&self) -> bool {
        let mut state = self.0.lock().unwrap();
        let Some(id) = state.ready.pop_front() else {
            return false;
        };
        let Some(owner) = state.tasks.get(&id).map(|task| task.owner) else {
            return true;
        };
        if let Some(held_tasks) = state.paused.get_mut(&owner) {
            held_tasks.push(id);
            return true;
        }
        state.queued.remove(&id);
        let future = state.tasks.get_mut(&id).and_then(|task| task.future.take());
        drop(state);
        let Some(mut future) = future else {
            return true;
        };
        let clock = self.clone();
        let waker = Waker::from(Arc::new(TaskWaker { clock, task_id: id }));
        let polled = future.as_mut().poll(&mut Context::from_waker(&waker));
        let mut state = self.0.lock().unwrap();
        if polled.is_ready() {
            state.tasks.remove(&id);
            state.queued.remove(&id);
        } else if let Some(task) = state.tasks.get_mut(&id) {
            task.future = Some(future);
            return true;
        }
        // As in `end_process`, the future is dropped without the lock.
        drop(state);
        drop(future);
        true
    }

    /// The runtime of a process, with its own seeded random numbers.
    pub fn runtime(&self, owner: Owner, seed: u64) -> runtime::Runtime {
        let [reads, waits, spawns] = [self.clone(), self.clone(), self.clone()];
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        runtime::Runtime {
            timers: timers::Timers {
                read: Arc::new(move || reads.now()),
                wait: Arc::new(move |delay| waits.sleep(delay)),
            },
            start: Arc::new(move |task| spawns.spawn(owner, task)),
            random: Arc::new(move || rng.lock().unwrap().u64(..)),
        }
    }
}
