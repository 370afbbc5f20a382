// A controller's copy of the service's records in the key-value store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/image_numbers.h"
#include "rooksill/store/machine_load_index.h"
#include "rooksill/store/replica_changes.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::store {

// One value of the list of a partition's machines.
struct MachinePage {
  model::Revision revision = model::kNoRevision;
  std::set<std::string> names;
};

// Holds each record at the newest revision that has come here, whether from the listing, a watch,
// a read, another controller or this controller's own transactions: they come in any order, and an
// older revision never replaces a newer one. What is summed up from the records (a job's counts of
// tasks, a machine's load, the jobs that have tasks to place) is kept up with each change.
class Replica {
 public:
  explicit Replica(const PlatformSettings& settings);

  // ---- changes --------------------------------------------------------------------------------

  // Takes a value if it is newer than what is known. False if nothing changed: the value is not
  // newer, cannot be decoded, or belongs to something that is not known here.
  bool apply(const std::string& key, const nlohmann::json& value, model::Revision revision);
  // The key was deleted at this revision.
  void remove(const std::string& key, model::Revision revision);
  // Nobody leads at this revision.
  void clear_leader(model::Revision revision);
  // Another controller has learned that the job is cancelled. Its record comes later.
  void mark_cancelled(const std::string& id);

  // ---- look-ups; null: not known here -----------------------------------------------------------

  model::Job* job(const std::string& id);
  const model::Job* job(const std::string& id) const;
  const model::Machine* machine(const std::string& name) const;
  const model::TaskState* task(const model::TaskRef& ref) const;

  const MachineLoad& load(const std::string& machine) const { return loads_.load_on(machine); }
  const std::set<model::TaskRef>& placed_on(const std::string& machine) const {
    return load(machine).tasks;
  }
  // A machine in no list has been released, but only as far as the lists are known: one that was
  // rented after them looks gone as well. See lists_cover().
  bool is_machine_unlisted(const std::string& name) const { return machines.count(name) == 0; }
  // Whether a machine of the shard's tasks that is in no list is gone for certain: all changes up
  // to `synced_revision` are known, and a task's machine was listed before its shard was written.
  bool has_current_lists_for(const model::TaskShard& shard) const {
    return synced_revision >= shard.revision;
  }
  // Whether the task is to be placed: it is on no machine, or on one that is gone.
  bool is_task_pending(const model::TaskState& task) const {
    return !task.done && (task.machine.empty() || is_machine_unlisted(task.machine));
  }
  uint32_t unplaced(const model::Job& job) const { return job.spec.tasks - job.done - job.placed; }
  // How many of a job's tasks are on listed machines of each zone.
  std::map<std::string, uint32_t> tasks_by_zone(const model::Job& job) const;

  int image_number(const std::string& image) { return images_.number_of(image); }
  const std::string& image_name(int number) const { return images_.name_of(number); }

  // What fits a value of the store.
  uint32_t tasks_per_shard() const { return tasks_per_shard_; }
  uint32_t machines_per_page() const { return machines_per_page_; }

  // ---- records; for reading -------------------------------------------------------------------

  std::unordered_map<std::string, model::Job> jobs;
  std::unordered_map<std::string, model::Machine> machines;
  std::map<std::string, model::MachineType> types;
  std::vector<model::PartitionLease> leases;    // by partition
  std::vector<std::vector<MachinePage>> pages;  // by partition
  model::Leadership leader;
  uint64_t term = 0;  // the last one
  model::Revision term_revision = model::kNoRevision;
  std::map<std::string, model::QuotaDivision> quota_divisions;    // by team
  std::map<std::string, model::LivenessRecord> liveness_records;  // by controller
  std::map<std::string, model::VersionRecord> versions;           // by controller
  model::UpgradeRecord upgrade;

  std::set<std::string> pending_jobs;   // open, with tasks to place
  std::set<std::string> finished_jobs;  // open, with all tasks done

  ReplicaChanges changes;

  // ---- how far this copy goes; set by ReplicaSync ---------------------------------------------

  bool synced = false;                                   // all records were listed once
  model::Revision synced_revision = model::kNoRevision;  // all changes up to here are known
  // What the store had at this moment of the steady clock is known.
  double synced_at = -1e9;

 private:
  struct ShardLocation {
    model::Job* job = nullptr;
    model::TaskShard* shard = nullptr;
  };

  // One for each kind of key; as apply().
  bool apply_job(const std::string& id, const nlohmann::json& value, model::Revision revision);
  bool apply_shard(const wire::StoreKey& key, const nlohmann::json& value,
                   model::Revision revision);
  bool apply_lease(int partition, const nlohmann::json& value, model::Revision revision);
  bool apply_machines(int partition, int page, const nlohmann::json& value,
                      model::Revision revision);
  bool apply_quota(const std::string& team, const nlohmann::json& value, model::Revision revision);
  bool apply_type(const nlohmann::json& value);
  bool apply_term(const nlohmann::json& value, model::Revision revision);

  // Jobs and their tasks.
  model::Job& add_job(const std::string& id, model::Job decoded);
  void set_end(model::Job& job, model::JobEnd end);
  void mark_all_tasks_done(model::Job& job);
  void mark_changed(const model::Job& job);
  // Both null if the job or its shard is not known here.
  ShardLocation find_shard(const wire::StoreKey& key);
  void replace_tasks(model::Job& job, model::TaskShard& shard, uint32_t first_task,
                     std::vector<model::TaskState> tasks, model::Revision revision);
  void replace_task(const model::Job& job, const model::TaskRef& ref, const model::TaskState& before,
                    const model::TaskState& after);
  void add_load(const model::Job& job, const model::TaskRef& ref, const std::string& machine);
  void remove_load(const model::Job& job, const model::TaskRef& ref, const std::string& machine);

  // Machines.
  void replace_page(int partition, int page, const std::map<std::string, model::Machine>& listed,
                    model::Revision revision);
  // The names of machines that are in no page any more, which are forgotten.
  std::vector<std::string> remove_unlisted(int partition, int page,
                                           const std::map<std::string, model::Machine>& listed);

  // What is summed up from tasks.
  void recount(model::Job& job, model::TaskShard& shard);
  void recount_tasks_on(const std::string& machine);
  void update_job_sets(const model::Job& job);

  uint32_t tasks_per_shard_;
  uint32_t machines_per_page_;
  MachineLoadIndex loads_;
  ImageNumbers images_;
  std::set<std::string> cancelled_before_record_;  // jobs whose record is not here yet
};

// How many shards a job has, and how many tasks are in one of them.
size_t shard_count(const model::Job& job);
size_t shard_size(const model::Job& job, uint32_t shard);

}  // namespace rooksill::store
