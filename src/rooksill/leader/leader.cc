#include "rooksill/leader/leader.h"

#include <vector>

namespace rooksill::leader {

Leader::Leader(runtime::Context& context, store::Replica& replica, store::Client& client,
               store::Committer& committer, membership::Peers& peers,
               partition::PartitionOwner& owner, fleet::Fleet& fleet)
    : fleet_(fleet),
      election_(context, replica, client, committer, peers,
                {.on_start = [this](uint64_t term) { start_term(term); },
                 .on_end = [this] { fleet_.end_term(); }}),
      assigner_(context, replica, committer, peers, owner, election_),
      job_finisher_(replica, committer),
      pending_work_(context, replica, owner),
      router_(context, replica, peers, owner, fleet) {}

void Leader::start_term(uint64_t term) {
  assigner_.start_term();
  job_finisher_.start_term();
  pending_work_.start_term();
  router_.start_term(term);
  fleet_.start_term(term);
}

void Leader::tick(const wire::MachineStatusMap& statuses) {
  election_.tick();
  if (!is_leading()) return;
  assigner_.assign();
  job_finisher_.finish_jobs();
  router_.refresh(statuses);
  // Pending work changes slowly compared with the tick interval, so it is collected only when the
  // fleet needs it.
  std::vector<fleet::PendingTasks> pending;
  if (fleet_.needs_pending_tasks()) pending = pending_work_.collect();
  fleet_.tick(statuses, pending, assigner_.suspect_partitions(), assigner_.unreachable_zones());
  router_.retry_pending_jobs();
}

void Leader::renew_lease(const std::string& sender, const wire::LeaseRenewalRequest& request) {
  if (is_leading()) assigner_.renew_lease(sender, request);
}

void Leader::route_changed_jobs() {
  if (is_leading()) router_.route_changed_jobs();
}

}  // namespace rooksill::leader
