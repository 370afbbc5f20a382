// Each controller's copy of the state service, kept by listing, watching and peers' updates.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rooksill/core/codec.h"
#include "rooksill/core/model.h"
#include "rooksill/settings/settings.h"

namespace rooksill::core {

// What a chunk's change meant for one task, for whoever measures demand.
struct TaskEvent {
  enum class Kind { kFirstPlaced, kDone, kLeft } kind;
  std::string job, machine;
};

// What the state says is on a machine, kept up with each change.
struct MachineLoad {
  std::set<TaskRef> tasks;
  double cpus = 0, gpus = 0, memory = 0;
  double replica_cpus = 0;  // of services
};

// One value of the list of a block's machines.
struct MachinePage {
  uint64_t stamp = 0;
  std::set<std::string> names;
};

class Replica {
 public:
  explicit Replica(const PlatformSettings& settings);

  // Takes a value if it is newer than what is known. False if nothing changed.
  bool apply(const std::string& key, const nlohmann::json& value, uint64_t stamp);
  void remove(const std::string& key, uint64_t stamp);
  void forget_leader(uint64_t epoch);
  // Another controller has learned that the job is cancelled. Its record comes later.
  void note_cancelled(const std::string& id);

  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  const Machine* machine(const std::string& name) const;
  const TaskState* task(const TaskRef& t) const;
  const MachineLoad& load(const std::string& machine) const;
  const std::set<TaskRef>& placed_on(const std::string& machine) const {
    return load(machine).tasks;
  }
  // On no machine, or on one that is gone for certain.
  bool waits(const TaskState& t) const {
    return !t.done && (t.machine.empty() || machine_gone(t.machine));
  }
  // A machine in no list has been released, but only as far as the lists are known: one that was
  // dealt after them would look gone. All changes up to `synced_epoch` are known, and a task's
  // machine was listed before the task's chunk was written.
  bool lists_cover(const Chunk& chunk) const { return synced_epoch >= chunk.stamp; }
  // How many of a job's tasks are on listed machines of each zone.
  std::map<std::string, uint32_t> tasks_by_zone(const Job& job) const;
  uint32_t unplaced(const Job& job) const { return job.spec.tasks - job.done - job.placed; }
  bool machine_gone(const std::string& name) const { return machines.count(name) == 0; }
  int image_number(const std::string& image);
  const std::string& image_name(int number) const {
    return image_names_[static_cast<size_t>(number) - 1];
  }
  // What fits a state value.
  uint32_t tasks_per_chunk() const { return tasks_per_chunk_; }
  uint32_t machines_per_page() const { return machines_per_page_; }

  std::unordered_map<std::string, Job> jobs;
  std::unordered_map<std::string, Machine> machines;
  std::map<std::string, MachineType> types;
  std::vector<BlockLease> leases;
  std::vector<std::vector<MachinePage>> pages;  // by block
  Leadership leader;
  std::map<std::string, LimitDivision> divisions;  // by team
  std::map<std::string, LifeSign> life_signs;      // by controller
  std::map<std::string, VersionRecord> versions;   // by controller
  UpgradeRecord upgrade;
  uint64_t term = 0, term_stamp = 0;
  std::set<std::string> open_jobs;
  std::set<std::string> waiting_jobs;   // open, with tasks on no machine
  std::set<std::string> finished_jobs;  // open, with all tasks done
  uint64_t synced_epoch = 0;            // everything up to here is known
  bool synced = false;
  double synced_at = -1e9;  // what the state service had at this moment is known, by our clock

  // Emptied by the core after each batch.
  std::vector<TaskEvent> events;
  std::set<std::string> touched_jobs;
  std::unordered_set<std::string> touched_machines;
  std::vector<std::string> cancelled;  // learned of since this was last emptied

 private:
  void count(Job& job, Chunk& chunk);
  void index(const Job& job);
  void recount(const std::string& machine);
  void apply_job(const std::string& id, Job fresh, uint64_t stamp);
  void note_end(Job& job, JobEnd end);
  void touch(const Job& job);
  void apply_chunk(Job& job, uint32_t index, std::vector<TaskState> tasks, uint64_t stamp);
  void apply_machines(int block, int page, const std::map<std::string, Machine>& fresh,
                      uint64_t stamp);
  void put_on(const Job& job, const TaskRef& ref, const std::string& machine);
  void take_off(const Job& job, const TaskRef& ref, const std::string& machine);
  Job* chunk_of(const std::string& name, uint32_t& index);

  uint32_t tasks_per_chunk_, machines_per_page_;
  std::unordered_map<std::string, MachineLoad> loads_;
  std::unordered_map<std::string, int> image_numbers_;
  std::vector<std::string> image_names_;
  std::set<std::string> cancelled_early_;  // whose record is not here yet
};

size_t chunk_count(const Job& job);
size_t chunk_size(const Job& job, uint32_t chunk);

}  // namespace rooksill::core
