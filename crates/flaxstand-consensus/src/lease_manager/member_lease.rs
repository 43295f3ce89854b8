//! What the leader knows of one member's leases, moments by its own clock.

use flaxstand_proto::Micros;

/// A member's leases, and whether it confirmed the present stage.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberLease {
    /// Which start of the member.
    pub(super) epoch: u64,
    /// It confirmed the present stage.
    pub(super) has_confirmed: bool,
    /// Why it can't act on the present stage, in words for operators.
    pub(super) unable_reason: Option<String>,
    /// Until when it may act on an older stage.
    older_stage_until: Micros,
    /// Until when it may act on the present stage.
    present_stage_until: Micros,
    /// Until when an earlier start of the member may act on anything: its process may have been stopped, not
    /// ended.
    earlier_start_until: Micros,
    pub(super) last_contact_at: Micros,
}

impl MemberLease {
    /// Until when the member, or an earlier start of it, may act on a stage before the present one.
    pub(super) fn older_stage_until(&self) -> Micros {
        self.older_stage_until.max(self.earlier_start_until)
    }

    /// Until when an earlier start of the member may act on anything.
    pub(super) fn earlier_start_until(&self) -> Micros {
        self.earlier_start_until
    }

    /// Until when this start of it has a lease of any stage.
    pub(super) fn leased_until(&self) -> Micros {
        self.older_stage_until.max(self.present_stage_until)
    }

    /// Grants a lease of the present stage.
    pub(super) fn grant(&mut self, until: Micros) {
        self.present_stage_until = self.present_stage_until.max(until);
    }

    /// A later start of the member: what an earlier one may still act on is kept.
    pub(super) fn restart(&mut self, epoch: u64) {
        let earlier_start_until = self.earlier_start_until.max(self.leased_until());
        *self = MemberLease { epoch, earlier_start_until, ..MemberLease::default() };
    }

    /// Another stage begins: leases so far are for an older one.
    pub(super) fn begin_stage(&mut self) {
        self.older_stage_until = self.leased_until();
        self.present_stage_until = Micros(0);
        self.has_confirmed = false;
        self.unable_reason = None;
    }

    /// The member gives its lease back.
    pub(super) fn release(&mut self) {
        self.older_stage_until = Micros(0);
        self.present_stage_until = Micros(0);
        self.has_confirmed = false;
    }
}
