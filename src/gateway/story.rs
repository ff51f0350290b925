//! The lines that one request leaves in the log, and the count of those that are left out.

use std::{cell::Cell, rc::Rc, time::Duration};

use metrics::counter;

use crate::{coordination::log_sampling, gateway::core, logging};

/// How often lines that were left out are counted.
const COUNT_EVERY: Duration = Duration::from_secs(1);

/// Decides for one request whether its lines are written.
pub struct Story {
    gw: Rc<core::Gateway>,
    /// Id of the request.
    pub id: String,
    is_sampled: bool,
    tells_failure: Cell<Option<bool>>,
}

impl Story {
    /// The story of the request with this id.
    pub fn new(gw: &Rc<core::Gateway>, id: String) -> Self {
        Self {
            gw: gw.clone(),
            is_sampled: log_sampling::is_sampled(&id),
            id,
            tells_failure: Cell::new(None),
        }
    }

    /// Whether steps of a request that goes well are told.
    pub fn is_sampled(&self) -> bool {
        self.is_sampled
    }

    /// Whether refusals and failures of this request are told; the first one decides.
    pub fn tells_failure(&self) -> bool {
        if self.is_sampled {
            return true;
        }
        let tells = self.tells_failure.get().unwrap_or_else(|| {
            let mut quota = self.gw.telling.borrow_mut();
            quota.take(self.gw.now())
        });
        self.tells_failure.set(Some(tells));
        tells
    }
}

/// Starts to count what is left out, and to say so.
pub fn start(gw: &Rc<core::Gateway>) {
    let counting = gw.clone();
    gw.spawn(async move {
        let mut dropped = 0;
        loop {
            counting.timers.sleep(COUNT_EVERY).await;
            let left_out = counting.telling.borrow_mut().left_out();
            let now_dropped = logging::dropped_lines();
            let lines = now_dropped - dropped;
            dropped = now_dropped;
            if left_out + lines > 0 {
                counter!("fulmar_log_requests_left_out_total").increment(left_out);
                counter!("fulmar_log_lines_dropped_total").increment(lines);
                tracing::warn!(
                    left_out,
                    lines,
                    "log: failed requests left out, lines dropped"
                );
            }
        }
    });
}
