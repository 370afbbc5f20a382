// What controllers say to one another, in msgpack. All of it is soft: nothing here decides
// anything that the store has not been asked about.
#pragma once

#include <array>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/model/identifiers.h"

MSGPACK_ADD_ENUM(rooksill::model::Revision)

namespace rooksill::wire {

enum class PeerKind : int {
  kHeartbeat = 1,
  kUpdates = 2,
  kRouting = 3,
  kUnassignedMachine = 4,
  kMachineStatus = 5,
  kCancelled = 6
};

// What a machine's owner says of it.
struct MachineStatus {
  std::string name;
  bool up = false, draining = false, silent = false, bad = false, termination_notice = false;
  double cpus_free = 0, gpus_free = 0, memory_free = 0;
  double load = 0;  // share of the machine in use
  uint32_t tasks = 0;
  std::vector<std::string> images;
  std::array<float, 4> cpus_by_priority{};  // of tasks there that are not being stopped
  MSGPACK_DEFINE_ARRAY(name, up, draining, silent, bad, termination_notice, cpus_free, gpus_free,
                       memory_free, load, tasks, images, cpus_by_priority)
  bool operator==(const MachineStatus&) const = default;
};

// A machine's status with the label of the controller that published it.
struct PublishedStatus : MachineStatus {
  std::string publisher;
};

using MachineStatusMap = std::unordered_map<std::string, PublishedStatus>;

// To the leader: only what has changed, and some of the rest in turn, so that what was lost on the
// way is made good.
struct MachineStatusUpdate {
  std::vector<MachineStatus> machines;
  MSGPACK_DEFINE_ARRAY(machines)
};

struct Address {
  std::string machine, address;
  MSGPACK_DEFINE_ARRAY(machine, address)
};

// How far a controller has what another one said, and the time on the last of its heartbeats.
struct CancellationAck {
  std::string label;
  uint64_t incarnation = 0, cancelled = 0;
  double sent_at = 0;
  MSGPACK_DEFINE_ARRAY(label, incarnation, cancelled, sent_at)
};

// What a team's tasks use of its limit in a partition, decisions under way counted.
struct QuotaUse {
  int partition = 0;
  std::string team;
  double cpus = 0, gpus = 0;
  MSGPACK_DEFINE_ARRAY(partition, team, cpus, gpus)
};

struct ControllerHeartbeat {
  bool ready = false, store_ok = false, suspects_itself = false;
  uint64_t term = 0;                           // this node leads in this term; 0: it does not
  std::vector<Address> addresses;              // lately learned, and some others in turn
  std::vector<std::string> unreachable_zones;  // whose machines this node cannot reach
  double store_age = 1e9;                      // s since the store last answered it
  double sent_at = -1e9;                       // by the sender's steady clock
  uint64_t cancelled = 0;                      // cancellations that it has learned of, in all
  std::vector<CancellationAck> heard;  // one without these, of an older form, vouches for nothing
  std::vector<QuotaUse> quota_use;     // of teams with a limit, in the partitions held
  MSGPACK_DEFINE_ARRAY(ready, store_ok, suspects_itself, term, addresses, unreachable_zones,
                       store_age, sent_at, cancelled, heard, quota_use)
};

struct Update {
  std::string key, value;  // no value: deleted
  model::Revision revision = model::kNoRevision;
  MSGPACK_DEFINE_ARRAY(key, value, revision)
};

struct Updates {
  std::vector<Update> items;
  MSGPACK_DEFINE_ARRAY(items)
};

// Jobs that the sender has learned to be cancelled, numbered from `first` by its process.
struct Cancelled {
  uint64_t first = 1;
  std::vector<std::string> jobs;
  MSGPACK_DEFINE_ARRAY(first, jobs)
};

struct ShardRoute {
  std::string job;
  uint32_t shard = 0;
  MSGPACK_DEFINE_ARRAY(job, shard)
};

// A task to be moved off a machine that is being emptied.
struct TaskMove {
  std::string job;
  uint32_t index = 0;
  uint64_t attempt = 0;
  MSGPACK_DEFINE_ARRAY(job, index, attempt)
};

// The leader asks the owner of partition `from` to pass on a part of its share of a team's limit.
struct QuotaTransfer {
  std::string team;
  int from = 0, to = 0;
  double cpus = 0, gpus = 0;
  model::Revision revision =
      model::kNoRevision;  // revision of the division that this was decided on
  MSGPACK_DEFINE_ARRAY(team, from, to, cpus, gpus, revision)
};

struct RoutingUpdate {
  uint64_t term = 0;
  bool full = false;  // replaces what was routed before
  std::vector<ShardRoute> routes;
  std::vector<std::string> drain;
  std::vector<TaskMove> moves;
  std::vector<QuotaTransfer> transfers;
  MSGPACK_DEFINE_ARRAY(term, full, routes, drain, moves, transfers)
};

// A worker that reported without being in any partition.
struct UnassignedMachine {
  std::string machine, address, type, zone;
  bool spot = false;
  MSGPACK_DEFINE_ARRAY(machine, address, type, zone, spot)
};

// Version 1 is the form that controllers without upgrade records send and take.
struct Envelope {
  int version = 1, kind = 0;
  std::string label;
  uint64_t incarnation = 0, sequence = 0;
  std::string payload;
  MSGPACK_DEFINE_ARRAY(version, kind, label, incarnation, sequence, payload)
};

template <typename T>
std::string pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

template <typename T>
bool unpack(const std::string& bytes, T& value) try {
  msgpack::unpack_limit limit(100000, 100000, 1 << 20, 1 << 20, 1 << 16, 16);
  msgpack::object_handle handle =
      msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
  handle.get().convert(value);
  return true;
} catch (const std::exception&) {
  return false;
}

}  // namespace rooksill::wire
