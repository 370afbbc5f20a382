#include "rooksill/store/machine_directory.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <tuple>

namespace rooksill::store {

namespace {
// Returns the partition of the machine, or nothing if there is no machine.
std::optional<int> partition_of(const model::Machine* machine) {
  return machine == nullptr ? std::nullopt : std::optional<int>(machine->partition);
}
}  // namespace

const model::Machine* MachineDirectory::find(const std::string& name) const {
  const auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : &found->second;
}

const MachinePage* MachineDirectory::page(const model::MachinePageId& id) const {
  const auto& list = pages_[static_cast<size_t>(id.partition)];
  const auto number = static_cast<size_t>(id.page);
  if (number >= list.size() || list[number].revision == model::kNoRevision) return nullptr;
  return &list[number];
}

MachinePage& MachineDirectory::get_or_add_page(const model::MachinePageId& id) {
  auto& list = pages_[static_cast<size_t>(id.partition)];
  const auto number = static_cast<size_t>(id.page);
  if (number >= list.size()) list.resize(number + 1);
  return list[number];
}

std::vector<std::string> MachineDirectory::replace_page(
    const model::MachinePageId& id, const std::map<std::string, model::Machine>& listed,
    model::Revision revision) {
  std::vector<std::string> changed;
  const auto apply = [&](const std::string& name, const auto& change) {
    const std::optional<int> before = partition_of(find(name));
    change();
    if (partition_of(find(name)) != before) changed.push_back(name);
  };
  MachinePage& known = get_or_add_page(id);
  known.revision = revision;
  newest_revision_ = std::max(newest_revision_, revision);
  std::vector<std::string> removed;
  for (const auto& [name, machine] : known.machines)
    if (listed.count(name) == 0) removed.push_back(name);
  for (const auto& name : removed) apply(name, [&] { remove_entry(id, name); });
  for (const auto& [name, machine] : listed)
    apply(name, [&, &entry = machine] { add_entry(id, entry); });
  return changed;
}

void MachineDirectory::add_entry(const model::MachinePageId& id, const model::Machine& machine) {
  model::Machine& entry = get_or_add_page(id).machines[machine.name];
  entry = machine;
  entry.partition = id.partition;
  entry.page = id.page;
  const auto [record, is_new] = machines_.try_emplace(machine.name, entry);
  if (is_new) return;
  const auto duplicate = duplicates_.find(machine.name);
  if (duplicate == duplicates_.end() && record->second.page_id() == id) {
    record->second = entry;
    return;
  }
  std::set<model::MachinePageId> containing{id, record->second.page_id()};
  if (duplicate != duplicates_.end())
    containing.insert(duplicate->second.begin(), duplicate->second.end());
  choose_record(machine.name, containing);
}

void MachineDirectory::remove_entry(const model::MachinePageId& id, const std::string& name) {
  get_or_add_page(id).machines.erase(name);
  const auto duplicate = duplicates_.find(name);
  if (duplicate == duplicates_.end()) {
    machines_.erase(name);
    return;
  }
  std::set<model::MachinePageId> containing = duplicate->second;
  containing.erase(id);
  choose_record(name, containing);
}

void MachineDirectory::choose_record(const std::string& name,
                                     const std::set<model::MachinePageId>& containing) {
  // In the order of the class comment; the complement of the revision puts the newest page first.
  using Precedence = std::tuple<double, int, uint64_t, int>;
  const auto precedence = [&](const model::MachinePageId& id) {
    const MachinePage& page = get_or_add_page(id);
    return Precedence{page.machines.at(name).rented_at, id.partition, ~model::number(page.revision),
                      id.page};
  };
  const auto first =
      std::min_element(containing.begin(), containing.end(),
                       [&](const auto& a, const auto& b) { return precedence(a) < precedence(b); });
  machines_[name] = get_or_add_page(*first).machines.at(name);
  if (containing.size() > 1)
    duplicates_[name] = containing;
  else
    duplicates_.erase(name);
}

}  // namespace rooksill::store
