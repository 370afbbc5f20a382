#include "rooksill/fleet/machine_lists.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <utility>

#include "rooksill/membership/upgrade.h"
#include "rooksill/model/value_sizes.h"
#include "rooksill/store/machine_directory.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::fleet {

void MachineLists::start_term() {
  ++term_count_;
  pending_additions_.clear();
  pending_removals_.clear();
  pages_in_flight_.clear();
}

// ---- pending changes ---------------------------------------------------------------------------

bool MachineLists::may_add(const std::string& name) const {
  if (name.empty() || name.size() > model::kMaxNameBytes) return false;
  return replica_.machine(name) == nullptr && !is_addition_pending(name) &&
         !is_removal_pending(name);
}

size_t MachineLists::add(const std::vector<std::string>& names, const Offer& offer, int partition) {
  std::vector<PartitionSize> sizes;
  if (partition == kAnyPartition) sizes = partition_sizes(offer);
  size_t added = 0;
  for (const auto& name : names) {
    if (!may_add(name)) continue;
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
    pending_additions_.emplace(name, Addition{std::move(machine), std::nullopt});
    ++added;
  }
  return added;
}

void MachineLists::remove(const std::string& name) {
  std::optional<Attempt> attempt;
  const auto addition = pending_additions_.find(name);
  if (addition != pending_additions_.end()) {
    attempt = addition->second.last_attempt;
    pending_additions_.erase(addition);
  }
  pending_removals_.try_emplace(name, attempt);
}

std::vector<const model::Machine*> MachineLists::pending_additions() const {
  std::vector<const model::Machine*> machines;
  for (const auto& [name, addition] : pending_additions_)
    if (replica_.machine(name) == nullptr) machines.push_back(&addition.machine);
  return machines;
}

// An addition is complete once the machine is listed. A removal is complete once it is not, and no
// transaction can list it any more.
void MachineLists::forget_settled_changes() {
  std::erase_if(pending_additions_,
                [&](const auto& entry) { return replica_.machine(entry.first) != nullptr; });
  std::erase_if(pending_removals_, [&](const auto& entry) {
    return replica_.machine(entry.first) == nullptr && !is_open(entry.second);
  });
}

bool MachineLists::is_open(const std::optional<Attempt>& attempt) const {
  return attempt && page_revision(attempt->page) == attempt->page_revision;
}

int MachineLists::count_of(const Offer& offer) const {
  int count = 0;
  for (const auto& [name, machine] : replica_.machines())
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
  for (const auto& [name, machine] : replica_.machines()) count(machine);
  for (const model::Machine* machine : pending_additions()) count(*machine);
  return sizes;
}

// ---- pages -------------------------------------------------------------------------------------

int MachineLists::page_count(int partition) const {
  return static_cast<int>(replica_.directory().pages()[static_cast<size_t>(partition)].size());
}

model::Revision MachineLists::page_revision(const PageId& id) const {
  const store::MachinePage* page = replica_.directory().page(id);
  return page == nullptr ? model::kNoRevision : page->revision;
}

bool MachineLists::is_split_due(const PageId& id) const {
  if (!membership::Upgrade::is_complete(replica_)) return false;
  const store::MachinePage* page = replica_.directory().page(id);
  return page != nullptr && page->machines.size() > replica_.machines_per_page();
}

