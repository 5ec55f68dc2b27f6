//! Planned stop of a member.

use crate::{Control, Output};

impl Control {
    pub(crate) fn on_leave(&mut self) {
        self.leaving_since.get_or_insert(self.now);
    }

    pub(crate) fn tend_leave(&mut self, out: &mut Vec<Output>) {
        if self.leaving_since.is_some() && !self.stopped {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }
}
