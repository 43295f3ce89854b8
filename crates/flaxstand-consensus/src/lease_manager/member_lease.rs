//! Lease state of one member, as tracked by the leader. All times are by the leader's clock.

use flaxstand_proto::Micros;

/// Leases of a member, and whether it has confirmed the current stage.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberLease {
    /// Epoch of the member: increases with each of its starts.
    pub(super) epoch: u64,
    /// Whether it has confirmed the current stage.
    pub(super) has_confirmed: bool,
    /// Why it can't act on the current stage, for operators.
    pub(super) unable_reason: Option<String>,
    /// Expiry of its lease for an older stage.
    older_stage_until: Micros,
    /// Expiry of its lease for the current stage.
    present_stage_until: Micros,
    /// Expiry of leases of an earlier start of the member: that process may be suspended rather than
    /// terminated.
    earlier_start_until: Micros,
    pub(super) last_contact_at: Micros,
}

impl MemberLease {
    /// Until when the member, or an earlier start of it, may act on a stage before the current one.
    pub(super) fn older_stage_until(&self) -> Micros {
        self.older_stage_until.max(self.earlier_start_until)
    }

    /// Until when an earlier start of the member may act on any stage.
    pub(super) fn earlier_start_until(&self) -> Micros {
        self.earlier_start_until
    }

    /// Until when this start of the member holds a lease for any stage.
    pub(super) fn leased_until(&self) -> Micros {
        self.older_stage_until.max(self.present_stage_until)
    }

    /// Grants a lease for the current stage.
    pub(super) fn grant(&mut self, until: Micros) {
        self.present_stage_until = self.present_stage_until.max(until);
    }

    /// Handles a restart of the member. Leases of the earlier start stay in effect until they expire.
    pub(super) fn restart(&mut self, epoch: u64) {
        let earlier_start_until = self.earlier_start_until.max(self.leased_until());
        *self = MemberLease { epoch, earlier_start_until, ..MemberLease::default() };
    }

    /// Starts a new stage: all existing leases become leases for an older one.
    pub(super) fn begin_stage(&mut self) {
        self.older_stage_until = self.leased_until();
        self.present_stage_until = Micros(0);
        self.has_confirmed = false;
        self.unable_reason = None;
    }

    /// The member releases its lease.
    pub(super) fn release(&mut self) {
        self.older_stage_until = Micros(0);
        self.present_stage_until = Micros(0);
        self.has_confirmed = false;
    }
}