// Returns the first page of a partition's list that has capacity for another machine, which may be
// a new page.
int MachineLists::page_with_capacity(int partition) const {
  const auto& pages = replica_.directory().pages()[static_cast<size_t>(partition)];
  std::vector<size_t> machines_by_page(pages.size());
  for (size_t page = 0; page < pages.size(); ++page)
    machines_by_page[page] = pages[page].machines.size();
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

std::set<MachineLists::PageId> MachineLists::pages_containing(const std::string& name) const {
  const auto& duplicates = replica_.directory().duplicates();
  const auto duplicate = duplicates.find(name);
  if (duplicate != duplicates.end()) return duplicate->second;
  const model::Machine* machine = replica_.machine(name);
  if (machine == nullptr) return {};
  return {machine->page_id()};
}

std::set<MachineLists::PageId> MachineLists::changed_pages() const {
  std::set<PageId> changed;
  for (const model::Machine* machine : pending_additions()) changed.insert(machine->page_id());
  for (const auto& [name, attempt] : pending_removals_) {
    changed.merge(pages_containing(name));
    // Another transaction on the page ensures that the machine is not added late.
    if (is_open(attempt)) changed.insert(attempt->page);
  }
  // Pages written under a higher limit are split as soon as every controller supports splits: once
  // the lower limit is in force, the store rejects any other change to them.
  for (int partition = 0; partition < static_cast<int>(replica_.leases.size()); ++partition)
    for (int page = 0; page < page_count(partition); ++page)
      if (is_split_due({partition, page})) changed.insert({partition, page});
  return changed;
}

// ---- writing -----------------------------------------------------------------------------------

void MachineLists::write_changes() {
  forget_settled_changes();
  remove_duplicates();
  for (const PageId& id : changed_pages())
    if (!is_in_flight(id)) write_page(id);
}

// Returns the machines the page is to contain: the current ones without the pending removals, plus
// the pending additions that fit in the size limit of a store value. Moves an addition that does
// not fit to a new page.
MachineLists::MachinesByName MachineLists::plan_page(const PageId& id) {
  MachinesByName machines;
  if (const store::MachinePage* page = replica_.directory().page(id)) machines = page->machines;
  for (const auto& [name, attempt] : pending_removals_) machines.erase(name);
  // The former transaction may still add its machines to this page, so they have precedence and are
  // not moved. They fit, as they did then: the page has not changed.
  add_pending_machines(id, true, machines);
  add_pending_machines(id, false, machines);
  return machines;
}

// Adds the pending additions of this page whose last attempt is open or is not.
void MachineLists::add_pending_machines(const PageId& id, bool with_open_attempt,
                                        MachinesByName& machines) {
  const size_t limit_bytes = context_.settings.platform.store_max_value_bytes;
  for (auto& [name, addition] : pending_additions_) {
    if (addition.machine.page_id() != id) continue;
    if (is_open(addition.last_attempt) != with_open_attempt) continue;
    auto with_machine = machines;
    with_machine.emplace(name, addition.machine);
    if (wire::encode_machines(with_machine).dump().size() <= limit_bytes)
      machines = std::move(with_machine);
    else if (!with_open_attempt)
      addition.machine.page = page_count(id.partition);
  }
}

MachineLists::PageTransaction MachineLists::begin_transaction() const {
  PageTransaction transaction;
  transaction.preconditions = {{wire::kLeaderKey, replica_.leader.revision}};
  return transaction;
}

void MachineLists::add_page(const PageId& id, MachinesByName machines,
                            PageTransaction& transaction) const {
  for (const auto& [name, addition] : pending_additions_)
    if (addition.machine.page_id() == id && machines.count(name) != 0)
      transaction.additions.push_back(name);
  const std::string key = wire::machines_key(id.partition, id.page);
  transaction.pages.push_back(id);
  transaction.keys.push_back(key);
  transaction.preconditions.push_back({key, page_revision(id)});
  // The new pages are written first, so that a controller that applies the changes in order never
  // sees a machine missing.
  if (membership::Upgrade::is_complete(replica_)) split_page(id, machines, transaction);
  transaction.writes.push_back({key, wire::encode_machines(machines), 0});
}

// Moves the machines beyond the page's limit to new pages, starting with the last ones by name.
void MachineLists::split_page(const PageId& id, MachinesByName& machines,
                              PageTransaction& transaction) const {
  const size_t limit = replica_.machines_per_page();
  int new_page = page_count(id.partition);
  int split_into = 1;
  while (machines.size() > limit) {
    MachinesByName moved;
    while (machines.size() > limit && moved.size() < limit)
      moved.insert(machines.extract(std::prev(machines.end())));
    while (is_in_flight({id.partition, new_page})) ++new_page;
    const std::string key = wire::machines_key(id.partition, new_page);
    transaction.pages.push_back({id.partition, new_page});
    transaction.keys.push_back(key);
    transaction.preconditions.push_back({key, model::kNoRevision});
    transaction.writes.push_back({key, wire::encode_machines(moved), 0});
    ++new_page;
    ++split_into;
  }
  if (split_into > 1)
    context_.info("fleet", "splitting page {} of partition {} into {} pages", id.page, id.partition,
                  split_into);
}

void MachineLists::write_page(const PageId& id) {
  PageTransaction transaction = begin_transaction();
  add_page(id, plan_page(id), transaction);
  commit(std::move(transaction));
}

// Removes machines from the pages that do not contain their records. Pages that are to be split are
// left until they have been.
void MachineLists::remove_duplicates() {
  for (const auto& [name, pages] : replica_.directory().duplicates()) {
    const model::Machine* machine = replica_.machine(name);
    if (machine == nullptr || is_removal_pending(name)) continue;
    const PageId kept_in = machine->page_id();
    for (const PageId& from : pages) {
      if (from == kept_in || is_in_flight(from) || is_in_flight(kept_in)) continue;
      if (is_split_due(from) || is_split_due(kept_in)) continue;
      remove_duplicates(from, kept_in);
    }
  }
}

// Both pages are written in one transaction, so that no machine is removed unless it is in the page
// that keeps it. Controllers of earlier versions may know a machine by the entry that is removed;
// they forget it with the first write and add it again with the second one.
void MachineLists::remove_duplicates(const PageId& from, const PageId& kept_in) {
  MachinesByName remaining = plan_page(from);
  const size_t planned = remaining.size();
  std::erase_if(remaining, [&](const auto& entry) {
    const model::Machine* machine = replica_.machine(entry.first);
    return machine != nullptr && machine->page_id() == kept_in;
  });
  const size_t duplicates = planned - remaining.size();
  PageTransaction transaction = begin_transaction();
  add_page(from, std::move(remaining), transaction);
  add_page(kept_in, plan_page(kept_in), transaction);
  if (!commit(std::move(transaction))) return;
  context_.count("duplicate_listings", static_cast<double>(duplicates));
  context_.info("fleet",
                "{} machines are in page {} of partition {} and in page {} of partition {}; "
                "removing them from the former",
                duplicates, from.page, from.partition, kept_in.page, kept_in.partition);
}

bool MachineLists::commit(PageTransaction transaction) {
  const auto unlock = [this, term = term_count_, pages = transaction.pages] {
    if (term != term_count_) return;
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
  if (!committer_.commit(transaction.preconditions, std::move(transaction.writes), on_result))
    return false;
  pages_in_flight_.insert(transaction.pages.begin(), transaction.pages.end());
  for (const auto& name : transaction.additions) {
    Addition& addition = pending_additions_.at(name);
    const PageId id = addition.machine.page_id();
    addition.last_attempt = Attempt{id, page_revision(id)};
  }
  return true;
}

}  // namespace rooksill::fleet
