#include "rooksill/fleet/cloud_inventory.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace rooksill::fleet {

namespace {
// A machine is adopted once it has been listed for so many times the list's lag.
constexpr double kAdoptionLags = 2;
const std::string kMachinesPerPage = "500";
}  // namespace

void CloudInventory::start_term() {
  request_under_way_ = complete_ = false;
  next_request_ = 0;
  last_read_.clear();
  unexpected_since_.clear();
}

// A page that the rate limit or the cloud refuses is asked for again: a list begun anew each time
// would never be read to its end where that takes more calls than a second allows.
void CloudInventory::refresh() {
  if (request_under_way_ || context_.now.steady < next_request_) return;
  std::string path = "/hosts?most=" + kMachinesPerPage;
  if (last_read_.empty())
    listed_.clear();
  else
    path = "/hosts?from=" + last_read_ + "&most=" + kMachinesPerPage;
  request_under_way_ =
      cloud_.get(path, [this](const runtime::CallDone& done) { on_response(done); });
  if (!request_under_way_)
    next_request_ = context_.now.steady + 1 / context_.settings.platform.cloud_calls_per_s;
}

void CloudInventory::on_response(const runtime::CallDone& done) {
  request_under_way_ = false;
  const auto& platform = context_.settings.platform;
  const auto page = wire::parse_machine_list(done.body);
  if (done.status != 200 || !page) {
    next_request_ = context_.now.steady + platform.report_s / 2;
    return;
  }
  listed_.insert(listed_.end(), page->machines.begin(), page->machines.end());
  if (page->has_more && !page->machines.empty()) {
    last_read_ = page->machines.back().name;
    return;
  }
  last_read_.clear();
  // Asked for more often than it changes, the list would take the calls that rentals need.
  next_request_ = context_.now.steady + std::max(platform.report_s, platform.cloud_list_lag_s / 2);
  process_list();
}

void CloudInventory::process_list() {
  complete_ = true;
  std::map<std::string, double> unexpected_since;
  for (const wire::ListedMachine& machine : listed_) {
    const std::string& name = machine.name;
    if (!machine.address.empty()) addresses_[name] = machine.address;
    if (returns_.was_released(name) || lists_.is_pending(name)) continue;
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

// Rented by a request whose response was lost, or that was carried out late; or gone and still
// listed. It is adopted once it has been listed for longer than the list can lag.
void CloudInventory::process_unexpected(const wire::ListedMachine& machine, double listed_since) {
  const double lag = context_.settings.platform.cloud_list_lag_s;
  if (context_.now.steady - listed_since < kAdoptionLags * lag) return;
  if (machine.has_failed) {
    returns_.release(machine.name, "unexpected and failed");
    return;
  }
  context_.info("fleet", "machine {} was not expected: adopted", machine.name);
  lists_.add({machine.name}, {{machine.type, machine.spot}, machine.zone});
}

void CloudInventory::on_unassigned_machine(const wire::UnassignedMachine& report) {
  const std::string& name = report.machine;
  if (replica_.machine(name) != nullptr || lists_.is_pending(name)) return;
  if (returns_.was_released(name)) return;
  const Offer offer{{report.type, report.spot}, report.zone};
  if (rentals_.is_expected(offer)) return;  // the response will name it
  context_.info("fleet", "machine {} reports and is in no partition: adopted", name);
  addresses_[name] = report.address;
  lists_.add({name}, offer);
}

std::vector<wire::MachineAddress> CloudInventory::take_addresses() {
  std::vector<wire::MachineAddress> taken;
  for (auto& [machine, address] : addresses_) taken.push_back({machine, address});
  addresses_.clear();
  return taken;
}

}  // namespace rooksill::fleet
