// Each controller's copy of the state service, kept by listing, watching and peers' updates.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/core/codec.h"
#include "rooksill/core/model.h"

namespace rooksill::core {

// What a chunk's change meant for one task, for whoever measures demand.
struct TaskEvent {
  enum class Kind { kFirstPlaced, kDone, kLeft } kind;
  std::string job, machine;
};

class Replica {
 public:
  explicit Replica(int blocks);

  // Takes a value if it is newer than what is known. False if nothing changed.
  bool apply(const std::string& key, const nlohmann::json& value, uint64_t stamp);
  void remove(const std::string& key, uint64_t stamp);
  void forget_leader(uint64_t epoch);

  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  const Machine* machine(const std::string& name) const;
  const TaskState* task(const TaskRef& t) const;
  const std::set<TaskRef>& placed_on(const std::string& machine) const;
  // On no machine, or on one that is gone for certain.
  bool waits(const TaskState& t) const {
    return !t.done && (t.machine.empty() || machine_gone(t.machine));
  }
  uint32_t unplaced(const Job& job) const { return job.spec.tasks - job.done - job.placed; }
  bool machine_gone(const std::string& name) const { return machines.count(name) == 0; }

  std::unordered_map<std::string, Job> jobs;
  std::map<std::string, Machine> machines;
  std::map<std::string, MachineType> types;
  std::vector<BlockLease> leases;
  std::vector<uint64_t> machine_stamps;
  Leadership leader;
  uint64_t term = 0, term_stamp = 0;
  std::set<std::string> open_jobs;
  uint64_t synced_epoch = 0;  // everything up to here is known
  bool synced = false;

  // Emptied by the core after each batch.
  std::vector<TaskEvent> events;
  std::set<std::string> touched_jobs;

 private:
  void count(Job& job, Chunk& chunk);
  void recount(const std::string& machine);
  void apply_chunk(Job& job, uint32_t index, std::vector<TaskState> tasks, uint64_t stamp);

  std::unordered_map<std::string, std::set<TaskRef>> placed_on_;
};

size_t chunk_count(const JobSpec& spec);
size_t chunk_size(const JobSpec& spec, uint32_t chunk);

}  // namespace rooksill::core
