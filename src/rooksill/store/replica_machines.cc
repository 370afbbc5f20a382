// Replica: machine lists, by partition and page.
#include <nlohmann/json.hpp>
#include <utility>

#include "rooksill/store/replica.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::store {

using nlohmann::json;

namespace {
constexpr int kMaxPagesPerPartition = 1000;  // no controller writes more pages for a partition
}

bool Replica::apply_machines(int partition, int page, const json& value, model::Revision revision) {
  const auto number = static_cast<size_t>(partition);
  if (number >= pages.size() || page >= kMaxPagesPerPartition) return false;
  std::vector<MachinePage>& list = pages[number];
  const auto page_number = static_cast<size_t>(page);
  if (list.size() <= page_number) list.resize(page_number + 1);
  if (revision <= list[page_number].revision) return false;
  const auto listed = wire::decode_machines(value);
  if (!listed) return false;
  replace_page(partition, page, *listed, revision);
  return true;
}

void Replica::replace_page(int partition, int page,
                           const std::map<std::string, model::Machine>& listed,
                           model::Revision revision) {
  std::vector<std::string> changed = remove_unlisted(partition, page, listed);
  MachinePage& known_page = pages[static_cast<size_t>(partition)][static_cast<size_t>(page)];
  known_page.revision = revision;
  known_page.names.clear();
  for (const auto& [name, entry] : listed) {
    model::Machine machine = entry;
    machine.partition = partition;
    machine.page = page;
    known_page.names.insert(name);
    auto [known, added] = machines.try_emplace(name, std::move(machine));
    if (added)
      changed.push_back(name);
    else
      known->second.page = page;
  }
  for (const auto& name : changed) {
    changes.changed_machines.insert(name);
    recount_tasks_on(name);
  }
}

std::vector<std::string> Replica::remove_unlisted(
    int partition, int page, const std::map<std::string, model::Machine>& listed) {
  std::vector<std::string> removed;
  const MachinePage& known_page = pages[static_cast<size_t>(partition)][static_cast<size_t>(page)];
  for (const auto& name : known_page.names) {
    if (listed.count(name) != 0) continue;
    // The page was split: the same transaction moved the machine to another page, and it writes
    // that page first.
    const model::Machine* known = machine(name);
    if (known != nullptr && (known->partition != partition || known->page != page)) continue;
    machines.erase(name);
    removed.push_back(name);
  }
  return removed;
}

// Called when a machine was added or removed: its tasks count as placed, or need a machine again.
void Replica::recount_tasks_on(const std::string& machine) {
  std::set<model::ShardId> shards;
  for (const auto& ref : placed_on(machine)) shards.insert(jobs.at(ref.job).shard_of(ref.index));
  for (const auto& id : shards) {
    model::Job& job = jobs.at(id.job);
    recount(job, job.shards[id.index]);
    changes.changed_jobs.insert(id.job);
  }
}

}  // namespace rooksill::store
