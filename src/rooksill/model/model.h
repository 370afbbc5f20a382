// Jobs, tasks and machines as every controller knows them from the store.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rooksill::model {

enum class Shape { kArray, kService, kGang };
enum class Priority { kIdle = 0, kStandard = 1, kUrgent = 2, kProd = 3 };

struct JobSpec {
  std::string id, job_class, team, image, zone;  // zone empty: any
  Shape shape = Shape::kArray;
  Priority priority = Priority::kStandard;
  uint32_t tasks = 1;
  double cpus = 0, gpus = 0, memory_gb = 0, image_gb = 0;
  std::vector<std::string> types;  // empty: any
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  // Of a spread job's tasks: half of them, rounded up.
  uint32_t most_in_zone() const { return (tasks + 1) / 2; }
  bool allows_type(const std::string& name) const {
    return types.empty() || std::find(types.begin(), types.end(), name) != types.end();
  }
  // How many tasks so much holds, in whole numbers; infinite if a task takes nothing.
  double tasks_in(double of_cpus, double of_gpus, double of_memory_gb) const {
    constexpr double kSlack = 1e-9;  // sums of fractions
    double n = std::numeric_limits<double>::infinity();
    if (cpus > 0) n = std::min(n, std::floor((of_cpus + kSlack) / cpus));
    if (gpus > 0) n = std::min(n, std::floor((of_gpus + kSlack) / gpus));
    if (memory_gb > 0) n = std::min(n, std::floor((of_memory_gb + kSlack) / memory_gb));
    return n;
  }
};

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 1;
  double price = 0, spot_price = 0, boot_s = 30;
  std::vector<std::string> zones;
};

struct TaskRef {
  std::string job;
  uint32_t index = 0;
  bool operator==(const TaskRef&) const = default;
  auto operator<=>(const TaskRef&) const = default;
};

struct TaskState {
  std::string machine;  // empty: on none
  uint64_t attempt = 0;
  bool done = false;
  bool operator==(const TaskState&) const = default;
};

struct TaskShard {
  uint64_t revision = 0;  // 0: the key does not exist yet
  std::vector<TaskState> tasks;
  uint32_t done = 0, placed = 0;
};

enum class JobEnd { kOpen = 0, kCancelled = 1, kDone = 2 };

struct Job {
  JobSpec spec;
  uint64_t revision = 0;
  JobEnd end = JobEnd::kOpen;
  double submitted = 0;          // wall clock
  uint32_t tasks_per_shard = 1;  // tasks to a shard, as the node that accepted the job chose
  int image = 0;                 // the image's number in this process, for quick comparisons
  std::vector<TaskShard> shards;
  uint32_t done = 0, placed = 0;
  bool over() const { return end != JobEnd::kOpen; }
  bool finished_tasks() const { return done == spec.tasks; }
};

// A machine in a partition. It stays in its partition until it is gone for certain.
struct Machine {
  std::string name, type, zone;
  bool spot = false;
  int partition = 0;
  int page = 0;       // of its partition's list
  double rented = 0;  // wall clock, in whole seconds
};

// Who may act for a partition. Changing this key makes the former owner's transactions fail.
struct PartitionLease {
  uint64_t revision = 0;
  std::string owner;           // label
  uint64_t incarnation = 0;    // of the owner's process
  uint64_t fencing_token = 0;  // rises with each lease
};

// CPUs and GPUs of a team's limit.
struct QuotaShare {
  double cpus = 0, gpus = 0;
};

// How a team's limit is divided among the partitions. Until the first transfer the state has no
// such record, and the division is the one that the settings give.
struct QuotaDivision {
  uint64_t revision = 0;
  std::vector<QuotaShare> shares;  // by partition
};

struct Leadership {
  uint64_t revision = 0;  // 0: vacant
  std::string label;
  uint64_t incarnation = 0;
  uint64_t term = 0;
};

// What a controller leaves in the state for those that it cannot talk to, or that cannot talk to
// it.
struct LivenessRecord {
  uint64_t revision = 0, incarnation = 0;
  bool suspects_itself = false;
  std::vector<std::string> meant_for;  // controllers that it does not hear, or that do not hear it
  std::vector<std::string> silent;     // some of its silent machines
  std::vector<std::string> unreachable_zones;  // whose machines it cannot reach
};

// Version 1 knows neither records of versions nor gang jobs. Envelopes between controllers have the
// same numbers.
inline constexpr int kFirstVersion = 1, kPresentVersion = 2;

// The version of a controller's process, as it recorded it itself when it started.
struct VersionRecord {
  uint64_t revision = 0, incarnation = 0;
  int version = 0;
};

// Says that every controller has at least this version. Written once.
struct UpgradeRecord {
  uint64_t revision = 0;  // 0: not written yet
  int version = 0;
};

// What a task in a shard or a machine in a list takes at most of a state value, in bytes: names are
// at most 100 long.
inline constexpr size_t kItemBytes = 128;
// What they take with names of usual length, and their share of what is written once for several.
// Where a value is to shrink, more is put into it than the longest names would allow; whoever adds
// to it looks at its size.
inline constexpr size_t kUsualTaskBytes = 32, kUsualMachineBytes = 48;
inline constexpr size_t kMaxName = 100;
inline constexpr double kLateBoot = 2.5;       // boot times after which a machine is not counted on
inline constexpr int kFencingTokenShift = 20;  // a owner raises tokens below its lease's

}  // namespace rooksill::model
