#include "rooksill/fleet/cloud_inventory.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace rooksill::fleet {

namespace {
// Time for which a machine must have been listed before it is adopted, in multiples of the list's
// maximum lag.
constexpr double kAdoptionListLags = 2;
const std::string kMachinesPerPage = "500";
}  // namespace

void CloudInventory::start_term() {
  request_in_flight_ = is_complete_ = false;
  next_request_at_ = 0;
  last_listed_name_.clear();
  unexpected_since_.clear();
}

// Retries only the page that the rate limit or the cloud refused. If each failure restarted the
// list from the first page, a list that needs more calls than the rate limit allows per second
// would never be read to its end.
void CloudInventory::refresh() {
  if (request_in_flight_ || context_.now.steady < next_request_at_) return;
  std::string path = "/hosts?most=" + kMachinesPerPage;
  if (last_listed_name_.empty())
    listed_machines_.clear();
  else
    path = "/hosts?from=" + last_listed_name_ + "&most=" + kMachinesPerPage;
  request_in_flight_ =
      cloud_.get(path, [this](const runtime::CallDone& done) { on_response(done); });
  if (!request_in_flight_)
    next_request_at_ = context_.now.steady + 1 / context_.settings.platform.cloud_calls_per_s;
}

void CloudInventory::on_response(const runtime::CallDone& done) {
  request_in_flight_ = false;
  const auto& platform = context_.settings.platform;
  const auto page = wire::parse_machine_list(done.body);
  if (done.status != 200 || !page) {
    next_request_at_ = context_.now.steady + platform.report_s / 2;
    return;
  }
  listed_machines_.insert(listed_machines_.end(), page->machines.begin(), page->machines.end());
  if (page->has_more && !page->machines.empty()) {
    last_listed_name_ = page->machines.back().name;
    return;
  }
  last_listed_name_.clear();
  // Reading the list more often than it changes would use up the rate limit that rentals need.
  next_request_at_ =
      context_.now.steady + std::max(platform.report_s, platform.cloud_list_lag_s / 2);
  process_list();
}

void CloudInventory::process_list() {
  is_complete_ = true;
  std::map<std::string, double> unexpected_since;
  for (const wire::ListedMachine& machine : listed_machines_) {
    const std::string& name = machine.name;
    if (!machine.address.empty()) addresses_[name] = machine.address;
    if (returns_.was_recently_released(name) || lists_.is_addition_pending(name)) continue;
    if (replica_.machine(name) != nullptr) {
      if (machine.has_failed) returns_.release(name, "listed as failed");
      continue;
    }
    const auto known = unexpected_since_.find(name);
    const double since = known != unexpected_since_.end() ? known->second : context_.now.steady;
    unexpected_since[name] = since;
    process_unexpected(machine, since);
  }
  unexpected_since_ = std::move(unexpected_since);
}

// Such a machine belongs to a request whose response was lost or that the cloud executed late, or
// it is gone and the list is stale. It is adopted once it has been listed for longer than the
// list's maximum lag.
void CloudInventory::process_unexpected(const wire::ListedMachine& machine, double listed_since) {
  const double lag_s = context_.settings.platform.cloud_list_lag_s;
  if (context_.now.steady - listed_since < kAdoptionListLags * lag_s) return;
  if (machine.has_failed) {
    returns_.release(machine.name, "unexpected and failed");
    return;
  }
  context_.info("fleet", "adopting machine {}: listed by the cloud but in no partition",
                machine.name);
  lists_.add({machine.name}, {{machine.type, machine.spot}, machine.zone});
}

void CloudInventory::on_unassigned_machine(const wire::UnassignedMachine& report) {
  const std::string& name = report.machine;
  if (replica_.machine(name) != nullptr || lists_.is_addition_pending(name)) return;
  if (returns_.was_recently_released(name)) return;
  const Offer offer{{report.type, report.spot}, report.zone};
  if (rentals_.has_request_in_flight(offer)) return;  // it will be added with the response
  context_.info("fleet", "adopting machine {}: it sends heartbeats but is in no partition", name);
  addresses_[name] = report.address;
  lists_.add({name}, offer);
}

std::vector<wire::MachineAddress> CloudInventory::extract_addresses() {
  std::vector<wire::MachineAddress> addresses;
  for (auto& [machine, address] : addresses_) addresses.push_back({machine, address});
  addresses_.clear();
  return addresses;
}

}  // namespace rooksill::fleet
