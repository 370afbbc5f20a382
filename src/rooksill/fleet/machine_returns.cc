#include "rooksill/fleet/machine_returns.h"

#include <cstddef>

#include "rooksill/wire/cloud_codec.h"

namespace rooksill::fleet {

namespace {
constexpr size_t kMachinesPerRequest = 100;
// A confirmed release is remembered for so many times the lag of the cloud's list, and longer.
constexpr double kRememberedLags = 4;
constexpr double kRememberedSeconds = 30;
}  // namespace

void MachineReturns::start_term() {
  draining_.clear();
  releasing_.clear();
  requested_.clear();
}

void MachineReturns::release(const std::string& name, const std::string& reason) {
  if (releasing_.emplace(name, reason).second)
    context_.info("fleet", "release {} ({})", name, reason);
}

void MachineReturns::send_releases() {
  std::vector<std::string> names;
  for (const auto& [name, reason] : releasing_)
    if (requested_.count(name) == 0 && names.size() < kMachinesPerRequest) names.push_back(name);
  if (names.empty()) return;
  const bool sent =
      cloud_.post("/hosts/release", wire::encode_release_request(names),
                  [this, names](const runtime::CallDone& done) { on_response(names, done); });
  if (sent) requested_.insert(names.begin(), names.end());
}

void MachineReturns::on_response(const std::vector<std::string>& names,
                                 const runtime::CallDone& done) {
  for (const auto& name : names) {
    requested_.erase(name);
    if (done.status != 200) continue;
    // The response is the proof that the machine and its tasks are gone.
    releasing_.erase(name);
    draining_.erase(name);
    released_at_[name] = context_.now.steady;
    lists_.remove(name);
  }
}

void MachineReturns::forget_old_releases() {
  const double remembered =
      kRememberedLags * context_.settings.platform.cloud_list_lag_s + kRememberedSeconds;
  std::erase_if(released_at_,
                [&](const auto& entry) { return context_.now.steady - entry.second > remembered; });
}

}  // namespace rooksill::fleet
