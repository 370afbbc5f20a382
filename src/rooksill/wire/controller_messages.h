// Messages between controllers, in msgpack arrays. None of them is authoritative: nothing is
// decided on them that the key-value store does not confirm. A field's place in
// MSGPACK_DEFINE_ARRAY is its place on the wire: new fields go to the end, and the order never
// changes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/wire/decoded.h"

MSGPACK_ADD_ENUM(rooksill::model::Revision)

namespace rooksill::wire {

// What an envelope holds.
enum class PeerMessageKind : int {
  kHeartbeat = 1,          // ControllerHeartbeat
  kStoreUpdates = 2,            // Updates
  kRouting = 3,            // RoutingUpdate
  kUnassignedMachine = 4,  // UnassignedMachine
  kMachineStatus = 5,      // MachineStatusUpdate
  kCancelledJobs = 6           // Cancelled
};

// What a machine's owner knows of it.
struct MachineStatus {
  std::string name;
  bool is_up = false;                  // has reported to this owner
  bool is_draining = false;            // takes no new tasks; those there move away
  bool is_unreachable = false;              // does not report any more
  bool is_faulty = false;              // tasks of several jobs failed there
  bool has_termination_notice = false;  // the cloud is going to take it away
  // What is free of it, tasks that are on their way counted.
  double cpus_free = 0;
  double gpus_free = 0;
  double memory_free_gb = 0;                   // GB
  double utilization = 0;                          // share of the machine in use
  uint32_t task_count = 0;                       // there
  std::vector<std::string> images;          // in its cache
  std::array<float, 4> cpus_by_priority{};  // of tasks there that are not being stopped
  MSGPACK_DEFINE_ARRAY(name, is_up, is_draining, is_unreachable, is_faulty, has_termination_notice, cpus_free, gpus_free,
                       memory_free_gb, utilization, task_count, images, cpus_by_priority)
  bool operator==(const MachineStatus&) const = default;
};

// A machine's status with the label of the controller that published it.
struct PublishedStatus : MachineStatus {
  std::string publisher;
};

// By the machine's name.
using MachineStatusMap = std::unordered_map<std::string, PublishedStatus>;

// To the leader: what has changed, and some of the rest in turn, so that what was lost on the way
// is made good.
struct MachineStatusUpdate {
  std::vector<MachineStatus> machines;
  MSGPACK_DEFINE_ARRAY(machines)
};

// Where a machine's worker listens.
struct MachineAddress {
  std::string machine;
  std::string address;
  MSGPACK_DEFINE_ARRAY(machine, address)
};

// How many of another controller's cancellations the sender knows, and the time on the last of that
// controller's heartbeats.
struct CancellationAck {
  std::string label;         // of the other controller
  uint64_t incarnation = 0;  // of its process
  uint64_t cancellation_count = 0;
  double sent_at = 0;  // by the other controller's steady clock
  MSGPACK_DEFINE_ARRAY(label, incarnation, cancellation_count, sent_at)
};

// What a team's tasks use of its quota in a partition, decisions under way counted.
struct QuotaUse {
  int partition = 0;
  std::string team;
  double cpus = 0;
  double gpus = 0;
  MSGPACK_DEFINE_ARRAY(partition, team, cpus, gpus)
};

struct ControllerHeartbeat {
  bool is_ready = false;                          // it has a replica of the store
  bool is_store_available = false;                       // the store answers it
  bool suspects_itself = false;                // nearly all of its machines are silent
  uint64_t term = 0;                           // it leads in this term; 0: it does not
  std::vector<MachineAddress> addresses;              // lately learned, and some others in turn
  std::vector<std::string> unreachable_zones;  // whose machines it cannot reach
  double store_answer_age_s = 1e9;                      // s since the store last answered it
  double sent_at = -1e9;                       // by the sender's steady clock
  uint64_t cancellation_count = 0;                      // cancellations that it has learned of, in all
  // Of an older form without these, a heartbeat vouches for no cancellation.
  std::vector<CancellationAck> cancellation_acks;
  std::vector<QuotaUse> quota_use;  // of teams with a limit, in the partitions it owns
  MSGPACK_DEFINE_ARRAY(is_ready, is_store_available, suspects_itself, term, addresses, unreachable_zones,
                       store_answer_age_s, sent_at, cancellation_count, cancellation_acks, quota_use)
};

// A key of the store that the sender has changed.
struct StoreUpdate {
  std::string key;
  std::string value;  // JSON; empty: the key was deleted
  model::Revision revision = model::kNoRevision;
  MSGPACK_DEFINE_ARRAY(key, value, revision)
};

struct StoreUpdates {
  std::vector<StoreUpdate> items;
  MSGPACK_DEFINE_ARRAY(items)
};

// Jobs that the sender has learned to be cancelled, numbered from `first` by its process.
struct CancelledJobs {
  uint64_t first = 1;
  std::vector<std::string> jobs;
  MSGPACK_DEFINE_ARRAY(first, jobs)
};

// A shard of a job whose tasks the receiver is to place.
struct ShardRoute {
  std::string job;
  uint32_t shard = 0;
  MSGPACK_DEFINE_ARRAY(job, shard)
};

// A task to be moved off a machine that is being drained.
struct TaskMove {
  std::string job;
  uint32_t index = 0;  // of the task in its job
  uint64_t attempt = 0;
  MSGPACK_DEFINE_ARRAY(job, index, attempt)
};

// The leader asks the owner of partition `from` to pass on a part of its share of a team's quota.
struct QuotaTransfer {
  std::string team;
  int from = 0;
  int to = 0;
  double cpus = 0;
  double gpus = 0;
  model::Revision revision = model::kNoRevision;  // of the division that this was decided on
  MSGPACK_DEFINE_ARRAY(team, from, to, cpus, gpus, revision)
};

// From the leader to the owner of partitions.
struct RoutingUpdate {
  uint64_t term = 0;               // the leader's
  bool is_full = false;               // replaces what was routed before
  std::vector<ShardRoute> routes;  // shards to place
  std::vector<std::string> machines_to_drain;  // machines to empty
  std::vector<TaskMove> moves;     // tasks to move
  std::vector<QuotaTransfer> transfers;
  MSGPACK_DEFINE_ARRAY(term, is_full, routes, machines_to_drain, moves, transfers)
};

// A worker that reported without being in any partition.
struct UnassignedMachine {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MSGPACK_DEFINE_ARRAY(machine, address, type, zone, spot)
};

// What every message between controllers is sent in. Version 1 is the form that controllers without
// upgrade records send and take.
struct Envelope {
  int version = 1;
  int kind = 0;              // a PeerKind; others are of later versions and passed over
  std::string label;         // the sender's
  uint64_t incarnation = 0;  // of the sender's process
  uint64_t sequence = 0;     // rises with each envelope from that process
  std::string payload;       // the message, packed
  MSGPACK_DEFINE_ARRAY(version, kind, label, incarnation, sequence, payload)
};

template <typename T>
std::string pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

// Bounds on what a message may make its receiver allocate.
inline constexpr size_t kMaxElements = 100000;    // of an array or a map
inline constexpr size_t kMaxStringBytes = 1 << 20;      // of a string or of binary data
inline constexpr size_t kMaxExtensionBytes = 1 << 16;  // bytes
inline constexpr size_t kMaxNestingDepth = 16;

template <typename T>
Decoded<T> unpack(const std::string& bytes) try {
  const msgpack::unpack_limit limit(kMaxElements, kMaxElements, kMaxStringBytes, kMaxStringBytes, kMaxExtensionBytes,
                                    kMaxNestingDepth);
  const msgpack::object_handle handle =
      msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
  T value;
  handle.get().convert(value);
  return value;
} catch (const std::exception& error) {
  return DecodeError{Interface::kController, "", error.what(), ""};
}

}  // namespace rooksill::wire
