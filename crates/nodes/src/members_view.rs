use {
  cactusyoke_decisions::membership::{CentreSummary, Member, Members, Record},
  cactusyoke_model::{DataCentre, Incarnation, NodeId, ServiceName},
  std::collections::HashMap,
};

/// Members as one node sees them at one moment.
#[derive(Clone, Debug)]
pub struct MembersView {
  own: Record,
  members: Vec<Member>,
  by_service: HashMap<ServiceName, Vec<Member>>,
  centres: Vec<CentreSummary>,
}

impl From<&Members> for MembersView {
  fn from(members: &Members) -> Self {
    let (own, centres) = (members.own().clone(), members.centres());
    Self::new(own, members.snapshot(), centres)
  }
}

impl MembersView {
  /// View over a snapshot.
  pub fn new(own: Record, members: Vec<Member>, centres: Vec<CentreSummary>) -> Self {
    let mut by_service = HashMap::<ServiceName, Vec<Member>>::new();
    for member in &members {
      if let Some(service) = member.serving() {
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
  pub fn own(&self) -> &Record {
    &self.own
  }

  /// Incarnation of this node, raised since its start when it was reported dead.
  pub fn incarnation(&self) -> Incarnation {
    self.own.incarnation
  }

  /// All known members of this data centre, this node and the dead ones included.
  pub fn members(&self) -> &[Member] {
    &self.members
  }

  /// The member at an address.
  pub fn member(&self, node: NodeId) -> Option<&Member> {
    self
      .members
      .binary_search_by_key(&node, |member| member.record.node)
      .ok()
      .map(|place| &self.members[place])
  }

  /// Members of this data centre that serve `service`, suspected ones included.
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

  /// The other data centres.
  pub fn centres(&self) -> &[CentreSummary] {
    &self.centres
  }

  /// Contacts in another data centre; empty when it is not known.
  pub fn contacts(&self, centre: &DataCentre) -> &[NodeId] {
    self
      .centres
      .iter()
      .find(|summary| summary.data_centre == *centre)
      .map_or(&[], |summary| &summary.contacts)
  }

  /// Other data centres that serve `service` as far as known, with the number of instances.
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
