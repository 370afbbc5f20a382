#include "rooksill/fleet/machine_lists.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <utility>

#include "rooksill/membership/upgrade.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/value_sizes.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::fleet {

void MachineLists::start_term() {
  pending_additions_.clear();
  pending_removals_.clear();
  pages_in_flight_.clear();
}

void MachineLists::add(const std::vector<std::string>& names, const Offer& offer, int partition) {
  std::vector<PartitionSize> sizes;
  if (partition == kAnyPartition) sizes = partition_sizes(offer);
  for (const auto& name : names) {
    if (name.empty() || name.size() > model::kMaxNameBytes || is_addition_pending(name)) continue;
    model::Machine machine;
    machine.name = name;
    machine.type = offer.pool.type;
    machine.zone = offer.zone;
    machine.spot = offer.pool.spot;
    machine.partition = partition;
    if (partition == kAnyPartition) {
      // Balances each offer over the partitions, so that every partition spans all zones; ties are
      // broken by the total number of machines.
      const auto least = std::min_element(sizes.begin(), sizes.end());
      machine.partition = static_cast<int>(least - sizes.begin());
      ++least->of_offer;
      ++least->total;
    }
    machine.page = page_with_capacity(machine.partition);
    machine.rented_at = std::floor(context_.now.wall);
    pending_additions_.emplace(name, std::move(machine));
  }
}

void MachineLists::remove(const std::string& name) {
  pending_additions_.erase(name);
  pending_removals_.insert(name);
}

std::vector<const model::Machine*> MachineLists::pending_additions() const {
  std::vector<const model::Machine*> machines;
  for (const auto& [name, machine] : pending_additions_)
    if (replica_.machine(name) == nullptr) machines.push_back(&machine);
  return machines;
}

int MachineLists::count_of(const Offer& offer) const {
  int count = 0;
  for (const auto& [name, machine] : replica_.machines)
    if (!is_removal_pending(name) && is_of_offer(machine, offer)) ++count;
  for (const model::Machine* machine : pending_additions())
    if (!is_removal_pending(machine->name) && is_of_offer(*machine, offer)) ++count;
  return count;
}

std::vector<MachineLists::PartitionSize> MachineLists::partition_sizes(const Offer& offer) const {
  std::vector<PartitionSize> sizes(replica_.leases.size());
  const auto count = [&](const model::Machine& machine) {
    PartitionSize& size = sizes[static_cast<size_t>(machine.partition)];
    if (is_of_offer(machine, offer)) ++size.of_offer;
    ++size.total;
  };
  for (const auto& [name, machine] : replica_.machines) count(machine);
  for (const model::Machine* machine : pending_additions()) count(*machine);
  return sizes;
}

// Returns the first page of a partition's list that has capacity for another machine, which may be
// a new page.
int MachineLists::page_with_capacity(int partition) const {
  const auto& pages = replica_.pages[static_cast<size_t>(partition)];
  std::vector<size_t> machines_by_page(pages.size());
  for (size_t page = 0; page < pages.size(); ++page)
    machines_by_page[page] = pages[page].names.size();
  for (const model::Machine* machine : pending_additions()) {
    if (machine->partition != partition) continue;
    const auto page = static_cast<size_t>(machine->page);
    if (machines_by_page.size() <= page) machines_by_page.resize(page + 1);
    ++machines_by_page[page];
  }
  const size_t limit = replica_.machines_per_page();
  const auto free = std::find_if(machines_by_page.begin(), machines_by_page.end(),
                                 [&](size_t count) { return count < limit; });
  return static_cast<int>(free - machines_by_page.begin());
}

void MachineLists::write_changes() {
  for (const PageId& id : changed_pages())
    if (pages_in_flight_.count(id) == 0) write_page(id);
  std::erase_if(pending_additions_,
                [&](const auto& entry) { return replica_.machine(entry.first) != nullptr; });
  std::erase_if(pending_removals_,
                [&](const auto& name) { return replica_.machine(name) == nullptr; });
}

std::set<MachineLists::PageId> MachineLists::changed_pages() const {
  std::set<PageId> changed;
  for (const model::Machine* machine : pending_additions())
    changed.insert({machine->partition, machine->page});
  for (const auto& name : pending_removals_)
    if (const model::Machine* machine = replica_.machine(name))
      changed.insert({machine->partition, machine->page});
  if (!membership::Upgrade::is_complete(replica_)) return changed;
  // Pages written under a higher limit are split as soon as every controller supports splits: once
  // the lower limit is in force, the store rejects any other change to them.
  for (size_t partition = 0; partition < replica_.pages.size(); ++partition) {
    const auto& pages = replica_.pages[partition];
    for (size_t page = 0; page < pages.size(); ++page)
      if (pages[page].names.size() > replica_.machines_per_page())
        changed.insert({static_cast<int>(partition), static_cast<int>(page)});
  }
  return changed;
}

