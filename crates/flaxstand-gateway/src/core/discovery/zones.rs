//! Numbers assigned to the zone names of the platform's lists.

/// Maximum number of distinct zones; endpoints of any further zone are assigned to the last.
const MAX_ZONES: usize = 64;

/// Zone names, numbered in order of first appearance.
#[derive(Debug, Default)]
pub(super) struct ZoneIndex {
    names: Vec<String>,
}

impl ZoneIndex {
    /// Returns the number of a zone, assigning the next one to a new name.
    pub(super) fn number_of(&mut self, zone: &str) -> u32 {
        let position = self.names.iter().position(|name| name == zone).unwrap_or_else(|| {
            if self.names.len() < MAX_ZONES {
                self.names.push(zone.to_owned());
            }
            self.names.len() - 1
        });
        position as u32
    }
}
