#include "rooksill/fleet/fleet.h"

#include <algorithm>

namespace rooksill::fleet {

namespace {
constexpr double kOnDemandPerReport = 3;   // rounds of on-demand rentals in a report interval
constexpr double kMovePauseReports = 0.4;  // between two rounds of moves, in report intervals
}  // namespace

Fleet::Fleet(runtime::Context& context, store::Replica& replica, store::Committer& committer)
    : context_(context),
      replica_(replica),
      cloud_(context),
      demand_(context, replica),
      silent_machines_(context, replica),
      catalog_(context, replica, committer, cloud_),
      lists_(context, replica, committer),
      returns_(context, cloud_, lists_),
      review_(context, replica, silent_machines_, returns_),
      capacity_(context, lists_, silent_machines_),
      rentals_(context, cloud_, lists_, capacity_),
      inventory_(context, replica, cloud_, lists_, returns_, rentals_),
      on_demand_(context, replica, lists_, returns_, capacity_, rentals_),
      drain_moves_(context, replica, returns_),
      zone_floors_(context, replica, returns_, capacity_, rentals_),
      pool_sizing_(context, replica, demand_, capacity_, rentals_, returns_, zone_floors_) {}

void Fleet::start_term(uint64_t term) {
  cloud_.start_term(term);
  silent_machines_.start_term();
  catalog_.start_term();
  lists_.start_term();
  returns_.start_term();
  rentals_.start_term(term);
  inventory_.start_term();
  // What was measured as a follower is used from the first full period on.
  next_sizing_ =
      std::max(demand_.period_end(), context_.now.steady + context_.settings.platform.report_s);
}

bool Fleet::wants_waiting() const {
  return cloud_.leading() && context_.now.steady >= next_on_demand_;
}

// The parts share the cloud's rate limit, so their order decides which requests are sent first.
void Fleet::tick(const wire::MachineStatusMap& statuses, const std::vector<WaitingTasks>& waiting,
                 const std::set<int>& suspect_partitions, const UnreachableZones& unreachable) {
  if (!cloud_.leading()) return;
  cloud_.refill_rate_limit();
  returns_.forget_old_releases();
  silent_machines_.update(statuses, unreachable);
  review_.release_unusable(statuses, suspect_partitions);
  returns_.send_releases();
  catalog_.refresh();
  rentals_.send();
  inventory_.refresh();
  rent_on_demand(statuses, waiting);
  move_off_draining(statuses);
  size_pools(statuses);
  lists_.write();
}

void Fleet::rent_on_demand(const wire::MachineStatusMap& statuses,
                           const std::vector<WaitingTasks>& waiting) {
  if (context_.now.steady < next_on_demand_ || replica_.types.empty()) return;
  next_on_demand_ = context_.now.steady + context_.settings.platform.report_s / kOnDemandPerReport;
  on_demand_.rent_for(waiting, statuses);
  rentals_.send();
}

void Fleet::move_off_draining(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_moves_) return;
  next_moves_ = context_.now.steady + kMovePauseReports * context_.settings.platform.report_s;
  drain_moves_.plan(statuses);
}

// Not before the cloud's list was read: machines that are still to be adopted would be rented
// again.
void Fleet::size_pools(const wire::MachineStatusMap& statuses) {
  if (context_.now.steady < next_sizing_ || !inventory_.complete()) return;
  const auto& settings = context_.settings;
  next_sizing_ =
      context_.now.steady + settings.operators.period_reports * settings.platform.report_s;
  zone_floors_.measure(statuses);
  pool_sizing_.size_pools(statuses);
  zone_floors_.top_up();
  rentals_.send();
}

void Fleet::on_unassigned_machine(const wire::UnassignedMachine& report) {
  if (cloud_.leading()) inventory_.on_unassigned_machine(report);
}

}  // namespace rooksill::fleet