// Returns the machines the page is to contain: the current ones without the pending removals, plus
// the pending additions that fit in the size limit of a store value. Moves an addition that does
// not fit to a new page.
std::map<std::string, model::Machine> MachineLists::plan_page(const PageId& id) {
  const auto& pages = replica_.pages[static_cast<size_t>(id.partition)];
  std::map<std::string, model::Machine> machines;
  if (static_cast<size_t>(id.page) < pages.size())
    for (const auto& name : pages[static_cast<size_t>(id.page)].names)
      machines.emplace(name, *replica_.machine(name));
  for (const auto& name : pending_removals_) machines.erase(name);
  const size_t limit_bytes = context_.settings.platform.store_max_value_bytes;
  for (auto& [name, machine] : pending_additions_) {
    if (machine.partition != id.partition || machine.page != id.page) continue;
    if (machines.count(name) != 0) continue;
    auto with_machine = machines;
    with_machine.emplace(name, machine);
    if (wire::encode_machines(with_machine).dump().size() <= limit_bytes)
      machines = std::move(with_machine);
    else
      machine.page = static_cast<int>(pages.size());
  }
  return machines;
}

MachineLists::PageTransaction MachineLists::plan_transaction(const PageId& id) {
  const auto& pages = replica_.pages[static_cast<size_t>(id.partition)];
  const bool exists = static_cast<size_t>(id.page) < pages.size();
  const std::string key = wire::machines_key(id.partition, id.page);
  std::map<std::string, model::Machine> machines = plan_page(id);
  PageTransaction transaction;
  transaction.pages = {id};
  transaction.keys = {key};
  transaction.preconditions = {
      {wire::kLeaderKey, replica_.leader.revision},
      {key, exists ? pages[static_cast<size_t>(id.page)].revision : model::kNoRevision}};
  // The new pages are written first, so that a controller that applies the changes in order never
  // sees a machine missing.
  if (membership::Upgrade::is_complete(replica_)) split_page(machines, transaction);
  transaction.writes.push_back({key, wire::encode_machines(machines), 0});
  return transaction;
}

// Moves the machines beyond the page's limit to new pages, starting with the last ones by name.
void MachineLists::split_page(std::map<std::string, model::Machine>& machines,
                              PageTransaction& transaction) const {
  const PageId split = transaction.pages.front();
  const size_t limit = replica_.machines_per_page();
  int new_page = static_cast<int>(replica_.pages[static_cast<size_t>(split.partition)].size());
  while (machines.size() > limit) {
    std::map<std::string, model::Machine> moved;
    while (machines.size() > limit && moved.size() < limit)
      moved.insert(machines.extract(std::prev(machines.end())));
    while (pages_in_flight_.count({split.partition, new_page}) != 0) ++new_page;
    const std::string key = wire::machines_key(split.partition, new_page);
    transaction.pages.push_back({split.partition, new_page});
    transaction.keys.push_back(key);
    transaction.preconditions.push_back({key, model::kNoRevision});
    transaction.writes.push_back({key, wire::encode_machines(moved), 0});
    ++new_page;
  }
  if (transaction.pages.size() > 1)
    context_.info("fleet", "splitting page {} of partition {} into {} pages", split.page,
                  split.partition, transaction.pages.size());
}

void MachineLists::write_page(const PageId& id) {
  PageTransaction transaction = plan_transaction(id);
  const auto unlock = [this, pages = transaction.pages] {
    for (const PageId& page : pages) pages_in_flight_.erase(page);
  };
  const auto on_result = [this, unlock,
                          keys = transaction.keys](const store::TransactionResult& result) {
    const bool read_back = result.outcome == store::TransactionOutcome::kConflict ||
                           result.outcome == store::TransactionOutcome::kUnknown;
    if (read_back)
      committer_.refresh(keys, unlock);
    else
      unlock();
  };
  if (committer_.commit(transaction.preconditions, std::move(transaction.writes), on_result))
    pages_in_flight_.insert(transaction.pages.begin(), transaction.pages.end());
}

}  // namespace rooksill::fleet
