// A controller's in-memory copy of the scheduler's records in the key-value store.
#pragma once

#include <algorithm>
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
#include "rooksill/store/machine_directory.h"
#include "rooksill/store/machine_load_index.h"
#include "rooksill/store/replica_changes.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::store {

// Holds each record at the newest revision received, whether from the listing, a watch, a read,
// another controller or this controller's own transactions. Revisions arrive in any order, and an
// older one never replaces a newer one. Aggregates of the records (a job's task counts, a machine's
// load, the set of jobs with tasks to place) are updated with each change.
class Replica {
 public:
  explicit Replica(const PlatformSettings& settings);

  // ---- changes --------------------------------------------------------------------------------

  // Applies a value if its revision is newer than that of the known value. Returns false if nothing
  // changed: the value is not newer, cannot be decoded, or belongs to a record that is unknown
  // here.
  bool apply(const std::string& key, const nlohmann::json& value, model::Revision revision);
  // Applies the deletion of the key at this revision.
  void remove(const std::string& key, model::Revision revision);
  // Records that there was no leader at this revision.
  void clear_leader(model::Revision revision);
  // Marks a job as cancelled on notice from another controller, before the updated job record
  // arrives. The job may be unknown here yet.
  void mark_cancelled(const std::string& id);

  // ---- lookups; nullptr: unknown here ---------------------------------------------------------

  // Returns the job with this id.
  model::Job* job(const std::string& id);
  const model::Job* job(const std::string& id) const;
  // Returns the listed machine with this name.
  const model::Machine* machine(const std::string& name) const { return directory_.find(name); }
  // Returns the task's state. Also nullptr once the job is done, as its shards are dropped.
  const model::TaskState* task(const model::TaskRef& ref) const;

  // Returns the machine's load, which is empty if it has no tasks.
  const MachineLoad& load(const std::string& machine) const { return loads_.load_on(machine); }
  // Returns the tasks placed on the machine.
  const std::set<model::TaskRef>& placed_on(const std::string& machine) const {
    return load(machine).tasks;
  }
  // Returns whether the machine is in no machine list. Either it has been released, or it was
  // rented after the known revisions of the lists; has_current_lists_for() rules out the latter.
  bool is_machine_unlisted(const std::string& name) const { return machine(name) == nullptr; }
  // Returns whether all changes of the machine lists up to their newest known page are known. While
  // a page is newer than `synced_revision`, the transaction that moved a machine to another page
  // may be missing where a later version of the former page was listed or received.
  bool has_consistent_lists() const { return synced_revision >= directory_.newest_revision(); }
  // Returns whether an unlisted machine of one of the shard's tasks is certain to be gone: all
  // changes up to `synced_revision` are known, and a task's machine is listed before its shard is
  // written.
  bool has_current_lists_for(const model::TaskShard& shard) const {
    return has_consistent_lists() && synced_revision >= shard.revision;
  }
  // Returns whether the task needs a machine: it is not done, and it is on no machine or on an
  // unlisted one.
  bool is_task_pending(const model::TaskState& task) const {
    return !task.done && (task.machine.empty() || is_machine_unlisted(task.machine));
  }
  // Returns how many of the job's tasks need a machine.
  uint32_t unplaced(const model::Job& job) const { return job.spec.tasks - job.done - job.placed; }
  // Returns the number of the job's tasks on listed machines, by zone.
  std::map<std::string, uint32_t> tasks_by_zone(const model::Job& job) const;

  // Returns the image's number, as ImageNumbers::number_of().
  int image_number(const std::string& image) { return images_.number_of(image); }
  // Returns the name of the image with this number.
  const std::string& image_name(int number) const { return images_.name_of(number); }

  // Returns how many tasks of a new job are stored in one value of the store.
  uint32_t tasks_per_shard() const { return tasks_per_shard_; }
  // Returns how many machines of a partition's list are stored in one value of the store.
  uint32_t machines_per_page() const { return machines_per_page_; }

  // Returns the machines in all lists, by name.
  const std::unordered_map<std::string, model::Machine>& machines() const {
    return directory_.machines();
  }
  // Returns the pages of the machine lists and the machines that are in several of them.
  const MachineDirectory& directory() const { return directory_; }

  // ---- records; read-only for users of the class ----------------------------------------------

  std::unordered_map<std::string, model::Job> jobs;  // by id
  std::map<std::string, model::MachineType> types;   // by name
  std::vector<model::PartitionLease> leases;         // indexed by partition
  model::Leadership leader;
  uint64_t term = 0;  // the latest leader term
  model::Revision term_revision = model::kNoRevision;
  std::map<std::string, model::QuotaDivision> quota_divisions;    // by team
  std::map<std::string, model::LivenessRecord> liveness_records;  // by controller
  std::map<std::string, model::VersionRecord> versions;           // by controller
  model::UpgradeRecord upgrade;

  std::set<std::string> pending_jobs;   // open jobs with tasks that need a machine
  std::set<std::string> finished_jobs;  // open jobs whose tasks are all done

  ReplicaChanges changes;  // applied, but not processed by all consumers yet

  // ---- synchronization state; set by ReplicaSync ----------------------------------------------

  bool synced = false;                                   // a listing of all records has completed
  model::Revision synced_revision = model::kNoRevision;  // all changes up to it are known
  // Steady clock: all changes that the store had at this time are known.
  double synced_at = -1e9;

 private:
  struct ShardLocation {
    model::Job* job = nullptr;
    model::TaskShard* shard = nullptr;
  };

  // Implementations of apply(), one for each kind of key that needs its own.
  bool apply_job(const std::string& id, const nlohmann::json& value, model::Revision revision);
  bool apply_shard(const wire::StoreKey& key, const nlohmann::json& value,
                   model::Revision revision);
  bool apply_lease(int partition, const nlohmann::json& value, model::Revision revision);
  bool apply_machines(const model::MachinePageId& id, const nlohmann::json& value,
                      model::Revision revision);
  bool apply_quota(const std::string& team, const nlohmann::json& value, model::Revision revision);
  bool apply_type(const nlohmann::json& value);
  bool apply_term(const nlohmann::json& value, model::Revision revision);

  // Jobs and their tasks.
  model::Job& add_job(const std::string& id, model::Job decoded);
  void set_end(model::Job& job, model::JobEnd end);
  void mark_all_tasks_done(model::Job& job);
  void mark_changed(const model::Job& job);
  // Both members are null if the job or its shard is unknown here.
  ShardLocation find_shard(const wire::StoreKey& key);
  void replace_tasks(model::Job& job, model::TaskShard& shard, uint32_t first_task,
                     std::vector<model::TaskState> tasks, model::Revision revision);
  void replace_task(const model::Job& job, const model::TaskRef& ref,
                    const model::TaskState& before, const model::TaskState& after);
  void add_load(const model::Job& job, const model::TaskRef& ref, const std::string& machine);
  void remove_load(const model::Job& job, const model::TaskRef& ref, const std::string& machine);

  // Aggregates.
  void recount(model::Job& job, model::TaskShard& shard);
  void recount_tasks_on(const std::string& machine);
  void update_job_sets(const model::Job& job);

  uint32_t tasks_per_shard_;
  uint32_t machines_per_page_;
  MachineDirectory directory_;
  MachineLoadIndex loads_;
  ImageNumbers images_;
  std::set<std::string> cancelled_before_record_;  // jobs whose record has not arrived yet
};

// Returns the number of the job's shards.
size_t shard_count(const model::Job& job);
// Returns the number of tasks in this shard of the job.
size_t shard_size(const model::Job& job, uint32_t shard);

}  // namespace rooksill::store
