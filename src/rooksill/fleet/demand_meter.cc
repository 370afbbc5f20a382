#include "rooksill/fleet/demand_meter.h"

#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"

namespace rooksill::fleet {

namespace {
constexpr double kSamplesPerReport = 4;
}  // namespace

void DemandMeter::record(const std::vector<store::TaskEvent>& events) {
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
  const double report = context_.settings.platform.report_s;
  if (now - last_sample_ < report / kSamplesPerReport) return;
  const double passed = last_sample_ > 0 ? now - last_sample_ : 0;
  last_sample_ = now;
  for (const auto& [pool, machines] : busy_machines()) demand_[pool].record_busy(machines, passed);
  if (now < period_end_) return;
  const auto& operators = context_.settings.operators;
  const double period = operators.period_reports * report;
  if (period_end_ > 0)
    for (auto& [pool, demand] : demand_) demand.end_period(period, operators.demand_cap);
  period_end_ = now + period;
}

// By what the store says is on the machines, which every controller knows.
std::map<InstancePool, double> DemandMeter::busy_machines() const {
  std::map<InstancePool, double> busy;
  for (const auto& [name, machine] : replica_.machines) {
    const store::MachineLoad& load = replica_.load(name);
    const auto type = replica_.types.find(machine.type);
    if (load.tasks.empty() || type == replica_.types.end()) continue;
    busy[{machine.type, machine.spot}] += type->second.capacity.dominant_share(load.used);
  }
  return busy;
}

}  // namespace rooksill::fleet
