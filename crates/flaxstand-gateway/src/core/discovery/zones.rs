//! Numbers of zones that the platform's lists name.

/// Zones that are told apart; endpoints of any further zone count to the last.
const MAX_ZONES: usize = 64;

/// Zone names, numbered in the order of their first appearance.
#[derive(Debug, Default)]
pub(super) struct ZoneIndex {
    names: Vec<String>,
}

impl ZoneIndex {
    /// The zone's number; a new one gets the next.
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
