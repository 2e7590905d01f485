use {
  cactusyoke_decisions::membership::{CentreSummary, Member, MemberRecord, Members},
  cactusyoke_model::{DataCentre, Incarnation, NodeId, ServiceName},
  std::collections::HashMap,
};

/// Snapshot of the members known to one node.
#[derive(Clone, Debug)]
pub struct MembersView {
  own: MemberRecord,
  members: Vec<Member>,
  by_service: HashMap<ServiceName, Vec<Member>>,
  centres: Vec<CentreSummary>,
}

impl From<&Members> for MembersView {
  fn from(members: &Members) -> Self {
    let (own, centres) = (members.own_record().clone(), members.centres());
    Self::new(own, members.snapshot(), centres)
  }
}

impl MembersView {
  /// View of the given members.
  pub fn new(own: MemberRecord, members: Vec<Member>, centres: Vec<CentreSummary>) -> Self {
    let mut by_service = HashMap::<ServiceName, Vec<Member>>::new();
    for member in &members {
      if let Some(service) = member.served_service() {
        let list = by_service.entry(service.clone()).or_default();
        list.push(member.clone());
      }
    }
    Self {
      own,
      members,
      by_service,
      centres,
    }
  }

  /// This node's own record.
  pub fn own_record(&self) -> &MemberRecord {
    &self.own
  }

  /// Current incarnation of this node; higher than at the start if it was reported dead since.
  pub fn incarnation(&self) -> Incarnation {
    self.own.incarnation
  }

  /// All known members of this data centre, including this node and dead members.
  pub fn members(&self) -> &[Member] {
    &self.members
  }

  /// Member at the given address.
  pub fn member(&self, node: NodeId) -> Option<&Member> {
    self
      .members
      .binary_search_by_key(&node, |member| member.record.node)
      .ok()
      .map(|index| &self.members[index])
  }

  /// Members of this data centre that serve `service`, including suspected ones.
  pub fn serving(&self, service: &ServiceName) -> &[Member] {
    self.by_service.get(service).map_or(&[], Vec::as_slice)
  }

  /// Services served in this data centre.
  pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
    self.by_service.keys()
  }

  /// Members of this data centre that are alive or suspected.
  pub fn live(&self) -> impl Iterator<Item = &Member> {
    self.members.iter().filter(|member| member.is_live())
  }

  /// Summaries of the other data centres.
  pub fn centres(&self) -> &[CentreSummary] {
    &self.centres
  }

  /// Contact nodes in another data centre; empty if the data centre is unknown.
  pub fn contacts(&self, centre: &DataCentre) -> &[NodeId] {
    self
      .centres
      .iter()
      .find(|summary| summary.data_centre == *centre)
      .map_or(&[], |summary| &summary.contacts)
  }

  /// Other data centres known to serve `service`, with their number of instances.
  pub fn remote_instances(
    &self,
    service: &ServiceName,
  ) -> impl Iterator<Item = (&DataCentre, u32)> {
    self.centres.iter().filter_map(|summary| {
      let count = summary.instances.get(service).copied()?;
      Some((&summary.data_centre, count)).filter(|_| count > 0)
    })
  }
}
