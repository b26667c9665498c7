//! Reading of the full list of evacuated zones, page by page.

use tracing::warn;

use super::Evacuations;
use crate::directory::StoreCall;

/// Collects the pages of the list.
#[derive(Debug, Default)]
pub(crate) struct ListReader {
    zones: Vec<String>,
    /// The revision of the first page. A later page may be newer; the whole list then counts as
    /// that of the first page, since a key that existed at that time is missing only if it was
    /// removed since.
    revision: Option<u64>,
    /// The last name of the previous page.
    after: Option<String>,
    /// The number of malformed keys in the pages so far.
    malformed: usize,
    /// The number of malformed keys in the last list that was logged.
    logged_malformed: usize,
}

impl ListReader {
    /// Returns the call for the next page.
    pub(crate) fn next_call(&self) -> StoreCall {
        StoreCall::ListEvacuations {
            after: self.after.clone(),
        }
    }

    /// Drops the pages that were read.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            logged_malformed: self.logged_malformed,
            ..Self::default()
        };
    }

    /// Adds a page, and returns the list if it was the last one. `next` is the last name of the
    /// page if there are more.
    pub(crate) fn add_page(
        &mut self,
        names: Vec<String>,
        next: Option<String>,
        at: u64,
    ) -> Option<Evacuations> {
        let revision = *self.revision.get_or_insert(at);
        let count = names.len();
        let is_new_page = next.is_some() && next != self.after;
        let valid = names.into_iter().filter(|name| is_zone_name(name));
        let before = self.zones.len();
        self.zones.extend(valid);
        self.malformed += count - (self.zones.len() - before);
        if is_new_page {
            self.after = next;
            return None;
        }
        if self.malformed != self.logged_malformed {
            warn!(
                keys = self.malformed,
                "keys of evacuations without a valid zone name are ignored"
            );
            self.logged_malformed = self.malformed;
        }
        let list = Evacuations::new(revision, std::mem::take(&mut self.zones));
        self.restart();
        Some(list)
    }
}

/// Returns whether the settings of a process may name such a zone.
fn is_zone_name(name: &str) -> bool {
    !name.is_empty() && !name.contains(|c: char| c.is_whitespace() || c.is_control())
}
