#include "rooksill/placement/gang_plan.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace rooksill::placement {

namespace {

struct Plan {
  std::vector<GangPlace> places;
  double start_s = 0, score = 0;
};

// Fills the options in the order given; nothing if they do not hold all tasks.
Plan fill(const std::vector<GangOption>& options, const std::vector<size_t>& order, uint32_t tasks,
          std::map<int, double> tasks_left) {
  Plan plan;
  uint32_t missing = tasks;
  for (size_t i : order) {
    if (missing == 0) break;
    const GangOption& option = options[i];
    double& left = tasks_left[option.block];
    const double most = std::min<double>({double(option.slots), double(missing), left});
    if (most < 1) continue;
    const auto here = static_cast<uint32_t>(most);
    plan.places.push_back({i, here});
    plan.start_s = std::max(plan.start_s, option.start_s);
    plan.score += option.score * here;
    left -= here;
    missing -= here;
  }
  if (missing > 0) plan.places.clear();
  return plan;
}

}  // namespace

std::vector<GangPlace> plan_gang(const std::vector<GangOption>& options, uint32_t tasks,
                                 const std::map<int, double>& tasks_left, bool one_zone) {
  std::vector<size_t> sorted(options.size());
  std::iota(sorted.begin(), sorted.end(), size_t{0});
  std::stable_sort(sorted.begin(), sorted.end(), [&](size_t a, size_t b) {
    return std::tie(options[a].start_s, options[a].score) <
           std::tie(options[b].start_s, options[b].score);
  });
  if (!one_zone) return fill(options, sorted, tasks, tasks_left).places;
  std::set<std::string> zones;
  for (const auto& option : options) zones.insert(option.zone);
  Plan best;
  for (const auto& zone : zones) {
    std::vector<size_t> there;
    std::copy_if(sorted.begin(), sorted.end(), std::back_inserter(there),
                 [&](size_t i) { return options[i].zone == zone; });
    Plan plan = fill(options, there, tasks, tasks_left);
    if (plan.places.empty()) continue;
    if (best.places.empty() ||
        std::tie(plan.start_s, plan.score) < std::tie(best.start_s, best.score))
      best = std::move(plan);
  }
  return best.places;
}

}  // namespace rooksill::placement
