//! Tasks on the process's single-threaded executor: their ownership and the reporting of their end.
//!
//! Background loops run as long as the process and are owned by [`BackgroundTasks`]. The end of a loop is logged,
//! because none should end unless the storage thread has given up the store. Connection tasks are bounded by their
//! socket or by their own timeout and need no owner.

use crate::logging::log_event;
use smol::{LocalExecutor, Task, Timer};
use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

/// Spawns tasks on the process's executor.
#[derive(Clone, Copy)]
pub struct Spawner {
    executor: &'static LocalExecutor<'static>,
}

impl Spawner {
    /// Creates a spawner for an executor.
    pub fn new(executor: &'static LocalExecutor<'static>) -> Self {
        Spawner { executor }
    }

    /// Spawns a detached task, which must end with a connection or within its own timeout.
    pub fn spawn_bounded(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// The loops that run as long as the process. Dropping this cancels them.
pub struct BackgroundTasks {
    spawner: Spawner,
    running: RefCell<Vec<Task<()>>>,
}

impl BackgroundTasks {
    /// Creates an empty set of tasks.
    pub fn new(spawner: Spawner) -> Self {
        BackgroundTasks { spawner, running: RefCell::default() }
    }

    /// Returns the spawner for bounded tasks.
    pub fn spawner(&self) -> Spawner {
        self.spawner
    }

    /// Spawns a loop and keeps it running. If it ends, this is logged under `name`.
    pub fn spawn(&self, name: &'static str, background: impl Future<Output = ()> + 'static) {
        let task = self.spawner.executor.spawn(async move {
            background.await;
            log_event!(warn, "task_ended", task = name);
        });
        self.running.borrow_mut().push(task);
    }

    /// Spawns an endless loop that waits for `interval()` and then calls `action`. The interval is computed before
    /// each wait.
    pub fn spawn_periodic(
        &self,
        name: &'static str,
        interval: impl Fn() -> Duration + 'static,
        action: impl Fn() + 'static,
    ) {
        self.spawn(name, async move {
            loop {
                Timer::after(interval()).await;
                action();
            }
        });
    }
}
