#include "rooksill/fleet/fleet.h"

#include <algorithm>

namespace rooksill::fleet {

namespace {
constexpr double kOnDemandRoundsPerHeartbeat = 3;
constexpr double kMoveIntervalHeartbeats = 0.4;  // between two rounds of moves
}  // namespace

Fleet::Fleet(runtime::Context& context, store::Replica& replica, store::Committer& committer)
    : context_(context),
      replica_(replica),
      cloud_(context),
      demand_(context, replica),
      unreachable_machines_(context, replica),
      catalog_(context, replica, committer, cloud_),
      lists_(context, replica, committer),
      returns_(context, cloud_, lists_),
      review_(context, replica, unreachable_machines_, returns_),
      capacity_limits_(context, lists_, unreachable_machines_),
      rentals_(context, cloud_, lists_, returns_, capacity_limits_),
      inventory_(context, replica, cloud_, lists_, returns_, rentals_),
      on_demand_(context, replica, lists_, returns_, capacity_limits_, rentals_),
      drain_moves_(context, replica, returns_),
      zone_reserves_(context, replica, returns_, capacity_limits_, rentals_),
      pool_sizing_(context, replica, demand_, capacity_limits_, rentals_, returns_,
                   zone_reserves_) {}

void Fleet::start_term(uint64_t term) {
  cloud_.start_term(term);
  unreachable_machines_.start_term();
  catalog_.start_term();
  lists_.start_term();
  returns_.start_term();
  rentals_.start_term(term);
  inventory_.start_term();
  // The first sizing of the term uses the demand measured as a follower, once a full period of it
  // is complete.
  next_sizing_at_ =
      std::max(demand_.period_ends_at(), context_.now.steady + context_.settings.platform.report_s);
}

bool Fleet::needs_pending_tasks() const {
  return cloud_.is_leader() && context_.now.steady >= next_on_demand_at_;
}

// The components share the cloud's rate limit, so their order decides which requests are sent
// first.
void Fleet::tick(const wire::MachineStatusMap& statuses, const std::vector<PendingTasks>& pending,
                 const std::set<int>& suspect_partitions, const UnreachableZones& unreachable) {
  if (!cloud_.is_leader()) return;
  cloud_.refill_rate_limit();
  returns_.forget_old_releases();
  unreachable_machines_.update(statuses, unreachable);
  review_.release_unusable(statuses, suspect_partitions);
  returns_.send_releases();
  catalog_.refresh();
  rentals_.send();
  inventory_.refresh();
  rent_on_demand(statuses, pending);
  move_off_draining(statuses);
  size_pools(statuses);
  lists_.write_changes();
}

void Fleet::rent_on_demand(const wire::MachineStatusMap& statuses,
                           const std::vector<PendingTasks>& pending) {
  if (context_.now.steady < next_on_demand_at_ || replica_.types.empty()) return;
  next_on_demand_at_ =
      context_.now.steady + context_.settings.platform.report_s / kOnDemandRoundsPerHeartbeat;
  on_demand_.rent_for(pending, statuses);
  rentals_.send();
}

void Fleet::move_off_draining(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_moves_at_) return;
  next_moves_at_ =
      context_.now.steady + kMoveIntervalHeartbeats * context_.settings.platform.report_s;
  drain_moves_.plan_moves(statuses);
}

// Waits until the cloud's list has been read once: machines that are still to be adopted would
// otherwise be rented a second time.
void Fleet::size_pools(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_sizing_at_ || !inventory_.is_complete()) return;
  const auto& settings = context_.settings;
  next_sizing_at_ =
      context_.now.steady + settings.operators.period_reports * settings.platform.report_s;
  zone_reserves_.measure(statuses);
  pool_sizing_.size_pools(statuses);
  zone_reserves_.replenish();
  rentals_.send();
}

void Fleet::on_unassigned_machine(const wire::UnassignedMachine& report) {
  if (cloud_.is_leader()) inventory_.on_unassigned_machine(report);
}

}  // namespace rooksill::fleet
