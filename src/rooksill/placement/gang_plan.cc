#include "rooksill/placement/gang_plan.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace rooksill::placement {

namespace {

struct Plan {
  std::vector<GangPlace> places;
  double start_s = 0, score = 0;
};

// Fills the options in the order given; nothing if they do not hold all tasks.
Plan fill(const std::vector<GangOption>& options, const std::vector<size_t>& command,
          const GangDemand& demand) {
  Plan plan;
  uint32_t missing = demand.tasks;
  std::map<int, double> tasks_left = demand.tasks_left;
  std::map<std::string, uint32_t> in_zone;
  for (size_t i : command) {
    if (missing == 0) break;
    const GangOption& option = options[i];
    double& left = tasks_left[option.partition];
    uint32_t& there = in_zone[option.zone];
    const uint32_t zone_left = demand.most_in_zone - std::min(there, demand.most_in_zone);
    const double most =
        std::min<double>({double(option.slots), double(missing), double(zone_left), left});
    if (most < 1) continue;
    const auto here = static_cast<uint32_t>(most);
    plan.places.push_back({i, here});
    plan.start_s = std::max(plan.start_s, option.start_s);
    plan.score += option.score * here;
    left -= here;
    there += here;
    missing -= here;
  }
  if (missing > 0) plan.places.clear();
  return plan;
}

}  // namespace

std::vector<GangPlace> plan_gang(const std::vector<GangOption>& options, const GangDemand& demand) {
  std::vector<size_t> sorted(options.size());
  std::iota(sorted.begin(), sorted.end(), size_t{0});
  std::stable_sort(sorted.begin(), sorted.end(), [&](size_t a, size_t b) {
    return std::tie(options[a].start_s, options[a].score) <
           std::tie(options[b].start_s, options[b].score);
  });
  if (!demand.one_zone) return fill(options, sorted, demand).places;
  std::set<std::string> zones;
  for (const auto& option : options) zones.insert(option.zone);
  Plan best;
  for (const auto& zone : zones) {
    std::vector<size_t> there;
    std::copy_if(sorted.begin(), sorted.end(), std::back_inserter(there),
                 [&](size_t i) { return options[i].zone == zone; });
    Plan plan = fill(options, there, demand);
    if (plan.places.empty()) continue;
    if (best.places.empty() ||
        std::tie(plan.start_s, plan.score) < std::tie(best.start_s, best.score))
      best = std::move(plan);
  }
  return best.places;
}

}  // namespace rooksill::placement
