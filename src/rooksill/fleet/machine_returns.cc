#include "rooksill/fleet/machine_returns.h"

#include <cstddef>

#include "rooksill/wire/cloud_codec.h"

namespace rooksill::fleet {

namespace {
constexpr size_t kMachinesPerRequest = 100;
// A confirmed release is remembered for a multiple of the maximum lag of the cloud's list, plus a
// constant.
constexpr double kReleaseRetentionListLags = 4;
constexpr double kReleaseRetentionSeconds = 30;
}  // namespace

void MachineReturns::start_term() {
  draining_.clear();
  releasing_.clear();
  releases_in_flight_.clear();
}

void MachineReturns::release(const std::string& name, const std::string& reason) {
  if (releasing_.emplace(name, reason).second)
    context_.info("fleet", "releasing machine {}: {}", name, reason);
}

void MachineReturns::send_releases() {
  std::vector<std::string> names;
  for (const auto& [name, reason] : releasing_)
    if (releases_in_flight_.count(name) == 0 && names.size() < kMachinesPerRequest)
      names.push_back(name);
  if (names.empty()) return;
  const bool sent =
      cloud_.post("/hosts/release", wire::encode_release_request(names),
                  [this, names](const runtime::CallDone& done) { on_response(names, done); });
  if (sent) releases_in_flight_.insert(names.begin(), names.end());
}

void MachineReturns::on_response(const std::vector<std::string>& names,
                                 const runtime::CallDone& done) {
  for (const auto& name : names) {
    releases_in_flight_.erase(name);
    if (done.status != 200) continue;
    // The response proves that the machine and its tasks are gone.
    releasing_.erase(name);
    draining_.erase(name);
    released_at_[name] = context_.now.steady;
    lists_.remove(name);
  }
}

void MachineReturns::forget_old_releases() {
  const double retention_s =
      kReleaseRetentionListLags * context_.settings.platform.cloud_list_lag_s +
      kReleaseRetentionSeconds;
  std::erase_if(released_at_, [&](const auto& entry) {
    return context_.now.steady - entry.second > retention_s;
  });
}

}  // namespace rooksill::fleet
