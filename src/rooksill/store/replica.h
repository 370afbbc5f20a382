// Each controller's copy of the store, kept by listing, watching and peers' updates.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/model/resources.h"
#include "rooksill/settings/settings.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::store {

// What a shard's change meant for one task, for whoever measures demand.
struct TaskEvent {
  enum class Kind { kFirstPlaced, kDone, kLeft } kind;
  std::string job, machine;
};

// What the state says is on a machine, kept up with each change.
struct MachineLoad {
  std::set<model::TaskRef> tasks;
  model::Resources used;
  double replica_cpus = 0;  // of services
};

// One value of the list of a partition's machines.
struct MachinePage {
  model::Revision revision = model::kNoRevision;
  std::set<std::string> names;
};

class Replica {
 public:
  explicit Replica(const PlatformSettings& settings);

  // Takes a value if it is newer than what is known. False if nothing changed.
  bool apply(const std::string& key, const nlohmann::json& value, model::Revision revision);
  void remove(const std::string& key, model::Revision revision);
  void forget_leader(model::Revision revision);
  // Another controller has learned that the job is cancelled. Its record comes later.
  void record_cancelled(const std::string& id);

  model::Job* job(const std::string& id);
  const model::Job* job(const std::string& id) const;
  const model::Machine* machine(const std::string& name) const;
  const model::TaskState* task(const model::TaskRef& t) const;
  const MachineLoad& load(const std::string& machine) const;
  const std::set<model::TaskRef>& placed_on(const std::string& machine) const {
    return load(machine).tasks;
  }
  // On no machine, or on one that is gone for certain.
  bool waits(const model::TaskState& t) const {
    return !t.done && (t.machine.empty() || machine_gone(t.machine));
  }
  // A machine in no list has been released, but only as far as the lists are known: one that was
  // dealt after them would look gone. All changes up to `synced_epoch` are known, and a task's
  // machine was listed before the task's shard was written.
  bool lists_cover(const model::TaskShard& shard) const {
    return synced_revision >= shard.revision;
  }
  // How many of a job's tasks are on listed machines of each zone.
  std::map<std::string, uint32_t> tasks_by_zone(const model::Job& job) const;
  uint32_t unplaced(const model::Job& job) const { return job.spec.tasks - job.done - job.placed; }
  bool machine_gone(const std::string& name) const { return machines.count(name) == 0; }
  int image_number(const std::string& image);
  const std::string& image_name(int number) const {
    return image_names_[static_cast<size_t>(number) - 1];
  }
  // What fits a state value.
  uint32_t tasks_per_shard() const { return tasks_per_shard_; }
  uint32_t machines_per_page() const { return machines_per_page_; }

  std::unordered_map<std::string, model::Job> jobs;
  std::unordered_map<std::string, model::Machine> machines;
  std::map<std::string, model::MachineType> types;
  std::vector<model::PartitionLease> leases;
  std::vector<std::vector<MachinePage>> pages;  // by partition
  model::Leadership leader;
  std::map<std::string, model::QuotaDivision> quota_divisions;    // by team
  std::map<std::string, model::LivenessRecord> liveness_records;  // by controller
  std::map<std::string, model::VersionRecord> versions;           // by controller
  model::UpgradeRecord upgrade;
  uint64_t term = 0;
  model::Revision term_revision = model::kNoRevision;
  std::set<std::string> open_jobs;
  std::set<std::string> waiting_jobs;                    // open, with tasks on no machine
  std::set<std::string> finished_jobs;                   // open, with all tasks done
  model::Revision synced_revision = model::kNoRevision;  // everything up to here is known
  bool synced = false;
  double synced_at = -1e9;  // what the store had at this moment is known, by our clock

  // Emptied by the core after each batch.
  std::vector<TaskEvent> events;
  std::set<std::string> touched_jobs;
  std::unordered_set<std::string> touched_machines;
  std::vector<std::string> cancelled;  // learned of since this was last emptied

 private:
  void count(model::Job& job, model::TaskShard& shard);
  void index(const model::Job& job);
  void recount(const std::string& machine);
  void apply_job(const std::string& id, model::Job fresh, model::Revision revision);
  void record_end(model::Job& job, model::JobEnd end);
  void touch(const model::Job& job);
  void apply_shard(model::Job& job, uint32_t index, std::vector<model::TaskState> tasks,
                   model::Revision revision);
  void apply_machines(int partition, int page, const std::map<std::string, model::Machine>& fresh,
                      model::Revision revision);
  void put_on(const model::Job& job, const model::TaskRef& ref, const std::string& machine);
  void take_off(const model::Job& job, const model::TaskRef& ref, const std::string& machine);
  model::Job* find_shard(const std::string& name, uint32_t& index);

  uint32_t tasks_per_shard_, machines_per_page_;
  std::unordered_map<std::string, MachineLoad> loads_;
  std::unordered_map<std::string, int> image_numbers_;
  std::vector<std::string> image_names_;
  std::set<std::string> cancelled_before_record_;  // whose record is not here yet
};

size_t shard_count(const model::Job& job);
size_t shard_size(const model::Job& job, uint32_t shard);

}  // namespace rooksill::store
