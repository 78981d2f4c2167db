//! The process's memory budget, and charges to it that end with their owner.

use crate::logging::log_event;
use passrelay_data_plane::memory_budget::{MemoryBudget, MemoryExhausted, MemoryUse};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Handle to the memory budget of the process.
#[derive(Clone)]
pub struct Memory {
    budget: Rc<RefCell<MemoryBudget>>,
    logged_refusals: Rc<Cell<u64>>,
}

impl Memory {
    /// Creates the budget of a process whose machine has this much memory for it.
    pub fn new(machine_memory_bytes: u64) -> Self {
        Memory {
            budget: Rc::new(RefCell::new(MemoryBudget::new(machine_memory_bytes))),
            logged_refusals: Rc::default(),
        }
    }

    /// Returns a charge for `memory_use` that holds nothing yet.
    pub fn charge(&self, memory_use: MemoryUse) -> MemoryCharge {
        MemoryCharge { budget: self.budget.clone(), memory_use, bytes: 0 }
    }

    /// Returns how many connections of clients the budget has room for.
    pub fn max_client_connections(&self) -> usize {
        self.budget.borrow().max_client_connections()
    }

    /// Returns the number of refused charges since the start of the process.
    pub fn refusals(&self) -> u64 {
        let budget = self.budget.borrow();
        MemoryUse::ALL.iter().map(|memory_use| budget.account(*memory_use).refusals).sum()
    }

    /// Logs the charges that were refused since the last call, if any.
    pub fn log_refusals(&self) {
        let refusals = self.refusals();
        let before = self.logged_refusals.replace(refusals);
        if refusals != before {
            log_event!(warn, "memory_exhausted", refusals = refusals - before, memory = self.status());
        }
    }

    /// Returns limit, held bytes and refusals as JSON, for operators.
    pub fn status(&self) -> Value {
        let budget = self.budget.borrow();
        let mut uses = serde_json::Map::new();
        for memory_use in MemoryUse::ALL {
            let account = budget.account(memory_use);
            let figures = json!({ "used_bytes": account.used_bytes, "refusals": account.refusals });
            uses.insert(memory_use.name().to_owned(), figures);
        }
        json!({ "limit_bytes": budget.limit_bytes(), "used_bytes": budget.used_bytes(), "uses": uses })
    }
}

/// Bytes that one owner holds. They are released when it is dropped.
pub struct MemoryCharge {
    budget: Rc<RefCell<MemoryBudget>>,
    memory_use: MemoryUse,
    bytes: u64,
}

impl MemoryCharge {
    /// Charges further bytes.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if the budget has no room; the charge is unchanged in this case.
    pub fn grow(&mut self, additional: u64) -> Result<(), MemoryExhausted> {
        self.budget.borrow_mut().charge(self.memory_use, self.bytes, additional)?;
        self.bytes += additional;
        Ok(())
    }

    /// Returns the charged bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Changes the charged bytes to `bytes`, whether or not the budget has room.
    pub fn set(&mut self, bytes: u64) {
        let mut budget = self.budget.borrow_mut();
        budget.release(self.memory_use, self.bytes);
        budget.charge_unconditionally(self.memory_use, bytes);
        self.bytes = bytes;
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.budget.borrow_mut().release(self.memory_use, self.bytes);
    }
}
