#include "rooksill/placement/preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rooksill::placement {

namespace {
constexpr int kMaxPreemptedMachines = 64;  // in one pass
// Evictions that accrue for each write, and seconds of them that are kept.
constexpr double kEvictionsPerWrite = 0.5;
constexpr double kSavedSeconds = 2;
// What one eviction costs of the budget.
constexpr double kUrgentCost = 1;
constexpr double kOrdinaryCost = 5;
// Added to a machine's cost where more than idle work has to go.
constexpr double kAboveIdleCost = 1e3;

double eviction_cost(const model::JobSpec& spec) {
  return spec.priority >= model::Priority::kUrgent ? kUrgentCost : kOrdinaryCost;
}

bool pays(const model::JobSpec& spec) { return spec.shape == model::Shape::kArray; }
}  // namespace

void EvictionBudget::refill(double writes_per_s, double now) {
  const double rate = kEvictionsPerWrite * writes_per_s;
  left_ = std::min(kSavedSeconds * rate, left_ + rate * std::max(0.0, now - refilled_at_));
  refilled_at_ = now;
}

PreemptionPlanner::PreemptionPlanner(const Machines& machines, const Feasibility& feasibility,
                                     EvictionBudget& budget, ListPreemptible list_preemptible)
    : machines_(machines),
      feasibility_(feasibility),
      budget_(budget),
      list_preemptible_(std::move(list_preemptible)),
      promised_(machines.size()) {}

bool PreemptionPlanner::exhausted() const { return preempted_machines_ >= kMaxPreemptedMachines; }

PreemptionPlan PreemptionPlanner::plan(PreemptionDemand demand) {
  PreemptionPlan plan;
  use_vacating(demand, plan);
  if (demand.tasks == 0) return plan;
  const model::JobSpec& spec = demand.job->spec;
  for (const Victim& victim : rank_victims(demand)) {
    if (demand.tasks == 0 || exhausted()) break;
    if (pays(spec) && !budget_.covers(eviction_cost(spec))) break;
    if (usable(demand, *machines_[victim.machine])) evict_on(victim.machine, demand, plan);
  }
  return plan;
}

bool PreemptionPlanner::usable(const PreemptionDemand& demand,
                               const MachineCapacity& machine) const {
  if (!Feasibility::allows(demand.job->spec, machine)) return false;
  if (demand.zones.left(machine.zone) == 0) return false;
  if (demand.only_with_image && !machine.has_image(demand.job->image)) return false;
  return demand.within_quota(machine.partition);
}

// What is free on the machine, or will be, and is promised to no task yet.
model::Resources PreemptionPlanner::unpromised(const model::JobSpec& spec, size_t machine) const {
  return feasibility_.free_after_vacating(spec, *machines_[machine]) - promised_[machine];
}

void PreemptionPlanner::promise(PreemptionDemand& demand, size_t machine, PreemptionPlan& plan) {
  promised_[machine] += demand.job->spec.request;
  demand.zones.add(machines_[machine]->zone);
  --demand.tasks;
  ++plan.tasks;
}

void PreemptionPlanner::use_vacating(PreemptionDemand& demand, PreemptionPlan& plan) {
  const model::JobSpec& spec = demand.job->spec;
  for (size_t i = 0; i < machines_.size() && demand.tasks > 0; ++i) {
    const MachineCapacity& machine = *machines_[i];
    if (machine.vacating.cpus <= 0 && machine.vacating.memory_gb <= 0) continue;
    while (demand.tasks > 0 && usable(demand, machine) && spec.request.fits_in(unpromised(spec, i)))
      promise(demand, i, plan);
  }
}

// Machines where little has to go, and only of the lowest priority, come first.
std::vector<PreemptionPlanner::Victim> PreemptionPlanner::rank_victims(
    const PreemptionDemand& demand) const {
  const model::JobSpec& spec = demand.job->spec;
  std::vector<Victim> victims;
  for (size_t i = 0; i < machines_.size(); ++i) {
    const MachineCapacity& machine = *machines_[i];
    const double lower = machine.preemptible_cpus(spec.priority);
    if (lower <= 0 || !usable(demand, machine)) continue;
    // The headroom does not count, or room would be made again and again that nobody may use.
    const double reachable = machine.free.cpus + machine.vacating.cpus + lower -
                             feasibility_.headroom(spec, machine).cpus;
    if (reachable + model::Resources::kRoundingError < spec.request.cpus) continue;
    const double missing =
        std::max(0.0, spec.request.cpus - machine.free.cpus - machine.vacating.cpus);
    const double idle = machine.cpus_by_priority[static_cast<size_t>(model::Priority::kIdle)];
    victims.push_back({missing + (idle < missing ? kAboveIdleCost : 0), i});
  }
  std::sort(victims.begin(), victims.end(), [this](const Victim& a, const Victim& b) {
    if (a.cost != b.cost) return a.cost < b.cost;
    return machines_[a.machine]->machine < machines_[b.machine]->machine;
  });
  return victims;
}

// Evicts as few tasks as it takes, the lowest priorities first, for one task of the demand after
// the other.
void PreemptionPlanner::evict_on(size_t machine, PreemptionDemand& demand, PreemptionPlan& plan) {
  const model::JobSpec& spec = demand.job->spec;
  std::vector<PreemptibleTask> tasks = list_preemptible_(*machines_[machine], spec.priority);
  std::sort(tasks.begin(), tasks.end(), [](const PreemptibleTask& a, const PreemptibleTask& b) {
    return std::tie(a.priority, a.task) < std::tie(b.priority, b.task);
  });
  Eviction eviction{machine, {}};
  model::Resources evicted;
  auto next = tasks.begin();
  while (demand.tasks > 0 && usable(demand, *machines_[machine])) {
    model::Resources available = unpromised(spec, machine) + evicted;
    auto last = next;
    for (; last != tasks.end() && !spec.request.fits_in(available); ++last)
      available += last->request;
    if (!spec.request.fits_in(available)) break;
    for (; next != last; ++next) {
      evicted += next->request;
      eviction.tasks.push_back(next->task);
      if (pays(spec)) budget_.spend(eviction_cost(spec));
    }
    promise(demand, machine, plan);
  }
  if (eviction.tasks.empty()) return;
  ++preempted_machines_;
  plan.evictions.push_back(std::move(eviction));
}

}  // namespace rooksill::placement
