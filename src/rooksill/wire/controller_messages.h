// Messages between controllers, encoded as msgpack arrays. None of them is authoritative: every
// decision based on one is confirmed by the key-value store. The position of a field in
// MSGPACK_DEFINE_ARRAY is its position on the wire, so new fields are appended and the order never
// changes. The names of the members are not sent.
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
MSGPACK_ADD_ENUM(rooksill::model::FencingToken)

namespace rooksill::wire {

// The type of the message in an Envelope's payload. The numbers are part of the wire format.
enum class PeerMessageKind : int {
  kHeartbeat = 1,          // ControllerHeartbeat
  kStoreUpdates = 2,       // StoreUpdates
  kRouting = 3,            // RoutingUpdate
  kUnassignedMachine = 4,  // UnassignedMachine
  kMachineStatus = 5,      // MachineStatusUpdate
  kCancelledJobs = 6,      // CancelledJobs
  kLeaseRenewal = 7        // LeaseRenewalRequest
};

// The state of a machine as seen by the owner of its partition.
struct MachineStatus {
  std::string name;
  bool is_up = false;                   // has reported to this owner
  bool is_draining = false;             // accepts no new tasks; its tasks are being moved away
  bool is_unreachable = false;          // has stopped reporting
  bool is_faulty = false;               // tasks of several jobs failed on it
  bool has_termination_notice = false;  // the cloud has announced that it will reclaim the machine
  // Free capacity; tasks that are still being started there count as using theirs.
  double cpus_free = 0;
  double gpus_free = 0;
  double memory_free_gb = 0;
  double utilization = 0;                   // fraction of the machine in use
  uint32_t task_count = 0;                  // tasks on the machine
  std::vector<std::string> images;          // in the machine's cache
  std::array<float, 4> cpus_by_priority{};  // CPUs of its tasks that are not being stopped
  MSGPACK_DEFINE_ARRAY(name, is_up, is_draining, is_unreachable, is_faulty, has_termination_notice,
                       cpus_free, gpus_free, memory_free_gb, utilization, task_count, images,
                       cpus_by_priority)
  bool operator==(const MachineStatus&) const = default;
};

// A machine's status with the label of the controller that published it. Not sent itself.
struct PublishedStatus : MachineStatus {
  std::string publisher;
};

// Machine statuses by machine name.
using MachineStatusMap = std::unordered_map<std::string, PublishedStatus>;

// Sent to the leader: all statuses that changed, plus a rotating subset of the unchanged ones so
// that lost updates are eventually repaired.
struct MachineStatusUpdate {
  std::vector<MachineStatus> machines;
  MSGPACK_DEFINE_ARRAY(machines)
};

// The address on which a machine's worker accepts connections.
struct MachineAddress {
  std::string machine;
  std::string address;  // host:port
  MSGPACK_DEFINE_ARRAY(machine, address)
};

// Acknowledges the cancellations of one other controller: how many of them the sender has received,
// and the timestamp of that controller's latest heartbeat.
struct CancellationAck {
  std::string label;                // of the other controller
  uint64_t incarnation = 0;         // of the other controller's process
  uint64_t cancellation_count = 0;  // its cancellations that the sender has
  double sent_at = 0;               // its heartbeat's timestamp, by its own steady clock
  MSGPACK_DEFINE_ARRAY(label, incarnation, cancellation_count, sent_at)
};

// The part of a team's quota that its tasks use in a partition, decisions in progress included.
struct QuotaUse {
  int partition = 0;
  std::string team;
  double cpus = 0;
  double gpus = 0;
  MSGPACK_DEFINE_ARRAY(partition, team, cpus, gpus)
};

// Sent periodically by each controller to each other one.
struct ControllerHeartbeat {
  bool is_ready = false;                       // it has a complete replica of the store
  bool is_store_available = false;             // the store answers its requests
  bool suspects_itself = false;                // nearly all of its machines are unreachable
  uint64_t term = 0;                           // the term in which it leads; 0: it does not lead
  std::vector<MachineAddress> addresses;       // recently learned ones and a rotating subset
  std::vector<std::string> unreachable_zones;  // zones whose machines it cannot reach
  double store_response_age_s = 1e9;           // time since the last response of the store to it
  double sent_at = -1e9;                       // by the sender's steady clock
  uint64_t cancellation_count = 0;             // cancellations that it has learned of, in total
  // Senders of an older version leave this empty; their heartbeats acknowledge no cancellation.
  std::vector<CancellationAck> cancellation_acks;
  std::vector<QuotaUse> quota_use;  // of teams with a limit, in the partitions that it owns
  MSGPACK_DEFINE_ARRAY(is_ready, is_store_available, suspects_itself, term, addresses,
                       unreachable_zones, store_response_age_s, sent_at, cancellation_count,
                       cancellation_acks, quota_use)
};

// A change of one store key, made by the sender.
struct StoreUpdate {
  std::string key;
  std::string value;                              // JSON; empty: the key was deleted
  model::Revision revision = model::kNoRevision;  // of the change
  MSGPACK_DEFINE_ARRAY(key, value, revision)
};

// Store changes of the sender, broadcast to the other controllers.
struct StoreUpdates {
  std::vector<StoreUpdate> items;
  MSGPACK_DEFINE_ARRAY(items)
};

// Jobs that the sender has learned to be cancelled. Each process numbers them consecutively.
struct CancelledJobs {
  uint64_t first = 1;             // number of the first job in the list
  std::vector<std::string> jobs;  // job ids
  MSGPACK_DEFINE_ARRAY(first, jobs)
};

// A shard of a job whose tasks the receiver is asked to place.
struct ShardRoute {
  std::string job;
  uint32_t shard = 0;
  MSGPACK_DEFINE_ARRAY(job, shard)
};

// A task to be moved off a draining machine.
struct TaskMove {
  std::string job;
  uint32_t index = 0;    // of the task in its job
  uint64_t attempt = 0;  // the attempt to move
  MSGPACK_DEFINE_ARRAY(job, index, attempt)
};

// A request of the leader to the owner of partition `from`: transfer part of its share of a team's
// quota to partition `to`.
struct QuotaTransfer {
  std::string team;
  int from = 0;
  int to = 0;
  double cpus = 0;
  double gpus = 0;
  model::Revision revision = model::kNoRevision;  // of the quota division the decision is based on
  MSGPACK_DEFINE_ARRAY(team, from, to, cpus, gpus, revision)
};

// Sent by the leader to a partition owner.
struct RoutingUpdate {
  uint64_t term = 0;                           // the leader's term
  bool is_full = false;                        // replaces all earlier routes
  std::vector<ShardRoute> routes;              // shards to place
  std::vector<std::string> machines_to_drain;  // by name
  std::vector<TaskMove> moves;                 // tasks to move
  std::vector<QuotaTransfer> transfers;        // from partitions of the receiver
  MSGPACK_DEFINE_ARRAY(term, is_full, routes, machines_to_drain, moves, transfers)
};

// A machine whose worker reported although no partition lists the machine.
struct UnassignedMachine {
  std::string machine;  // name
  std::string address;  // host:port
  std::string type;
  std::string zone;
  bool spot = false;
  MSGPACK_DEFINE_ARRAY(machine, address, type, zone, spot)
};

// Sent to the leader by a partition owner that needs a new lease for its partition, because a
// worker has used or seen too many of the lease's fencing tokens. Without a response; repeated
// until the lease has changed.
struct LeaseRenewalRequest {
  int partition = 0;
  model::FencingToken fencing_token = model::kNoFencingToken;  // of the lease to be replaced
  MSGPACK_DEFINE_ARRAY(partition, fencing_token)
};

// The frame of every message between controllers. Version 1 is the format that controllers without
// upgrade records send and accept.
struct Envelope {
  int version = 1;
  int kind = 0;              // a PeerMessageKind; unknown kinds are from later versions and ignored
  std::string label;         // of the sender
  uint64_t incarnation = 0;  // of the sender's process
  uint64_t sequence = 0;     // increases with each envelope from that process
  std::string payload;       // the packed message
  MSGPACK_DEFINE_ARRAY(version, kind, label, incarnation, sequence, payload)
};

// Returns the msgpack encoding of a message.
template <typename T>
std::string pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

// Limits on what the receiver allocates for a message.
inline constexpr size_t kMaxElements = 100000;         // of an array or a map
inline constexpr size_t kMaxStringBytes = 1 << 20;     // of a string or of binary data
inline constexpr size_t kMaxExtensionBytes = 1 << 16;  // of an extension type
inline constexpr size_t kMaxNestingDepth = 16;

// Decodes a message; fails if it is malformed or exceeds the limits above.
template <typename T>
Decoded<T> unpack(const std::string& bytes) try {
  const msgpack::unpack_limit limit(kMaxElements, kMaxElements, kMaxStringBytes, kMaxStringBytes,
                                    kMaxExtensionBytes, kMaxNestingDepth);
  const msgpack::object_handle handle =
      msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
  T value;
  handle.get().convert(value);
  return value;
} catch (const std::exception& error) {
  return DecodeError{Interface::kController, "", error.what(), ""};
}

}  // namespace rooksill::wire
