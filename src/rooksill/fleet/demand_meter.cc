#include "rooksill/fleet/demand_meter.h"

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"

namespace rooksill::fleet {

namespace {
constexpr double kSamplesPerHeartbeat = 4;
}  // namespace

void DemandMeter::record_events(const std::vector<store::TaskEvent>& events) {
  for (const store::TaskEvent& event : events) {
    const model::Machine* machine = replica_.machine(event.machine);
    const model::Job* job = replica_.job(event.job);
    if (machine == nullptr || job == nullptr) continue;
    const auto type = replica_.types.find(machine->type);
    if (type == replica_.types.end()) continue;
    policy::Demand& demand = demand_[{machine->type, machine->spot}];
    const double share = type->second.capacity.dominant_share(job->spec.request);
    if (event.kind == store::TaskEvent::Kind::kFirstPlaced)
      demand.record_arrival(share);
    else
      demand.record_completion(share);
  }
}

void DemandMeter::sample() {
  const double now = context_.now.steady;
  const double heartbeat_s = context_.settings.platform.report_s;
  if (now - last_sample_at_ < heartbeat_s / kSamplesPerHeartbeat) return;
  const double elapsed_s = last_sample_at_ > 0 ? now - last_sample_at_ : 0;
  last_sample_at_ = now;
  for (const auto& [pool, machines] : busy_machines())
    demand_[pool].record_busy(machines, elapsed_s);
  if (now < period_ends_at_) return;
  const auto& operators = context_.settings.operators;
  const double period_s = operators.period_reports * heartbeat_s;
  if (period_ends_at_ > 0)
    for (auto& [pool, demand] : demand_) demand.end_period(period_s, operators.demand_cap);
  period_ends_at_ = now + period_s;
}

// Returns the load of each pool, in machines, from the placements in the store, which every
// controller has.
std::map<InstancePool, double> DemandMeter::busy_machines() const {
  std::map<InstancePool, double> busy;
  for (const auto& [name, machine] : replica_.machines()) {
    const store::MachineLoad& load = replica_.load(name);
    const auto type = replica_.types.find(machine.type);
    if (load.tasks.empty() || type == replica_.types.end()) continue;
    busy[{machine.type, machine.spot}] += type->second.capacity.dominant_share(load.used);
  }
  return busy;
}

}  // namespace rooksill::fleet
