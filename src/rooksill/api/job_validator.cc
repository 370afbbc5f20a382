#include "rooksill/api/job_validator.h"

#include <algorithm>
#include <vector>

#include "rooksill/model/machine.h"

namespace rooksill::api {

namespace {

bool supports_gangs(const PlatformSettings& platform) {
  return platform.gang_wait_timeout_s > 0 && platform.gang_stop_deadline_s > 0;
}

bool exceeds_quota(const model::JobSpec& spec, const TeamQuota& quota) {
  // The tasks of an array may run one at a time; other jobs need all of their tasks at once.
  const double tasks_at_once = spec.shape == model::Shape::kArray ? 1 : spec.tasks;
  return (quota.max_cpus > 0 && spec.request.cpus * tasks_at_once > quota.max_cpus) ||
         (quota.max_gpus > 0 && spec.request.gpus * tasks_at_once > quota.max_gpus);
}

bool fits_machine_type(const model::JobSpec& spec, const model::MachineType& type) {
  const std::vector<std::string>& zones = type.zones;
  if (!spec.zone.empty() && std::find(zones.begin(), zones.end(), spec.zone) == zones.end())
    return false;
  return spec.request.cpus <= type.capacity.cpus && spec.request.gpus <= type.capacity.gpus &&
         spec.request.memory_gb <= type.capacity.memory_gb;
}

}  // namespace

std::optional<std::string> rejection_reason(const model::JobSpec& spec,
                                            const PlatformSettings& platform,
                                            const store::Replica& replica) {
  const auto quota = platform.teams.find(spec.team);
  if (quota == platform.teams.end()) return "unknown team";
  if (spec.shape == model::Shape::kGang) {
    if (!supports_gangs(platform)) return "workers here run no gangs";
    // All tasks of a gang's attempt are placed by one change of one store value, so they have to
    // fit one shard.
    if (spec.tasks > replica.tasks_per_shard()) return "more tasks than can be started at once";
  }
  if (exceeds_quota(spec, quota->second)) return "more than the team's limit";
  const bool fits = std::any_of(replica.types.begin(), replica.types.end(), [&](const auto& entry) {
    return spec.allows_type(entry.first) && fits_machine_type(spec, entry.second);
  });
  if (!fits) return "a task fits no allowed machine type";
  return std::nullopt;
}

}  // namespace rooksill::api
