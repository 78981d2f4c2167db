//! Tasks on the process's single-threaded executor: who owns them and how their end becomes visible.
//!
//! Background loops run as long as the process and are owned by [`BackgroundTasks`]; one that ends is logged,
//! because none should unless the storage was given up. Connection tasks are bounded by their socket or by a
//! timeout of their own and need no owner.

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
    /// Spawns on an executor.
    pub fn new(executor: &'static LocalExecutor<'static>) -> Self {
        Spawner { executor }
    }

    /// Spawns a task that ends with a connection or within a timeout of its own. Nobody waits for its end.
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
    /// No tasks yet.
    pub fn new(spawner: Spawner) -> Self {
        BackgroundTasks { spawner, running: RefCell::default() }
    }

    /// Where bounded tasks are spawned.
    pub fn spawner(&self) -> Spawner {
        self.spawner
    }

    /// Spawns and owns a loop. Should it end, that is logged.
    pub fn spawn(&self, name: &'static str, background: impl Future<Output = ()> + 'static) {
        let task = self.spawner.executor.spawn(async move {
            background.await;
            log_event!(warn, "task_ended", task = name);
        });
        self.running.borrow_mut().push(task);
    }

    /// Spawns a loop that waits for `interval()` and then acts, for ever. The interval is computed before
    /// each wait.
    pub fn spawn_periodic(
        &self,
        name: &'static str,
        interval: impl Fn() -> Duration + 'static,
        act: impl Fn() + 'static,
    ) {
        self.spawn(name, async move {
            loop {
                Timer::after(interval()).await;
                act();
            }
        });
    }
}
