// Rentals for pending tasks (the paper's unplanned rentals).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/fleet/capacity_limits.h"
#include "rooksill/fleet/free_space.h"
#include "rooksill/fleet/job_demand.h"
#include "rooksill/fleet/machine_lists.h"
#include "rooksill/fleet/machine_returns.h"
#include "rooksill/fleet/offer.h"
#include "rooksill/fleet/rentals.h"
#include "rooksill/model/machine.h"
#include "rooksill/runtime/context.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/controller_messages.h"

namespace rooksill::fleet {

// Requests the machines that the pending tasks need beyond the free space on machines that are up,
// booting or already requested (docs/design.md, step 6).
class OnDemandRentals {
 public:
  OnDemandRentals(runtime::Context& context, const store::Replica& replica,
                  const MachineLists& lists, MachineReturns& returns,
                  const CapacityLimits& capacity_limits, Rentals& rentals)
      : context_(context),
        replica_(replica),
        lists_(lists),
        returns_(returns),
        capacity_limits_(capacity_limits),
        rentals_(rentals) {}

  // Plans one round of rentals and requests them. `pending`: the most important job first.
  void rent_for(const std::vector<PendingTasks>& pending, const wire::MachineStatusMap& statuses);

 private:
  struct PlannedRental {
    int count = 0;                  // machines
    int partition = kAnyPartition;  // to which the machines are to be assigned
  };
  // The state of one planning round.
  struct Plan {
    std::vector<FreeSpace> spaces;  // including those of planned machines
    std::map<Offer, PlannedRental> rentals;
    // Tasks without free space, over all jobs: a machine type is chosen for all of them, not for
    // one job alone.
    double unassigned_ordinary = 0;  // of jobs that allow ordinary machines only
    double unassigned_spot = 0;      // of jobs that may use spot machines
    double& unassigned(const model::JobSpec& spec) {
      return spec.spot ? unassigned_spot : unassigned_ordinary;
    }
    // Returns the number of machines of the offer planned so far.
    int planned_count(const Offer& offer) const;
  };
  // An offer with its machine type.
  struct OfferChoice {
    Offer offer;
    const model::MachineType* type = nullptr;
  };

  std::vector<FreeSpace> collect_free_spaces(const wire::MachineStatusMap& statuses) const;
  std::optional<FreeSpace> free_space_on(const model::Machine& machine,
                                         const wire::MachineStatusMap& statuses) const;
  JobDemand make_demand(const PendingTasks& pending, const Plan& plan) const;
  void plan_job(const PendingTasks& pending, const wire::MachineStatusMap& statuses, Plan& plan);
  void reuse_draining_machines(JobDemand& demand, const wire::MachineStatusMap& statuses,
                               Plan& plan);
  std::optional<FreeSpace> free_space_on_draining(const std::string& name,
                                                  const model::JobSpec& spec,
                                                  const wire::MachineStatusMap& statuses) const;
  void plan_rentals(JobDemand& demand, Plan& plan) const;
  std::optional<OfferChoice> cheapest_offer(const JobDemand& demand, Plan& plan) const;
  void request_rentals(const Plan& plan);

  runtime::Context& context_;
  const store::Replica& replica_;
  const MachineLists& lists_;
  MachineReturns& returns_;
  const CapacityLimits& capacity_limits_;
  Rentals& rentals_;
};

}  // namespace rooksill::fleet
