#include "standins/user_job.h"

#include <algorithm>

namespace standins {

bool UserJob::allows_type(const std::string& name) const {
  return types.empty() || std::find(types.begin(), types.end(), name) != types.end();
}

double cpus_max_of(const TeamQuotas& teams, const std::string& team) {
  auto it = teams.find(team);
  return it == teams.end() ? 0 : it->second.cpus_max;
}

}  // namespace standins
