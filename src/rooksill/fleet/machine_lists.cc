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
  pending_.clear();
  removed_.clear();
  being_written_.clear();
}

void MachineLists::add(const std::vector<std::string>& names, const Offer& offer, int partition) {
  std::vector<PartitionSize> sizes;
  if (partition == kAnyPartition) sizes = partition_sizes(offer);
  for (const auto& name : names) {
    if (name.empty() || name.size() > model::kMaxName || is_pending(name)) continue;
    model::Machine machine;
    machine.name = name;
    machine.type = offer.pool.type;
    machine.zone = offer.zone;
    machine.spot = offer.pool.spot;
    machine.partition = partition;
    if (partition == kAnyPartition) {
      // Each partition spans the zones: the one with the fewest of this offer, then the smallest.
      const auto least = std::min_element(sizes.begin(), sizes.end());
      machine.partition = static_cast<int>(least - sizes.begin());
      ++least->of_offer;
      ++least->all;
    }
    machine.page = page_with_room(machine.partition);
    machine.rented = std::floor(context_.now.wall);
    pending_.emplace(name, std::move(machine));
  }
}

void MachineLists::remove(const std::string& name) {
  pending_.erase(name);
  removed_.insert(name);
}

std::vector<const model::Machine*> MachineLists::pending() const {
  std::vector<const model::Machine*> machines;
  for (const auto& [name, machine] : pending_)
    if (replica_.machine(name) == nullptr) machines.push_back(&machine);
  return machines;
}

int MachineLists::count_of(const Offer& offer) const {
  int count = 0;
  for (const auto& [name, machine] : replica_.machines)
    if (!is_removed(name) && is_of_offer(machine, offer)) ++count;
  for (const model::Machine* machine : pending())
    if (!is_removed(machine->name) && is_of_offer(*machine, offer)) ++count;
  return count;
}

std::vector<MachineLists::PartitionSize> MachineLists::partition_sizes(const Offer& offer) const {
  std::vector<PartitionSize> sizes(replica_.leases.size());
  const auto count = [&](const model::Machine& machine) {
    PartitionSize& size = sizes[static_cast<size_t>(machine.partition)];
    if (is_of_offer(machine, offer)) ++size.of_offer;
    ++size.all;
  };
  for (const auto& [name, machine] : replica_.machines) count(machine);
  for (const model::Machine* machine : pending()) count(*machine);
  return sizes;
}

// The first page of a partition's list that takes another machine; possibly a new one.
int MachineLists::page_with_room(int partition) const {
  const auto& pages = replica_.pages[static_cast<size_t>(partition)];
  std::vector<size_t> used(pages.size());
  for (size_t page = 0; page < pages.size(); ++page) used[page] = pages[page].names.size();
  for (const model::Machine* machine : pending()) {
    if (machine->partition != partition) continue;
    const auto page = static_cast<size_t>(machine->page);
    if (used.size() <= page) used.resize(page + 1);
    ++used[page];
  }
  const size_t most = replica_.machines_per_page();
  const auto free =
      std::find_if(used.begin(), used.end(), [&](size_t count) { return count < most; });
  return static_cast<int>(free - used.begin());
}

void MachineLists::write() {
  for (const PageId& id : changed_pages())
    if (being_written_.count(id) == 0) write_page(id);
  std::erase_if(pending_,
                [&](const auto& entry) { return replica_.machine(entry.first) != nullptr; });
  std::erase_if(removed_, [&](const auto& name) { return replica_.machine(name) == nullptr; });
}

std::set<MachineLists::PageId> MachineLists::changed_pages() const {
  std::set<PageId> changed;
  for (const model::Machine* machine : pending())
    changed.insert({machine->partition, machine->page});
  for (const auto& name : removed_)
    if (const model::Machine* machine = replica_.machine(name))
      changed.insert({machine->partition, machine->page});
  if (!membership::Upgrade::complete(replica_)) return changed;
  // Pages from before a lowered limit are split as soon as every controller knows of splits: the
  // store will refuse any further change of them once the limit holds.
  for (size_t partition = 0; partition < replica_.pages.size(); ++partition) {
    const auto& pages = replica_.pages[partition];
    for (size_t page = 0; page < pages.size(); ++page)
      if (pages[page].names.size() > replica_.machines_per_page())
        changed.insert({static_cast<int>(partition), static_cast<int>(page)});
  }
  return changed;
}

// A page's machines as they are to be: those listed, less the removed ones, and the pending ones as
// far as the value's limit allows. A pending machine that does not fit is moved to a new page.
std::map<std::string, model::Machine> MachineLists::planned_page(const PageId& id) {
  const auto& pages = replica_.pages[static_cast<size_t>(id.partition)];
  std::map<std::string, model::Machine> machines;
  if (static_cast<size_t>(id.page) < pages.size())
    for (const auto& name : pages[static_cast<size_t>(id.page)].names)
      machines.emplace(name, *replica_.machine(name));
  for (const auto& name : removed_) machines.erase(name);
  const size_t most_bytes = context_.settings.platform.store_max_value_bytes;
  for (auto& [name, machine] : pending_) {
    if (machine.partition != id.partition || machine.page != id.page) continue;
    if (machines.count(name) != 0) continue;
    auto with_machine = machines;
    with_machine.emplace(name, machine);
    if (wire::encode_machines(with_machine).dump().size() <= most_bytes)
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
  std::map<std::string, model::Machine> machines = planned_page(id);
  PageTransaction transaction;
  transaction.pages = {id};
  transaction.keys = {key};
  transaction.preconditions = {
      {wire::kLeaderKey, replica_.leader.revision},
      {key, exists ? pages[static_cast<size_t>(id.page)].revision : model::kNoRevision}};
  // The new pages come first: whoever applies the changes in order misses no machine in between.
  if (membership::Upgrade::complete(replica_)) split_page(machines, transaction);
  transaction.writes.push_back({key, wire::encode_machines(machines), 0});
  return transaction;
}

// Moves machines beyond a page's limit to new pages, the last ones first.
void MachineLists::split_page(std::map<std::string, model::Machine>& machines,
                              PageTransaction& transaction) const {
  const PageId split = transaction.pages.front();
  const size_t most = replica_.machines_per_page();
  int new_page = static_cast<int>(replica_.pages[static_cast<size_t>(split.partition)].size());
  while (machines.size() > most) {
    std::map<std::string, model::Machine> moved;
    while (machines.size() > most && moved.size() < most)
      moved.insert(machines.extract(std::prev(machines.end())));
    while (being_written_.count({split.partition, new_page}) != 0) ++new_page;
    const std::string key = wire::machines_key(split.partition, new_page);
    transaction.pages.push_back({split.partition, new_page});
    transaction.keys.push_back(key);
    transaction.preconditions.push_back({key, model::kNoRevision});
    transaction.writes.push_back({key, wire::encode_machines(moved), 0});
    ++new_page;
  }
  if (transaction.pages.size() > 1)
    context_.info("fleet", "page {} of partition {} is split into {}", split.page, split.partition,
                  transaction.pages.size());
}

void MachineLists::write_page(const PageId& id) {
  PageTransaction transaction = plan_transaction(id);
  const auto unlock = [this, pages = transaction.pages] {
    for (const PageId& page : pages) being_written_.erase(page);
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
    being_written_.insert(transaction.pages.begin(), transaction.pages.end());
}

}  // namespace rooksill::fleet
