#include "rooksill/placement/preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rooksill::placement {

namespace {
constexpr int kMaxPreemptedMachinesPerPass = 64;
// The eviction budget grows by this amount for each write that the store's rate limit allows.
constexpr double kEvictionsPerWrite = 0.5;
// The budget holds at most what accrues in this time.
constexpr double kMaxAccrualSeconds = 2;
// Cost of one eviction in units of the budget; depends on the priority of the job for which the
// capacity is freed.
constexpr double kUrgentEvictionCost = 1;
constexpr double kNonUrgentEvictionCost = 5;
// Added to a machine's cost, in CPUs, if tasks above idle priority have to be evicted there.
constexpr double kNonIdleCostPenalty = 1e3;

double eviction_cost(const model::JobSpec& spec) {
  return spec.priority >= model::Priority::kUrgent ? kUrgentEvictionCost : kNonUrgentEvictionCost;
}

// Returns whether evictions for the job are limited by the budget.
bool is_budget_limited(const model::JobSpec& spec) { return spec.shape == model::Shape::kArray; }
}  // namespace

void EvictionBudget::refill(double writes_per_s, double now_s) {
  const double rate = kEvictionsPerWrite * writes_per_s;
  remaining_ = std::min(kMaxAccrualSeconds * rate,
                        remaining_ + rate * std::max(0.0, now_s - refilled_at_s_));
  refilled_at_s_ = now_s;
}

PreemptionPlanner::PreemptionPlanner(const Machines& machines, const Feasibility& feasibility,
                                     EvictionBudget& budget, ListPreemptible list_preemptible)
    : machines_(machines),
      feasibility_(feasibility),
      budget_(budget),
      list_preemptible_(std::move(list_preemptible)),
      reserved_(machines.size()) {}

bool PreemptionPlanner::is_exhausted() const {
  return preempted_machines_ >= kMaxPreemptedMachinesPerPass;
}

PreemptionPlan PreemptionPlanner::plan(PreemptionDemand demand) {
  PreemptionPlan plan;
  reserve_evicting(demand, plan);
  if (demand.tasks == 0) return plan;
  const model::JobSpec& spec = demand.job->spec;
  for (const Candidate& candidate : rank_candidates(demand)) {
    if (demand.tasks == 0 || is_exhausted()) break;
    if (is_budget_limited(spec) && !budget_.can_afford(eviction_cost(spec))) break;
    if (can_use(demand, *machines_[candidate.machine_index]))
      evict_on(candidate.machine_index, demand, plan);
  }
  return plan;
}

bool PreemptionPlanner::can_use(const PreemptionDemand& demand,
                                const MachineCapacity& machine) const {
  if (!Feasibility::allows(demand.job->spec, machine)) return false;
  if (demand.zones.remaining(machine.zone) == 0) return false;
  if (demand.requires_cached_image && !machine.has_image(demand.job->image)) return false;
  return demand.is_within_quota(machine.partition);
}

// Resources that are free on the machine, or will be once evicted tasks have left, and that are not
// reserved for another task.
model::Resources PreemptionPlanner::unreserved(const model::JobSpec& spec,
                                               size_t machine_index) const {
  return feasibility_.free_after_evictions(spec, *machines_[machine_index]) -
         reserved_[machine_index];
}

void PreemptionPlanner::reserve(PreemptionDemand& demand, size_t machine_index,
                                PreemptionPlan& plan) {
  reserved_[machine_index] += demand.job->spec.request;
  demand.zones.add(machines_[machine_index]->zone);
  --demand.tasks;
  ++plan.tasks;
}

void PreemptionPlanner::reserve_evicting(PreemptionDemand& demand, PreemptionPlan& plan) {
  const model::JobSpec& spec = demand.job->spec;
  for (size_t i = 0; i < machines_.size() && demand.tasks > 0; ++i) {
    const MachineCapacity& machine = *machines_[i];
    if (machine.evicting.cpus <= 0 && machine.evicting.memory_gb <= 0) continue;
    while (demand.tasks > 0 && can_use(demand, machine) &&
           spec.request.fits_in(unreserved(spec, i)))
      reserve(demand, i, plan);
  }
}

// Returns the machines where evictions can free enough capacity for a task, best first: those where
// few CPUs have to be freed, and where evicting tasks of the lowest priority is enough.
std::vector<PreemptionPlanner::Candidate> PreemptionPlanner::rank_candidates(
    const PreemptionDemand& demand) const {
  const model::JobSpec& spec = demand.job->spec;
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < machines_.size(); ++i) {
    const MachineCapacity& machine = *machines_[i];
    const double preemptible_cpus = machine.preemptible_cpus(spec.priority);
    if (preemptible_cpus <= 0 || !can_use(demand, machine)) continue;
    // Excludes the headroom: otherwise tasks would be evicted again and again for capacity that
    // the job may not use.
    const double reachable_cpus = machine.free.cpus + machine.evicting.cpus + preemptible_cpus -
                                  feasibility_.headroom(spec, machine).cpus;
    if (reachable_cpus + model::Resources::kRoundingError < spec.request.cpus) continue;
    const double missing_cpus =
        std::max(0.0, spec.request.cpus - machine.free.cpus - machine.evicting.cpus);
    const double idle_cpus = machine.cpus_by_priority[static_cast<size_t>(model::Priority::kIdle)];
    candidates.push_back({missing_cpus + (idle_cpus < missing_cpus ? kNonIdleCostPenalty : 0), i});
  }
  std::sort(candidates.begin(), candidates.end(), [this](const Candidate& a, const Candidate& b) {
    if (a.cost != b.cost) return a.cost < b.cost;
    return machines_[a.machine_index]->machine < machines_[b.machine_index]->machine;
  });
  return candidates;
}

// Plans evictions on the machine for one task of the demand after the other. For each, it evicts as
// few tasks as needed, those of the lowest priority first.
void PreemptionPlanner::evict_on(size_t machine_index, PreemptionDemand& demand,
                                 PreemptionPlan& plan) {
  const model::JobSpec& spec = demand.job->spec;
  std::vector<PreemptibleTask> tasks = list_preemptible_(*machines_[machine_index], spec.priority);
  std::sort(tasks.begin(), tasks.end(), [](const PreemptibleTask& a, const PreemptibleTask& b) {
    return std::tie(a.priority, a.task) < std::tie(b.priority, b.task);
  });
  Eviction eviction{machine_index, {}};
  model::Resources evicted;
  auto next = tasks.begin();
  while (demand.tasks > 0 && can_use(demand, *machines_[machine_index])) {
    model::Resources available = unreserved(spec, machine_index) + evicted;
    auto last = next;
    for (; last != tasks.end() && !spec.request.fits_in(available); ++last)
      available += last->request;
    if (!spec.request.fits_in(available)) break;
    for (; next != last; ++next) {
      evicted += next->request;
      eviction.tasks.push_back(next->task);
      if (is_budget_limited(spec)) budget_.spend(eviction_cost(spec));
    }
    reserve(demand, machine_index, plan);
  }
  if (eviction.tasks.empty()) return;
  ++preempted_machines_;
  plan.evictions.push_back(std::move(eviction));
}

}  // namespace rooksill::placement
